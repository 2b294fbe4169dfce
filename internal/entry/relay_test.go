package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// The fleet of these tests has more daemons than maxFleetGroup, so that it is split into groups.
const (
	splitDomains          = 6
	splitDaemonsPerDomain = 18
)

// servedNode is a daemon that answers calls of its peers on loopback. Its loops do not run.
type servedNode struct {
	*Node
	server *peer.Server
	// failFromPart is the part of the list at which the daemon ends; 0 means none.
	failFromPart int
}

// OnListPart implements peer.RoutesHandler.
func (s *servedNode) OnListPart(r peer.ListPartRequest) peer.ListPart {
	if s.failFromPart > 0 && r.Part >= s.failFromPart {
		s.server.Close()
	}
	return s.Node.OnListPart(r)
}

func serveNode(t *testing.T, n *Node) *servedNode {
	t.Helper()
	s := &servedNode{Node: n}
	server, err := peer.ListenRoutes("127.0.0.1:0", s, nil, peer.Limits{})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	t.Cleanup(n.peers.Close)
	s.server = server
	n.registry.SetSelf(func(d *member.Daemon) { d.PeerAddress = server.Address() })
	return s
}

// setSplitDomain places the i-th daemon of a fleet in one of splitDomains failure domains.
func setSplitDomain(i int, r *settings.Routes) {
	r.FailureDomains = map[string]string{}
	for domain := range splitDomains {
		r.FailureDomains[fmt.Sprint("domain-", domain)] = "s"
	}
	r.FailureDomain = fmt.Sprint("domain-", i%splitDomains)
}

// newSplitFleet returns the daemons of a split fleet, all of which know each other and have a
// list at revision 5.
func newSplitFleet(t *testing.T, clock clockwork.Clock) []*servedNode {
	t.Helper()
	var nodes []*servedNode
	var all []member.Daemon
	for i := range splitDomains * splitDaemonsPerDomain {
		n := newTestNode(clock, func(r *settings.Routes) { setSplitDomain(i, r) })
		nodes = append(nodes, serveNode(t, n))
		all = append(all, n.registry.Self())
	}
	for _, n := range nodes {
		n.registry.Merge(all)
		n.setKnownState()
	}
	return nodes
}

// runRelays runs the relay loops of all daemons.
func runRelays(t *testing.T, nodes []*servedNode) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for _, n := range nodes {
		go n.relayLoop(ctx)
	}
}

// first returns the first daemon that is accepted.
func first(nodes []*servedNode, accept func(*servedNode) bool) *servedNode {
	for _, n := range nodes {
		if accept(n) {
			return n
		}
	}
	return nil
}

// leavingUpdate is the update that an instance leaves, as of revision 6.
func leavingUpdate() peer.StoreUpdate {
	leaving := inventory.Instance{ID: "i", Service: "s", Leaving: true}
	return peer.StoreUpdate{Changes: []inventory.Change{{ID: "i", Instance: &leaving}}, Base: 5, List: 6}
}

// Two daemons of a large fleet read the store, however many failure domains it has, and what one
// of them reads reaches all daemons through the readers of each group.
func TestStoreUpdatesReachALargeFleetThroughRelays(t *testing.T) {
	nodes := newSplitFleet(t, clockwork.NewFakeClock())
	readers := 0
	for _, n := range nodes {
		if n.mustReadList() {
			readers++
		}
	}
	require.Equal(t, readersPerGroup, readers)
	runRelays(t, nodes)
	reader := first(nodes, func(n *servedNode) bool { return n.isStoreReader() })
	reader.table.Apply(leavingUpdate().Changes, 6, time.Time{})
	reader.sendListChanges(t.Context(), leavingUpdate())
	for _, n := range nodes {
		require.Eventually(t, func() bool { return n.table.Revision() == 6 }, 20*time.Second, time.Millisecond)
		require.Empty(t, n.table.Usable("s"))
	}
}

// Guards against daemons that use a leaving instance because both readers of their group are
// gone. The update does not reach them; they take it from a relay of another group, without a
// read of the store by each of them.
func TestGroupWithoutReadersCatchesUpFromOtherGroups(t *testing.T) {
	clock := clockwork.NewFakeClock()
	nodes := newSplitFleet(t, clock)
	reader := first(nodes, func(n *servedNode) bool { return n.isStoreReader() })
	lost := reader.otherDomains()[0]
	for _, n := range nodes {
		if n.settings.FailureDomain == lost && n.isReader() {
			n.server.Close()
		}
	}
	runRelays(t, nodes)
	clock.Advance(reader.listInterval())
	reader.table.Apply(leavingUpdate().Changes, 6, time.Time{})
	reader.sendListChanges(t.Context(), leavingUpdate())
	for _, n := range nodes {
		if n.settings.FailureDomain != lost {
			require.Eventually(t, func() bool { return n.table.Revision() == 6 }, 20*time.Second, time.Millisecond)
		}
	}
	cut := first(nodes, func(n *servedNode) bool { return n.settings.FailureDomain == lost && !n.isReader() })
	require.False(t, cut.mustReadList(), "not late yet")
	clock.Advance(lateUpdateMargin + relayMargin + time.Millisecond)
	require.True(t, cut.mustReadList())
	require.True(t, cut.catchUpList(t.Context()))
	require.False(t, cut.mustReadList())
	require.Empty(t, cut.table.Usable("s"))
}

// The readers of a group notice before its other daemons that updates are late, and read the
// store for all of them.
func TestReadersOfAGroupReadTheStoreFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	nodes := newSplitFleet(t, clock)
	clock.Advance(nodes[0].listInterval() + lateUpdateMargin + time.Millisecond)
	due := 0
	for _, n := range nodes {
		if n.mustReadList() {
			due++
			require.True(t, n.isReader())
		}
	}
	require.Equal(t, splitDomains*readersPerGroup, due)
}

// largeList is a list of more instances than one part has.
func largeList(n int) inventory.Snapshot {
	list := inventory.Snapshot{Revision: 7}
	for i := range n {
		list.Instances = append(list.Instances, inventory.Instance{
			ID: fmt.Sprint("i-", i), Service: "s", Version: "v1", Address: fmt.Sprint("10.0.0.1:", i), FailureDomain: "a", Slots: 4,
		})
	}
	return list
}

// Guards against a list that cannot be fetched because all of it does not fit into the timeout of
// one call, or because its sender fails midway: it comes in parts, and another peer goes on where
// the first one stopped. A change between the parts is not lost.
func TestListIsFetchedInPartsFromSeveralPeers(t *testing.T) {
	const count = 5*instancesPerPart + 1
	clock := clockwork.NewFakeClock()
	one, two := serveNode(t, newTestNode(clock, nil)), serveNode(t, newTestNode(clock, nil))
	one.table.Replace(largeList(count), time.Time{})
	two.table.Replace(largeList(count), time.Time{})
	two.table.Apply([]inventory.Change{{ID: "i-1"}}, 8, time.Time{})
	one.failFromPart = 3

	n := newTestNode(clock, nil)
	t.Cleanup(n.peers.Close)
	n.fetchList(t.Context(), one.registry.Self().PeerAddress)
	require.False(t, n.table.Loaded())
	require.Equal(t, 3, n.listTransfer.next)
	n.fetchList(t.Context(), two.registry.Self().PeerAddress)
	require.True(t, n.table.Loaded())
	require.Equal(t, int64(8), n.table.Revision())
	require.Len(t, n.table.Usable("s"), count-1)
}

// A daemon that starts in a large fleet takes its state from peers. Only the store readers read
// the store, once they know the fleet, and the others do so only if no peer has the state for
// some seconds.
func TestStartingDaemonsOfALargeFleetAwaitPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	alone := newTestNode(clock, func(r *settings.Routes) { r.Seeds = []string{"127.0.0.1:1"} })
	require.False(t, alone.mustAwaitPeers())
	alone.startup.noteFleet(maxFleetGroup + 1)
	require.True(t, alone.mustAwaitPeers(), "it takes itself for a reader, since it knows no others")
	clock.Advance(electionTime)
	require.False(t, alone.mustAwaitPeers())

	nodes := newSplitFleet(t, clock)
	clock.Advance(electionTime)
	awaiting := 0
	for _, n := range nodes {
		if n.mustAwaitPeers() {
			awaiting++
		}
	}
	require.Equal(t, len(nodes)-readersPerGroup, awaiting)
	clock.Advance(minStoreReadDelay + storeReadSpread)
	for _, n := range nodes {
		require.False(t, n.mustAwaitPeers())
	}
}

// Guards against a configuration that reaches each daemon of a large fleet many times: relays send
// it once each, and daemons fetch it from a peer only if it has not arrived in time, and then from
// their own group.
func TestConfigurationIsSentOnceByEachRelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	nodes := newSplitFleet(t, clock)
	relay := nodes[0]
	update := peer.StoreUpdate{Manifest: []byte("{}"), OperatorWhole: true, OperatorChanged: 9, List: noList}
	relay.queueRelay(update)
	relay.queueRelay(update)
	require.NotEmpty(t, (<-relay.relayQueue).Manifest)
	require.Empty(t, (<-relay.relayQueue).Manifest, "from the other store reader")

	n := first(nodes, func(n *servedNode) bool { return !n.isReader() })
	inDomain := func(same bool) peer.RoutesHeartbeat {
		other := first(nodes, func(o *servedNode) bool {
			return o != n && (o.settings.FailureDomain == n.settings.FailureDomain) == same
		})
		h := other.heartbeat(n.registry.Self())
		h.Config++
		return h
	}
	lacks := func(h peer.RoutesHeartbeat) bool {
		n.applyHeartbeat(h)
		_, lacking := n.missingFrom(h, n.heartbeat(h.From))
		return lacking
	}
	require.False(t, lacks(inDomain(true)), "it is on its way")
	clock.Advance(lateUpdateMargin)
	require.True(t, lacks(inDomain(true)))
	require.False(t, lacks(inDomain(false)))
}
