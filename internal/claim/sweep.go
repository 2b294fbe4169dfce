package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

// SweepRows deletes the homes of keys without a prefix that no request may use
// any more, one page a call; see backing.Sweep. Such a key can then be used
// anew.
func SweepRows(ctx context.Context, t backing.Table, after string, now time.Time) (next string, deleted int, err error) {
	return backing.Sweep(ctx, t, rowPrefix, after, func(row backing.Row) bool {
		var home homeRow
		return json.Unmarshal(row.Value, &home) == nil && now.Sub(home.Issued) > Lifetime+2*Slack
	})
}
