package forward

import (
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// progress is how much of the answer to an attempt has arrived.
//
// Lock order: mu is taken before the lock of Versions.
type progress struct {
	mu sync.Mutex
	// headAt is when the head of the answer arrived.
	headAt time.Time
	// eventCount is the number of events that have arrived; lastEventAt is when the last one did.
	eventCount  int
	lastEventAt time.Time
	// readEventID is the ID of the last event that had one.
	readEventID string
	// reported is what has been reported of the attempt while it was in flight.
	reported shift.Reported
	// paceReported is set once the pace has been reported and will not be reported again.
	paceReported bool
	// checkTimer runs the next checkOverdue; nil once the attempt has ended.
	checkTimer *time.Timer
	// endWait ends the wait for the head; nil if the attempt does not wait.
	endWait func()
}

const (
	// overdueFactor is how many times the expected time a first event may take before it is
	// overdue.
	overdueFactor = 2
	// overdueCheckInterval is the time between two checks of an attempt.
	overdueCheckInterval = 500 * time.Millisecond
	// minPaceEvents is the number of events below which their pace is not meaningful: an engine
	// generates the first few in the time left between the prompts that it processes.
	minPaceEvents = 4
	// earlyPaceEvents is the number of events after which the pace is reported before the answer
	// ends.
	earlyPaceEvents = 8
	// earlyPaceTime is the time after the head of an answer from which the pace so far is
	// reported, even if fewer than earlyPaceEvents events have arrived.
	earlyPaceTime = 1 * time.Second
)

// startOverdueChecks checks the attempt periodically until it has ended.
//
// Callers of a version that is many times slower wait for seconds before it has answered
// anything. A request that waits longer than expected is as good evidence as an answer: the
// time so far is a lower bound of its latency.
func (a *attempt) startOverdueChecks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkTimer = time.AfterFunc(max(a.overdueAfter(), overdueCheckInterval), a.checkOverdue)
	if !a.warming {
		a.endWait = a.Versions.Await(a.service.Name, shift.WaitingRequest{
			Version: a.instance.Version, Instance: a.instance.ID, Route: a.route.Name, Model: a.model, Expected: a.expectedFirstEvent,
			SentAt: a.sentAt, Counts: a.waitCounts,
		})
	}
}

// waitCounts reports whether the wait for the head is evidence about the version and has not been
// reported as overdue.
func (a *attempt) waitCounts() bool {
	a.mu.Lock()
	reported := a.reported.Latency > 0
	a.mu.Unlock()
	return !reported && a.waitsForInstance()
}

// waitsForInstance reports whether the attempt does not wait because of the path to its instance.
func (a *attempt) waitsForInstance() bool {
	return !a.tunneled.Load() && a.Paths.HeardSince(a.service.Name, a.sentAt)
}

// overdueAfter returns the time after which the head of the answer is overdue.
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
	a.stopWaiting()
}

// stopWaiting ends the wait for the head. The lock is held.
func (a *attempt) stopWaiting() {
	if a.endWait != nil {
		a.endWait()
		a.endWait = nil
	}
}

// checkOverdue reports the time that an attempt has taken so far if it is overdue, or the pace
// so far if its stream is slow.
func (a *attempt) checkOverdue() {
	a.mu.Lock()
	if a.checkTimer == nil {
		a.mu.Unlock()
		return
	}
	o, ok := a.overdueObservation(time.Now())
	a.checkTimer.Reset(overdueCheckInterval)
	a.mu.Unlock()
	if ok && a.waitsForInstance() {
		a.Versions.Observe(a.service.Name, o)
	}
}

// overdueObservation returns what to report of an attempt in flight; ok is false if there is
// nothing to report. The lock is held.
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

// finalObservation returns what to report of an attempt at its end; ok is false if there is
// nothing to report.
//
// Only answers count as failures of a version. A request that was not answered in time reports
// the time so far as a lower bound of its latency. One that could not be sent reports nothing,
// and a stream that its caller abandoned reports its pace so far. If these counted as
// failures, requests that wait in queues would raise the failure rate of the old version, and
// a new version that often fails would seem hardly worse.
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

// noteHead records that the head of the answer has arrived, and its status.
func (a *attempt) noteHead() {
	a.noteStatus()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.headAt = time.Now()
	a.stopWaiting()
}

// Read reads the body of the answer. What arrives is a sign of life on the path to the instance.
func (a *attempt) Read(p []byte) (int, error) {
	n, err := a.exchange.Read(p)
	if n > 0 {
		a.noteHeard()
	}
	return n, err
}

// noteHeard records a sign of life on the direct path to the instance.
func (a *attempt) noteHeard() {
	if !a.tunneled.Load() {
		a.Paths.Heard(a.service.Name)
	}
}

// noteEvent counts an event of the answer with the given ID, which may be empty, and reports the pace once
// there are earlyPaceEvents.
func (a *attempt) noteEvent(id string) {
	a.noteHeard()
	a.mu.Lock()
	a.eventCount++
	if id != "" {
		a.readEventID = id
	}
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

// eventPace returns the mean time per event since the head of the answer. It returns 0 if the
// pace has been reported, the instance was warming up or there are too few events. The lock is
// held.
func (a *attempt) eventPace() time.Duration {
	if a.paceReported || a.warming || a.eventCount < minPaceEvents {
		return 0
	}
	return a.lastEventAt.Sub(a.headAt) / time.Duration(a.eventCount)
}

// baseObservation returns an unfinished observation without times. The lock is held.
func (a *attempt) baseObservation() shift.Observation {
	return shift.Observation{
		Version: a.instance.Version, Instance: a.instance.ID, Route: a.route.Name, Model: a.model, Expected: a.expectedFirstEvent, Unfinished: true, Reported: a.reported,
	}
}

// partialObservation returns an observation with the pace, but without the latency and the
// outcome. The lock is held.
func (a *attempt) partialObservation() shift.Observation {
	o := a.baseObservation()
	o.Unfinished, o.Pace = false, a.eventPace()
	return o
}

// observeLatency adds the duration of the answer to the latency estimates. An unsuccessful
// attempt counts only if the deadline has passed.
func (a *attempt) observeLatency(outcome inventory.Outcome) {
	now := time.Now()
	if a.model == "" || a.dropped || (outcome != inventory.OutcomeSuccess && now.Before(a.deadline)) {
		return
	}
	head, rest := now.Sub(a.sentAt), time.Duration(0)
	if !a.headAt.IsZero() {
		head, rest = a.headAt.Sub(a.sentAt), now.Sub(a.headAt)
	}
	key, tokens := a.estimateKey(a.model), a.expectedTokens()
	a.spreads.Observe(key, head+rest, a.latencies.Mean(key, tokens, now))
	a.latencies.Observe(key, head, rest, tokens, now)
}
