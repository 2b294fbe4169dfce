package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against daemons that send more to an instance together than it has slots, or leave some of
// them unused, whether there are more daemons than slots or fewer.
func TestQuotasAddUpToTheSlots(t *testing.T) {
	for slots := 1; slots <= 130; slots += 3 {
		for daemons := 1; daemons <= 200; daemons += 7 {
			sum := 0
			for rank := range daemons {
				sum += shareOfSlots(slots, rank, daemons)
			}
			require.Equal(t, slots, sum)
		}
	}
	require.Equal(t, 4, shareOfSlots(4, 0, 0))
}

// Guards against a service that stays fragile after its answers no longer say so, one that is lifted
// by an answer to an older request, and daemons that keep each other's belief alive.
func TestFragileServices(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	sent := clock.Now()
	clock.Advance(time.Millisecond)
	require.True(t, table.NoteFragile("s", true, sent))
	require.False(t, table.NoteFragile("s", true, sent))
	require.True(t, table.IsFragile("s"))
	require.Equal(t, []string{"s"}, table.FragileNews())
	require.False(t, table.NoteFragile("s", false, sent), "the answer is older")
	require.True(t, table.IsFragile("s"))
	clock.Advance(fragileNewsTime)
	require.Empty(t, table.FragileNews())
	require.True(t, table.NoteFragile("s", false, clock.Now()))
	require.False(t, table.IsFragile("s"))
	require.False(t, table.NoteFragile("s", false, clock.Now()))

	require.Equal(t, []string{"s"}, table.MergeFragile([]string{"s"}))
	require.Empty(t, table.MergeFragile([]string{"s"}))
	require.True(t, table.IsFragile("s"))
	require.Empty(t, table.FragileNews(), "not passed on")
	clock.Advance(fragileNewsTime)
	require.False(t, table.IsFragile("s"))
}

// Guards against quotas in deployments whose instances ask for none.
func TestOnlyFragileServicesHaveQuotas(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.SetRanks(func(string) (int, int) { return 1, 3 })
	table.Apply([]Change{{Instance: &Instance{ID: "a", Service: "s", Address: "h:1", Version: "v", Slots: 4}}}, 1, time.Time{})
	const none = -1
	quota := func() int {
		if v := table.Usable("s")[0]; v.HasQuota {
			return v.Quota
		}
		return none
	}
	require.Equal(t, none, quota())
	table.NoteFragile("s", true, clock.Now())
	require.Equal(t, 1, quota())
	table.SetRanks(func(string) (int, int) { return 0, 1 })
	require.Equal(t, 1, quota())
	clock.Advance(2 * quotaTTL)
	require.Equal(t, 4, quota())
	clock.Advance(fragileTTL)
	require.Equal(t, none, quota())
}
