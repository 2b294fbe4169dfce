package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

// Guards against a restarted instance that is held to be as slow as its former incarnation, and
// against an entry of that one which is never freed.
func TestSpeedBelongsToOneIncarnation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	slow := Instance{ID: "a", Born: 1, Service: "s"}
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{slow, {ID: "b", Born: 1, Service: "s"}}}, time.Time{})
	kind := speed.Kind{Measure: speed.PlainAnswer, Name: "s"}
	for range 40 {
		table.ObserveSpeed(Instance{ID: "b", Born: 1}, kind, 0.03, false)
		table.ObserveSpeed(slow, kind, 0.18, false)
		table.ObserveSpeed(slow, kind, 0.01, true)
	}
	require.Greater(t, table.Usable("s")[0].Speed.Mean, 1.8)
	require.Less(t, table.Usable("s")[1].Speed.Mean, 0.6)
	table.MergeFleetSpeeds(table.TakeSpeeds(10))
	require.Empty(t, table.TakeSpeeds(10), "sent once")
	require.Empty(t, table.otherSpeeds, "own samples")

	restarted := slow
	restarted.Born = 2
	table.Replace(Snapshot{Revision: 2, Instances: []Instance{restarted, {ID: "b", Born: 1, Service: "s"}}}, time.Time{})
	table.ObserveSpeed(slow, kind, 0.18, false)
	require.Equal(t, speed.Factor{}, table.Usable("s")[0].Speed)
	require.Len(t, table.sampled, 1)
	clock.Advance(2 * time.Minute)
	table.MergeFleetSpeeds(nil)
	require.Empty(t, table.sampled)
	require.Equal(t, speed.Factor{}, table.Usable("s")[1].Speed)

	table.MergeFleetSpeeds(Speeds{restarted.Hash(): {Factor: 4, Weight: 30}})
	require.InDelta(t, 4, table.Usable("s")[0].Speed.Now, 0.3, "another daemon's samples")
}

// Guards against memory that stays counted after the end of its request or in a new incarnation.
func TestTokensAreReleased(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	engine := Instance{ID: "a", Born: 1, Service: "s"}
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{engine}}, time.Time{})
	table.HoldTokens(engine, 9000)
	table.HoldTokens(engine, 1000)
	require.Equal(t, 10_000.0, table.Usable("s")[0].OwnTokens)
	require.InDelta(t, 7000, table.Usable("s")[0].MeanTokens, 1)
	table.ReleaseTokens(engine, 9000)
	require.Equal(t, 1000.0, table.Usable("s")[0].OwnTokens)
	restarted := engine
	restarted.Born = 2
	table.Replace(Snapshot{Revision: 2, Instances: []Instance{restarted}}, time.Time{})
	table.ReleaseTokens(engine, 1000)
	require.Zero(t, table.Usable("s")[0].OwnTokens)
}
