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

// usageGiveUp is how long a holder asks an upstream that does not answer
// before it closes the bill without usage.
const usageTimeout = 10 * time.Minute

// UsageReader asks an upstream what it ran for a request.
type UsageReader interface {
	Usage(ctx context.Context, address, requestID string) (upstream.RequestUsage, error)
}

// held is a copy of another daemon's bill.
type replica struct {
	bill Bill
	// after is the newest batch of the owner's log when the copy was first
	// made; the bill can only be in later batches.
	after int64
}

// Holdings are the copies that this daemon holds for others.
//
// Lock order: mu is taken alone; sealing works on a copy.
type Holdings struct {
	self  string
	table Store
	usage UsageReader
	clock clockwork.Clock

	mu     sync.Mutex
	owners map[string]map[string]replica
}

// NewHoldings returns empty holdings.
func NewHoldings(self string, table Store, usage UsageReader, clock clockwork.Clock) *Holdings {
	return &Holdings{self: self, table: table, usage: usage, clock: clock, owners: map[string]map[string]replica{}}
}

// Hold takes copies. An open copy never replaces a final one, as messages may
// arrive out of order.
func (h *Holdings) Hold(owner string, after int64, bills []Bill) {
	h.mu.Lock()
	defer h.mu.Unlock()
	copies := h.owners[owner]
	if copies == nil {
		copies = map[string]replica{}
		h.owners[owner] = copies
	}
	for _, b := range bills {
		have, seen := copies[b.RequestID]
		if seen && have.bill.Final() && !b.Final() {
			continue
		}
		if seen {
			after = min(after, have.after)
		}
		copies[b.RequestID] = replica{bill: b, after: after}
	}
}

// Release drops copies that are committed or void.
func (h *Holdings) Release(owner string, ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		delete(h.owners[owner], id)
	}
	if len(h.owners[owner]) == 0 {
		delete(h.owners, owner)
	}
}

// Owners returns the incarnations that this daemon holds copies of.
func (h *Holdings) Owners() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]string, 0, len(h.owners))
	for owner := range h.owners {
		out = append(out, owner)
	}
	return out
}

// Len returns the number of copies.
func (h *Holdings) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, copies := range h.owners {
		n += len(copies)
	}
	return n
}

func (h *Holdings) replicasOf(owner string) []replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]replica, 0, len(h.owners[owner]))
	for _, c := range h.owners[owner] {
		out = append(out, c)
	}
	return out
}

// Seal appends to a dead incarnation's log what is missing from it: the
// copies held here and the open bills committed there. It reports whether
// nothing is left to do; bills whose work is still running upstream are left
// for a later call.
func (h *Holdings) Seal(ctx context.Context, owner string) (bool, error) {
	copies := h.replicasOf(owner)
	log := NewLog(h.table, owner, h.self)
	log.StartAfter(lowestAfter(copies))
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
	for _, c := range copies {
		bills[c.bill.RequestID] = c.bill
	}
	final, running := h.closeOpenBills(ctx, log, bills)
	if err := log.Append(ctx, final, running == 0); err != nil {
		return false, trace.Wrap(err)
	}
	ids := make([]string, len(final))
	for i, b := range final {
		ids[i] = b.RequestID
	}
	for _, c := range copies {
		if log.closed(c.bill.RequestID) {
			ids = append(ids, c.bill.RequestID)
		}
	}
	h.Release(owner, ids)
	if len(final) > 0 {
		slog.Info("ledger.sealed", "incarnation", owner, "bills", len(final), "running", running)
	}
	return running == 0, nil
}

func lowestAfter(copies []replica) int64 {
	if len(copies) == 0 {
		return 0
	}
	start := copies[0].after
	for _, c := range copies {
		start = min(start, c.after)
	}
	return start
}

func (h *Holdings) closeOpenBills(ctx context.Context, log *Log, bills map[string]Bill) (final []Bill, running int) {
	for _, b := range bills {
		if b.Final() {
			final = append(final, b)
			continue
		}
		if log.closed(b.RequestID) {
			continue
		}
		done, ok := h.closeOpenBill(ctx, b)
		if !ok {
			running++
			continue
		}
		final = append(final, done)
	}
	return final, running
}

// resolve closes an open bill by asking the upstream what it ran.
func (h *Holdings) closeOpenBill(ctx context.Context, b Bill) (Bill, bool) {
	now := h.clock.Now()
	b.Closed = now
	if b.Service != "" || b.Upstream == "" {
		b.State, b.Presumed = Failed, true
		b.Reason = "daemon lost; outcome unknown"
		return b, true
	}
	usage, err := h.usage.Usage(ctx, b.Upstream, b.RequestID)
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

// Abandoned returns the incarnations whose logs are not sealed and that are
// not among the live ones.
func Abandoned(ctx context.Context, table backing.Table, live map[string]bool) ([]string, error) {
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
