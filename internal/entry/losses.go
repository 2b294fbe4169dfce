package entry

import (
	"log/slog"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// maxSentLosses is the number of instances in a message on lost answers, those with the latest
// losses. At ten messages a second, they take at most 1.2 kB per second. If more instances lose
// answers, hardly any request finds a better one anyway.
const maxSentLosses = 12

// fleetLosses returns the encoded losses of all daemons, and takes them over in the own table.
func (n *Node) fleetLosses() []byte {
	n.workTotals.mu.Lock()
	all := n.workTotals.losses.Fleet(n.clock.Now(), maxSentLosses)
	n.workTotals.mu.Unlock()
	n.mergeLosses(all)
	return peer.PackLosses(all)
}

// groupLosses returns the encoded losses of the daemons of this group, for other failure domains.
func (w *workTotals) groupLosses(now time.Time) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return peer.PackLosses(w.losses.Group(now, maxSentLosses))
}

// mergeLosses takes over the losses of all daemons.
func (n *Node) mergeLosses(all []inventory.LossReport) {
	for _, i := range n.table.MergeLosses(all) {
		slog.Info("instance.unproven", "instance", i.ID, "version", i.Version, "source", "peer")
	}
}
