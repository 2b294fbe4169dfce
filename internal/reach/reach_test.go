package reach

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const name = "engines"

// newCutOff returns a tracker that knows that the daemon is cut off.
func newCutOff(t *testing.T) (*Tracker, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(clock)
	cutOff(t, tracker)
	return tracker, clock
}

func cutOff(t *testing.T, tracker *Tracker) {
	tracker.Failed(name, "a", time.Time{}, false)
	tracker.Failed(name, "b", time.Time{}, false)
	require.True(t, tracker.BeginCheck(name))
	cut, _ := tracker.EndCheck(name, 1)
	require.True(t, cut)
}

// Guards against taking servers that are down for a daemon that is cut off.
func TestServersThatNobodyReachesAreNoCut(t *testing.T) {
	tracker := NewTracker(clockwork.NewFakeClock())
	tracker.Failed(name, "a", time.Time{}, false)
	tracker.Failed(name, "b", time.Time{}, false)
	require.Equal(t, []string{name}, tracker.Due())
	require.True(t, tracker.BeginCheck(name))
	cut, _ := tracker.EndCheck(name, 0)
	require.False(t, cut)
	require.Empty(t, tracker.CutOffServices())
}

// Guards against daemons that go on asking all others at a high rate while the servers are down.
func TestFruitlessChecksBecomeRare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(clock)
	checks := 0
	for range 300 {
		tracker.Failed(name, "a", time.Time{}, false)
		tracker.Failed(name, "b", time.Time{}, false)
		if len(tracker.Due()) > 0 {
			require.True(t, tracker.BeginCheck(name))
			tracker.EndCheck(name, 0)
			checks++
		}
		clock.Advance(100 * time.Millisecond)
	}
	require.Less(t, checks, 15)
	tracker.Reached(name, tracker.clock.Now())
	require.Zero(t, tracker.Fruitless(name))
}

// Guards against asking other daemons for each instance that ends.
func TestSingleFailedInstanceIsNotAskedAbout(t *testing.T) {
	tracker := NewTracker(clockwork.NewFakeClock())
	tracker.Failed(name, "a", time.Time{}, false)
	require.Empty(t, tracker.FailedInstances(name, 4))
	require.Equal(t, []string{"a"}, tracker.FailedInstances(name, 1))
	tracker.Reached(name, tracker.clock.Now())
	tracker.Failed(name, "b", time.Time{}, false)
	require.Empty(t, tracker.FailedInstances(name, 4))
}

// Guards against a cut that is concluded after a direct connection has succeeded.
func TestConnectionDuringCheckWins(t *testing.T) {
	tracker := NewTracker(clockwork.NewFakeClock())
	tracker.Failed(name, "a", time.Time{}, false)
	tracker.Failed(name, "b", time.Time{}, false)
	require.True(t, tracker.BeginCheck(name))
	require.False(t, tracker.BeginCheck(name), "one check at a time")
	tracker.Reached(name, tracker.clock.Now())
	cut, _ := tracker.EndCheck(name, 3)
	require.False(t, cut)
}

// Guards against a cut that is noticed only when open connections time out.
func TestSilentServiceIsChecked(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(clock)
	tracker.Sent(name)
	clock.Advance(silentAfter - time.Millisecond)
	require.Empty(t, tracker.Due())
	tracker.Heard(name)
	clock.Advance(silentAfter - time.Millisecond)
	require.Empty(t, tracker.Due())
	clock.Advance(time.Millisecond)
	require.Equal(t, []string{name}, tracker.Due())
	tracker.Answered(name, true)
	clock.Advance(time.Minute)
	require.Empty(t, tracker.Due(), "nothing is waiting")
}

// Guards against requests that are broken off though only new connections fail.
func TestOpenConnectionsThatLiveOnAreNotSilent(t *testing.T) {
	tracker, clock := newCutOff(t)
	require.True(t, tracker.IsSilent(name))
	clock.Advance(time.Millisecond)
	tracker.Heard(name)
	require.False(t, tracker.IsSilent(name))
}

// Guards against a daemon that stays cut off after its links are back.
func TestCutEndsAfterProbes(t *testing.T) {
	tracker, clock := newCutOff(t)
	end := clock.Now().Add(2 * time.Second)
	for {
		clock.Advance(probeInterval)
		require.True(t, clock.Now().Before(end))
		require.True(t, tracker.ProbeDue(name))
		require.False(t, tracker.ProbeDue(name), "one probe at a time")
		if tracker.Reached(name, tracker.clock.Now()) {
			break
		}
	}
	require.Empty(t, tracker.CutOffServices())
}

// Guards against a daemon that changes its way with each change of a link that comes and goes.
func TestFlappingLinkNeedsMoreProbes(t *testing.T) {
	tracker, clock := newCutOff(t)
	needed := func() int {
		for n := 1; ; n++ {
			clock.Advance(probeInterval)
			if tracker.Reached(name, tracker.clock.Now()) {
				return n
			}
		}
	}
	first := needed()
	cutOff(t, tracker)
	clock.Advance(probeInterval)
	require.False(t, tracker.Reached(name, tracker.clock.Now()))
	tracker.Failed(name, "a", time.Time{}, false)
	require.Greater(t, needed(), first)
	clock.Advance(flapTime)
	cutOff(t, tracker)
	require.Equal(t, first, needed())
}

// Guards against a slow or silent network that is taken for slow instances.
func TestUnansweredRequestsOfSilentServiceProveNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(clock)
	tracker.Sent(name)
	sentAt := clock.Now()
	clock.Advance(time.Second)
	require.False(t, tracker.HeardSince(name, sentAt))
	tracker.Heard(name)
	require.True(t, tracker.HeardSince(name, sentAt))
	tracker.Failed(name, "a", time.Time{}, false)
	require.False(t, tracker.HeardSince(name, sentAt))
}

// Guards against a cut of new connections that is not noticed because old ones go on answering, and
// against failures that newer answers refute.
func TestOnlyNewerConnectionsRefuteFailures(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(clock)
	old := clock.Now()
	clock.Advance(time.Second)
	tracker.Failed(name, "a", clock.Now(), false)
	tracker.Failed(name, "b", clock.Now(), false)
	tracker.Reached(name, old)
	require.Len(t, tracker.FailedInstances(name, 4), 2)
	clock.Advance(time.Second)
	tracker.Reached(name, clock.Now())
	require.Empty(t, tracker.FailedInstances(name, 4))
}

// Guards against taking idle connections that servers have closed for a cut.
func TestAnyAnswerRefutesBrokenOldConnections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(clock)
	old := clock.Now()
	clock.Advance(time.Second)
	tracker.Failed(name, "a", clock.Now(), true)
	tracker.Failed(name, "b", clock.Now(), true)
	tracker.Reached(name, old)
	require.Empty(t, tracker.FailedInstances(name, 4))
}

// Guards against a cut that ends because an open connection lives on.
func TestOldConnectionsDoNotEndACut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(clock)
	old := clock.Now()
	clock.Advance(time.Second)
	cutOff(t, tracker)
	for range 10 {
		clock.Advance(probeInterval)
		require.False(t, tracker.Reached(name, old))
	}
	require.NotEmpty(t, tracker.CutOffServices())
}
