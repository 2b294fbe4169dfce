package entry

import (
	"log/slog"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// maxSentErrors is the number of instances in a message on errors, those with the most evidence
// against them. At ten messages a second, they take at most 960 bytes per second from and 720 to a
// daemon.
const maxSentErrors = 12

// fleetErrors returns the encoded sums over all daemons, and takes them over in the own table.
func (n *Node) fleetErrors() []byte {
	known, now := n.table.ErrorStates(), n.clock.Now()
	n.workTotals.mu.Lock()
	all := n.workTotals.errors.Fleet(known, now, maxSentErrors)
	n.workTotals.mu.Unlock()
	n.mergeErrors(all)
	return peer.PackErrorStates(all)
}

// groupErrors returns the encoded evidence of the daemons of this group, for other failure domains.
func (w *workTotals) groupErrors() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return peer.PackErrors(w.errors.Group(maxSentErrors))
}

// mergeErrors takes over the sums over all daemons.
func (n *Node) mergeErrors(all []inventory.ErrorState) {
	for _, i := range n.table.MergeErrors(all) {
		slog.Info("instance.unproven", "instance", i.ID, "version", i.Version, "source", "errors")
	}
}
