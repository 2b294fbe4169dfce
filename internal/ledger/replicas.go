package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// usageTimeout is the time after the opening of a bill from which on the bill is
// closed without usage if the upstream does not respond.
const usageTimeout = 10 * time.Minute

// UsageReader reads from an upstream which work it did for a request.
type UsageReader interface {
	RequestUsage(ctx context.Context, address, requestID string) (upstream.RequestUsage, error)
}

// replica is a copy of another daemon's bill.
type replica struct {
	bill Bill
	// after is the newest batch of the owner's log at the time of the first
	// replication. The bill was not final then, so only later batches can
	// contain its final version.
	after int64
}

// ReplicaStore holds replicas of other daemons' uncommitted bills. It is safe for
// concurrent use.
//
// Lock order: no other lock is acquired while mu is held; Seal works on a copy
// of the replicas.
type ReplicaStore struct {
	self  string
	table Store
	usage UsageReader
	clock clockwork.Clock

	mu sync.Mutex
	// owners maps the incarnation that owns the bills to its replicas by
	// request id.
	owners map[string]map[string]replica
}

// NewReplicaStore returns an empty store of the incarnation self.
func NewReplicaStore(self string, table Store, usage UsageReader, clock clockwork.Clock) *ReplicaStore {
	return &ReplicaStore{self: self, table: table, usage: usage, clock: clock, owners: map[string]map[string]replica{}}
}

// Add adds or replaces replicas of the bills of owner. after is the newest batch
// of the owner's log. An open bill never replaces a final one, because messages
// may arrive out of order.
func (s *ReplicaStore) Add(owner string, after int64, bills []Bill) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replicas := s.owners[owner]
	if replicas == nil {
		replicas = map[string]replica{}
		s.owners[owner] = replicas
	}
	for _, b := range bills {
		have, seen := replicas[b.RequestID]
		if seen && have.bill.Final() && !b.Final() {
			continue
		}
		if seen {
			after = min(after, have.after)
		}
		replicas[b.RequestID] = replica{bill: b, after: after}
	}
}

// Remove deletes replicas of bills that are committed or void.
func (s *ReplicaStore) Remove(owner string, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		delete(s.owners[owner], id)
	}
	if len(s.owners[owner]) == 0 {
		delete(s.owners, owner)
	}
}

// Owners returns the incarnations that own the replicated bills.
func (s *ReplicaStore) Owners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.owners))
	for owner := range s.owners {
		out = append(out, owner)
	}
	return out
}

// Len returns the number of replicas.
func (s *ReplicaStore) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, replicas := range s.owners {
		n += len(replicas)
	}
	return n
}

// replicasOf returns a copy of the replicas of owner's bills.
func (s *ReplicaStore) replicasOf(owner string) []replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]replica, 0, len(s.owners[owner]))
	for _, r := range s.owners[owner] {
		out = append(out, r)
	}
	return out
}

// Seal completes the log of a dead incarnation. It appends the final bills of
// the replicas, and closes the open bills of the replicas and of the log. If all
// are closed, it marks the log as sealed and returns true. Bills whose requests
// still run at the upstream, or whose usage cannot be read yet, are left for a
// later call.
func (s *ReplicaStore) Seal(ctx context.Context, owner string) (bool, error) {
	replicas := s.replicasOf(owner)
	log := NewLog(s.table, owner, s.self)
	log.StartAfter(lowestAfter(replicas))
	if err := log.Sync(ctx); err != nil {
		return false, trace.Wrap(err)
	}
	open, err := log.OpenBills(ctx)
	if err != nil {
		return false, trace.Wrap(err)
	}
	bills := map[string]Bill{}
	for _, b := range open {
		bills[b.RequestID] = b
	}
	for _, r := range replicas {
		bills[r.bill.RequestID] = r.bill
	}
	final, running := s.closeOpenBills(ctx, log, bills)
	if err := log.Append(ctx, final, running == 0); err != nil {
		return false, trace.Wrap(err)
	}
	ids := make([]string, len(final))
	for i, b := range final {
		ids[i] = b.RequestID
	}
	for _, r := range replicas {
		if log.closed(r.bill.RequestID) {
			ids = append(ids, r.bill.RequestID)
		}
	}
	s.Remove(owner, ids)
	if len(final) > 0 {
		slog.Info("ledger.sealed", "incarnation", owner, "bills", len(final), "running", running)
	}
	return running == 0, nil
}

// lowestAfter returns the newest batch up to which the log cannot contain a final
// version of any of the bills; 0 if there are none.
func lowestAfter(replicas []replica) int64 {
	if len(replicas) == 0 {
		return 0
	}
	start := replicas[0].after
	for _, r := range replicas {
		start = min(start, r.after)
	}
	return start
}

// closeOpenBills returns the bills that are final or can be closed, and the
// number of those that have to stay open. It omits open bills that the log has
// closed already.
func (s *ReplicaStore) closeOpenBills(ctx context.Context, log *Log, bills map[string]Bill) (final []Bill, running int) {
	for _, b := range bills {
		if b.Final() {
			final = append(final, b)
			continue
		}
		if log.closed(b.RequestID) {
			continue
		}
		done, ok := s.closeOpenBill(ctx, b)
		if !ok {
			running++
			continue
		}
		final = append(final, done)
	}
	return final, running
}

// closeOpenBill closes an open bill according to the usage that the upstream
// reports. It returns false if the bill has to stay open for now.
func (s *ReplicaStore) closeOpenBill(ctx context.Context, b Bill) (Bill, bool) {
	now := s.clock.Now()
	b.Closed = now
	// Plain services do not report usage.
	if b.Service != "" || b.Upstream == "" {
		b.State, b.Presumed = Failed, true
		b.Reason = "daemon lost; outcome unknown"
		return b, true
	}
	usage, err := s.usage.RequestUsage(ctx, b.Upstream, b.RequestID)
	switch {
	case err != nil && now.Sub(b.Opened) < usageTimeout:
		return b, false
	case err != nil:
		b.State, b.Presumed = Failed, true
		b.Reason = "daemon and upstream lost; usage unknown"
	case usage.Running:
		return b, false
	case usage.Finished:
		b.AddStep(Step{
			Version:          b.Version,
			PromptTokens:     usage.Usage.PromptTokens,
			CompletionTokens: usage.Usage.CompletionTokens,
			Amount:           b.InputPrice*int64(usage.Usage.PromptTokens) + b.OutputPrice*int64(usage.Usage.CompletionTokens),
		})
		b.State = Answered
	case usage.Attempts == 0 && len(b.Steps) == 0:
		b.State = Void
	default:
		b.State, b.Presumed = Failed, true
		b.Reason = "daemon lost before the answer was complete"
	}
	return b, true
}

// UnsealedLogs returns the incarnations that are not live, and whose logs contain
// open bills and are not sealed.
func UnsealedLogs(ctx context.Context, table backing.Table, live map[string]bool) ([]string, error) {
	all, err := listHeads(ctx, table)
	if err != nil {
		return nil, err
	}
	var out []string
	for incarnation, h := range all {
		if !h.Sealed && h.OpenFrom > 0 && !live[incarnation] {
			out = append(out, incarnation)
		}
	}
	return out, nil
}
