package backing

import (
	"context"

	"github.com/gravitational/trace"
)

// sweepPageSize is the number of rows that one call of Sweep examines.
const sweepPageSize = 200

// Sweep deletes the expired rows of one page, among the rows whose keys start
// with prefix and are greater than after. It returns the last key of the page
// as the start of the next call, or "" if this is the last page, and how many
// expired rows the page had. A row that changes between reading and deletion is
// kept but counted.
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
