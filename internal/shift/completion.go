package shift

import "time"

// After a completion the operator stops the old servers, and there is no way back. A version
// therefore completes no earlier than its time requires, and on what it has answered since all
// sessions moved to it.
const (
	// completionMargin is the time before the end, three decision intervals, at which a version
	// completes that has answered clearAnswers since all sessions moved, whether old instances
	// still have requests or not. Cutting a few long streams, which can be resumed, costs less
	// than a late roll-out.
	completionMargin = 1 * time.Second
	clearAnswers     = 50
	// lastMargin is the time before the end at which other versions complete: one decision
	// interval, and the time for telling the operator.
	lastMargin = 600 * time.Millisecond

	// A version completes only after it has answered completionFraction of all requests, at
	// most maxCompletionRequests, since all sessions moved.
	completionFraction    = 0.015
	maxCompletionRequests = 50
	// completionGrace is the time after which a version completes without that many requests,
	// and is given up if it is in doubt. It starts at the move of all sessions or at the end of
	// the allowed time, whichever is later.
	completionGrace = 5 * time.Second
)

// Regressed reports whether the version regressed, over all of its answers or over those since
// all sessions moved to it.
func (s State) Regressed(fresh, old Counts) bool {
	return Regressed(fresh, old) || s.Share >= 1 && Regressed(fresh.since(s.Before), old)
}

// isGivenUp reports whether a version that all sessions use is not completed when its time is
// over: it fails too often or seems slower, or is still in doubt after completionGrace. It would
// otherwise keep failing callers; the operator can order it again.
func isGivenUp(s State, o Order, in DecisionInput) bool {
	if s.Share < 1 {
		return false
	}
	since := in.Fresh.since(s.Before)
	return in.Elapsed >= max(o.Allowed-lastMargin, s.moved()+suspectGrace) && worseAtEnd(since, in.Old) ||
		in.Elapsed > s.graceEnd(o) && (SuspectRegression(in.Fresh, in.Old) || isInDoubt(in.Fresh, since, in.Old))
}

// mayComplete reports whether a version may complete: its time requires a decision, it has
// answered enough requests under full load, and is neither suspect nor in doubt.
//
// On the first share, a version that fails one kind of request may get too few requests to
// show it, and one that fails under load shows nothing. So it must also answer requests of all
// sessions, even if that makes the roll-out late. A daemon that acquires the lease after the
// allowed time moves all sessions first, so completionGrace starts no earlier than that move.
func mayComplete(s State, o Order, in DecisionInput) bool {
	since := in.Fresh.since(s.Before)
	if SuspectRegression(in.Fresh, in.Old) {
		return false
	}
	fresh, old := in.Fresh.Total().Requests, in.Old.Total().Requests
	answered, left := fresh-s.FreshBefore, o.Allowed-in.Elapsed
	switch {
	case answered == 0 && in.OldInFlight > 0:
		// All sessions prefer the new version and it answers none: it has no instances.
		return false
	case in.Elapsed > s.graceEnd(o):
		return true
	case left > completionMargin, left > lastMargin && answered < clearAnswers, isInDoubt(in.Fresh, since, in.Old):
		return false
	}
	return answered >= min(int(completionFraction*float64(fresh+old)), maxCompletionRequests)
}

// isInDoubt reports whether the answers since all sessions moved, or the times of all answers,
// leave it open whether a version is worse.
func isInDoubt(fresh, since, old Counts) bool {
	return looksWorse(since, old) || slowerBy(fresh, old, doubtLatencyDeviations, doubtPaceDeviations)
}

// graceEnd returns the time after the order at which completionGrace is over.
func (s State) graceEnd(o Order) time.Duration {
	return max(s.moved(), o.Allowed) + completionGrace
}

// moved returns the time from the order until all sessions moved.
func (s State) moved() time.Duration { return time.Duration(s.MovedMS) * time.Millisecond }
