package entry

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// One daemon in ten has a link of 200 Mbit/s, the others have 20 Mbit/s. Guards against
// readers with slow links, whose callers' answers wait behind the updates to 30 daemons. If
// all daemons with fast links fail at once, others become readers.
func TestReadersHaveFastLinks(t *testing.T) {
	n := newFleetNode(t, clockwork.NewFakeClock())
	var all []member.Daemon
	for i := range 30 {
		d := member.Daemon{
			Incarnation: fmt.Sprint("daemon-", i), PeerAddress: fmt.Sprint("127.0.2.", i, ":1"), FailureDomain: "b", Site: "s", LinkMbps: 20,
		}
		if i%10 == 0 {
			d.LinkMbps = 200
		}
		all = append(all, d)
	}
	n.registry.Merge(all)
	readers := n.readers(readersPerGroup, "b")
	require.Len(t, readers, readersPerGroup)
	for _, r := range readers {
		require.Equal(t, 200.0, r.LinkMbps)
	}
	for i := range all {
		if all[i].LinkMbps == 200 {
			all[i].State = member.Suspect
		}
	}
	n.registry.Merge(all)
	readers = n.readers(readersPerGroup, "b")
	require.Len(t, readers, readersPerGroup)
	for _, r := range readers {
		require.Equal(t, 20.0, r.LinkMbps)
	}
}

// Guards against two readers in each of six failure domains in a fleet of only 24 daemons,
// half of which would then be readers. Two read for the whole fleet.
func TestMediumFleetHasOneReaderGroup(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var nodes []*Node
	var all []member.Daemon
	for i := range 24 {
		n := newTestNode(clock, func(r *settings.Routes) {
			r.FailureDomain, r.PeerListen = fmt.Sprint("domain-", i%6), fmt.Sprint("127.0.3.", i, ":1")
		})
		nodes = append(nodes, n)
		all = append(all, n.registry.Self())
	}
	readers := 0
	for _, n := range nodes {
		n.registry.Merge(all)
		if n.isReader() {
			readers++
		}
	}
	require.Equal(t, readersPerGroup, readers)
}
