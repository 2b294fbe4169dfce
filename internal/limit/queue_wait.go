package limit

import (
	"math"
	"time"
)

// intervalWeight is the weight of a new sample in grantInterval.
const intervalWeight = 0.1

const (
	// drainHalfLife is the half-life of the observed drain rate. Waits are estimated for the next
	// seconds, so the last seconds count.
	drainHalfLife = 2 * time.Second
	// expectedRateWeight is the observed time that the expected rate weighs as much as. It bounds
	// how long a queue that is not served goes on accepting requests.
	expectedRateWeight = 1.0
	// maxExpectedWait bounds estimates of a queue that is not served at all.
	maxExpectedWait = time.Minute
)

// drainRate measures the work that leaves a queue while requests wait in it.
type drainRate struct {
	// work and seconds are decaying sums as of at.
	work, seconds float64
	at            time.Time
}

// advance moves the time forward. The time since the last call counts if requests waited.
func (d *drainRate) advance(now time.Time, waited bool) {
	if elapsed := now.Sub(d.at); waited && !d.at.IsZero() && elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(drainHalfLife))
		d.work *= factor
		d.seconds = d.seconds*factor + elapsed.Seconds()
	}
	d.at = now
}

func (d *drainRate) perSecond(expected float64) float64 {
	return (d.work + expected*expectedRateWeight) / (d.seconds + expectedRateWeight)
}

// expectedWait returns how long the ticket at a position is likely to wait. For the position
// behind the last ticket, it is the time until the queue is empty.
func (q *Queue) expectedWait(at int) time.Duration {
	ahead, cost := 0.0, 0.0
	for _, t := range q.waiting[:min(max(at, 0), len(q.waiting))] {
		ahead += t.work.Cost
	}
	if at >= 0 && at < len(q.waiting) {
		cost = q.waiting[at].work.Cost
	}
	return q.waitBehind(at, ahead, cost)
}

// waitBehind returns how long a ticket is likely to wait behind a number of tickets and their
// work.
func (q *Queue) waitBehind(tickets int, work, cost float64) time.Duration {
	if q.options.ExpectedRate == nil {
		return time.Duration(tickets+1) * q.grantInterval
	}
	rate := q.drain.perSecond(q.options.ExpectedRate())
	if rate <= 0 {
		return 0
	}
	// Capacity for the first ticket becomes available on average half of its own share later.
	seconds := (work + cost/2) / rate
	return time.Duration(min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

func (q *Queue) meetsDeadline(t *Ticket, wait time.Duration) bool {
	return q.clock.Now().Add(wait + t.work.ServiceTime).Before(t.work.Deadline)
}

// refusal returns the error for a request that would wait too long. A refused caller should
// retry after the expected wait, so that callers return as the queue empties, but not within
// 100 ms.
func (q *Queue) refusal(reason string, wait time.Duration) *RefusedError {
	const least = 100 * time.Millisecond
	return &RefusedError{Reason: reason, RetryAfter: max(wait, least)}
}

// recordGrant updates the measured rates. Only grants made while others wait count for
// grantInterval: the time between grants without a queue does not show how fast capacity
// becomes available.
func (q *Queue) recordGrant(t *Ticket) {
	now := q.clock.Now()
	q.drain.work += t.work.Cost
	if len(q.waiting) > 0 && !q.lastGrant.IsZero() {
		sample := now.Sub(q.lastGrant)
		if q.grantInterval == 0 {
			q.grantInterval = sample
		}
		q.grantInterval += time.Duration(intervalWeight * float64(sample-q.grantInterval))
	}
	q.lastGrant = now
	if len(q.waiting) == 0 {
		q.drain = drainRate{}
	}
}

// resetIfEmpty clears the state once the queue is empty. The fair order covers only
// organisations with waiting requests. The measured rates do not apply to the next queue: a
// long interval from an outage would make the queue refuse every request with a short deadline,
// and without queued requests it would never be corrected.
func (q *Queue) resetIfEmpty() {
	if len(q.waiting) > 0 {
		return
	}
	clear(q.lastFinish)
	q.virtualTime = 0
	q.grantInterval = 0
	q.lastGrant = time.Time{}
	q.drain = drainRate{}
}
