package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

// SweepRows deletes the stored homes of keys without a prefix once they are
// older than Lifetime plus twice LifetimeMargin. It processes one page of rows
// per call; see backing.Sweep. A deleted key counts as unused from then on.
func SweepRows(ctx context.Context, t backing.Table, after string, now time.Time) (next string, deleted int, err error) {
	return backing.Sweep(ctx, t, rowPrefix, after, func(row backing.Row) bool {
		var home storedHome
		return json.Unmarshal(row.Value, &home) == nil && now.Sub(home.Issued) > Lifetime+2*LifetimeMargin
	})
}
