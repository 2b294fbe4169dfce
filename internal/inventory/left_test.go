package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// A server answers that it leaves, while the store is away. Afterwards the list says that it
// is ready, lacks it, and has it again. It gets nothing: what it answered is newer. Its next
// life, under the same ID or at the same address, is used at once.
func TestWhatAServerAnsweredOutlivesItsEntry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	first := Instance{ID: "i", Born: 5, Service: "s", Address: "127.0.0.1:1"}
	list := func(revision int64, all ...Instance) {
		require.True(t, table.Replace(Snapshot{Revision: revision, Instances: all}, time.Time{}))
		table.Expire()
	}
	usable := func() int { return len(table.Usable("s")) }
	list(1, first)
	require.True(t, table.NoteLeaving(first.Life()))
	require.False(t, table.NoteLeaving(first.Life()), "known")
	require.Zero(t, usable())
	require.Equal(t, []Life{first.Life()}, table.LeftLately())
	list(2, first)
	require.Zero(t, usable(), "listed as ready")
	list(3)
	list(4, first)
	require.Zero(t, usable(), "listed again")
	require.True(t, table.Leaves(first.Life()))

	next := first
	next.Born = 9
	list(5, next)
	require.Equal(t, 1, usable())
	require.False(t, table.Leaves(next.Life()))
	other := Instance{ID: "j", Service: "s", Address: first.Address}
	list(6, other)
	require.Equal(t, 1, usable())

	clock.Advance(toldLeftTime + time.Second)
	require.Empty(t, table.LeftLately())
	clock.Advance(leftTime)
	table.Expire()
	require.Empty(t, table.leftAt)
}

// A peer tells of a server that this daemon has not on its list yet. Listed later, it is
// not used.
func TestLeavingServerThatIsNotListedYet(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	i := Instance{ID: "i", Service: "s"}
	require.True(t, table.NoteLeaving(i.Life()))
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{i}}, time.Time{})
	require.Empty(t, table.Usable("s"))
}
