package limit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A service fails all it gets. Whatever the order of requests and repeats, the
// repeats of all daemons together in any window stay inside the budget.
func TestRetriesOfAllDaemonsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		policy := FleetPolicy{Ratio: 0.5, Slack: 20, Window: 10 * time.Second}
		clock := clockwork.NewFakeClock()
		var budgets []*FleetBudget
		for range daemons {
			budgets = append(budgets, NewFleetBudget(policy, clock, func() int { return daemons }))
		}
		type sent struct {
			at     time.Time
			repeat bool
		}
		var log []sent
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			b.First("s")
			log = append(log, sent{clock.Now(), false})
			for b.Take("s") {
				log = append(log, sent{clock.Now(), true})
			}
		}
		for _, from := range log {
			firsts, repeats := 0, 0
			for _, s := range log {
				if age := s.at.Sub(from.at); age < 0 || age >= policy.Window {
					continue
				}
				if s.repeat {
					repeats++
				} else {
					firsts++
				}
			}
			// A repeat may be paid for by a request of the window before, which
			// those who check count too.
			before := 0
			for _, s := range log {
				if age := from.at.Sub(s.at); !s.repeat && age > 0 && age <= policy.Window {
					before++
				}
			}
			if allowed := policy.Ratio*float64(firsts+before) + policy.Slack; float64(repeats) > allowed {
				t.Fatalf("%d repeats for %d requests", repeats, firsts)
			}
		}
	})
}

func TestBytes(t *testing.T) {
	b := NewBytes(10)
	require.True(t, b.Take(6))
	require.False(t, b.Take(5))
	b.Release(6)
	require.True(t, b.Take(10))
}

// jumpingClock is a clock whose time of day can be set apart from its steady time.
type jumpingClock struct {
	clockwork.Clock
	jump time.Duration
}

func (c *jumpingClock) Now() time.Time { return c.Clock.Now().Add(c.jump) }

func (c *jumpingClock) Since(t time.Time) time.Duration { return c.Clock.Since(t) }

// The time of day jumps by more than a window on an entry instance, and back. The
// repeats of that window were allowed a second time, so that a service got twice the
// repeats that all daemons together may send.
func TestWallClockJumpDoesNotRefillBudget(t *testing.T) {
	steady := clockwork.NewFakeClock()
	clock := &jumpingClock{Clock: steady}
	b := NewFleetBudget(FleetPolicy{Slack: 20, Window: 10 * time.Second}, clock, func() int { return 1 })
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
