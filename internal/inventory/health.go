package inventory

import "time"

// Outcome is how a request at an instance ended, as far as it tells of the
// instance's health.
type Outcome int

// Outcomes.
const (
	// OutcomeNone says nothing: the caller left, or the instance refused.
	OutcomeNone Outcome = iota
	OutcomeGood
	// OutcomeFailed is an error answer or a broken one.
	OutcomeFailed
	// OutcomeUnreachable is a connection that could not be made.
	OutcomeUnreachable
	// OutcomeSilent is a request that was not answered within the time set for
	// it.
	OutcomeSilent
)

const (
	// failWeight is the weight of a new outcome in the failure rate: about the
	// last seven requests count.
	failWeight = 0.15
	// ejectRate is the failure rate at which an instance is left out. Services
	// that fail one request in seven by themselves stay well below.
	ejectRate = 0.45
	// ejectTime is how long an instance is left out at first; each further time
	// in a row doubles it up to ejectMax.
	ejectTime = 1 * time.Second
	ejectMax  = 8 * time.Second
)

// health is what outcomes say of an instance.
type health struct {
	failing float64
	until   time.Time
	inARow  int
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

func (h *health) note(o Outcome, now time.Time) {
	switch o {
	case OutcomeNone:
		return
	case OutcomeGood:
		h.failing *= 1 - failWeight
		if h.failing < ejectRate/2 {
			h.inARow = 0
		}
		return
	case OutcomeFailed:
		h.failing += failWeight * (1 - h.failing)
	case OutcomeUnreachable, OutcomeSilent:
		// One silent connection costs a caller as much as several errors.
		h.failing = 1
	}
	if h.failing >= ejectRate && !h.ejected(now) {
		h.until = now.Add(min(ejectTime<<h.inARow, ejectMax))
		h.inARow = min(h.inARow+1, 8)
		// The next requests after the time out decide afresh.
		h.failing = ejectRate * 0.75
	}
}
