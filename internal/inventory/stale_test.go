package inventory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a list from an older backup of the store that adds a removed server again, and
// against a running server that stays excluded because of an earlier removal.
func TestStaleCopyDoesNotRestoreRemovedInstances(t *testing.T) {
	table, clock := newLimitTable()
	a, b := warmInstance("a"), warmInstance("b")
	table.Apply([]Change{{ID: a.ID}}, 2, time.Time{})
	table.Expire()
	table.SetStaleUntil(clock.Now().Add(time.Minute))
	whole := Snapshot{Revision: 1000, Instances: []Instance{a, b}, Doubted: map[string]time.Duration{a.ID: time.Minute}}
	require.True(t, table.Replace(whole, time.Time{}))
	require.Len(t, table.Usable("s"), 1)

	again := a
	again.Born = 7
	whole.Revision++
	whole.Instances, whole.Doubted = []Instance{again, b}, nil
	table.Replace(whole, time.Time{})
	require.Len(t, table.Usable("s"), 2, "another incarnation")

	table.Apply([]Change{{ID: b.ID}}, 1002, time.Time{})
	table.Apply([]Change{{ID: b.ID, Instance: &b}}, 1003, time.Time{})
	require.Len(t, table.Usable("s"), 2, "the entry was written again")

	table.Apply([]Change{{ID: b.ID}}, 1004, time.Time{})
	clock.Advance(2 * time.Minute)
	whole.Revision = 1005
	table.Replace(whole, time.Time{})
	require.Len(t, table.Usable("s"), 2, "the list can no longer be an outdated copy")
}
