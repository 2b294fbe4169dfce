// Package shift rolls a service out from the old version of its instances to a new one. It
// moves the sessions in steps, and rolls them back when the new version regresses. Decisions
// are pure functions of their inputs. The daemon that holds the service's lease writes them to
// the store; all daemons apply them.
package shift

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is the progress of a roll-out.
type Phase string

// Phases. Completed and RolledBack are final.
const (
	Running    Phase = "running"
	Completed  Phase = "completed"
	RolledBack Phase = "rolled_back"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	// ID is larger for a later order.
	ID      int64
	Service string
	To      string
	// Allowed is the time limit of the roll-out, counted from the order.
	Allowed time.Duration
	// Age is how long ago the order was given, as measured by the sender.
	Age time.Duration
	// Era increases when the store that holds the orders is restored from an older backup. The
	// restored store gives the orders that it contains, and those that are written to it again,
	// new IDs. Restated is such a later ID of this order; 0 means that it has none.
	Era      int64
	Restated int64
}

// latestID returns the order's ID in the latest era.
func (o Order) latestID() int64 { return max(o.ID, o.Restated) }

// isRestatementOf reports whether o is the same order as earlier, with its ID of a later era.
func (o Order) isRestatementOf(earlier Order) bool {
	return o.Era > earlier.Era && o.sameRequest(earlier)
}

// sameRequest reports whether two orders ask for the same change.
func (o Order) sameRequest(other Order) bool {
	return o.Service == other.Service && o.To == other.To && o.Allowed == other.Allowed
}

// State is the state of a roll-out as all daemons share it.
type State struct {
	Order   int64  `json:"order"`
	Service string `json:"service"`
	To      string `json:"to"`
	Phase   Phase  `json:"phase"`
	// Share is the fraction of the sessions that use the new version, 0 to 1.
	Share float64 `json:"share"`
	// Held are the hashes of sessions inside the first share that were under way on the old
	// version. They stay on the old version until Share grows.
	Held []uint64 `json:"held,omitempty"`
	// FreshBefore is the number of requests that the new version had answered when all
	// sessions moved to it, and Before are its counts at that time. An older daemon writes no
	// Before.
	FreshBefore int    `json:"fresh_before,omitempty"`
	Before      Counts `json:"before,omitempty"`
	// MovedMS is the time from the order until all sessions moved, in milliseconds.
	MovedMS int64 `json:"moved_ms,omitempty"`
	// Stopped is set when the combined evidence of all daemons shows a regression while no
	// daemon holds the lease. The next lease holder rolls the version back.
	Stopped bool `json:"stopped,omitempty"`
	// Told is set once the operator has been notified of a final phase. Until then a lease
	// holder still has to do so.
	Told bool `json:"told,omitempty"`
	// Withdrawn are versions of earlier orders that were rolled back or never completed. Their
	// servers may still run for some time.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// OrderedMS is the time of the order, in milliseconds of the store's clock; 0 means
	// unknown.
	OrderedMS int64 `json:"ordered_ms,omitempty"`
	// Restated is the ID of the order in a later era of the store; 0 means that it has none.
	Restated int64 `json:"restated,omitempty"`
	// Step counts the changes of the state, so that an older state never replaces a newer one.
	Step int `json:"step"`
}

// MarkTold returns the state that follows once the operator has been notified.
func (s State) MarkTold() State {
	s.Told = true
	s.Step++
	return s
}

const (
	// settleTime is how long all sessions stay on the old version after the order. In this
	// time the daemons receive the order and report which sessions are under way.
	settleTime = 1200 * time.Millisecond
)

// DecisionInput is what the lease holder decides on.
type DecisionInput struct {
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// Fresh and Old count the requests at the new version and at the old one.
	Fresh Counts
	Old   Counts
	// OldInFlight is the number of requests in flight at old instances, over all daemons.
	OldInFlight int
	// Held are the hashes of sessions under way that began on the old version.
	Held []uint64
}

// NextState returns the state that follows s. While the roll-out runs, the new version may get
// at most the fraction limit of the requests.
func NextState(s State, o Order, in DecisionInput, limit ExposureLimit) State {
	if s.Phase != Running {
		return s
	}
	next := s
	switch {
	case s.Stopped || s.Regressed(in.Fresh, in.Old) || suspectTooLong(s, o, in, limit) || isGivenUp(s, o, in):
		next.Phase, next.Share, next.Held = RolledBack, 0, nil
	case s.Share >= 1:
		if mayComplete(s, o, in) {
			next.Phase = Completed
		}
	default:
		next.Share = limit.nextShare(s.Share, o, in)
		next.Held = nil
		if next.Share > 0 && next.Share < 1 {
			// A daemon receives the first share shortly after it reported its sessions. A
			// session that begins in between (one per roll-out at 435 requests a second) uses
			// the old version; each decision adds such sessions.
			next.Held = union(s.Held, in.Held)
		}
	}
	if s.Share < 1 && next.Share >= 1 {
		next.FreshBefore, next.Before = in.Fresh.Total().Requests, in.Fresh.withoutWaiting()
		next.MovedMS = in.Elapsed.Milliseconds()
	}
	if !unchanged(next, s) {
		next.Step++
	}
	return next
}

// suspectGrace is how long a suspect version may stay on the first share after all sessions
// could have moved to it. It leaves time for more answers and for one more decision.
const suspectGrace = 300 * time.Millisecond

// suspectTooLong reports whether a version on the first share is still suspect when
// suspectGrace is over. If it stayed on the first share, it would keep failing a few callers.
// The operator can order it again after the rollback.
func suspectTooLong(s State, o Order, in DecisionInput, limit ExposureLimit) bool {
	if s.Share >= 1 || s.Share == 0 || !SuspectRegression(in.Fresh, in.Old) {
		return false
	}
	in.Elapsed -= suspectGrace
	return limit.canMoveAll(o, in)
}

// union returns the sorted elements of a and b, each once.
func union(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// unchanged reports whether a decision left phase, share and held sessions as they were.
func unchanged(a, b State) bool {
	return a.Phase == b.Phase && a.Share == b.Share && slices.Equal(a.Held, b.Held)
}

// Hash returns the position of a session in the order in which sessions move.
func Hash(session string) uint64 { return xxhash.Sum64String(session) }

// inShare reports whether a session belongs to the given first share of the sessions.
func inShare(hash uint64, share float64) bool {
	return float64(hash>>11)/(1<<53) < share
}
