package backing

import (
	"context"

	"github.com/gravitational/trace"
)

// sweepPage is how many rows a sweep looks at in one call.
const sweepPageSize = 200

// Sweep deletes the rows below a prefix that have expired, one page a call. It
// starts after the key after and returns the last key it looked at, or "" when
// it reached the end. A row that changes meanwhile stays.
func Sweep(ctx context.Context, t Table, prefix, after string, expired func(Row) bool) (next string, deleted int, err error) {
	rows, err := t.List(ctx, prefix, after, sweepPageSize)
	if err != nil {
		return after, 0, trace.Wrap(err)
	}
	for _, row := range rows {
		if !expired(row) {
			continue
		}
		_, err := t.Commit(ctx, Txn{Checks: []Check{{Key: row.Key, Revision: row.Revision}}, Deletes: []string{row.Key}})
		if err != nil && !trace.IsCompareFailed(err) {
			return after, deleted, trace.Wrap(err)
		}
		deleted++
	}
	if len(rows) < sweepPageSize {
		return "", deleted, nil
	}
	return rows[len(rows)-1].Key, deleted, nil
}
