package entry

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// restoreTime is how long after its return from an older copy the store may contradict what it
// has acknowledged before: the operator and live instances write again what it has lost, and
// entries of instances that have left lapse.
const staleAfterRestore = 4 * time.Second

// settling is for how long the store may be older than what is known.
//
// Lock order: mu is taken alone.
type staleWindow struct {
	mu    sync.Mutex
	until time.Time
	// readOperator and readList ask for whole reads once it is over.
	readOperator, readList bool
}

func (s *staleWindow) begin(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until, s.readOperator, s.readList = until, true, true
}

func (s *staleWindow) isOpen(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until)
}

// takeOperatorDue reports, once, whether the operator's rows are to be read whole.
func (s *staleWindow) takeOperatorDue(now time.Time) bool { return s.take(&s.readOperator, now) }

// takeListDue reports, once, whether the list is to be read whole.
func (s *staleWindow) takeListDue(now time.Time) bool { return s.take(&s.readList, now) }

// take reports whether a read is asked for and due, and takes it off.
func (s *staleWindow) take(asked *bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := *asked && !now.Before(s.until)
	*asked = *asked && !due
	return due
}

// isSettling reports whether whole reads of the store may be older than what is known.
func (n *Node) storeMayBeStale() bool { return n.staleWindow.isOpen(n.clock.Now()) }

// storeRestored is called when the store has come back from an older copy.
//
// What this daemon knows stays in force until the copy has had time to be brought up to date;
// changes that are written from now on count at once. What daemons keep in the store is
// written again by those that know it: rows of daemons, quarantined requests, states of
// roll-outs and what the operator is told of them.
func (n *Node) onStoreRestored(era int64) {
	now := n.clock.Now()
	slog.Warn("store.restored", "era", era, "operator", n.freshness.view().readRevision, "list", n.table.Revision())
	until := now.Add(staleAfterRestore)
	n.storeHealth.noteRestore(now)
	n.staleWindow.begin(until)
	n.table.SetStaleUntil(until)
	n.rollouts.ResetTold()
	n.quarantine.saveAll()
	n.operatorPoll.abort()
	n.clock.AfterFunc(staleAfterRestore, n.operatorPoll.abort)
}

// withoutStale leaves the orders out of a whole read that may be older than those known.
func (n *Node) withoutStale(news platform.OperatorNews) platform.OperatorNews {
	if !n.storeMayBeStale() {
		return news
	}
	var orders []shift.Order
	for _, o := range news.Orders {
		if !n.rollouts.Conflicts(o) {
			orders = append(orders, o)
		}
	}
	news.Orders = orders
	return news
}
