package ledger

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

const (
	headPrefix  = "ledger/head/"
	batchPrefix = "ledger/batch/"
	// MaxBatch is the maximum number of bills that a Ledger writes as one batch
	// or sends to peers in one message.
	MaxBatch = 500
)

// head is the stored row with the state of an incarnation's log.
type head struct {
	// Last is the number of the newest batch.
	Last int64 `json:"last"`
	// OpenFrom is the oldest batch with an open bill that no later batch
	// closes; 0 if there is none.
	OpenFrom int64 `json:"open_from,omitempty"`
	// Sealed is set by a peer after the incarnation died and all its bills are
	// final in the log.
	Sealed bool `json:"sealed,omitempty"`
	// ArchivedTo is the newest batch that was moved to an archive object.
	ArchivedTo int64 `json:"archived_to,omitempty"`
}

// batch is one batch of bills. Writer is the incarnation that wrote it.
type batch struct {
	Writer string
	Bills  []Bill
}

// batchRow is the stored row of a batch. The bills are compressed because those
// of one daemon are very similar: the row is much smaller than their JSON.
type batchRow struct {
	Writer string `json:"writer"`
	Count  int    `json:"count"`
	// Gzip is the compressed JSON array of the bills.
	Gzip []byte `json:"gzip"`
}

// MarshalJSON implements json.Marshaler.
func (b batch) MarshalJSON() ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if err := json.NewEncoder(w).Encode(b.Bills); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return json.Marshal(batchRow{Writer: b.Writer, Count: len(b.Bills), Gzip: compressed.Bytes()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *batch) UnmarshalJSON(data []byte) error {
	var row batchRow
	if err := json.Unmarshal(data, &row); err != nil {
		return trace.Wrap(err)
	}
	r, err := gzip.NewReader(bytes.NewReader(row.Gzip))
	if err != nil {
		return trace.Wrap(err)
	}
	b.Writer = row.Writer
	return trace.Wrap(json.NewDecoder(r).Decode(&b.Bills))
}

// RowSize returns the size in bytes of the row of a batch with the given bills.
// It is used to measure the storage that the ledger needs.
func RowSize(bills []Bill) int {
	data, err := json.Marshal(batch{Bills: bills})
	if err != nil {
		return 0
	}
	return len(data)
}

func batchKey(incarnation string, n int64) string {
	return fmt.Sprintf("%s%s/%012d", batchPrefix, incarnation, n)
}

// Store stores the logs: recent batches in the table and older ones in objects.
type Store interface {
	backing.Table
	backing.Objects
}

// Log reads and appends to the log of one incarnation. It is not safe for
// concurrent use.
type Log struct {
	table       Store
	incarnation string
	writer      string

	head     head
	revision int64
	// open maps the request ids of committed open bills to their batch.
	open map[string]int64
	// settled contains the request ids of settled bills that were read from the
	// log, and presumed those of void and presumed bills, which a settled bill
	// may still replace. The owner's own bills are removed after each Append;
	// see forgetOwn.
	settled  map[string]bool
	presumed map[string]bool
}

// NewLog returns a Log for the log of incarnation. writer is the incarnation that
// appends: the same one, or a peer that seals the log.
func NewLog(table Store, incarnation, writer string) *Log {
	return &Log{
		table:       table,
		incarnation: incarnation,
		writer:      writer,
		open:        map[string]int64{},
		settled:     map[string]bool{},
		presumed:    map[string]bool{},
	}
}

// StartAfter makes the log treat batches up to n as read. A peer calls it if only
// batches after n can contain final versions of its replicas. The first Sync still
// reads from the batch of the oldest open bill on.
func (l *Log) StartAfter(n int64) { l.head.Last = n }

// Last returns the number of the newest batch that was read or written.
func (l *Log) Last() int64 { return l.head.Last }

// Sync reads the batches that other writers appended since the last call.
func (l *Log) Sync(ctx context.Context) error {
	var h head
	revision, err := backing.GetJSON(ctx, l.table, headPrefix+l.incarnation, &h)
	if err != nil {
		return trace.Wrap(err)
	}
	start := l.head.Last
	if h.OpenFrom > 0 && h.OpenFrom <= start && l.revision == 0 {
		start = h.OpenFrom - 1
	}
	if start < h.ArchivedTo {
		if err := l.syncArchived(ctx, start); err != nil {
			return trace.Wrap(err)
		}
	}
	for n := max(start, h.ArchivedTo) + 1; n <= h.Last; n++ {
		var b batch
		if _, err := backing.GetJSON(ctx, l.table, batchKey(l.incarnation, n), &b); err != nil {
			return trace.Wrap(err)
		}
		l.recordBills(n, b.Bills)
	}
	l.head, l.revision = h, revision
	return nil
}

// syncArchived reads the archived batches after batch start.
func (l *Log) syncArchived(ctx context.Context, start int64) error {
	rows, err := listArchives(ctx, l.table, archivePrefix+l.incarnation+"/")
	if err != nil {
		return err
	}
	for _, row := range rows {
		if row.To <= start {
			continue
		}
		bills, err := readArchive(ctx, l.table, row.Object)
		if err != nil {
			return err
		}
		l.recordBills(row.To, bills)
	}
	return nil
}

// recordBills updates the sets of open, settled and presumed bills by those of
// batch n.
func (l *Log) recordBills(n int64, bills []Bill) {
	for _, b := range bills {
		switch {
		case b.Settled():
			delete(l.open, b.RequestID)
			l.settled[b.RequestID] = true
		case b.Final():
			delete(l.open, b.RequestID)
			l.presumed[b.RequestID] = true
		case !l.closed(b.RequestID):
			l.open[b.RequestID] = n
		}
	}
}

// closed reports whether the log contains a final bill of the request, as far as
// settled and presumed record it.
func (l *Log) closed(id string) bool { return l.settled[id] || l.presumed[id] }

// OpenBills returns the bills that are open in the log.
func (l *Log) OpenBills(ctx context.Context) ([]Bill, error) {
	var out []Bill
	batches := map[int64]bool{}
	for _, n := range l.open {
		batches[n] = true
	}
	for n := range batches {
		var b batch
		if _, err := backing.GetJSON(ctx, l.table, batchKey(l.incarnation, n), &b); err != nil {
			return nil, trace.Wrap(err)
		}
		for _, bill := range b.Bills {
			if l.open[bill.RequestID] == n && !bill.Final() {
				out = append(out, bill)
			}
		}
	}
	return out, nil
}

// Append writes bills as one batch, except those that the log already contains.
// If seal is true, it marks the log as sealed.
//
// The write is conditional on the revision of the head, which every batch
// changes. The condition fails for a retry after a lost response, for a second
// peer that seals the log, and for an owner that was paused. Each of them then
// reads the batches written meanwhile and leaves out their bills, so that no
// bill is written twice.
func (l *Log) Append(ctx context.Context, bills []Bill, seal bool) error {
	for {
		pending := l.unbilled(bills)
		if len(pending) == 0 && (!seal || l.head.Sealed) {
			return nil
		}
		next := l.nextHead(pending, seal)
		txn := backing.Txn{
			Checks: []backing.Check{{Key: headPrefix + l.incarnation, Revision: l.revision}},
			Puts: []backing.Put{
				backing.PutJSON(headPrefix+l.incarnation, next),
				backing.PutJSON(batchKey(l.incarnation, next.Last), batch{Writer: l.writer, Bills: pending}),
			},
		}
		revision, err := l.table.Commit(ctx, txn)
		if err == nil {
			l.recordBills(next.Last, pending)
			l.head, l.revision = next, revision
			l.forgetOwn(pending)
			return nil
		}
		if !trace.IsCompareFailed(err) && !backing.IsUnknownOutcome(err) {
			return trace.Wrap(err)
		}
		before := l.revision
		if err := l.Sync(ctx); err != nil {
			return trace.Wrap(err)
		}
		if l.revision == before {
			return trace.ConnectionProblem(err, "the outcome of the batch write is unknown; the store may still apply it")
		}
	}
}

// unbilled returns the bills that the log does not contain yet, or of which it
// contains only a version that they may replace.
func (l *Log) unbilled(bills []Bill) []Bill {
	var out []Bill
	for _, b := range bills {
		if l.settled[b.RequestID] || (l.presumed[b.RequestID] && !b.Settled()) {
			continue
		}
		if _, committed := l.open[b.RequestID]; committed && !b.Final() {
			continue
		}
		out = append(out, b)
	}
	return out
}

// forgetOwn removes the request ids of bills that the owner of the log has written
// itself from settled and presumed. The owner does not append them again, so
// keeping them would only use memory.
func (l *Log) forgetOwn(bills []Bill) {
	if l.writer != l.incarnation {
		return
	}
	for _, b := range bills {
		delete(l.settled, b.RequestID)
		delete(l.presumed, b.RequestID)
	}
}

// nextHead returns the head after a batch with the pending bills.
func (l *Log) nextHead(pending []Bill, seal bool) head {
	next := head{Last: l.head.Last + 1, Sealed: seal, ArchivedTo: l.head.ArchivedTo}
	closing := map[string]bool{}
	for _, b := range pending {
		if b.Final() {
			closing[b.RequestID] = true
		} else {
			next.OpenFrom = next.Last
		}
	}
	for id, n := range l.open {
		if !closing[id] && (next.OpenFrom == 0 || n < next.OpenFrom) {
			next.OpenFrom = n
		}
	}
	return next
}

// listHeads returns the heads of all logs by incarnation.
func listHeads(ctx context.Context, table backing.Table) (map[string]head, error) {
	rows, err := table.List(ctx, headPrefix, "", 1<<20)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out := map[string]head{}
	for _, row := range rows {
		var h head
		if err := json.Unmarshal(row.Value, &h); err != nil {
			return nil, trace.Wrap(err)
		}
		out[strings.TrimPrefix(row.Key, headPrefix)] = h
	}
	return out, nil
}
