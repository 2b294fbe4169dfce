package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

// speedRound is a round of a reader over some daemons without a network; lost ones do not get its
// message.
func speedRound(reader *Node, nodes []*Node, lost map[*Node]bool) {
	now := reader.clock.Now()
	reader.workTotals.add(reader.ownWork(), now)
	update := peer.FleetWork{Speeds: reader.fleetSpeeds()}
	for _, n := range nodes {
		if n != reader && !lost[n] {
			reader.workTotals.add(n.OnFleetWork(update), now)
		}
	}
}

// One daemon sees that an instance is slow. Guards against others that do not learn it within two
// seconds, that lose it with the reader or with one message, or that keep it after the data ended.
func TestSpeedsReachAllDaemons(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var nodes []*Node
	for range 4 {
		n := newFleetNode(t, clock)
		n.setKnownState()
		nodes = append(nodes, n)
	}
	fast, slow := inventory.Instance{ID: "fast", Service: "s"}, inventory.Instance{ID: "slow", Service: "s"}
	for _, n := range nodes {
		n.table.Replace(inventory.Snapshot{Revision: 6, Instances: []inventory.Instance{fast, slow}}, time.Time{})
	}
	kind := speed.Kind{Measure: speed.PlainAnswer, Name: "s"}
	for range 60 {
		nodes[0].table.ObserveSpeed(fast, kind, 0.03, false)
	}
	for range 20 {
		nodes[0].table.ObserveSpeed(slow, kind, 0.18, false)
	}
	factorAt := func(n *Node) float64 { return n.table.Usable("s")[1].Speed.Mean }
	rounds := func(reader *Node, seconds int, lost map[*Node]bool) {
		for range 10 * seconds {
			clock.Advance(100 * time.Millisecond)
			speedRound(reader, nodes, lost)
		}
	}
	rounds(nodes[1], 2, nil)
	for i, n := range nodes {
		require.Greater(t, factorAt(n), 3.0, "daemon %d", i)
		require.InDelta(t, factorAt(nodes[0]), factorAt(n), 0.4, "daemon %d counts samples twice or not at all", i)
	}
	clock.Advance(readerChangeAfter + time.Second)
	rounds(nodes[2], 2, map[*Node]bool{nodes[1]: true, nodes[3]: true})
	for i, n := range nodes {
		require.Greater(t, factorAt(n), 2.5, "daemon %d after the loss of the reader", i)
	}
	rounds(nodes[2], 40, nil)
	for i, n := range nodes {
		require.Less(t, factorAt(n), 1.2, "daemon %d without new data", i)
	}
}

// Guards against messages that grow with the number of instances, and against instances that never
// have their turn.
func TestSpeedMessagesAreBounded(t *testing.T) {
	var s speedTotals
	now := time.Now()
	for daemon := range 100 {
		all := inventory.Speeds{}
		for i := range 100 {
			all[inventory.InstanceHash(100*daemon+i)] = speed.Sample{Factor: 1 + float64(i)/100, Weight: 5}
		}
		s.add(peer.PackSpeeds(all), now)
	}
	seen, sent := inventory.Speeds{}, 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		speeds, due := s.forFleet(now)
		if due {
			sent += len(peer.PackSpeeds(speeds))
		}
		for instance, sample := range speeds {
			seen[instance] = sample
			require.Greater(t, sample.Factor, 1.8, fmt.Sprint("instance ", instance))
		}
	}
	require.Greater(t, len(seen), 900)
	require.LessOrEqual(t, sent, 10*1000, "bytes in 10 s")
	require.LessOrEqual(t, len(s.forDomains(now)), maxMessageSpeeds*6)
}

// In a large fleet, samples reach daemons of another failure domain by its reader, and those of a
// domain that is cut off are not used any longer.
func TestSpeedsOfOtherDomains(t *testing.T) {
	var far, near speedTotals
	now := time.Now()
	far.add(peer.PackSpeeds(inventory.Speeds{7: {Factor: 4, Weight: 10}}), now)
	near.add(peer.PackSpeeds(inventory.Speeds{7: {Factor: 4, Weight: 10}}), now)
	near.addDomain("far", far.forDomains(now), now)
	speeds, due := near.forFleet(now)
	require.True(t, due)
	require.InDelta(t, 20, speeds[7].Weight, 1)
	_, due = near.forFleet(now.Add(speedsInterval / 2))
	require.False(t, due)
	speeds, _ = near.forFleet(now.Add(speedsTTL + time.Second))
	require.Less(t, speeds[7].Weight, 5.0)
}
