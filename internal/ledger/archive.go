package ledger

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

const (
	archivePrefix = "ledger/archive/"
	// archiveKeep is how many of the newest batches of a live log stay in the
	// table, where holders that find their daemon dead look first.
	archiveKeepBatches = 50
	// archiveLeast and archiveMost bound the batches moved at once.
	archiveMinBatches = 100
	archiveMaxBatches = 200
)

// archiveRow is the index row of batches that were moved to an object.
type archiveRow struct {
	Object string `json:"object"`
	From   int64  `json:"from"`
	To     int64  `json:"to"`
	Bills  int    `json:"bills"`
}

func archiveKey(incarnation string, from int64) string {
	return fmt.Sprintf("%s%s/%012d", archivePrefix, incarnation, from)
}

// Archive moves old batches of an incarnation's log into one object and
// returns how many.
//
// The object is written first. The transaction that deletes the batches puts
// the index row in their place, on the condition that the log has not changed;
// an archiver that was paused, or one of two, finds its condition failed, and
// bills are always in exactly one of the two places.
func Archive(ctx context.Context, p backing.Platform, incarnation string) (int64, error) {
	var h head
	revision, err := backing.GetJSON(ctx, p, headPrefix+incarnation, &h)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	from, to, due := archiveRange(h)
	if !due {
		return 0, nil
	}
	var bills []Bill
	for n := from; n <= to; n++ {
		var b batch
		if _, err := backing.GetJSON(ctx, p, batchKey(incarnation, n), &b); err != nil {
			return 0, trace.Wrap(err)
		}
		bills = append(bills, b.Bills...)
	}
	row := archiveRow{Object: fmt.Sprintf("ledger-%s-%d-%d", incarnation, from, to), From: from, To: to, Bills: len(bills)}
	if err := writeArchive(ctx, p, row.Object, bills); err != nil {
		return 0, trace.Wrap(err)
	}
	h.ArchivedTo = to
	txn := backing.Txn{
		Checks: []backing.Check{{Key: headPrefix + incarnation, Revision: revision}},
		Puts: []backing.Put{
			backing.PutJSON(headPrefix+incarnation, h),
			backing.PutJSON(archiveKey(incarnation, from), row),
		},
	}
	for n := from; n <= to; n++ {
		txn.Deletes = append(txn.Deletes, batchKey(incarnation, n))
	}
	if _, err := p.Commit(ctx, txn); err != nil {
		return 0, trace.Wrap(err)
	}
	return to - from + 1, nil
}

// archiveRange returns which batches may be moved, and whether it is worth it.
func archiveRange(h head) (from, to int64, due bool) {
	from, to = h.ArchivedTo+1, h.Last
	least := int64(1)
	if !h.Sealed {
		to -= archiveKeepBatches
		least = archiveMinBatches
	}
	if h.OpenFrom > 0 {
		to = min(to, h.OpenFrom-1)
	}
	to = min(to, from+archiveMaxBatches-1)
	return from, to, to-from+1 >= least
}

func writeArchive(ctx context.Context, objects backing.Objects, name string, bills []Bill) error {
	var data bytes.Buffer
	w := gzip.NewWriter(&data)
	if err := json.NewEncoder(w).Encode(bills); err != nil {
		return trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(objects.PutObject(ctx, name, data.Bytes()))
}

func readArchive(ctx context.Context, objects backing.Objects, name string) ([]Bill, error) {
	data, err := objects.GetObject(ctx, name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var bills []Bill
	return bills, trace.Wrap(json.Unmarshal(text, &bills))
}

// archives lists the index rows below a prefix of their keys.
func listArchives(ctx context.Context, table backing.Table, prefix string) ([]archiveRow, error) {
	const most = 1 << 20
	rows, err := table.List(ctx, prefix, "", most)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out := make([]archiveRow, len(rows))
	for i, r := range rows {
		if err := json.Unmarshal(r.Value, &out[i]); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return out, nil
}

// ArchiveDue moves old batches of every log that has enough of them. Logs that
// change meanwhile are left for the next time.
func ArchiveDue(ctx context.Context, p backing.Platform) (int64, error) {
	all, err := listHeads(ctx, p)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for incarnation, h := range all {
		if _, _, due := archiveRange(h); !due {
			continue
		}
		n, err := Archive(ctx, p, incarnation)
		if err != nil && !trace.IsCompareFailed(err) {
			return total, err
		}
		total += n
	}
	return total, nil
}
