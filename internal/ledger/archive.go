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
	// archiveKeepBatches is the number of newest batches that stay in the table
	// if the log is not sealed. A peer that seals the log of a dead daemon
	// reads these first.
	archiveKeepBatches = 50
	// archiveMinBatches and archiveMaxBatches bound the number of batches moved
	// at once. The minimum does not apply to sealed logs.
	archiveMinBatches = 100
	archiveMaxBatches = 200
)

// archiveRow is the index row of an archive object, which contains the bills of
// the batches From to To.
type archiveRow struct {
	Object string `json:"object"`
	From   int64  `json:"from"`
	To     int64  `json:"to"`
	Bills  int    `json:"bills"`
}

func archiveKey(incarnation string, from int64) string {
	return fmt.Sprintf("%s%s/%012d", archivePrefix, incarnation, from)
}

// Archive moves old batches of an incarnation's log into one object and returns
// the number of batches.
//
// It writes the object first. One transaction then deletes the batches and adds
// the index row, on the condition that the head of the log has not changed.
// This condition fails for a daemon that was paused meanwhile, and for one of
// two that archive concurrently, so that every bill is always either in the
// table or in an indexed object.
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

// archiveRange returns the range of batches that may be moved, and whether there
// are enough of them. Batches from the oldest open bill on are not moved.
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

// writeArchive writes bills to an object as compressed JSON.
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

// readArchive reads an object that writeArchive wrote.
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

// listArchives returns the index rows whose keys start with prefix.
func listArchives(ctx context.Context, table backing.Table, prefix string) ([]archiveRow, error) {
	const maxRows = 1 << 20
	rows, err := table.List(ctx, prefix, "", maxRows)
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

// ArchiveDue archives old batches of every log that has enough of them, and
// returns the number of batches moved. It skips logs that change meanwhile; a
// later call archives those.
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
