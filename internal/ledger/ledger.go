package ledger

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// Replicator replicates uncommitted bills to peers.
type Replicator interface {
	// Replicate returns nil once enough peers hold replicas of the bills. after
	// is the newest batch of the owner's log.
	Replicate(ctx context.Context, owner string, after int64, bills []Bill) error
	// Release makes the peers delete their replicas of bills that are committed
	// or void. It must not wait for the peers.
	Release(ctx context.Context, owner string, ids []string)
	// Epoch returns a number that changes whenever the set of peers that hold
	// replicas changes.
	Epoch() uint64
}

// Options are the settings of a Ledger.
type Options struct {
	// CommitInterval returns the time to wait until the next commit.
	CommitInterval func() time.Duration
	// MaxPending bounds the number of uncommitted bills. Open fails beyond it.
	MaxPending int
	// ReplicationTimeout bounds one call of Replicator.Replicate.
	ReplicationTimeout time.Duration
}

// pendingBill is a bill that is not final in the table yet.
type pendingBill struct {
	bill Bill
	// order numbers the bills by their opening; they are committed in this order.
	order int64
	// replicated is true if enough peers hold a replica of the current bill.
	replicated bool
	// committed is true if the table contains the bill in state Open. commitBegun is
	// true if it may contain the bill, since a commit of it has begun.
	committed, commitBegun bool
}

// Ledger bills the requests of one daemon. It is safe for concurrent use.
//
// Lock order: logMu before mu. Neither is held during Replicator.Replicate, which
// waits for peers. logMu is held while the table is written and during
// Replicator.Release.
type Ledger struct {
	self                string
	peers               Replicator
	clock               clockwork.Clock
	options             Options
	replicationRequests chan replicationRequest

	logMu sync.Mutex
	log   *Log

	mu              sync.Mutex
	entries         map[string]*pendingBill
	lastOrder       int64
	lastBatch       int64
	replicatedEpoch uint64
}

// New returns the ledger of the incarnation self. Its methods need Run to be
// running.
func New(self string, table Store, peers Replicator, clock clockwork.Clock, options Options) *Ledger {
	return &Ledger{
		self:                self,
		peers:               peers,
		clock:               clock,
		options:             options,
		replicationRequests: make(chan replicationRequest, 1024),
		log:                 NewLog(table, self, self),
		entries:             map[string]*pendingBill{},
	}
}

// Open records the bill of a request that is about to be dispatched. If it
// returns nil, the bill is durable: it survives a crash of this daemon. If it
// returns an error, the request must not be dispatched, because its work would
// never be billed if this daemon crashed.
func (l *Ledger) Open(ctx context.Context, b Bill) error {
	b.State = Open
	if !l.put(b, true) {
		return fault.New(fault.StoreUnavailable, "too many bills wait for the store")
	}
	if err := l.makeDurable(ctx, b.RequestID); err != nil {
		l.Void(b.RequestID)
		return fault.New(fault.StoreUnavailable, "the bill could not be recorded: %v", err)
	}
	return nil
}

// Update records a change of an open bill, such as a new attempt. If it returns
// nil, the change is durable.
func (l *Ledger) Update(ctx context.Context, b Bill) error {
	l.put(b, false)
	if err := l.makeDurable(ctx, b.RequestID); err != nil {
		return fault.New(fault.StoreUnavailable, "the bill could not be recorded: %v", err)
	}
	return nil
}

// Close records the final state of a bill, and waits until it is durable or ctx
// ends. A failure is only logged: the open bill is durable already, and after a
// crash a peer closes it with the usage that the upstream reports.
func (l *Ledger) Close(ctx context.Context, b Bill) {
	b.Closed = l.clock.Now()
	l.put(b, false)
	if err := l.makeDurable(ctx, b.RequestID); err != nil {
		slog.Warn("bill.close_not_held", "request", b.RequestID, "error", err)
	}
}

// Void cancels the open bill of a request that was not run. If the table may
// contain the bill, the next commit closes it with a void one.
func (l *Ledger) Void(id string) {
	l.mu.Lock()
	e, ok := l.entries[id]
	if ok && e.commitBegun {
		e.bill.State = Void
		e.bill.Amount = 0
		l.mu.Unlock()
		return
	}
	delete(l.entries, id)
	l.mu.Unlock()
	if ok {
		go l.peers.Release(context.Background(), l.self, []string{id})
	}
}

// put adds or replaces a pending bill. It returns false if isNew is set and
// MaxPending is reached.
func (l *Ledger) put(b Bill, isNew bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isNew && len(l.entries) >= l.options.MaxPending {
		return false
	}
	e, ok := l.entries[b.RequestID]
	if !ok {
		l.lastOrder++
		e = &pendingBill{order: l.lastOrder}
		l.entries[b.RequestID] = e
	}
	e.bill = b
	e.replicated = false
	return true
}

// Run replicates and commits bills until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range replicationWorkers {
		workers.Go(func() { l.replicationLoop(ctx) })
	}
	workers.Go(func() { l.commitLoop(ctx) })
	workers.Wait()
}

// commitLoop commits bills at intervals and replicates those without replicas
// until ctx ends.
func (l *Ledger) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.clock.After(l.options.CommitInterval()):
		}
		if err := l.Commit(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("ledger.commit_failed", "pending", l.Pending(), "error", err)
		}
		l.replicateMissing(ctx)
	}
}

// Commit writes to the table all final bills, and those open bills that are
// neither replicated nor committed.
func (l *Ledger) Commit(ctx context.Context) error {
	for {
		l.mu.Lock()
		var due []*pendingBill
		for _, e := range l.entries {
			if e.bill.Final() || (!e.replicated && !e.committed) {
				due = append(due, e)
			}
		}
		slices.SortFunc(due, func(x, y *pendingBill) int { return cmp.Compare(x.order, y.order) })
		due = due[:min(len(due), MaxBatch)]
		ids := make([]string, len(due))
		for i, e := range due {
			ids[i] = e.bill.RequestID
		}
		l.mu.Unlock()
		if len(ids) == 0 {
			return nil
		}
		if err := l.commitBills(ctx, ids); err != nil {
			return err
		}
	}
}

// commitBills writes those of the given bills that are still pending.
//
// A regular commit and a failed replication may call it concurrently with the
// same bill. The bills are therefore looked up only after logMu is acquired: a
// final bill that the other call has committed is then no longer pending.
// Otherwise it would be written twice and the organisation billed twice.
func (l *Ledger) commitBills(ctx context.Context, ids []string) error {
	l.logMu.Lock()
	defer l.logMu.Unlock()
	bills := l.beginCommit(ids)
	if err := l.log.Append(ctx, bills, false); err != nil {
		return err
	}
	last := l.log.Last()
	var released []string
	l.mu.Lock()
	l.lastBatch = last
	for _, b := range bills {
		e, ok := l.entries[b.RequestID]
		switch {
		case !ok:
		case b.Final():
			delete(l.entries, b.RequestID)
			released = append(released, b.RequestID)
		default:
			e.committed = true
		}
	}
	l.mu.Unlock()
	if len(released) > 0 {
		l.peers.Release(ctx, l.self, released)
	}
	return nil
}

// pendingBills returns those of the given bills that are pending. The lock is held.
func (l *Ledger) pendingBills(ids []string) []*pendingBill {
	var out []*pendingBill
	for _, id := range ids {
		if e, ok := l.entries[id]; ok {
			out = append(out, e)
		}
	}
	return out
}

// currentBills returns those of the given bills that are pending, and the newest
// batch of the log.
func (l *Ledger) currentBills(ids []string) ([]Bill, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var bills []Bill
	for _, e := range l.pendingBills(ids) {
		bills = append(bills, e.bill)
	}
	return bills, l.lastBatch
}

// beginCommit returns those of the given bills that are pending. If one is cancelled
// during the commit, the next commit must close it.
func (l *Ledger) beginCommit(ids []string) []Bill {
	l.mu.Lock()
	defer l.mu.Unlock()
	var bills []Bill
	for _, e := range l.pendingBills(ids) {
		e.commitBegun = true
		bills = append(bills, e.bill)
	}
	return bills
}

// Pending returns the number of bills that are not final in the table yet.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// Find returns the pending bill of a request, and false if there is none.
func (l *Ledger) Find(id string) (Bill, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok {
		return Bill{}, false
	}
	return e.bill, true
}
