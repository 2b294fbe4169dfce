package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
)

// newLimitTable returns a table with two instances of a service. This daemon has a third of
// their budgets.
func newLimitTable() (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.SetWarmUps(nil, func(_ string, rate float64) pacing.Share { return pacing.ShareOf(rate, 0, 3) })
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{warmInstance("a"), warmInstance("b")}}, time.Time{})
	return table, clock
}

// viewOf returns the view of the instance in a failure domain.
func viewOf(t *testing.T, table *Table, domain string) View {
	t.Helper()
	for _, v := range table.Usable("s") {
		if v.Instance.FailureDomain == domain {
			return v
		}
	}
	require.Fail(t, "not usable", domain)
	return View{}
}

// Guards against daemons that exchange an outdated limit forever or never agree on one,
// depending on the sequence in which messages arrive.
func TestLimitsConvergeInAnySequence(t *testing.T) {
	a := warmInstance("a").Incarnation()
	limits := []Limit{
		{Life: a, Rate: 2, Version: 1}, {Life: a, Rate: 1, Version: 1}, {Life: a, Lifted: true, Version: 2},
		{Life: a, Rate: 3, Version: 3}, {Life: a, Lifted: true, Version: 3},
	}
	for i := range limits {
		table, _ := newLimitTable()
		for j := range limits {
			table.MergeLimits([]Limit{limits[(i+j)%len(limits)]})
		}
		require.Equal(t, []Limit{limits[3]}, table.Limits())
		require.Empty(t, table.MergeLimits(limits), "known limits reported as changed")
	}
}

// Guards against an answer that lifts a limit although its request was sent before the limit
// was known.
func TestAnswerToAnEarlierRequestDoesNotLiftALimit(t *testing.T) {
	table, clock := newLimitTable()
	a := warmInstance("a")
	before := clock.Now()
	clock.Advance(time.Second)
	_, changed := table.NoteLimit(a, 1)
	require.True(t, changed)
	_, changed = table.NoteNoLimit(a, before)
	require.False(t, changed)
	require.True(t, viewOf(t, table, "a").Limited)
	clock.Advance(time.Second)
	_, changed = table.NoteNoLimit(a, clock.Now())
	require.True(t, changed)
	require.False(t, viewOf(t, table, "a").Limited)
}

// Guards against requests that keep waiting for turns of an outdated rate after an instance
// has lowered or lifted its limit.
func TestTurnsAreRevokedWhenALimitChanges(t *testing.T) {
	table, clock := newLimitTable()
	a := warmInstance("a")
	table.NoteLimit(a, 6)
	reserve := func() Turn {
		for {
			turn, ok := table.Reserve(a, time.Minute)
			require.True(t, ok)
			if turn.Wait > 0 {
				return turn
			}
		}
	}
	revoked := func(turn Turn) bool {
		select {
		case <-turn.Revoked:
			return true
		default:
			return false
		}
	}
	first := reserve()
	table.NoteLimit(a, 5.9)
	require.False(t, revoked(first), "nearly the same rate")
	table.NoteLimit(a, 1)
	require.True(t, revoked(first))
	second := reserve()
	clock.Advance(time.Second)
	table.NoteNoLimit(a, clock.Now())
	require.True(t, revoked(second))
	turn, ok := table.Reserve(a, 0)
	require.True(t, ok)
	require.Zero(t, turn.Wait)
}

// Guards against a limit whose end is never noticed, because other instances are always
// preferred or because the limit is so low that no turn comes.
func TestLimitedInstanceIsProbed(t *testing.T) {
	table, clock := newLimitTable()
	a := warmInstance("a")
	table.NoteLimit(a, 0)
	// The three daemons together send probeRate requests per second, so that this daemon's
	// turns are 4.5 s apart.
	const longest = 3 * time.Second / 2 * 3
	require.LessOrEqual(t, viewOf(t, table, "a").Wait, longest)
	clock.Advance(longest)
	require.False(t, viewOf(t, table, "b").ProbeDue)
	clock.Advance(probeDelay)
	require.True(t, viewOf(t, table, "a").ProbeDue)
	_, ok := table.Reserve(a, 0)
	require.True(t, ok)
	v := viewOf(t, table, "a")
	require.False(t, v.ProbeDue)
	require.InDelta(t, longest, v.Wait, float64(time.Millisecond))
}

// Guards against a daemon that sends to a limited instance without a share of its limit, and
// against a missing wait time for its callers.
func TestNoTurnWithoutAShareOfTheLimit(t *testing.T) {
	table, _ := newLimitTable()
	table.SetWarmUps(nil, func(string, float64) pacing.Share { return pacing.Share{} })
	a := warmInstance("a")
	table.NoteLimit(a, 2)
	v := viewOf(t, table, "a")
	require.True(t, v.NoTurn)
	require.Positive(t, v.Wait)
	_, ok := table.Reserve(a, time.Minute)
	require.False(t, ok)
}

// Guards against a restarted server that inherits the limit of its earlier incarnation, and
// against a limit that is lost when the list entry expires for a while.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	table, clock := newLimitTable()
	a := warmInstance("a")
	table.NoteLimit(a, 1)
	table.Apply([]Change{{ID: a.ID}}, 2, time.Time{})
	clock.Advance(time.Second)
	table.Expire()
	table.Apply([]Change{{ID: a.ID, Instance: &a}}, 3, time.Time{})
	require.True(t, viewOf(t, table, "a").Limited)
	a.Born = 7
	table.Apply([]Change{{ID: a.ID, Instance: &a}}, 4, time.Time{})
	require.False(t, viewOf(t, table, "a").Limited)
	count, _ := table.LimitsInForce()
	require.Equal(t, 1, count)
	clock.Advance(limitTime + time.Second)
	table.Expire()
	require.Empty(t, table.Limits())
}

// Guards against an instance that gets more than its higher limit because its limit alternates
// with each answer and each change restarts the pacing.
func TestAlternatingLimitIsNotExceeded(t *testing.T) {
	table, clock := newLimitTable()
	a := warmInstance("a")
	rates := []float64{1, 1.5}
	table.NoteLimit(a, rates[0])
	sent := 0
	const step, total = 10 * time.Millisecond, time.Minute
	for range int(total / step) {
		clock.Advance(step)
		if _, ok := table.Reserve(a, 0); ok {
			sent++
			table.NoteLimit(a, rates[sent%len(rates)])
		}
	}
	// This daemon has a third of the rate.
	require.LessOrEqual(t, float64(sent), rates[1]*total.Seconds()/3+1)
}
