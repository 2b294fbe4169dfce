package forward

import (
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// progress is how far the answer to an attempt has come.
//
// Lock order: mu is taken alone.
type progress struct {
	mu sync.Mutex
	// headAt is when the head of the answer came.
	headAt time.Time
	// events is how many events of a stream came, the last of them at eventAt.
	events  int
	eventAt time.Time
	// told is what was told of the attempt while it is under way.
	told shift.Reported
	// paced is set once the pace of its events has been told for good.
	paced bool
	// look is the timer of the next look at an attempt that may be overdue; nil once the
	// attempt has ended.
	look *time.Timer
}

const (
	// overdueFactor times the expected time is when a first event is overdue.
	overdueFactor = 2
	// lookInterval is the time between two looks at an attempt.
	lookInterval = 500 * time.Millisecond
	// leastPaced is the number of events without which their pace says nothing: an
	// engine writes the first few as it finds time between the prompts that it reads.
	leastPaced = 4
	// pacedEvents is the number of events after which their pace is told, before the
	// answer ends.
	pacedEvents = 8
	// slowStream is the time after the head of an answer from which the pace until then is
	// told without waiting for more events.
	slowStream = 1 * time.Second
)

// watch looks at the attempt from time to time until it has ended.
//
// A version that is many times slower has answered nothing yet when its callers have been
// waiting for seconds. What waits longer than expected is evidence as good as an answer:
// the time until now is the least that it will take.
func (a *attempt) watch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.look = time.AfterFunc(max(a.overdueAfter(), lookInterval), a.lookNow)
}

// overdueAfter is the time after which the head of the answer is overdue.
func (a *attempt) overdueAfter() time.Duration {
	if a.expected > 0 {
		return overdueFactor * a.expected
	}
	return overdueFactor * a.route.Objective
}

func (a *attempt) unwatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.look != nil {
		a.look.Stop()
		a.look = nil
	}
}

// lookNow tells how long an attempt has taken so far where that speaks against its version.
func (a *attempt) lookNow() {
	a.mu.Lock()
	if a.look == nil {
		a.mu.Unlock()
		return
	}
	o, ok := a.overdue(time.Now())
	a.look.Reset(lookInterval)
	a.mu.Unlock()
	if ok {
		a.Versions.Observe(a.service.Name, o)
	}
}

// overdue is what an attempt under way tells; ok is false where that is nothing. The lock
// is held.
func (a *attempt) overdue(now time.Time) (o shift.Observation, ok bool) {
	if a.warming {
		return o, false
	}
	o = a.identity()
	switch {
	case a.headAt.IsZero() && now.Sub(a.sentAt) > a.overdueAfter():
		o.Latency = now.Sub(a.sentAt)
		a.told.Latency = o.Latency
	case !a.headAt.IsZero() && a.route.Kind == catalog.Stream && !a.paced && now.Sub(a.headAt) > slowStream:
		o.Pace = now.Sub(a.headAt) / time.Duration(a.events+1)
		a.told.Pace = o.Pace
	default:
		return o, false
	}
	return o, true
}

// observation is what an attempt tells of its instance's version at its end; ok is false
// when it tells nothing.
//
// Only answers show that a version fails. A request that was not answered in time
// took at least that long; one that could not be sent says nothing, and a stream that
// its caller gave up tells its pace until then. Counted as failures, those that wait in
// queues raise the old version's rate, and a new one that fails often passes for hardly
// worse.
func (a *attempt) observation(outcome inventory.Outcome) (o shift.Observation, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o = a.seen()
	switch outcome {
	case inventory.OutcomeNone, inventory.OutcomeUnreachable:
		o.Unfinished = true
		return o, o.Pace > 0
	case inventory.OutcomeTimeout:
		o.Latency = time.Since(a.sentAt)
		return o, true
	}
	o.Bad = outcome == inventory.OutcomeFailed
	if !a.headAt.IsZero() && !a.warming {
		o.Latency = a.headAt.Sub(a.sentAt)
	}
	return o, true
}

// noteHead takes in that the head of the answer has come.
func (a *attempt) noteHead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.headAt = time.Now()
}

// noteEvent counts an event of the answer, and tells their pace once enough came.
func (a *attempt) noteEvent() {
	a.mu.Lock()
	a.events++
	a.eventAt = time.Now()
	if a.events != pacedEvents {
		a.mu.Unlock()
		return
	}
	o := a.seen()
	o.Unfinished = true
	a.paced = true
	a.mu.Unlock()
	a.Versions.Observe(a.service.Name, o)
}

// eventPace is the mean time for an event since the head of the answer; 0 where it has
// been told or they are too few. The lock is held.
func (a *attempt) eventPace() time.Duration {
	if a.paced || a.warming || a.events < leastPaced {
		return 0
	}
	return a.eventAt.Sub(a.headAt) / time.Duration(a.events)
}

// identity is what an attempt tells beside times. The lock is held.
func (a *attempt) identity() shift.Observation {
	return shift.Observation{
		Version: a.instance.Version, Route: a.route.Name, Model: a.model, Expected: a.expected, Unfinished: true, Reported: a.told,
	}
}

// seen is what an attempt tells of its instance's version before its outcome is known. The
// lock is held.
func (a *attempt) seen() shift.Observation {
	o := a.identity()
	o.Unfinished, o.Pace = false, a.eventPace()
	return o
}

// noteTime takes in how long the answer took, or that it ran into its deadline.
func (a *attempt) noteTime(outcome inventory.Outcome) {
	now := time.Now()
	if a.model == "" || a.dropped || (outcome != inventory.OutcomeSuccess && now.Before(a.deadline)) {
		return
	}
	head, rest := now.Sub(a.sentAt), time.Duration(0)
	if !a.headAt.IsZero() {
		head, rest = a.headAt.Sub(a.sentAt), now.Sub(a.headAt)
	}
	a.times.Observe(cascade.Key{Route: a.route.Name, Model: a.model}, head, rest, a.tokens(), now)
}
