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
	// MaxBatch bounds the bills of one batch.
	MaxBatch = 500
)

// head is the row of an incarnation's log.
type head struct {
	// Last is the number of the newest batch.
	Last int64 `json:"last"`
	// OpenFrom is the oldest batch with an open bill that no later batch
	// closes; 0 when there is none.
	OpenFrom int64 `json:"open_from,omitempty"`
	// Sealed is set by a holder once the incarnation was found dead and
	// nothing was missing any more.
	Sealed bool `json:"sealed,omitempty"`
	// ArchivedTo is the newest batch that was moved to an object.
	ArchivedTo int64 `json:"archived_to,omitempty"`
}

// batch is one batch of bills.
type batch struct {
	Writer string
	Bills  []Bill
}

// batchRow is a batch in the table. Bills of one daemon are much alike, so the
// row is a small part of their JSON when it is compressed.
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

// RowSize returns the size of the row of a batch, for measurements.
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

// Store is where logs are kept: batches in the table, older ones in objects.
type Store interface {
	backing.Table
	backing.Objects
}

// Log appends to the log of one incarnation. It is not safe for concurrent
// use.
type Log struct {
	table       Store
	incarnation string
	writer      string

	head     head
	revision int64
	// open maps the request ids of committed open bills to their batch.
	open map[string]int64
	// settled has the ids of settled bills read from batches of other writers,
	// and presumed those of bills that a settled one may still replace.
	settled  map[string]bool
	presumed map[string]bool
}

// NewLog returns a writer for incarnation's log. writer is the incarnation
// that writes.
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

// StartAfter makes the log treat batches up to n as read. It is used by a
// holder whose records all came after batch n.
func (l *Log) StartAfter(n int64) { l.head.Last = n }

// Last returns the number of the newest batch known.
func (l *Log) Last() int64 { return l.head.Last }

// Sync reads the batches that others wrote.
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

// closed reports whether a final bill of the request was read.
func (l *Log) closed(id string) bool { return l.settled[id] || l.presumed[id] }

// OpenBills returns the committed bills that are still open.
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

// Append writes bills as one batch, leaving out what is billed already. seal
// marks the log as complete.
//
// A batch is conditional on the revision of the head, which every batch
// changes. So a repeat after a lost answer, a second holder, or a paused
// owner that wakes up all fail their condition, read what was written
// meanwhile, and leave out what it bills; a bill is never written twice.
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
			return trace.ConnectionProblem(err, "the batch may still be on its way")
		}
	}
}

// unbilled leaves out what earlier batches bill.
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

// forget drops the ids that this writer itself finalised: it will not offer
// them again.
func (l *Log) forgetOwn(bills []Bill) {
	if l.writer != l.incarnation {
		return
	}
	for _, b := range bills {
		delete(l.settled, b.RequestID)
		delete(l.presumed, b.RequestID)
	}
}

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

// heads returns the heads of all logs by incarnation.
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
