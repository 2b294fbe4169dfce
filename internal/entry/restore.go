package entry

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// staleAfterRestore is how long after a restore from an older backup the store may contradict
// what it acknowledged before. In this time the operator and live instances rewrite what was
// lost, and entries of instances that have left expire.
const staleAfterRestore = 4 * time.Second

// staleWindow is the time after a restore during which the store may be older than this
// daemon's state.
//
// Lock order: no other lock is taken while mu is held.
type staleWindow struct {
	mu    sync.Mutex
	until time.Time
	// readOperator and readList request whole reads after the window has closed.
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

// takeOperatorDue reports whether a whole read of the operator's rows is due, and clears the
// request.
func (s *staleWindow) takeOperatorDue(now time.Time) bool { return s.take(&s.readOperator, now) }

// takeListDue reports whether a whole read of the list is due, and clears the request.
func (s *staleWindow) takeListDue(now time.Time) bool { return s.take(&s.readList, now) }

// take reports whether a requested read is due, and clears the request if so.
func (s *staleWindow) take(requested *bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := *requested && !now.Before(s.until)
	*requested = *requested && !due
	return due
}

// storeMayBeStale reports whether whole reads of the store may return older data than this
// daemon has.
func (n *Node) storeMayBeStale() bool { return n.staleWindow.isOpen(n.clock.Now()) }

// onStoreRestored is called when the store has been restored from an older backup.
//
// This daemon's state stays in force until the restored store has been brought up to date;
// changes written from now on apply at once. Data that daemons keep in the store is written
// again by those that have it: addresses of daemons, quarantined requests, and the states and
// published statuses of roll-outs.
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

// withoutStale removes the orders from a whole read that may be older than the known ones.
func (n *Node) withoutStale(rows platform.OperatorUpdate) platform.OperatorUpdate {
	if !n.storeMayBeStale() {
		return rows
	}
	var orders []shift.Order
	for _, o := range rows.Orders {
		if !n.rollouts.Conflicts(o) {
			orders = append(orders, o)
		}
	}
	rows.Orders = orders
	return rows
}
