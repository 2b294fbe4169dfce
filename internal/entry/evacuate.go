package entry

import (
	"log/slog"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/evacuation"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// applyEvacuations applies the evacuation orders of a read of the operator's rows and reports
// whether the active evacuations changed.
func (n *Node) applyEvacuations(rows platform.OperatorUpdate) bool {
	before := n.evacuations.Checksum()
	switch {
	case rows.Complete && n.storeMayBeStale():
		n.enforceEvacuations(n.evacuations.MergeStale(rows.Evacuations), "store")
	case rows.Complete:
		n.enforceEvacuations(n.evacuations.Replace(rows.Evacuations, rows.Revision), "store")
	default:
		n.enforceEvacuations(n.evacuations.Merge(rows.Evacuations), "store")
	}
	return n.evacuations.Checksum() != before
}

// mergeEvacuations merges the evacuation orders of a peer, which may have read them from a store
// restored from an older backup.
func (n *Node) mergeEvacuations(orders []evacuation.Order, source string) {
	if n.storeMayBeStale() {
		n.enforceEvacuations(n.evacuations.MergeStale(orders), source)
		return
	}
	n.enforceEvacuations(n.evacuations.MergeAll(orders), source)
}

// enforceEvacuations applies changed evacuation orders to the instance table. It also publishes
// the address for callers, because this daemon may just have become ready.
func (n *Node) enforceEvacuations(orders []evacuation.Order, source string) {
	for _, o := range orders {
		n.table.SetEvacuated(o.FailureDomain, !o.Lifted)
		event := "evacuation.in_force"
		if o.Lifted {
			event = "evacuation.lifted"
		}
		slog.Info(event, "failure_domain", o.FailureDomain, "revision", o.Revision, "age_ms", o.Age.Milliseconds(),
			"open", n.table.OpenRequestsIn(o.FailureDomain), "source", source)
	}
	n.publishCallerURL()
}

// servableConfig returns the configuration in force once the evacuations are known, or else
// nil.
//
// With the configuration but without the evacuations, this daemon would send requests to a
// failure domain that the operator has evacuated.
func (n *Node) servableConfig() *catalog.Catalog {
	if !n.evacuations.Loaded() {
		return nil
	}
	return n.current.Load()
}
