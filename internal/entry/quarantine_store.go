package entry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

const (
	quarantinePrefix = "quarantine/"
	// maxLoadedRows limits the rows that a daemon loads at its start to one page.
	maxLoadedRows = 500
	// maxExpiredDeletes limits the expired rows that are deleted when the rows are loaded.
	maxExpiredDeletes = 100
	// maxSaveAttempts and saveRetryPause determine for how long storing a decision is retried.
	// An outage of the store lasts some ten seconds. Running daemons know the decision anyway.
	maxSaveAttempts = 30
	saveRetryPause  = 2 * time.Second
	// maxPutsPerTxn limits the rows written in one transaction.
	maxPutsPerTxn = 100
	// maxUnsaved limits the queued decisions that are not stored yet.
	maxUnsaved = 64
)

// storedEntry is the row of a quarantined request. UntilMS is a time of the store's clock, so
// that restarts and wrong clocks of daemons do not change it.
type storedEntry struct {
	quarantine.Entry
	UntilMS int64 `json:"until_ms"`
}

// saveLoop stores decisions, for daemons that start after all others have ended.
func (q *quarantineManager) saveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case decided := <-q.unsaved:
			q.save(ctx, decided)
		}
	}
}

// saveAll queues all quarantined requests to be stored again. Only the first reader of the
// group does so.
func (q *quarantineManager) saveAll() {
	first := q.readers(1, q.readerGroup())
	entries := q.list.Entries()
	if len(entries) == 0 || len(first) == 0 || first[0].Incarnation != q.registry.Self().Incarnation {
		return
	}
	for batch := range slices.Chunk(entries, maxPutsPerTxn) {
		select {
		case q.unsaved <- batch:
		default:
			slog.Warn("quarantine.not_stored", "count", len(batch))
		}
	}
}

func (q *quarantineManager) save(ctx context.Context, decided []quarantine.Entry) {
	for range maxSaveAttempts {
		now, ok := q.store.Clock()
		if ok && q.saveOnce(ctx, decided, now) == nil {
			return
		}
		if !q.sleep(ctx, saveRetryPause) {
			return
		}
	}
	slog.Warn("quarantine.not_stored", "count", len(decided))
}

func (q *quarantineManager) saveOnce(ctx context.Context, decided []quarantine.Entry, nowMS int64) error {
	var txn backing.Txn
	for _, e := range decided {
		row := storedEntry{Entry: e, UntilMS: nowMS + e.Left.Milliseconds()}
		txn.Puts = append(txn.Puts, backing.PutJSON(quarantinePrefix+e.Digest.String(), row))
	}
	_, err := q.kv.Commit(ctx, txn)
	return err
}

// loadLoop loads the stored decisions once, when this daemon is a reader. Other daemons get
// them from their peers.
func (q *quarantineManager) loadLoop(ctx context.Context) {
	for q.sleep(ctx, announceRetry) {
		if !q.isReader() {
			continue
		}
		if err := q.load(ctx); err != nil {
			slog.Warn("quarantine.not_read", "error", err)
			continue
		}
		return
	}
}

func (q *quarantineManager) load(ctx context.Context) error {
	rows, err := q.kv.List(ctx, quarantinePrefix, "", maxLoadedRows)
	if err != nil {
		return err
	}
	now, _ := q.store.Clock()
	var entries []quarantine.Entry
	var expired []string
	for _, row := range rows {
		var e storedEntry
		if err := unmarshal(row, &e); err != nil {
			slog.Warn("quarantine.row_unreadable", "key", row.Key, "error", err)
			continue
		}
		e.Left = time.Duration(e.UntilMS-now) * time.Millisecond
		if e.Left > 0 {
			entries = append(entries, e.Entry)
		} else {
			expired = append(expired, row.Key)
		}
	}
	q.applyEntries(entries, "store")
	if len(expired) == 0 {
		return nil
	}
	_, err = q.kv.Commit(ctx, backing.Txn{Deletes: expired[:min(len(expired), maxExpiredDeletes)]})
	return err
}
