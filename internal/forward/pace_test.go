package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// observed keeps what requests told of versions.
type observed struct {
	Versions
	all []shift.Observation
}

func (v *observed) Observe(_ string, o shift.Observation) { v.all = append(v.all, o) }

// newStreaming returns an attempt whose stream began a second ago.
func newStreaming(v Versions) *attempt {
	return &attempt{
		request: &request{
			Handler: &Handler{Deps: Deps{Versions: v}}, route: &catalog.Route{Name: "r"}, service: &catalog.Service{Name: "s"},
		},
		instance: inventory.Instance{Version: "v2"}, progress: progress{headAt: time.Now().Add(-time.Second)},
	}
}

// The streams of a bad version take ten seconds and more. Told at their ends only, their
// pace spoke against the version when all callers had met it for four seconds. It is told
// once, after the first events.
func TestPaceIsToldBeforeTheStreamEnds(t *testing.T) {
	v := &observed{}
	a := newStreaming(v)
	for range 2 * pacedEvents {
		a.noteEvent()
	}
	require.Len(t, v.all, 1)
	require.True(t, v.all[0].Unfinished, "neither a success nor a failure yet")
	require.GreaterOrEqual(t, v.all[0].Pace, time.Second/pacedEvents)
	o, ok := a.observation(inventory.OutcomeSuccess)
	require.True(t, ok)
	require.Zero(t, o.Pace, "not told twice")
	require.False(t, o.Unfinished)
}

// A caller leaves a stream that is written too slowly. Its outcome says nothing of the
// version, but its pace does.
func TestAbandonedStreamTellsItsPace(t *testing.T) {
	a := newStreaming(&observed{})
	a.noteEvent()
	_, ok := a.observation(inventory.OutcomeNone)
	require.False(t, ok, "one event has no pace")
	for a.events < leastPaced {
		a.noteEvent()
	}
	o, ok := a.observation(inventory.OutcomeNone)
	require.True(t, ok)
	require.True(t, o.Unfinished)
	require.GreaterOrEqual(t, o.Pace, time.Second/leastPaced)
}

// Guards against a version whose first events are late by seconds and that nothing speaks
// against until they come: what waits tells the least that it will take, and takes it back
// with each later word.
func TestOverdueRequestTellsWhatItHasTaken(t *testing.T) {
	a := newStreaming(&observed{})
	now := time.Now()
	a.headAt, a.sentAt, a.expected = time.Time{}, now.Add(-900*time.Millisecond), 500*time.Millisecond
	_, ok := a.overdue(now)
	require.False(t, ok, "it may still be usual")
	later := now.Add(600 * time.Millisecond)
	first, ok := a.overdue(later)
	require.True(t, ok)
	require.True(t, first.Unfinished)
	require.Equal(t, 1500*time.Millisecond, first.Latency)
	require.Zero(t, first.Reported)
	second, ok := a.overdue(later.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, first.Latency, second.Reported.Latency)
	a.headAt = later.Add(2 * time.Second)
	last, ok := a.observation(inventory.OutcomeSuccess)
	require.True(t, ok)
	require.Equal(t, 3500*time.Millisecond, last.Latency)
	require.Equal(t, second.Latency, last.Reported.Latency)
}

// Guards against a sound version that is held for slow by instances that have just started.
func TestWarmingInstanceSaysNothingOfItsVersion(t *testing.T) {
	a := newStreaming(&observed{})
	a.warming, a.sentAt = true, time.Now().Add(-time.Minute)
	_, ok := a.overdue(time.Now())
	require.False(t, ok)
	for range leastPaced {
		a.noteEvent()
	}
	o, ok := a.observation(inventory.OutcomeSuccess)
	require.True(t, ok)
	require.Zero(t, o.Latency)
	require.Zero(t, o.Pace)
	require.False(t, o.Bad)
}
