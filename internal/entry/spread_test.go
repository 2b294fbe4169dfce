package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// testFleet is a set of daemons that exchange heartbeats in memory, one round at a time.
type testFleet struct {
	clock     *clockwork.FakeClock
	nodes     []*Node
	byAddress map[string]*Node
	// memberLists counts the replies with the full list of daemons, updates the membership changes
	// in heartbeats, and crossUpdates those between failure domains.
	memberLists, updates, crossUpdates int
}

// newTestFleet returns daemons that know only their seeds. place sets the failure domain of the
// i-th one.
func newTestFleet(size int, place func(i int, r *settings.Routes)) *testFleet {
	f := &testFleet{clock: clockwork.NewFakeClock(), byAddress: map[string]*Node{}}
	for i := range size {
		address := fmt.Sprint("10.0.0.", i, ":1")
		n := newTestNode(f.clock, func(r *settings.Routes) {
			place(i, r)
			r.PeerListen, r.Seeds = address, []string{"10.0.0.0:1", "10.0.0.1:1"}
		})
		f.nodes = append(f.nodes, n)
		f.byAddress[address] = n
	}
	return f
}

// round lets every daemon send its heartbeats.
func (f *testFleet) round() {
	for _, n := range f.nodes {
		var addresses []string
		for _, d := range n.registry.HeartbeatTargets() {
			addresses = append(addresses, d.PeerAddress)
		}
		for _, address := range append(addresses, n.unknownAddresses(*n.seeds.Load())...) {
			f.sendHeartbeat(n, f.byAddress[address])
		}
	}
	f.clock.Advance(heartbeatInterval)
}

func (f *testFleet) sendHeartbeat(from, to *Node) {
	mine := from.heartbeat(to.registry.Self())
	reply := to.OnHeartbeat(mine)
	from.applyHeartbeat(reply)
	f.updates += len(mine.News) + len(reply.News)
	if from.settings.FailureDomain != to.settings.FailureDomain {
		f.crossUpdates += len(mine.News) + len(reply.News)
	}
	ask, lacking := from.missingFrom(reply, mine)
	if !lacking {
		return
	}
	if ask.Members {
		f.memberLists++
	}
	b := to.OnSync(peer.SyncRequest{Config: ask.Config, Members: ask.Members, Instances: ask.Instances, List: ask.List})
	from.registry.MergeTable(b.Members)
}

// runUntil runs rounds until done is true for all daemons and returns the number of rounds.
func (f *testFleet) runUntil(t *testing.T, maxRounds int, done func(n *Node) bool) int {
	t.Helper()
	for round := 1; round <= maxRounds; round++ {
		f.round()
		all := true
		for _, n := range f.nodes {
			all = all && done(n)
		}
		if all {
			return round
		}
	}
	t.Fatalf("condition not met by all daemons after %d rounds", maxRounds)
	return 0
}

// Guards against slow or costly spreading of membership. 88 daemons that start together with
// two seeds find each other within some rounds without sending full lists all the time. When
// one leaves, all others must know within a second, which here is within four rounds, since a
// change triggers the next round at once. The digest makes up for updates being retransmitted
// less often than would suffice without it.
func TestMembershipReachesALargeFleet(t *testing.T) {
	const size = 88
	f := newTestFleet(size, func(int, *settings.Routes) {})
	f.runUntil(t, 12, func(n *Node) bool { return len(n.registry.Live()) == size })
	for range 10 {
		f.round()
	}
	require.Less(t, f.memberLists, 3*size)
	lists := f.memberLists
	gone := f.nodes[5].registry.Self().Incarnation
	f.nodes[5].registry.SetSelf(func(d *member.Daemon) {
		d.State = member.Leaving
		d.Version++
	})
	f.runUntil(t, 4, func(n *Node) bool {
		d, _ := n.registry.Get(gone)
		return d.State == member.Leaving
	})
	require.Less(t, f.memberLists-lists, size/10, "heartbeats reach nearly all daemons")
}

const (
	// splitFleetSize is the number of daemons of a fleet that is split into splitDomains groups.
	splitFleetSize = 300
	// startRound is the time between two rounds of heartbeats while a fleet starts.
	startRound = 200 * time.Millisecond
)

// startRound lets every daemon send its heartbeats, also those of a reader, and one to a seed
// that it does not know.
func (f *testFleet) startRound() {
	for _, n := range f.nodes {
		targets := n.heartbeatTargets()
		if seeds := n.unknownAddresses(*n.seeds.Load()); len(seeds) > 0 {
			targets = append(targets, member.Daemon{PeerAddress: seeds[0]})
		}
		for _, d := range targets {
			f.sendHeartbeat(n, f.byAddress[d.PeerAddress])
		}
	}
	f.clock.Advance(startRound)
}

// Guards against a fleet that needs many seconds to know itself after all of it has started at
// once, and against membership changes that each daemon sends to daemons of all failure domains.
// Within three seconds every daemon knows nearly all others, and only a part of the changes has
// crossed failure domains.
func TestLargeFleetThatStartsKnowsItselfInTime(t *testing.T) {
	f := newTestFleet(splitFleetSize, setSplitDomain)
	for range int(3 * time.Second / startRound) {
		f.startRound()
	}
	for _, n := range f.nodes {
		require.Greater(t, n.registry.LiveCount(), splitFleetSize*95/100)
	}
	require.Less(t, f.crossUpdates, f.updates/5)
}
