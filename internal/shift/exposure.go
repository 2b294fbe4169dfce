package shift

import "time"

// Exposure is the largest part of a service's requests, 0 to 1, that a version
// may get between its order and the end of the time allowed for it.
//
// A version can be bad in a way that no first share shows: only under the load of
// all requests, or only late. A share that grows through the second half gives such
// a version far more than is allowed before it shows. So the share stays small
// until what is left of the time, all of it on the new version, fits into the
// part allowed: whatever the version does, it cannot get more.
type Exposure float64

const (
	// firstPart is the first share's part of the exposure: enough requests that a
	// version which fails a third of them is found in seconds, and few enough that
	// the rest allows for moving all sessions in the last tenth of the time.
	firstPart = 0.3
	// plannedPart is the part of the exposure that the clock plans with, since
	// requests come unevenly, and countedPart the one that requests counted may
	// take: a few are under way that nobody has counted yet.
	plannedPart = 0.85
	countedPart = 0.95
)

// FirstShare is the part of the sessions that tries a new version at first.
func (e Exposure) FirstShare() float64 { return firstPart * float64(e) }

// share is the part of the sessions that use the new version next.
func (e Exposure) share(now float64, o Order, k Known) float64 {
	switch {
	case now == 0 && k.Elapsed < settle:
		return 0
	case now == 0:
		return e.FirstShare()
	case e.fits(o, k) && !Suspect(k.Fresh, k.Old):
		return 1
	default:
		return now
	}
}

// fits reports whether all requests until the end of the allowed time may go to
// the new version: by the clock, as if requests came evenly, and by what was
// counted, since one busy session can make the first share larger than planned.
func (e Exposure) fits(o Order, k Known) bool {
	left := o.Allowed - k.Elapsed
	if left <= 0 {
		return true
	}
	planned, counted := plannedPart*float64(e), countedPart*float64(e)
	passed, rest := k.Elapsed.Seconds(), left.Seconds()
	if e.FirstShare()*passed+rest > planned*(passed+rest) {
		return false
	}
	fresh := float64(k.Fresh.Total().Requests)
	all := fresh + float64(k.Old.Total().Requests)
	coming := all * rest / max(passed, time.Millisecond.Seconds())
	return fresh+coming <= counted*(all+coming)
}
