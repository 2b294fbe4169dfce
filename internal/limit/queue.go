package limit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Work describes a request that waits for an upstream.
type Work struct {
	// Priority is higher for more urgent requests.
	Priority int
	// Organisation is the unit of fairness among requests of the same priority.
	Organisation string
	// Cost is the expected number of tokens.
	Cost float64
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// ServiceTime is the expected time from the grant to the end of the answer.
	ServiceTime time.Duration
}

// RefusedError reports that a request cannot be served before its deadline.
type RefusedError struct {
	// RetryAfter is the time after which capacity is expected.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "no capacity before the deadline; room is expected in " + e.RetryAfter.String()
}

// ticket is a waiting request.
type ticket struct {
	work Work
	// virtualFinish is the finish time of the request in virtual time, as in weighted fair
	// queueing.
	virtualFinish float64
	try           func() bool
	done          chan error
	// since is when the ticket was queued.
	since time.Time
}

// Queue orders the requests that wait for the upstreams of one version: by priority, then
// fairly between organisations.
//
// Lock order: mu is taken before the locks that try takes.
type Queue struct {
	clock clockwork.Clock

	mu          sync.Mutex
	waiting     []*ticket
	virtualTime float64
	lastFinish  map[string]float64
	// grantInterval is the smoothed time between two grants while requests are queued.
	grantInterval time.Duration
	lastGrant     time.Time
}

// NewQueue returns an empty queue.
func NewQueue(clock clockwork.Clock) *Queue {
	return &Queue{clock: clock, lastFinish: map[string]float64{}}
}

// intervalWeight is the weight of a new sample in grantInterval.
const intervalWeight = 0.1

// Wait queues a request and returns nil once try has succeeded for it; try is called when the
// request is first in the queue. Wait returns a *RefusedError as soon as the queue is too long
// for the deadline, often at once, so that the caller does not wait for an answer that cannot
// be in time. It also returns one when ctx ends first.
func (q *Queue) Wait(ctx context.Context, work Work, try func() bool) error {
	q.mu.Lock()
	if len(q.waiting) == 0 && try() {
		q.recordGrant()
		q.mu.Unlock()
		return nil
	}
	t := q.newTicket(work, try)
	at := q.insert(t)
	if wait := q.expectedWait(at); !q.meetsDeadline(t, wait) {
		q.remove(t)
		if len(q.waiting) == 0 {
			q.reset()
		}
		q.mu.Unlock()
		return &RefusedError{RetryAfter: q.retryAfter(wait)}
	}
	q.refuseLate()
	q.mu.Unlock()
	return q.await(ctx, t)
}

func (q *Queue) await(ctx context.Context, t *ticket) error {
	select {
	case err := <-t.done:
		return err
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.remove(t) {
		return &RefusedError{RetryAfter: q.retryAfter(q.expectedWait(len(q.waiting)))}
	}
	return <-t.done
}

func (q *Queue) newTicket(work Work, try func() bool) *ticket {
	start := max(q.virtualTime, q.lastFinish[work.Organisation])
	t := &ticket{work: work, try: try, done: make(chan error, 1), virtualFinish: start + work.Cost, since: q.clock.Now()}
	q.lastFinish[work.Organisation] = t.virtualFinish
	return t
}

func (q *Queue) insert(t *ticket) int {
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *ticket) int {
		if c := cmp.Or(cmp.Compare(b.work.Priority, a.work.Priority), cmp.Compare(a.virtualFinish, b.virtualFinish)); c != 0 {
			return c
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, at, t)
	return at
}

func (q *Queue) remove(t *ticket) bool {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// expectedWait returns how long the ticket at a position is likely to wait.
func (q *Queue) expectedWait(at int) time.Duration { return time.Duration(at+1) * q.grantInterval }

func (q *Queue) meetsDeadline(t *ticket, wait time.Duration) bool {
	return q.clock.Now().Add(wait + t.work.ServiceTime).Before(t.work.Deadline)
}

// retryAfter returns the time after which a refused caller should retry: the expected wait, so
// that callers return as the queue empties, but not less than 100 ms.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	const least = 100 * time.Millisecond
	return max(wait, least)
}

// refuseLate refuses the tickets that can no longer meet their deadline because more urgent
// requests were queued before them or because capacity has become available more slowly.
func (q *Queue) refuseLate() {
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		wait := q.expectedWait(len(kept))
		if q.meetsDeadline(t, wait) {
			kept = append(kept, t)
			continue
		}
		t.done <- &RefusedError{RetryAfter: q.retryAfter(wait)}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// GrantWaiting grants as many waiting requests as there is capacity for. It must be called
// whenever capacity may have become available.
func (q *Queue) GrantWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		t := q.waiting[0]
		if !t.try() {
			break
		}
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.virtualTime = max(q.virtualTime, t.virtualFinish-t.work.Cost)
		q.recordGrant()
		t.done <- nil
	}
	q.refuseLate()
	if len(q.waiting) == 0 {
		q.reset()
	}
}

// recordGrant updates grantInterval. Only grants made while others wait count: the time
// between grants without a queue does not show how fast capacity becomes available.
func (q *Queue) recordGrant() {
	now := q.clock.Now()
	if len(q.waiting) > 0 && !q.lastGrant.IsZero() {
		sample := now.Sub(q.lastGrant)
		if q.grantInterval == 0 {
			q.grantInterval = sample
		}
		q.grantInterval += time.Duration(intervalWeight * float64(sample-q.grantInterval))
	}
	q.lastGrant = now
}

// reset clears the state once the queue is empty. The fair order covers only organisations with
// waiting requests. The grant interval does not apply to the next queue: a long one from an
// outage would make the queue refuse every request with a short deadline, and without queued
// requests it would never be corrected.
func (q *Queue) reset() {
	clear(q.lastFinish)
	q.virtualTime = 0
	q.grantInterval = 0
	q.lastGrant = time.Time{}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
