package entry

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
)

// Guards against the two sides of a network partition together sending an instance twice its
// rate, because the daemons of each side take it for the whole fleet.
func TestPartitionedFleetSharesOneBudget(t *testing.T) {
	const daemons, rate = 8, 2.0
	fleet := make([]*Node, daemons)
	for i := range fleet {
		fleet[i] = newTestNode(clockwork.NewFakeClock(), nil)
		fleet[i].registry.SetSelf(func(d *member.Daemon) { d.PeerAddress = fmt.Sprint("10.0.0.", i, ":1") })
	}
	for i, n := range fleet {
		for j, other := range fleet {
			d := other.registry.Self()
			if (i < daemons/2) != (j < daemons/2) {
				d.State = member.Suspect
			}
			n.registry.Merge([]member.Daemon{d})
		}
	}
	for i := range 20 {
		total := 0.0
		for _, n := range fleet {
			if share := n.budgetShare(fmt.Sprint("i-", i), rate); share.Interval > 0 {
				total += 1 / share.Interval.Seconds()
			}
		}
		require.InDelta(t, rate, total, 0.01)
	}
}

// Guards against restarted daemons that leave a part of each budget to their predecessors at
// the same addresses.
func TestRestartedDaemonsUseTheWholeBudget(t *testing.T) {
	n := newTestNode(clockwork.NewFakeClock(), nil)
	const rate = 2.0
	for _, d := range []member.Daemon{
		{Incarnation: "old", PeerAddress: "10.0.0.1:1", State: member.Suspect},
		{Incarnation: "new", PeerAddress: "10.0.0.1:1"},
	} {
		n.registry.Merge([]member.Daemon{d})
	}
	share := n.budgetShare("i-1", rate)
	require.InDelta(t, rate/2, 1/share.Interval.Seconds(), 0.01)
}
