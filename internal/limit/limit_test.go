package limit

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

func one() int { return 1 }

// An idle organisation sends a burst of requests within its rate. They are refused if its rate
// limiter starts without a full burst.
func TestIdleOrganisationMayBurst(t *testing.T) {
	o := NewOrganisationLimiter(clockwork.NewFakeClock(), one)
	for range 100 {
		_, _, ok := o.Admit("a", config.Limits{RequestsPerSecond: 100}, 0)
		require.True(t, ok)
	}
	_, wait, ok := o.Admit("a", config.Limits{RequestsPerSecond: 100}, 0)
	require.False(t, ok)
	require.Equal(t, 10*time.Millisecond, wait)
}

// A release that is called twice must free only one request in flight.
func TestInFlightLimit(t *testing.T) {
	o := NewOrganisationLimiter(clockwork.NewFakeClock(), one)
	release, _, ok := o.Admit("a", config.Limits{InFlight: 1}, 0)
	require.True(t, ok)
	_, _, ok = o.Admit("a", config.Limits{InFlight: 1}, 0)
	require.False(t, ok)
	release()
	release()
	_, _, ok = o.Admit("a", config.Limits{InFlight: 1}, 0)
	require.True(t, ok)
}

// A granted share expires while the daemon is cut off. It must fall back to an equal share, so
// that all daemons together stay within the limit.
func TestExpiredShareFallsBackToEqualShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	o := NewOrganisationLimiter(clock, func() int { return 4 })
	o.SetShare("a", Share{Fraction: 0.9, Until: clock.Now().Add(ShareTTL)})
	admitted := func() (n int) {
		for {
			if _, _, ok := o.Admit("a", config.Limits{InFlight: 100}, 0); !ok {
				return n
			}
			n++
		}
	}
	require.Equal(t, 90, admitted())
	clock.Advance(ShareTTL)
	o = NewOrganisationLimiter(clock, func() int { return 4 })
	require.Equal(t, 25, admitted())
}

// Daemons report in any order and with any demand. The sum of the valid shares must never
// exceed the limit.
func TestSharesNeverExceedLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := NewAllocator(clock, func() int { return 3 })
	shares := map[string]Share{}
	demand := func(from string, used float64) {
		shares[from] = a.Report(from, []Demand{{Organisation: "o", Used: used}})["o"]
		sum := 0.0
		for _, s := range shares {
			if clock.Now().Before(s.Until) {
				sum += s.Fraction
			}
		}
		require.LessOrEqual(t, sum, 1.0001)
	}
	for i := range 100 {
		demand("x", 2)
		demand("y", float64(i)/100)
		demand("z", 0)
		clock.Advance(time.Second)
	}
	require.Greater(t, shares["x"].Fraction, 0.6)
}

// The callers of an organisation move to another daemon, with a demand far below the limit.
// They are refused until the next reports if the first daemon's share is nearly all of the limit.
func TestUnusedLimitIsSharedEqually(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := NewAllocator(clock, func() int { return 3 })
	for range 10 {
		a.Report("x", []Demand{{Organisation: "o", Used: 0.1}})
		a.Report("z", []Demand{{Organisation: "o"}})
		clock.Advance(time.Second)
	}
	require.Greater(t, a.Report("y", []Demand{{Organisation: "o"}})["o"].Fraction, 0.2)
}

// A daemon starts while the others hold the whole limit. Without a part kept free for it, its
// first requests would be refused. A daemon that stops must free its share at once.
func TestNewDaemonGetsAShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := NewAllocator(clock, func() int { return 2 })
	report := func(from string) Share { return a.Report(from, []Demand{{Organisation: "o", Used: 1}})["o"] }
	for range 10 {
		report("x")
		report("y")
		clock.Advance(time.Second)
	}
	require.Greater(t, report("z").Fraction, 0.03)
	a.Release("x")
	require.Greater(t, report("z").Fraction, 0.4)
}

// Retries are allowed while the budget lasts, and again when successes have added a whole one.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(2)
	require.True(t, b.Take())
	require.True(t, b.Take())
	require.False(t, b.Take())
	b.Success(0.5)
	require.False(t, b.Take())
	b.Success(0.5)
	require.True(t, b.Take())
}

// enqueue waits in q in a new goroutine and returns the channel that receives the result.
func enqueue(q *Queue, w Work, room *int) chan error {
	before := q.Len()
	done := make(chan error, 1)
	go func() {
		done <- q.Wait(context.Background(), w, func() bool {
			if *room == 0 {
				return false
			}
			*room--
			return true
		})
	}()
	for q.Len() == before && len(done) == 0 {
		runtime.Gosched()
	}
	return done
}

// Urgent requests go first. An organisation with many requests must not delay the first request
// of another one with the same priority.
func TestQueueOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := NewQueue(clock)
	room := 0
	work := func(org string, priority int) Work {
		return Work{Priority: priority, Organisation: org, Cost: 1, Deadline: clock.Now().Add(time.Hour)}
	}
	greedy1 := enqueue(q, work("greedy", 1), &room)
	greedy2 := enqueue(q, work("greedy", 1), &room)
	modest := enqueue(q, work("modest", 1), &room)
	urgent := enqueue(q, work("greedy", 2), &room)
	for _, next := range []chan error{urgent, greedy1, modest, greedy2} {
		q.mu.Lock()
		room = 1
		q.mu.Unlock()
		q.GrantWaiting()
		require.NoError(t, <-next)
	}
}

// The queue is too long for the request's deadline. The caller must be refused at once with a
// retry time, not at the deadline.
func TestRequestThatCannotMeetDeadlineIsRefusedAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := NewQueue(clock)
	q.grantInterval = time.Second
	room := 0
	far := Work{Organisation: "a", Cost: 1, Deadline: clock.Now().Add(time.Hour)}
	for range 5 {
		enqueue(q, far, &room)
	}
	err := q.Wait(context.Background(), Work{Organisation: "b", Priority: -1, Deadline: clock.Now().Add(3 * time.Second)}, func() bool { return false })
	var refused *RefusedError
	require.True(t, errors.As(err, &refused))
	require.Equal(t, 6*time.Second, refused.RetryAfter)
	require.Equal(t, 5, q.Len())
}

// Upstreams recover from an outage during which capacity was granted every half minute. If the
// queue kept that interval, it would refuse every request with a shorter deadline, and with an
// empty queue would never measure a new one.
func TestGrantIntervalIsResetAfterOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := NewQueue(clock)
	room := 0
	var waiting []chan error
	for range 3 {
		waiting = append(waiting, enqueue(q, Work{Organisation: "a", Deadline: clock.Now().Add(time.Hour)}, &room))
	}
	for _, next := range waiting {
		clock.Advance(30 * time.Second)
		q.mu.Lock()
		room = 1
		q.mu.Unlock()
		q.GrantWaiting()
		require.NoError(t, <-next)
	}
	short := enqueue(q, Work{Organisation: "a", Deadline: clock.Now().Add(5 * time.Second)}, &room)
	q.mu.Lock()
	room = 1
	q.mu.Unlock()
	q.GrantWaiting()
	require.NoError(t, <-short)
}

// Urgent requests move a batch request so far back that it cannot meet its deadline. It must
// be refused at once.
func TestDisplacedRequestIsRefusedAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := NewQueue(clock)
	q.grantInterval = time.Second
	room := 0
	batch := enqueue(q, Work{Organisation: "a", Deadline: clock.Now().Add(1500 * time.Millisecond)}, &room)
	go func() {
		_ = q.Wait(context.Background(), Work{Organisation: "a", Priority: 2, Deadline: clock.Now().Add(time.Hour)}, func() bool { return false })
	}()
	var refused *RefusedError
	require.True(t, errors.As(<-batch, &refused))
}

// Guards against an order in which requests beyond a share, or with less urgent deadlines, go
// first, in which a single request with an early deadline lets its organisation exceed its part,
// and in which a request that no upstream can take blocks the others.
func TestQueueOrderOfClassesAndDeadlines(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := NewQueueWith(clock, QueueOptions{ExpectedRate: func() float64 { return 1e9 }, Tries: 2, FairSlack: 2, MaxWaiting: 9})
	var order []string
	open := false
	submit := func(name, org string, class Class, seconds int) *Ticket {
		w := Work{Class: class, Selective: name == "stuck", Organisation: org, Cost: 1, Deadline: clock.Now().Add(time.Duration(seconds) * time.Second)}
		return q.Submit(w, func() bool {
			if open && name != "stuck" {
				order = append(order, name)
			}
			return open && name != "stuck"
		})
	}
	submit("beyond", "c", BeyondShare, 1)
	submit("late", "a", Normal, 9)
	for range 4 {
		submit("greedy", "b", Normal, 2)
	}
	submit("early", "a", Normal, 3)
	submit("stuck", "d", Continued, 1)
	submit("second run", "a", Continued, 30)
	last := submit("excess", "e", BeyondShare, 5)
	var refused *RefusedError
	require.True(t, errors.As(<-last.Done(), &refused))
	require.Equal(t, ReasonQueueFull, refused.Reason)
	open = true
	q.GrantWaiting()
	require.Equal(t, []string{"second run", "greedy", "greedy", "early", "late", "greedy", "greedy", "beyond"}, order)
	require.Equal(t, 1, q.Len())
}

// Guards against a queue that is not served and goes on accepting requests by the rate that was
// expected, and against callers that are refused after it has recovered.
func TestExpectedWaitFollowsObservedRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := NewQueueWith(clock, QueueOptions{ExpectedRate: func() float64 { return 10 }})
	no := func() bool { return false }
	for range 20 {
		q.Submit(Work{Cost: 1, Deadline: clock.Now().Add(time.Hour)}, no)
	}
	require.InDelta(t, 2, q.expectedWait(20).Seconds(), 0.1)
	for range 40 {
		clock.Advance(100 * time.Millisecond)
		q.GrantWaiting()
	}
	require.Greater(t, q.expectedWait(20), 5*time.Second)
}
