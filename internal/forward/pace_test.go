package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// observationRecorder records the observations of requests.
type observationRecorder struct {
	Versions
	all []shift.Observation
}

func (v *observationRecorder) Observe(_ string, o shift.Observation) { v.all = append(v.all, o) }

// newStreamAttempt returns an attempt whose stream began one second ago.
func newStreamAttempt(v Versions) *attempt {
	return &attempt{
		request: &request{
			Handler: &Handler{Deps: Deps{Versions: v, Paths: directPaths{}}}, route: &catalog.Route{Name: "r"}, service: &catalog.Service{Name: "s"},
		},
		instance: inventory.Instance{Version: "v2"}, progress: progress{headAt: time.Now().Add(-time.Second)},
	}
}

// Guards against detecting a slow version too late. Its streams take ten seconds and more. If
// the pace were reported only at their ends, all callers would have used the version for four
// seconds by then. The pace is reported once, after the first events.
func TestPaceIsReportedBeforeStreamEnds(t *testing.T) {
	v := &observationRecorder{}
	a := newStreamAttempt(v)
	for range 2 * earlyPaceEvents {
		a.noteEvent("")
	}
	require.Len(t, v.all, 1)
	require.True(t, v.all[0].Unfinished, "neither a success nor a failure yet")
	require.GreaterOrEqual(t, v.all[0].Pace, time.Second/earlyPaceEvents)
	o, ok := a.finalObservation(inventory.OutcomeSuccess)
	require.True(t, ok)
	require.Zero(t, o.Pace, "reported only once")
	require.False(t, o.Unfinished)
}

// Guards against the loss of evidence when a caller abandons a stream that is too slow. The
// outcome of that stream says nothing about the version, but its pace does.
func TestAbandonedStreamReportsPace(t *testing.T) {
	a := newStreamAttempt(&observationRecorder{})
	a.noteEvent("")
	_, ok := a.finalObservation(inventory.OutcomeNone)
	require.False(t, ok, "one event has no pace")
	for a.eventCount < minPaceEvents {
		a.noteEvent("")
	}
	o, ok := a.finalObservation(inventory.OutcomeNone)
	require.True(t, ok)
	require.True(t, o.Unfinished)
	require.GreaterOrEqual(t, o.Pace, time.Second/minPaceEvents)
}

// Guards against a lack of evidence about a version whose first events are late by seconds,
// until they arrive. A waiting request reports the time so far as a lower bound of its latency.
// Each later observation replaces the one before.
func TestOverdueRequestReportsTimeSoFar(t *testing.T) {
	a := newStreamAttempt(&observationRecorder{})
	now := time.Now()
	a.headAt, a.sentAt, a.expectedFirstEvent = time.Time{}, now.Add(-900*time.Millisecond), 500*time.Millisecond
	_, ok := a.overdueObservation(now)
	require.False(t, ok, "not overdue yet")
	later := now.Add(600 * time.Millisecond)
	first, ok := a.overdueObservation(later)
	require.True(t, ok)
	require.True(t, first.Unfinished)
	require.Equal(t, 1500*time.Millisecond, first.Latency)
	require.Zero(t, first.Reported)
	second, ok := a.overdueObservation(later.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, first.Latency, second.Reported.Latency)
	a.headAt = later.Add(2 * time.Second)
	last, ok := a.finalObservation(inventory.OutcomeSuccess)
	require.True(t, ok)
	require.Equal(t, 3500*time.Millisecond, last.Latency)
	require.Equal(t, second.Latency, last.Reported.Latency)
}

// Guards against judging a healthy version as slow because its instances have just started.
func TestWarmingInstanceReportsNoTimes(t *testing.T) {
	a := newStreamAttempt(&observationRecorder{})
	a.warming, a.sentAt = true, time.Now().Add(-time.Minute)
	_, ok := a.overdueObservation(time.Now())
	require.False(t, ok)
	for range minPaceEvents {
		a.noteEvent("")
	}
	o, ok := a.finalObservation(inventory.OutcomeSuccess)
	require.True(t, ok)
	require.Zero(t, o.Latency)
	require.Zero(t, o.Pace)
	require.False(t, o.Bad)
}
