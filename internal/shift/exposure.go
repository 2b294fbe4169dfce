package shift

// ExposureLimit is the most of a service's requests that a version may get between its order
// and the end of the allowed time: the fraction Share of them, 0 to 1, and Slack more.
//
// A version can be bad in a way that no first share shows: only under full load, or only after
// some time. A share that grows through the second half of the time would give such a version
// far more requests than allowed before the fault shows. The share therefore stays small until
// the remaining time, with all requests on the new version, fits into the limit. The limit
// then holds whatever the version does.
type ExposureLimit struct {
	Share float64
	Slack int
}

const (
	// firstShareFraction is the first share as a fraction of the limit. It brings enough
	// requests to detect within seconds a version that fails a third of them, and is small
	// enough that all sessions can move in the last tenth of the time.
	firstShareFraction = 0.3
	// plannedFraction is the fraction of the limit used when planning by time, because
	// requests arrive unevenly. countedFraction is the fraction that counted requests may use,
	// because a few requests in flight are not counted yet.
	plannedFraction = 0.85
	countedFraction = 0.95
	// slackFraction is the fraction of the slack that is used. With few requests a second, the
	// share alone is too little to tell a bad version from a sound one.
	slackFraction = 0.5
)

// FirstShare returns the fraction of the sessions that use a new version first.
func (e ExposureLimit) FirstShare() float64 { return firstShareFraction * e.Share }

// nextShare returns the fraction of the sessions that use the new version next.
func (e ExposureLimit) nextShare(current float64, o Order, in DecisionInput) float64 {
	switch {
	case current == 0 && in.Elapsed < settleTime:
		return 0
	case current == 0:
		return e.FirstShare()
	case e.canMoveAll(o, in) && !SuspectRegression(in.Fresh, in.Old):
		return 1
	default:
		return current
	}
}

// canMoveAll reports whether all requests until the end of the allowed time may go to the new
// version without exceeding the limit. It checks the time, assuming evenly spread requests,
// and the counted requests, because one busy session can make the first share larger than
// planned. It allows it only in the second half of the time, in which sessions may change their
// version.
func (e ExposureLimit) canMoveAll(o Order, in DecisionInput) bool {
	left := o.Allowed - in.Elapsed
	if left <= 0 {
		return true
	}
	if left > o.Allowed/2 {
		return false
	}
	planned, counted, slack := plannedFraction*e.Share, countedFraction*e.Share, slackFraction*float64(e.Slack)
	passed, rest := in.Elapsed.Seconds(), left.Seconds()
	fresh := float64(in.Fresh.Total().Requests)
	all := fresh + float64(in.Old.Total().Requests)
	rate := max(all, 1) / passed
	if e.FirstShare()*passed+rest > planned*(passed+rest)+slack/rate {
		return false
	}
	coming := rate * rest
	return fresh+coming <= counted*(all+coming)+slack
}
