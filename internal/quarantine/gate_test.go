package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// enterAsync enters a gate in a goroutine and returns the channel on which it passes leave.
func enterAsync(g *Gate, parts ...string) <-chan func() {
	entered := make(chan func(), 1)
	go func() { entered <- g.Enter(context.Background(), parts) }()
	return entered
}

func requireWaiting(t *testing.T, entered <-chan func()) {
	t.Helper()
	select {
	case <-entered:
		require.Fail(t, "a request was let through")
	case <-time.After(20 * time.Millisecond):
	}
}

// Guards against a burst of requests with a crashing part that all run before the first end of an
// instance has been judged: none runs until then, and one at a time after.
func TestGateLetsOneSuspectThroughAtATime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := NewGate(clock)
	g.Hold([]string{"ee"})
	first := enterAsync(g, "aa", "ee")
	second := enterAsync(g, "ee")
	requireWaiting(t, first)
	requireWaiting(t, second)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(gateHold)
	var leave func()
	select {
	case leave = <-first:
	case leave = <-second:
		first, second = second, first
	case <-time.After(10 * time.Second):
		require.Fail(t, "no request was let through")
	}
	requireWaiting(t, second)
	leave()
	(<-second)()
}

// Guards against sound requests that wait: those without a held part, those after a completion with
// it, and those that have waited for long enough.
func TestGateDelaysOnlySuspectsAndNotForLong(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := NewGate(clock)
	g.Enter(context.Background(), []string{"ee"})()
	g.Hold([]string{"ee"})
	g.Enter(context.Background(), []string{"aa", "bb"})()
	require.True(t, g.Holds([]string{"aa", "ee"}))
	waiting := enterAsync(g, "ee")
	requireWaiting(t, waiting)
	g.Open([]string{"ee"})
	(<-waiting)()
	require.False(t, g.Holds([]string{"ee"}))

	g.Hold([]string{"ee"})
	waiting = enterAsync(g, "ee")
	for range 4 {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		g.Hold([]string{"ee"})
		clock.Advance(maxGateWait / 4)
	}
	(<-waiting)()
	clock.Advance(gateTTL + time.Second)
	require.False(t, g.Holds([]string{"ee"}))
}

// Guards against a gate that grows with the parts of crashed requests.
func TestGateIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := NewGate(clock)
	var parts []string
	for n := range 2 * maxGated {
		parts = append(parts, fmt.Sprint(n))
	}
	g.Hold(parts)
	require.Len(t, g.parts, maxGated)
	clock.Advance(gateTTL + time.Second)
	g.Hold([]string{"ee"})
	require.Len(t, g.parts, 1)
}

// Guards against a request that leaves after its part is no longer held, or whose caller has left.
func TestGateIsLeftInAnyOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := NewGate(clock)
	g.Hold([]string{"ee"})
	clock.Advance(gateHold)
	leave := g.Enter(context.Background(), []string{"ee"})
	g.Open([]string{"ee"})
	g.Hold([]string{"ee"})
	leave()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	g.Enter(gone, []string{"ee"})()
}

// Guards against a part that is taken to be sound because an answer with it began a moment ago: only
// the longest running answer counts, of all daemons.
func TestLongestAnswerOfEachTrait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := NewInFlight(clock)
	old := f.Begin(&Suspect{Digest: Digest{1}, Parts: []string{"aa", "bb"}})
	clock.Advance(time.Second)
	f.Begin(&Suspect{Digest: Digest{2}, Organisation: "visrad", Parts: []string{"aa"}})
	clock.Advance(time.Second)
	asked := []Trait{{Part: "aa", Shared: true}, {Part: "cc", Shared: true}, {Request: Digest{2}}}
	running := f.Longest(asked)
	require.Equal(t, Running{asked[0]: 2 * time.Second, asked[2]: time.Second}, running)
	running.Merge(Running{asked[0]: time.Second, asked[1]: 5 * time.Second})
	require.Equal(t, Running{asked[0]: 2 * time.Second, asked[1]: 5 * time.Second, asked[2]: time.Second}, running)
	f.End(old)
	require.Equal(t, time.Second, f.Longest(asked)[asked[0]])
}
