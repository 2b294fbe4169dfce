package entry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/evacuation"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// secondEra is a revision of the store's second era, and thirdEra one of the third.
const (
	secondEra = 1<<40 + 20
	thirdEra  = 2<<40 + 10
)

// newRestoredNode returns a daemon that has two instances, an evacuation and an order of the
// store's second era, all of them from peers.
func newRestoredNode(t *testing.T) (*Node, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	n := newTestNode(clock, nil)
	n.store.NoteRevision(secondEra)
	n.table.Replace(inventory.Snapshot{Revision: secondEra, Instances: []inventory.Instance{
		{ID: "i-1", Service: "s", Version: "v1", FailureDomain: "a"}, {ID: "i-2", Service: "s", Version: "v1", FailureDomain: "a"},
	}}, clock.Now())
	n.enforceEvacuations(n.evacuations.MergeAll([]evacuation.Order{{FailureDomain: "b", Revision: secondEra}}), "store")
	n.addOrder(shift.Order{ID: secondEra, Era: 1, Service: "s", To: "v2", Allowed: time.Minute}, "store")
	require.False(t, n.storeMayBeStale())
	return n, clock
}

// Guards against dropping live instances because a reader sends what it has found by reading the
// whole list from a store restored from an older backup.
func TestRestoredWholeListKeepsMissingInstances(t *testing.T) {
	n, clock := newRestoredNode(t)
	n.OnStoreUpdate(peer.StoreUpdate{
		Changes: []inventory.Change{{ID: "i-2"}}, Reread: true, Base: secondEra, List: thirdEra, Doubted: missingEntryGrace,
	})
	require.Equal(t, int64(2), n.store.Era())
	require.Len(t, n.table.Usable("s"), 2)
	clock.Advance(missingEntryGrace + time.Millisecond)
	n.table.Expire()
	require.Len(t, n.table.Usable("s"), 1)
}

// Guards against a restored store that undoes the operator's orders while the operator may
// still rewrite them, and against one that is ignored forever.
func TestRestoredCopyDoesNotUndoOrders(t *testing.T) {
	n, clock := newRestoredNode(t)
	n.store.NoteRevision(thirdEra)
	require.True(t, n.storeMayBeStale())
	older := shift.Order{ID: thirdEra, Era: 2, Service: "s", To: "v1", Allowed: time.Minute}
	read := platform.OperatorUpdate{Complete: true, Revision: thirdEra, Orders: []shift.Order{older}}
	require.Empty(t, n.withoutStale(read).Orders)
	n.applyEvacuations(read)
	require.Len(t, n.evacuations.InForce(), 1)
	require.False(t, n.staleWindow.takeOperatorDue(clock.Now()))

	clock.Advance(staleAfterRestore)
	require.True(t, n.staleWindow.takeOperatorDue(clock.Now()))
	require.False(t, n.staleWindow.takeOperatorDue(clock.Now()), "once")
	require.Len(t, n.withoutStale(read).Orders, 1)
	n.applyEvacuations(read)
	require.Empty(t, n.evacuations.InForce())
}

// Guards against delaying orders of the new era until the store counts as up to date again.
func TestOrdersOfTheNewEraApplyAtOnce(t *testing.T) {
	n, _ := newRestoredNode(t)
	n.store.NoteRevision(thirdEra)
	n.applyEvacuations(platform.OperatorUpdate{Revision: thirdEra + 1, Evacuations: []evacuation.Order{
		{FailureDomain: "b", Revision: thirdEra + 1, Lifted: true}, {FailureDomain: "c", Revision: thirdEra + 1},
	}})
	inForce := n.evacuations.InForce()
	require.Len(t, inForce, 1)
	require.Equal(t, "c", inForce[0].FailureDomain)
}
