package entry

import (
	"slices"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
)

// budgetShare is this daemon's part of what an instance is to get, in requests a second.
//
// Daemons that are cut off from each other each see the others as gone, and choose owners
// among those they reach. Each side shares out only its own part of the rate.
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

// unreachable is the number of daemons that do not answer and may still run: no other
// daemon has taken their address.
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
