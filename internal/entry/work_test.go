package entry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// A reader collects the work and prompt prefixes of its group and of another failure domain.
// It sends each group the total, sends each prefix once, and drops the work of a domain that
// has not reported for some time.
func TestWorkTotalsAddAllGroups(t *testing.T) {
	now := time.Now()
	w := newWorkTotals()
	one, two := inventory.CachedPrefix{Key: 1, Instance: 5}, inventory.CachedPrefix{Key: 2, Instance: 5}
	own := peer.DaemonWork{
		Incarnation: "a", Amounts: peer.PackWork(inventory.Work{5: {Waiting: 1000, Open: 1}}),
		Readings: peer.PackPrefixes([]inventory.CachedPrefix{one}),
	}
	w.add(own, now)
	w.addDomain(peer.DomainWork{
		Domain: "far", Amounts: peer.PackWork(inventory.Work{5: {Waiting: 500, Open: 2}}),
		Readings: peer.PackPrefixes([]inventory.CachedPrefix{two}),
	}, now)
	work, read := w.fleetWork(now, 10)
	require.Equal(t, inventory.Work{5: {Waiting: 1500, Open: 3}}, work)
	require.Equal(t, []inventory.CachedPrefix{one, two}, read)
	_, read = w.fleetWork(now, 10)
	require.Empty(t, read)
	work, read = w.groupWork(now, 10)
	require.Equal(t, inventory.Work{5: {Waiting: 1000, Open: 1}}, work, "only the work of this group")
	require.Equal(t, []inventory.CachedPrefix{one}, read, "prefixes from another domain are not sent back")

	later := now.Add(domainWorkTTL + time.Second)
	w.add(own, later)
	work, _ = w.fleetWork(later, 10)
	require.Equal(t, 1, work[5].Open)
}

// Callers send more prompts than the limit on prefixes covers. The newest prefixes are sent
// first, older ones later, and those that have waited for seconds are dropped.
func TestPendingPrefixesAreSentNewestFirst(t *testing.T) {
	w := newWorkTotals()
	var all []inventory.CachedPrefix
	for key := range inventory.PrefixHash(maxPendingPrefixes + 100) {
		all = append(all, inventory.CachedPrefix{Key: key, Instance: 5})
	}
	w.add(peer.DaemonWork{Incarnation: "a", Readings: peer.PackPrefixes(all)}, time.Now())
	_, read := w.fleetWork(time.Now(), 40)
	require.Equal(t, all[len(all)-40:], read)
	_, read = w.fleetWork(time.Now(), maxPendingPrefixes)
	require.Equal(t, all[100:len(all)-40], read)
	_, read = w.fleetWork(time.Now(), maxPendingPrefixes)
	require.Empty(t, read)
}

// Guards against work updates whose bandwidth grows with the number of instances: rounds
// become less frequent instead.
func TestWorkRoundIntervalGrowsWithInstances(t *testing.T) {
	require.Equal(t, workInterval, workRoundInterval(0))
	require.Equal(t, workInterval, workRoundInterval(36))
	require.Equal(t, 10*time.Second, workRoundInterval(10_000))
}

// A daemon replies to the work of the fleet with its own work and with the prefixes that it
// has sent since the last request.
func TestFleetWorkReplyHasOwnWork(t *testing.T) {
	n := newFleetNode(t, clockwork.NewFakeClock())
	n.setKnownState()
	i := inventory.Instance{ID: "i", Service: "s"}
	n.table.Begin(i, 500)
	n.prefixes.NoteSent(i, []inventory.Prefix{{Key: 7, Work: 1000}})
	update := peer.FleetWork{
		Amounts:  peer.PackWork(inventory.Work{i.Hash(): {Waiting: 2000, Open: 3}}),
		Readings: peer.PackPrefixes([]inventory.CachedPrefix{{Key: 9, Instance: i.Hash()}}),
	}
	own := n.OnFleetWork(update)
	require.Equal(t, inventory.Work{i.Hash(): {Waiting: 500, Open: 1}}, peer.UnpackWork(own.Amounts))
	require.Equal(t, []inventory.CachedPrefix{{Key: 7, Instance: i.Hash()}}, peer.UnpackPrefixes(own.Readings))
	require.Empty(t, n.OnFleetWork(update).Readings)
	require.Equal(t, 1, n.prefixes.CachedCount(i.Hash(), []inventory.Prefix{{Key: 9}}))
	require.InDelta(t, 2000, n.table.Usable("s")[0].Waiting, 0.01)
}

// Guards against rounds that take longer than the reported work is used, because a large fleet has
// work at thousands of instances. Only the busiest ones are sent.
func TestWorkRoundsStayShort(t *testing.T) {
	all := inventory.Work{}
	for i := range 10_000 {
		all[inventory.InstanceHash(i)] = inventory.Amount{Waiting: float64(i), Open: 1}
	}
	sent := all.Busiest(maxSentAmounts)
	require.Len(t, sent, maxSentAmounts)
	for instance := range sent {
		require.GreaterOrEqual(t, int(instance), 10_000-maxSentAmounts)
	}
	const usedFor = 3 * time.Second
	require.Less(t, workRoundInterval(len(sent)), usedFor/2)
}
