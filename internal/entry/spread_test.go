package entry

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// fleet is daemons that exchange heartbeats in memory, a round at a time.
type fleet struct {
	clock     *clockwork.FakeClock
	nodes     []*Node
	byAddress map[string]*Node
	// lists counts the times that all daemons were sent.
	lists int
}

func newFleet(size int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), byAddress: map[string]*Node{}}
	for i := range size {
		address := fmt.Sprint("10.0.0.", i, ":1")
		n := newTestNode(f.clock, func(r *settings.Routes) {
			r.PeerListen, r.Seeds = address, []string{"10.0.0.0:1", "10.0.0.1:1"}
		})
		f.nodes = append(f.nodes, n)
		f.byAddress[address] = n
	}
	return f
}

// round lets every daemon send its heartbeats.
func (f *fleet) round() {
	for _, n := range f.nodes {
		var addresses []string
		for _, d := range n.registry.HeartbeatTargets() {
			addresses = append(addresses, d.PeerAddress)
		}
		for _, address := range append(addresses, n.unknown(*n.seeds.Load())...) {
			f.beat(n, f.byAddress[address])
		}
	}
	f.clock.Advance(beatInterval)
}

func (f *fleet) beat(from, to *Node) {
	mine := from.beliefs()
	reply := to.OnHeartbeat(mine)
	from.heard(reply)
	ask, lacking := from.lacks(reply, mine)
	if !lacking {
		return
	}
	if ask.Members {
		f.lists++
	}
	b := to.OnSync(peer.SyncRequest{Config: ask.Config, Members: ask.Members, Instances: ask.Instances, List: ask.List})
	from.registry.Merge(b.Members)
}

// until runs rounds until all daemons see something, and returns how many.
func (f *fleet) until(t *testing.T, most int, seen func(n *Node) bool) int {
	t.Helper()
	for round := 1; round <= most; round++ {
		f.round()
		all := true
		for _, n := range f.nodes {
			all = all && seen(n)
		}
		if all {
			return round
		}
	}
	t.Fatalf("not everywhere after %d rounds", most)
	return 0
}

// 88 daemons start at once and know two seeds only. They find each other within
// some rounds of heartbeats without sending whole lists all the time; and when one
// stops as planned, all leave it out of what callers are told within a second, in
// two rounds beyond its own, though news is passed on less often than would do by
// itself.
func TestNewsReachesALargeFleet(t *testing.T) {
	const size = 88
	f := newFleet(size)
	f.until(t, 12, func(n *Node) bool { return len(n.registry.Live()) == size })
	for range 10 {
		f.round()
	}
	require.Less(t, f.lists, 3*size)
	lists := f.lists
	gone := f.nodes[5].registry.Self().Incarnation
	f.nodes[5].registry.SetSelf(func(d *member.Daemon) {
		d.State = member.Leaving
		d.Version++
	})
	f.until(t, 4, func(n *Node) bool {
		d, _ := n.registry.Get(gone)
		return d.State == member.Leaving
	})
	require.Less(t, f.lists-lists, size/10, "news tells it to nearly all")
}
