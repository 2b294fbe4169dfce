package limit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A service fails every attempt. Whatever the order of requests and retries, the retries of
// all daemons in any window must stay within the budget.
func TestRetriesOfAllDaemonsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		policy := FleetRetryPolicy{Ratio: 0.5, Slack: 20, Window: 10 * time.Second}
		clock := clockwork.NewFakeClock()
		var budgets []*FleetRetryBudget
		for range daemons {
			budgets = append(budgets, NewFleetRetryBudget(policy, clock, func() int { return daemons }))
		}
		type sent struct {
			at    time.Time
			retry bool
		}
		var log []sent
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			b.CountRequest("s")
			log = append(log, sent{clock.Now(), false})
			for b.Take("s") {
				log = append(log, sent{clock.Now(), true})
			}
			if b.MayTake("s") {
				t.Fatal("MayTake promises a retry that Take refused")
			}
		}
		for _, from := range log {
			requests, retries := 0, 0
			for _, s := range log {
				if age := s.at.Sub(from.at); age < 0 || age >= policy.Window {
					continue
				}
				if s.retry {
					retries++
				} else {
					requests++
				}
			}
			// A retry may be allowed by a request of the previous window, so these count too.
			before := 0
			for _, s := range log {
				if age := from.at.Sub(s.at); !s.retry && age > 0 && age <= policy.Window {
					before++
				}
			}
			if allowed := policy.Ratio*float64(requests+before) + policy.Slack; float64(retries) > allowed {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

// More bytes than the limit must not be reserved, and released bytes must be available again.
func TestByteBudget(t *testing.T) {
	b := NewByteBudget(10)
	require.True(t, b.Take(6))
	require.False(t, b.Take(5))
	b.Release(6)
	require.True(t, b.Take(10))
}

// jumpingClock is a clock whose wall time can jump while its monotonic time does not.
type jumpingClock struct {
	clockwork.Clock
	jump time.Duration
}

func (c *jumpingClock) Now() time.Time { return c.Clock.Now().Add(c.jump) }

func (c *jumpingClock) Since(t time.Time) time.Duration { return c.Clock.Since(t) }

// The wall clock jumps forward by more than a window, and back. Counted by the wall clock, the
// retries of that window would be allowed a second time, and the service would get twice the
// retries that all daemons together may send.
func TestWallClockJumpDoesNotRefillBudget(t *testing.T) {
	steady := clockwork.NewFakeClock()
	clock := &jumpingClock{Clock: steady}
	b := NewFleetRetryBudget(FleetRetryPolicy{Slack: 20, Window: 10 * time.Second}, clock, func() int { return 1 })
	taken := 0
	take := func() {
		for b.Take("s") {
			taken++
		}
	}
	take()
	for _, jump := range []time.Duration{time.Minute, -time.Minute, 0} {
		clock.jump = jump
		take()
	}
	require.Equal(t, int(usableFraction*20), taken)
	clock.jump = -time.Hour
	steady.Advance(20 * time.Second)
	take()
	require.Equal(t, 2*int(usableFraction*20), taken, "the window moves on with the steady clock")
}
