package ledger

import (
	"context"
	"slices"
)

// replicationWorkers is the number of concurrent calls of Replicator.Replicate.
// With more than one, a slow peer does not delay every request.
const replicationWorkers = 4

// replicationRequest is a request to make one bill durable; done receives the
// result.
type replicationRequest struct {
	id   string
	done chan error
}

// makeDurable waits until the pending bill id is replicated or committed, or
// until ctx ends.
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

// replicationLoop processes replication requests until ctx ends.
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

// collectRequests returns first and up to MaxBatch-1 other waiting requests, so
// that one message to a peer carries many bills.
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

// replicate sends the requested bills to the peers. If that fails, it commits
// them to the table instead.
func (l *Ledger) replicate(ctx context.Context, requests []replicationRequest) error {
	ids := make([]string, len(requests))
	for i, r := range requests {
		ids[i] = r.id
	}
	bills, after := l.currentBills(ids)
	if len(bills) == 0 {
		return nil
	}
	replicationCtx, cancel := context.WithTimeout(ctx, l.options.ReplicationTimeout)
	err := l.peers.Replicate(replicationCtx, l.self, after, bills)
	cancel()
	if err != nil {
		return l.commitBills(ctx, ids)
	}
	l.markReplicated(bills)
	return nil
}

// markReplicated marks the bills as replicated, except those whose state or
// attempt has changed since they were sent.
func (l *Ledger) markReplicated(bills []Bill) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range bills {
		e, ok := l.entries[b.RequestID]
		if ok && e.bill.State == b.State && e.bill.Attempt == b.Attempt {
			e.replicated = true
		}
	}
}

// replicateMissing replicates the pending bills that are not replicated yet.
// After a change of the set of peers it replicates all of them, because the new
// peers hold no replicas.
func (l *Ledger) replicateMissing(ctx context.Context) {
	epoch := l.peers.Epoch()
	l.mu.Lock()
	changed := epoch != l.replicatedEpoch
	var bills []Bill
	for _, e := range l.entries {
		if changed || !e.replicated {
			bills = append(bills, e.bill)
		}
	}
	after := l.lastBatch
	l.mu.Unlock()
	for chunk := range slices.Chunk(bills, MaxBatch) {
		replicationCtx, cancel := context.WithTimeout(ctx, l.options.ReplicationTimeout)
		err := l.peers.Replicate(replicationCtx, l.self, after, chunk)
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
