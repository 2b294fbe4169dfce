package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/platform"
)

// SweepRows deletes the homes of keys without a prefix that no request may use
// any more, one page a call; see platform.Sweep. Such a key can then be used
// anew.
func SweepRows(ctx context.Context, t platform.Table, after string, now time.Time) (next string, deleted int, err error) {
	return platform.Sweep(ctx, t, rowPrefix, after, func(row platform.Row) bool {
		var home homeRow
		return json.Unmarshal(row.Value, &home) == nil && now.Sub(home.Issued) > Lifetime+2*Slack
	})
}
