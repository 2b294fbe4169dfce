package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// A server answers that it is leaving while the store is unavailable. After the outage the
// list shows the server as ready, then omits it, then shows it again. The answer is newer than
// the row, so the server must get no requests. A new incarnation under the same ID, or another
// server at the same address, must be usable at once.
func TestLeavingMarkOutlivesTheListEntry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	first := Instance{ID: "i", Born: 5, Service: "s", Address: "127.0.0.1:1"}
	list := func(revision int64, all ...Instance) {
		require.True(t, table.Replace(Snapshot{Revision: revision, Instances: all}, time.Time{}))
		table.Expire()
	}
	usable := func() int { return len(table.Usable("s")) }
	list(1, first)
	require.True(t, table.NoteLeaving(first.Incarnation()))
	require.False(t, table.NoteLeaving(first.Incarnation()), "already known")
	require.Zero(t, usable())
	require.Equal(t, []Incarnation{first.Incarnation()}, table.RecentlyLeaving())
	list(2, first)
	require.Zero(t, usable(), "listed as ready")
	list(3)
	list(4, first)
	require.Zero(t, usable(), "listed again")
	require.True(t, table.IsLeaving(first.Incarnation()))

	next := first
	next.Born = 9
	list(5, next)
	require.Equal(t, 1, usable())
	require.False(t, table.IsLeaving(next.Incarnation()))
	other := Instance{ID: "j", Service: "s", Address: first.Address}
	list(6, other)
	require.Equal(t, 1, usable())

	clock.Advance(leavingGossipTime + time.Second)
	require.Empty(t, table.RecentlyLeaving())
	clock.Advance(leavingTime)
	table.Expire()
	require.Empty(t, table.leavingAt)
}

// A peer reports a leaving server that is not on this daemon's list yet. When the server is
// listed later, it must not be used.
func TestLeavingServerThatIsListedLater(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	i := Instance{ID: "i", Service: "s"}
	require.True(t, table.NoteLeaving(i.Incarnation()))
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{i}}, time.Time{})
	require.Empty(t, table.Usable("s"))
}
