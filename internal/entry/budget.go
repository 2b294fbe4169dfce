package entry

import (
	"slices"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
)

// budgetShare returns this daemon's share of rate, the requests per second that an instance
// may get from the whole fleet. Only the owners of an instance, some of the live daemons, have
// a share of its rate.
//
// The daemons of each side of a network partition see the others as gone and choose owners
// only among themselves. Each side therefore distributes only the part of the rate that
// corresponds to its part of the fleet.
func (n *Node) budgetShare(instance string, rate float64) pacing.Share {
	live := n.registry.Live()
	rate *= float64(len(live)) / float64(len(live)+unreachable(n.registry.All()))
	owners := pacing.OwnerCount(rate, len(live))
	own := n.registry.Self().Incarnation
	first := n.registry.TopRanked("budget/"+instance, owners, func(member.Daemon) bool { return true })
	rank := slices.IndexFunc(first, func(d member.Daemon) bool { return d.Incarnation == own })
	if rank < 0 {
		return pacing.Share{}
	}
	return pacing.ShareOf(rate, rank, owners)
}

// unreachable counts the daemons that do not respond but may still run. A suspected daemon
// whose address is used by a live daemon has been replaced and is not counted.
func unreachable(all []member.Daemon) int {
	alive := map[string]bool{}
	for _, d := range all {
		if d.State == member.Alive {
			alive[d.PeerAddress] = true
		}
	}
	n := 0
	for _, d := range all {
		if d.State == member.Suspect && !alive[d.PeerAddress] {
			n++
		}
	}
	return n
}
