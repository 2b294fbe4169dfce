package cascade

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLargeModelRunsOnlyIfInTime(t *testing.T) {
	const objective, patience = 4 * time.Second, 10 * time.Second
	require.True(t, Larger{Confidence: 10, Elapsed: time.Second, Total: 3 * time.Second, Objective: objective, Patience: patience}.Worthwhile())
	require.False(t, Larger{Confidence: 90, Elapsed: time.Second, Total: 3 * time.Second, Objective: objective, Patience: patience}.Worthwhile())
	require.False(t, Larger{Confidence: 10, Elapsed: time.Second, Total: 8 * time.Second, Objective: objective, Patience: patience}.Worthwhile(), "the second answer would not end in time")
	require.False(t, Larger{Confidence: 10, Elapsed: time.Second, Total: 3 * time.Second, Objective: objective, Patience: 4500 * time.Millisecond}.Worthwhile(), "this caller waits for less")
	require.False(t, Larger{Confidence: 10, Elapsed: 3 * time.Second, Head: time.Second, Total: time.Second, Objective: objective, Patience: patience}.Worthwhile(), "the second answer would begin late")
}

// Engines are overloaded: answers of the large model run into their deadline.
// It is not asked while that is expected, and asked again some seconds after.
func TestLatencyEstimateRisesAndDecays(t *testing.T) {
	const objective, patience = 8 * time.Second, 8 * time.Second
	now := time.Now()
	ts := NewTimes()
	large := Kind{"r", "large"}
	require.Zero(t, ts.Expect(large, 100, now))
	for range 10 {
		ts.Note(large, time.Second, time.Second, 50, now)
	}
	require.InDelta(t, 3, ts.Expect(large, 100, now).Seconds(), 0.01)
	for range 15 {
		ts.Note(large, 8*time.Second, 0, 50, now)
	}
	require.False(t, Larger{Confidence: 0, Elapsed: 500 * time.Millisecond, Total: ts.Expect(large, 10, now), Objective: objective, Patience: patience}.Worthwhile())
	later := now.Add(2 * estimateHalfLife)
	require.True(t, Larger{Confidence: 0, Elapsed: 500 * time.Millisecond, Total: ts.Expect(large, 10, later), Objective: objective, Patience: patience}.Worthwhile())
}

// Every third answer of the large model meets an engine that reads long prompts
// and takes three times as long. A caller with time for the mean but not for
// those keeps the small model's answer: one in 25 callers lost both.
func TestLatencyEstimateIncludesOverrun(t *testing.T) {
	now := time.Now()
	steady, varied := NewTimes(), NewTimes()
	kind := Kind{"r", "large"}
	for i := range 60 {
		steady.Note(kind, 500*time.Millisecond, 1500*time.Millisecond, 50, now)
		rest := 1000 * time.Millisecond
		if i%3 == 2 {
			rest = 3000 * time.Millisecond
		}
		varied.Note(kind, 500*time.Millisecond, rest, 50, now)
	}
	const objective, patience = 4 * time.Second, 3300 * time.Millisecond
	require.InDelta(t, 2, steady.Expect(kind, 50, now).Seconds(), 0.05)
	require.True(t, Larger{Confidence: 10, Elapsed: 300 * time.Millisecond, Total: steady.Expect(kind, 50, now), Objective: objective, Patience: patience}.Worthwhile())
	require.False(t, Larger{Confidence: 10, Elapsed: 300 * time.Millisecond, Total: varied.Expect(kind, 50, now), Objective: objective, Patience: patience}.Worthwhile())
}

// Prompts wait longer and longer. Answers that are almost surely wrong are dropped for
// longer than those that are merely doubtful; with idle engines both are.
func TestLoadRaisesTheBarForLargeModel(t *testing.T) {
	asked := func(confidence int, wait time.Duration) bool {
		return Larger{
			Confidence: confidence, Elapsed: 100 * time.Millisecond, Head: time.Second, Total: 3 * time.Second,
			Wait: wait, Objective: 4 * time.Second, Patience: 20 * time.Second,
		}.Worthwhile()
	}
	require.True(t, asked(50, 0))
	require.False(t, asked(70, 0), "more likely right than the run is worth")
	require.False(t, asked(50, time.Second))
	require.True(t, asked(10, 2*time.Second))
	require.False(t, asked(10, 5*time.Second))
}

// Engines turn out half as fast as was taken, and later twice as fast: the expected
// time follows within a few answers, also without many observations.
func TestPrefillRateFollowsObservations(t *testing.T) {
	now := time.Now()
	p := &Pace{}
	require.InDelta(t, 1, p.Expect(initialRate, now).Seconds(), 0.01)
	observe := func(pace float64) {
		for range 20 {
			now = now.Add(500 * time.Millisecond)
			p.Note(8000, BaseHead+time.Duration(8000/pace*float64(time.Second)), now)
		}
	}
	observe(initialRate / 2)
	require.InDelta(t, 2, p.Expect(initialRate, now).Seconds(), 0.25)
	now = now.Add(2 * observationHalfLife)
	observe(initialRate * 2)
	require.InDelta(t, 0.5, p.Expect(initialRate, now).Seconds(), 0.25)
	before := p.Expect(initialRate, now)
	p.Note(minWork/2, 10*time.Second, now)
	require.Equal(t, before, p.Expect(initialRate, now), "a short prompt says nothing of the pace")
}
