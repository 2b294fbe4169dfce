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
	eventCount  int
	lastEventAt time.Time
	// told is what was told of the attempt while it is under way.
	reported shift.Reported
	// paced is set once the pace of its events has been told for good.
	paceReported bool
	// look is the timer of the next look at an attempt that may be overdue; nil once the
	// attempt has ended.
	checkTimer *time.Timer
}

const (
	// overdueFactor times the expected time is when a first event is overdue.
	overdueFactor = 2
	// lookInterval is the time between two looks at an attempt.
	overdueCheckInterval = 500 * time.Millisecond
	// leastPaced is the number of events without which their pace says nothing: an
	// engine writes the first few as it finds time between the prompts that it reads.
	minPaceEvents = 4
	// pacedEvents is the number of events after which their pace is told, before the
	// answer ends.
	earlyPaceEvents = 8
	// slowStream is the time after the head of an answer from which the pace until then is
	// told without waiting for more events.
	earlyPaceTime = 1 * time.Second
)

// watch looks at the attempt from time to time until it has ended.
//
// A version that is many times slower has answered nothing yet when its callers have been
// waiting for seconds. What waits longer than expected is evidence as good as an answer:
// the time until now is the least that it will take.
func (a *attempt) startOverdueChecks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkTimer = time.AfterFunc(max(a.overdueAfter(), overdueCheckInterval), a.checkOverdue)
}

// overdueAfter is the time after which the head of the answer is overdue.
func (a *attempt) overdueAfter() time.Duration {
	if a.expectedFirstEvent > 0 {
		return overdueFactor * a.expectedFirstEvent
	}
	return overdueFactor * a.route.Objective
}

func (a *attempt) stopOverdueChecks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.checkTimer != nil {
		a.checkTimer.Stop()
		a.checkTimer = nil
	}
}

// lookNow tells how long an attempt has taken so far where that speaks against its version.
func (a *attempt) checkOverdue() {
	a.mu.Lock()
	if a.checkTimer == nil {
		a.mu.Unlock()
		return
	}
	o, ok := a.overdueObservation(time.Now())
	a.checkTimer.Reset(overdueCheckInterval)
	a.mu.Unlock()
	if ok {
		a.Versions.Observe(a.service.Name, o)
	}
}

// overdue is what an attempt under way tells; ok is false where that is nothing. The lock
// is held.
func (a *attempt) overdueObservation(now time.Time) (o shift.Observation, ok bool) {
	if a.warming {
		return o, false
	}
	o = a.baseObservation()
	switch {
	case a.headAt.IsZero() && now.Sub(a.sentAt) > a.overdueAfter():
		o.Latency = now.Sub(a.sentAt)
		a.reported.Latency = o.Latency
	case !a.headAt.IsZero() && a.route.Kind == catalog.Stream && !a.paceReported && now.Sub(a.headAt) > earlyPaceTime:
		o.Pace = now.Sub(a.headAt) / time.Duration(a.eventCount+1)
		a.reported.Pace = o.Pace
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
func (a *attempt) finalObservation(outcome inventory.Outcome) (o shift.Observation, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o = a.partialObservation()
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
	a.eventCount++
	a.lastEventAt = time.Now()
	if a.eventCount != earlyPaceEvents {
		a.mu.Unlock()
		return
	}
	o := a.partialObservation()
	o.Unfinished = true
	a.paceReported = true
	a.mu.Unlock()
	a.Versions.Observe(a.service.Name, o)
}

// eventPace is the mean time for an event since the head of the answer; 0 where it has
// been told or they are too few. The lock is held.
func (a *attempt) eventPace() time.Duration {
	if a.paceReported || a.warming || a.eventCount < minPaceEvents {
		return 0
	}
	return a.lastEventAt.Sub(a.headAt) / time.Duration(a.eventCount)
}

// identity is what an attempt tells beside times. The lock is held.
func (a *attempt) baseObservation() shift.Observation {
	return shift.Observation{
		Version: a.instance.Version, Route: a.route.Name, Model: a.model, Expected: a.expectedFirstEvent, Unfinished: true, Reported: a.reported,
	}
}

// seen is what an attempt tells of its instance's version before its outcome is known. The
// lock is held.
func (a *attempt) partialObservation() shift.Observation {
	o := a.baseObservation()
	o.Unfinished, o.Pace = false, a.eventPace()
	return o
}

// noteTime takes in how long the answer took, or that it ran into its deadline.
func (a *attempt) observeLatency(outcome inventory.Outcome) {
	now := time.Now()
	if a.model == "" || a.dropped || (outcome != inventory.OutcomeSuccess && now.Before(a.deadline)) {
		return
	}
	head, rest := now.Sub(a.sentAt), time.Duration(0)
	if !a.headAt.IsZero() {
		head, rest = a.headAt.Sub(a.sentAt), now.Sub(a.headAt)
	}
	a.latencies.Observe(cascade.Key{Route: a.route.Name, Model: a.model}, head, rest, a.expectedTokens(), now)
}
