package forward

import (
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// observation is what an attempt tells of its instance's version; ok is false when
// it tells nothing.
//
// Only answers show that a version fails. A request that was not answered in time
// took at least that long; one that could not be sent says nothing, and a stream that
// its caller gave up tells its pace until then. Counted as failures, those that wait in
// queues raise the old version's rate, and a new one that fails often passes for hardly
// worse.
func (a *attempt) observation(outcome inventory.Outcome) (o shift.Observation, ok bool) {
	o = a.seen()
	switch outcome {
	case inventory.OutcomeNone, inventory.OutcomeUnreachable:
		o.Unfinished = true
		return o, o.Pace > 0
	case inventory.OutcomeSilent:
		o.Took = time.Since(a.sentAt)
		return o, true
	}
	o.Bad = outcome == inventory.OutcomeFailed
	if !a.headAt.IsZero() {
		o.Took = a.headAt.Sub(a.sentAt)
	}
	return o, true
}

const (
	// leastPaced is the number of events without which their pace says nothing: an
	// engine writes the first few as it finds time between the prompts that it reads.
	leastPaced = 4
	// pacedEvents is the number of events after which their pace is told, before the
	// answer ends: a slow version's streams take ten seconds and more, and callers met
	// it for four seconds after all sessions had moved while these were under way.
	pacedEvents = 8
)

// noteEvent counts an event of the answer, and tells their pace once enough came.
func (a *attempt) noteEvent() {
	a.events++
	a.eventAt = time.Now()
	if a.events != pacedEvents {
		return
	}
	o := a.seen()
	o.Unfinished = true
	a.Versions.Observe(a.service.Name, o)
	a.paced = true
}

// eventPace is the mean time for an event since the head of the answer; 0 where it has
// been told or they are too few.
func (a *attempt) eventPace() time.Duration {
	if a.paced || a.events < leastPaced {
		return 0
	}
	return a.eventAt.Sub(a.headAt) / time.Duration(a.events)
}

// seen is what an attempt tells of its instance's version before its outcome is known.
func (a *attempt) seen() shift.Observation {
	return shift.Observation{Version: a.instance.Version, Route: a.route.Name, Model: a.model, Expected: a.expected, Pace: a.eventPace()}
}

// noteTime takes in how long the answer took, or that it ran into its deadline.
func (a *attempt) noteTime(outcome inventory.Outcome) {
	now := time.Now()
	if a.model == "" || a.dropped || (outcome != inventory.OutcomeGood && now.Before(a.deadline)) {
		return
	}
	head, rest := now.Sub(a.sentAt), time.Duration(0)
	if !a.headAt.IsZero() {
		head, rest = a.headAt.Sub(a.sentAt), now.Sub(a.headAt)
	}
	a.times.Note(cascade.Kind{Route: a.route.Name, Model: a.model}, head, rest, a.tokens(), now)
}
