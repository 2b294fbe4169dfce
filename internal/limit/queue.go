package limit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Class is the precedence of a request over those of other classes, whatever their priority.
type Class int

const (
	// Continued requests have already run at an instance: resumed streams and second runs.
	Continued Class = iota - 1
	// Normal is the class of new requests.
	Normal
	// BeyondShare requests exceed the share of their organisation while capacity is short.
	BeyondShare
)

// Work describes a request that waits for an upstream.
type Work struct {
	Class Class
	// Priority is higher for more urgent requests.
	Priority int
	// Returning requests were refused before and have come back as they were told. They go before
	// others of their organisation.
	Returning bool
	// Selective requests may not use all upstreams that others may, so that others can be granted
	// where they cannot.
	Selective bool
	// Organisation is the unit of fairness among requests of the same priority.
	Organisation string
	// Cost is the expected work, in a unit that is the same for all requests of a queue.
	Cost float64
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// ServiceTime is the expected time from the grant to the end of the answer.
	ServiceTime time.Duration
}

// Reasons of a RefusedError.
const (
	// ReasonDeadline: the expected wait leaves no time for the answer.
	ReasonDeadline = "deadline"
	// ReasonOvertaken: the same became clear after the request had been queued.
	ReasonOvertaken = "overtaken"
	// ReasonQueueFull: the queue has reached its bound and the request is last in it.
	ReasonQueueFull = "queue_full"
)

// RefusedError reports that a request cannot be served before its deadline.
type RefusedError struct {
	Reason string
	// RetryAfter is the time after which capacity is expected.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "no capacity before the deadline; room is expected in " + e.RetryAfter.String()
}

// Ticket is a request that was submitted to a queue.
type Ticket struct {
	work Work
	// start and virtualFinish are the times of the request in virtual time, as in weighted fair
	// queueing.
	start, virtualFinish float64
	try                  func() bool
	done                 chan error
}

// Done returns a channel that receives nil once the request is granted, or a *RefusedError.
func (t *Ticket) Done() <-chan error { return t.done }

// QueueOptions adapts a queue to its user. The zero value is valid.
type QueueOptions struct {
	// ExpectedRate returns the rate at which capacity is expected to become available, in units
	// of Work.Cost a second, before the queue has observed one. Without it, the queue estimates
	// waits from the intervals between grants.
	ExpectedRate func() float64
	// Tries is the number of requests that are tried before the queue waits for more capacity,
	// at least one. It waits at once if the one that cannot be granted is not selective.
	Tries int
	// FairSlack is by how many requests an organisation may exceed its fair part before others go
	// first; until then, deadlines decide. Without it, the second request of an organisation waits
	// for the first ones of all others, also if its demand is no larger than theirs and it has two
	// at this daemon by chance.
	FairSlack float64
	// MaxWaiting bounds the waiting requests; 0 means no bound.
	MaxWaiting int
}

// Queue orders the requests that wait for the upstreams of one version: by class and priority,
// then fairly between organisations, then by deadline.
//
// Lock order: mu is taken before the locks that try and ExpectedRate take.
type Queue struct {
	clock   clockwork.Clock
	options QueueOptions

	mu          sync.Mutex
	waiting     []*Ticket
	virtualTime float64
	lastFinish  map[string]float64
	// grantInterval is the smoothed time between two grants while requests are queued.
	grantInterval time.Duration
	lastGrant     time.Time
	drain         drainRate
}

// NewQueue returns an empty queue.
func NewQueue(clock clockwork.Clock) *Queue { return NewQueueWith(clock, QueueOptions{}) }

// NewQueueWith returns an empty queue with options.
func NewQueueWith(clock clockwork.Clock, o QueueOptions) *Queue {
	o.Tries = max(o.Tries, 1)
	return &Queue{clock: clock, options: o, lastFinish: map[string]float64{}}
}

// Wait queues a request and returns nil once try has succeeded for it; try is called when the
// request is first in the queue. Wait returns a *RefusedError as soon as the queue is too long
// for the deadline, often at once, so that the caller does not wait for an answer that cannot
// be in time. It also returns one when ctx ends first.
func (q *Queue) Wait(ctx context.Context, work Work, try func() bool) error {
	t := q.Submit(work, try)
	select {
	case err := <-t.done:
		return err
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.remove(t) {
		return q.refusal(ReasonDeadline, q.expectedWait(len(q.waiting)))
	}
	return <-t.done
}

// Submit queues a request without waiting for the outcome. The ticket's channel may have it
// already.
func (q *Queue) Submit(work Work, try func() bool) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Ticket{work: work, try: try, done: make(chan error, 1)}
	if len(q.waiting) == 0 && try() {
		q.recordGrant(t)
		t.done <- nil
		return t
	}
	q.drain.advance(q.clock.Now(), len(q.waiting) > 0)
	at := q.insert(t)
	// In a queue with several tries, a new request may be able to use upstreams that the waiting
	// ones cannot.
	if at == 0 && len(q.waiting) > 1 && try() {
		q.grant(0)
		t.done <- nil
		return t
	}
	if wait := q.expectedWait(at); !q.meetsDeadline(t, wait) {
		q.remove(t)
		q.resetIfEmpty()
		t.done <- q.refusal(ReasonDeadline, wait)
		return t
	}
	q.refuseLate()
	q.refuseExcess()
	return t
}

// remove removes a ticket and reports whether it was waiting.
func (q *Queue) remove(t *Ticket) bool {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// refuseLate refuses the tickets that can no longer meet their deadline because more urgent
// requests were queued before them or because capacity has become available more slowly.
func (q *Queue) refuseLate() {
	kept, ahead := q.waiting[:0], 0.0
	for _, t := range q.waiting {
		wait := q.waitBehind(len(kept), ahead, t.work.Cost)
		if q.meetsDeadline(t, wait) {
			kept = append(kept, t)
			ahead += t.work.Cost
			continue
		}
		t.done <- q.refusal(ReasonOvertaken, wait)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// refuseExcess refuses the last tickets beyond the bound of the queue.
func (q *Queue) refuseExcess() {
	for q.options.MaxWaiting > 0 && len(q.waiting) > q.options.MaxWaiting {
		last := len(q.waiting) - 1
		t := q.waiting[last]
		q.waiting = slices.Delete(q.waiting, last, last+1)
		t.done <- q.refusal(ReasonQueueFull, q.expectedWait(last-1))
	}
}

// GrantWaiting grants as many waiting requests as there is capacity for. It must be called
// whenever capacity may have become available.
func (q *Queue) GrantWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drain.advance(q.clock.Now(), len(q.waiting) > 0)
	q.sort()
	for at, failed := 0, 0; at < len(q.waiting) && failed < q.options.Tries; {
		t := q.waiting[at]
		if !t.try() {
			if !t.work.Selective {
				break
			}
			at++
			failed++
			continue
		}
		q.grant(at)
		t.done <- nil
	}
	q.refuseLate()
	q.resetIfEmpty()
}

// grant removes the ticket at a position, whose try has succeeded.
func (q *Queue) grant(at int) {
	t := q.waiting[at]
	q.advanceVirtualTime(t)
	q.waiting = slices.Delete(q.waiting, at, at+1)
	q.recordGrant(t)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
