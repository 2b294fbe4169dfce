package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
)

const coldTime = 3 * time.Second

// newWarmTable returns a table with two instances of a service with a warm-up. This daemon may
// send one request per second to each.
func newWarmTable() (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	share := func(string, float64) pacing.Share { return pacing.Share{Interval: time.Second} }
	table.SetWarmUps(map[string]catalog.WarmUp{"s": {Time: coldTime, Rate: 9}}, share)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{warmInstance("a"), warmInstance("b")}}, time.Time{})
	return table, clock
}

func warmInstance(domain string) Instance {
	return Instance{ID: "i-" + domain, Service: "s", FailureDomain: domain}
}

func (t *Table) applyEntry(revision int64, domain string, warming time.Duration) {
	i := warmInstance(domain)
	t.Apply([]Change{{ID: i.ID, Instance: &i, Warming: warming}}, revision, time.Time{})
}

func isWarming(t *Table, domain string) bool {
	for _, v := range t.Usable("s") {
		if v.Instance.FailureDomain == domain {
			return v.Warming
		}
	}
	return false
}

// Guards against an instance that gets its full load too early because its warm-up is reported
// only in a heartbeat without any other change.
func TestHeartbeatReportsWarmUp(t *testing.T) {
	table, clock := newWarmTable()
	require.False(t, isWarming(table, "a"))
	table.applyEntry(2, "a", 2*time.Second)
	require.True(t, isWarming(table, "a"))
	require.False(t, isWarming(table, "b"))
	clock.Advance(1999 * time.Millisecond)
	require.True(t, isWarming(table, "a"))
	clock.Advance(time.Millisecond)
	require.False(t, isWarming(table, "a"))
}

// Guards against a warm-up, or its end, that is not passed on to other daemons.
func TestWarmUpChangesArePassedOn(t *testing.T) {
	table, clock := newWarmTable()
	apply := func(revision int64, left time.Duration) []Change {
		i := warmInstance("a")
		changed, _, ok := table.Apply([]Change{{ID: i.ID, Instance: &i, Warming: left}}, revision, time.Time{})
		require.True(t, ok)
		return changed
	}
	require.Empty(t, apply(2, 0))
	require.Len(t, apply(3, 2*time.Second), 1)
	clock.Advance(time.Second)
	require.Len(t, apply(4, 0), 1)
	require.False(t, isWarming(table, "a"))
	require.Empty(t, apply(5, 0))
}

// Guards against instances of a restored failure domain that count as warm because their
// entries were written before they became cold.
func TestRestoredInstancesAreAssumedCold(t *testing.T) {
	table, clock := newWarmTable()
	table.SetEvacuated("a", true)
	require.Len(t, table.Usable("s"), 1)
	require.False(t, table.MaySend(warmInstance("a")))
	table.SetEvacuated("a", false)
	require.True(t, isWarming(table, "a"))
	table.applyEntry(2, "a", 0)
	require.True(t, isWarming(table, "a"))
	table.applyEntry(3, "a", time.Second)
	clock.Advance(time.Second)
	require.False(t, isWarming(table, "a"))

	table.SetEvacuated("b", true)
	table.SetEvacuated("b", false)
	clock.Advance(coldTime)
	require.False(t, isWarming(table, "b"), "the instance reported no warm-up")
}

// Guards against a daemon that exceeds its share when several requests reserve turns.
func TestTurnsAtAWarmingInstanceAreSequential(t *testing.T) {
	table, clock := newWarmTable()
	table.applyEntry(2, "a", coldTime)
	a := warmInstance("a")
	first, ok := table.Reserve(a, coldTime)
	require.True(t, ok)
	require.LessOrEqual(t, first.Wait, time.Second)
	second, ok := table.Reserve(a, coldTime)
	require.True(t, ok)
	require.Equal(t, first.Wait+time.Second, second.Wait)
	_, ok = table.Reserve(a, time.Second)
	require.False(t, ok, "the turn comes too late")
	third, ok := table.Reserve(a, coldTime)
	require.True(t, ok)
	require.Equal(t, first.Wait+2*time.Second, third.Wait, "a refused reservation takes no turn")
	clock.Advance(coldTime)
	for range 10 {
		turn, ok := table.Reserve(a, 0)
		require.True(t, ok)
		require.Zero(t, turn.Wait)
	}
}

// Guards against a newly started daemon that treats all instances as warm because the list
// from its peer omits their warm-ups.
func TestSnapshotCarriesWarmUps(t *testing.T) {
	table, clock := newWarmTable()
	table.applyEntry(2, "a", coldTime)
	clock.Advance(time.Second)
	other, _ := newWarmTable()
	other.Replace(table.Part(0, 1), time.Time{})
	require.True(t, isWarming(other, "a"))
	require.False(t, isWarming(other, "b"))
}
