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

// Replicator copies uncommitted bills to peers.
type Replicator interface {
	// Hold returns nil once enough peers hold the bills. after is the newest
	// batch of the owner's log.
	Hold(ctx context.Context, owner string, after int64, bills []Bill) error
	// Release tells the peers that the bills are committed or void.
	Release(ctx context.Context, owner string, ids []string)
	// Epoch changes whenever the peers that hold bills change.
	Epoch() uint64
}

// Options are the settings of a Ledger.
type Options struct {
	// CommitInterval returns the time between commits.
	CommitInterval func() time.Duration
	// MaxPending bounds the uncommitted bills; more work is refused.
	MaxPending int
	// HoldTimeout bounds one copy to the peers.
	HoldTimeout time.Duration
}

// holdWorkers is how many copies to the peers run at once, so that one slow
// peer does not hold up every request.
const replicationWorkers = 4

// entry is an uncommitted bill.
type pendingBill struct {
	bill Bill
	// order keeps the commits in the order of opening.
	order int64
	// held is true when peers have a copy of the newest state.
	held bool
	// committed is true when the table has the bill as open.
	committed bool
}

// holdRequest asks for one bill to be made durable.
type replicationRequest struct {
	id   string
	done chan error
}

// Ledger bills the requests of one daemon.
//
// Lock order: logMu before mu. Neither is held while peers are called; logMu
// is held while the table is written.
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

// New returns the ledger of the daemon self.
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

// Open records a request that is about to be dispatched. When it returns nil
// the bill survives this daemon; on an error nothing may be dispatched.
//
// Without this a daemon that dies after dispatch would leave work that ran
// and that nobody bills.
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

// Update records a change of an open bill, such as a new attempt, with the
// promise of Open.
func (l *Ledger) Update(ctx context.Context, b Bill) error {
	l.put(b, false)
	if err := l.makeDurable(ctx, b.RequestID); err != nil {
		return fault.New(fault.StoreUnavailable, "the bill could not be recorded: %v", err)
	}
	return nil
}

// Close makes a bill final. It waits until the final state survives this
// daemon, or until ctx ends: the open bill is durable already, and whoever
// finds it after a crash asks the upstream for the usage.
func (l *Ledger) Close(ctx context.Context, b Bill) {
	b.Closed = l.clock.Now()
	l.put(b, false)
	if err := l.makeDurable(ctx, b.RequestID); err != nil {
		slog.Warn("bill.close_not_held", "request", b.RequestID, "error", err)
	}
}

// Void withdraws an opened bill of a request that was not run.
func (l *Ledger) Void(id string) {
	l.mu.Lock()
	e, ok := l.entries[id]
	if ok && e.committed {
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
	e.held = false
	return true
}

func (l *Ledger) makeDurable(ctx context.Context, id string) error {
	request := replicationRequest{id: id, done: make(chan error, 1)}
	select {
	case l.replicationRequests <- request:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run copies and commits bills until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range replicationWorkers {
		workers.Go(func() { l.replicationLoop(ctx) })
	}
	workers.Go(func() { l.commitLoop(ctx) })
	workers.Wait()
}

func (l *Ledger) replicationLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.replicationRequests:
			requests := l.collectRequests(first)
			err := l.replicate(ctx, requests)
			for _, r := range requests {
				r.done <- err
			}
		}
	}
}

// collect takes what else is waiting, so that one message serves many bills.
func (l *Ledger) collectRequests(first replicationRequest) []replicationRequest {
	requests := []replicationRequest{first}
	for len(requests) < MaxBatch {
		select {
		case r := <-l.replicationRequests:
			requests = append(requests, r)
		default:
			return requests
		}
	}
	return requests
}

// hold makes bills durable at the peers or, failing that, in the table.
func (l *Ledger) replicate(ctx context.Context, requests []replicationRequest) error {
	ids := make([]string, len(requests))
	for i, r := range requests {
		ids[i] = r.id
	}
	bills, after := l.currentBills(ids)
	if len(bills) == 0 {
		return nil
	}
	held, cancel := context.WithTimeout(ctx, l.options.HoldTimeout)
	err := l.peers.Hold(held, l.self, after, bills)
	cancel()
	if err != nil {
		return l.commitBills(ctx, ids)
	}
	l.markReplicated(bills)
	return nil
}

func (l *Ledger) currentBills(ids []string) ([]Bill, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var bills []Bill
	for _, id := range ids {
		if e, ok := l.entries[id]; ok {
			bills = append(bills, e.bill)
		}
	}
	return bills, l.lastBatch
}

func (l *Ledger) markReplicated(bills []Bill) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range bills {
		e, ok := l.entries[b.RequestID]
		if ok && e.bill.State == b.State && e.bill.Attempt == b.Attempt {
			e.held = true
		}
	}
}

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

// refreshCopies sends every uncommitted bill again after the set of peers
// that hold copies changed; the new ones have none yet.
func (l *Ledger) replicateMissing(ctx context.Context) {
	epoch := l.peers.Epoch()
	l.mu.Lock()
	changed := epoch != l.replicatedEpoch
	var bills []Bill
	for _, e := range l.entries {
		if changed || !e.held {
			bills = append(bills, e.bill)
		}
	}
	after := l.lastBatch
	l.mu.Unlock()
	for chunk := range slices.Chunk(bills, MaxBatch) {
		held, cancel := context.WithTimeout(ctx, l.options.HoldTimeout)
		err := l.peers.Hold(held, l.self, after, chunk)
		cancel()
		if err != nil {
			return
		}
		l.markReplicated(chunk)
	}
	l.mu.Lock()
	l.replicatedEpoch = epoch
	l.mu.Unlock()
}

// Commit writes all final bills to the table, and open ones that no peer
// holds.
func (l *Ledger) Commit(ctx context.Context) error {
	for {
		l.mu.Lock()
		var due []*pendingBill
		for _, e := range l.entries {
			if e.bill.Final() || (!e.held && !e.committed) {
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

// commitBills writes the bills with these ids that are still uncommitted.
//
// A regular commit and a bill that no peer could hold may reach this with the
// same bill. The second writer must not go by what it saw before it waited for
// the log: the bill would be written twice, and the organisation billed twice.
// So the bills are looked up while the log is locked, and one committed
// meanwhile is gone by then.
func (l *Ledger) commitBills(ctx context.Context, ids []string) error {
	l.logMu.Lock()
	defer l.logMu.Unlock()
	bills, _ := l.currentBills(ids)
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

// Pending returns the number of bills that are not final in the table.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// Find returns an uncommitted bill.
func (l *Ledger) Find(id string) (Bill, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok {
		return Bill{}, false
	}
	return e.bill, true
}
