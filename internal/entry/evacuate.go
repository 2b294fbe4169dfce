package entry

import (
	"log/slog"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/evacuation"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// takeEvacuations takes in what was read of the operator's orders about failure domains,
// and reports whether it is news.
func (n *Node) applyEvacuations(news platform.OperatorNews) bool {
	before := n.evacuations.Checksum()
	switch {
	case news.Whole && n.storeMayBeStale():
		n.enforceEvacuations(n.evacuations.MergeStale(news.Evacuations), "store")
	case news.Whole:
		n.enforceEvacuations(n.evacuations.Replace(news.Evacuations, news.Revision), "store")
	default:
		n.enforceEvacuations(n.evacuations.Merge(news.Evacuations), "store")
	}
	return n.evacuations.Checksum() != before
}

// learnEvacuations takes in the orders about failure domains that a peer knows, which may
// have them from an older copy of the store.
func (n *Node) mergeEvacuations(orders []evacuation.Order, source string) {
	if n.storeMayBeStale() {
		n.enforceEvacuations(n.evacuations.MergeStale(orders), source)
		return
	}
	n.enforceEvacuations(n.evacuations.MergeAll(orders), source)
}

// evacuated puts orders about failure domains in force.
func (n *Node) enforceEvacuations(orders []evacuation.Order, source string) {
	for _, o := range orders {
		n.table.Evacuate(o.FailureDomain, !o.Lifted)
		event := "evacuation.in_force"
		if o.Lifted {
			event = "evacuation.lifted"
		}
		slog.Info(event, "failure_domain", o.FailureDomain, "revision", o.Revision, "age_ms", o.Age.Milliseconds(),
			"open", n.table.OpenRequestsIn(o.FailureDomain), "source", source)
	}
	n.publishCallerURL()
}

// servable is the configuration in force once this daemon knows where it may send.
//
// A daemon that knows the configuration and not the evacuations would send to a failure
// domain that the operator has emptied.
func (n *Node) servableConfig() *catalog.Catalog {
	if !n.evacuations.Loaded() {
		return nil
	}
	return n.current.Load()
}
