package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against memory that is taken by slow callers: those that will hold the most for the
// longest are aborted first, and no request that does not wait for its caller, or has waited only
// for a moment.
func TestSlowestAndLargestAreAbortedFirst(t *testing.T) {
	now := time.Now()
	b := NewHeldBytes(1143 << 10)
	var aborted []string
	open := func(name string, kb, taken int, waiting time.Duration) *Holding {
		g := b.Open(func() { aborted = append(aborted, name) })
		require.True(t, g.Grow(kb<<10, now))
		if waiting > 0 {
			g.BeginWait(now.Add(-waiting - time.Second))
			g.EndWait(taken, now.Add(-waiting))
			g.BeginWait(now.Add(-waiting))
		}
		return g
	}
	running := open("running", 290, 0, 0)
	open("moment", 200, 0, 100*time.Millisecond)
	open("tiny", 10, 0, 900*time.Millisecond)
	less := open("small and slow", 100, 10, 900*time.Millisecond)
	open("fast", 200, 100_000, 900*time.Millisecond)
	large := open("large and slow", 200, 10, 900*time.Millisecond)
	require.True(t, running.Grow(150<<10, now))
	require.Equal(t, []string{"large and slow"}, aborted)
	require.False(t, large.Grow(1, now))
	large.Close()
	require.Equal(t, 950<<10, b.Used())
	require.True(t, running.Grow(100<<10, now))
	require.True(t, less.Aborted())
	require.True(t, running.Grow(150<<10, now))
	require.Equal(t, []string{"large and slow", "small and slow", "fast"}, aborted)
	require.False(t, running.Grow(300<<10, now), "no other waits for its caller")
	open("new and small", 16, 0, 0)
	later := now.Add(150 * time.Millisecond)
	require.True(t, running.Grow(200<<10, later))
	require.Equal(t, []string{"large and slow", "small and slow", "fast", "moment"}, aborted)
	running.Close()
	require.Equal(t, 26<<10, b.Used())
}
