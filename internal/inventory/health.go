package inventory

import "time"

// Outcome is the result of a request as far as it indicates the health of the instance.
type Outcome int

// Outcomes.
const (
	// OutcomeNone indicates nothing about health: the caller disconnected, or the instance
	// refused the request.
	OutcomeNone Outcome = iota
	OutcomeSuccess
	// OutcomeFailed is an error answer or an incomplete one.
	OutcomeFailed
	// OutcomeUnreachable is a failure to connect.
	OutcomeUnreachable
	// OutcomeTimeout is a request that was not answered within its time limit.
	OutcomeTimeout
)

const (
	// failureWeight is the weight of a new outcome in the moving average of failures, which
	// covers about the last seven requests.
	failureWeight = 0.15
	// ejectFailureRate is the failure rate at which an instance is ejected. A service that
	// normally fails one request in seven stays well below it.
	ejectFailureRate = 0.45
	// baseEjectTime is the duration of the first ejection. Each consecutive ejection doubles
	// it, up to maxEjectTime.
	baseEjectTime = 1 * time.Second
	maxEjectTime  = 8 * time.Second
)

// health is the failure rate and ejection state of an instance, computed from outcomes.
type health struct {
	failureRate  float64
	ejectedUntil time.Time
	ejections    int
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// note records an outcome, and ejects the instance if its failure rate has become too high.
func (h *health) note(o Outcome, now time.Time) {
	switch o {
	case OutcomeNone:
		return
	case OutcomeSuccess:
		h.failureRate *= 1 - failureWeight
		if h.failureRate < ejectFailureRate/2 {
			h.ejections = 0
		}
		return
	case OutcomeFailed:
		h.failureRate += failureWeight * (1 - h.failureRate)
	case OutcomeUnreachable, OutcomeTimeout:
		// A connection failure or timeout costs a caller as much time as several errors, so
		// that one is enough for an ejection.
		h.failureRate = 1
	}
	if h.failureRate >= ejectFailureRate && !h.ejected(now) {
		h.ejectedUntil = now.Add(min(baseEjectTime<<h.ejections, maxEjectTime))
		// The bound keeps the shift above from overflowing.
		h.ejections = min(h.ejections+1, 8)
		// Start below the threshold, so that the first requests after the ejection decide
		// whether the instance is ejected again.
		h.failureRate = ejectFailureRate * 0.75
	}
}
