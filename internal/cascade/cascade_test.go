package cascade

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The large model must not run if the gain is too small, or if its first event or its end
// would come too late.
func TestLargeModelRunsOnlyIfInTime(t *testing.T) {
	const objective, timeout = 4 * time.Second, 10 * time.Second
	require.True(t, Escalation{Confidence: 10, Elapsed: time.Second, Total: 3 * time.Second, Objective: objective, Timeout: timeout}.Worthwhile())
	require.False(t, Escalation{Confidence: 90, Elapsed: time.Second, Total: 3 * time.Second, Objective: objective, Timeout: timeout}.Worthwhile())
	require.False(t, Escalation{Confidence: 10, Elapsed: time.Second, Total: 8 * time.Second, Objective: objective, Timeout: timeout}.Worthwhile(), "the large model's answer would end too late")
	require.False(t, Escalation{Confidence: 10, Elapsed: time.Second, Total: 3 * time.Second, Objective: objective, Timeout: 4500 * time.Millisecond}.Worthwhile(), "the caller's timeout is shorter")
	require.False(t, Escalation{Confidence: 10, Elapsed: 3 * time.Second, FirstEvent: time.Second, Total: time.Second, Objective: objective, Timeout: timeout}.Worthwhile(), "the large model's first event would miss the objective")
}

// Overloaded engines run the largest model's answers into their deadline. That model must not
// run while this is expected, and must be tried again some seconds later.
func TestLatencyEstimateRisesAndDecays(t *testing.T) {
	const objective, timeout = 8 * time.Second, 8 * time.Second
	now := time.Now()
	latencies := NewLatencyEstimator()
	large := Key{"r", "large"}
	require.Zero(t, latencies.Estimate(large, 100, now))
	for range 10 {
		latencies.Observe(large, time.Second, time.Second, 50, now)
	}
	require.InDelta(t, 3, latencies.Estimate(large, 100, now).Seconds(), 0.01)
	for range 15 {
		latencies.Observe(large, 8*time.Second, 0, 50, now)
	}
	require.False(t, Escalation{Confidence: 0, Elapsed: 500 * time.Millisecond, Total: latencies.Estimate(large, 10, now), Objective: objective, Timeout: timeout}.Worthwhile())
	later := now.Add(2 * estimateHalfLife)
	require.True(t, Escalation{Confidence: 0, Elapsed: 500 * time.Millisecond, Total: latencies.Estimate(large, 10, later), Objective: objective, Timeout: timeout}.Worthwhile())
}

// Every third answer of the largest model shares its engine with long prompts and takes three
// times as long per token. A caller whose timeout covers the mean but not these answers must
// keep the small model's answer; otherwise one in 25 callers loses both answers.
func TestLatencyEstimateIncludesOverrun(t *testing.T) {
	now := time.Now()
	steady, varied := NewLatencyEstimator(), NewLatencyEstimator()
	key := Key{"r", "large"}
	for i := range 60 {
		steady.Observe(key, 500*time.Millisecond, 1500*time.Millisecond, 50, now)
		rest := 1000 * time.Millisecond
		if i%3 == 2 {
			rest = 3000 * time.Millisecond
		}
		varied.Observe(key, 500*time.Millisecond, rest, 50, now)
	}
	const objective, timeout = 4 * time.Second, 3300 * time.Millisecond
	require.InDelta(t, 2, steady.Estimate(key, 50, now).Seconds(), 0.05)
	require.True(t, Escalation{Confidence: 10, Elapsed: 300 * time.Millisecond, Total: steady.Estimate(key, 50, now), Objective: objective, Timeout: timeout}.Worthwhile())
	require.False(t, Escalation{Confidence: 10, Elapsed: 300 * time.Millisecond, Total: varied.Estimate(key, 50, now), Objective: objective, Timeout: timeout}.Worthwhile())
}

// As prompts wait longer, the small model's answer must be kept at lower and lower confidence.
func TestLongWaitsKeepSmallModelAnswer(t *testing.T) {
	worthwhile := func(confidence int, wait time.Duration) bool {
		return Escalation{
			Confidence: confidence, Elapsed: 100 * time.Millisecond, FirstEvent: time.Second, Total: 3 * time.Second,
			Wait: wait, Objective: 4 * time.Second, Timeout: 20 * time.Second,
		}.Worthwhile()
	}
	require.True(t, worthwhile(50, 0))
	require.False(t, worthwhile(70, 0), "the expected gain is below the cost of the run")
	require.False(t, worthwhile(50, time.Second))
	require.True(t, worthwhile(10, 2*time.Second))
	require.False(t, worthwhile(10, 5*time.Second))
}

// Engines process prompts at half the assumed rate, and later at twice that rate. The estimate
// must follow within a few answers.
func TestPrefillRateFollowsObservations(t *testing.T) {
	now := time.Now()
	p := &PrefillRate{}
	require.InDelta(t, 1, p.Estimate(initialRate, now).Seconds(), 0.01)
	observe := func(rate float64) {
		for range 20 {
			now = now.Add(500 * time.Millisecond)
			p.Observe(8000, CachedFirstEvent+time.Duration(8000/rate*float64(time.Second)), now)
		}
	}
	observe(initialRate / 2)
	require.InDelta(t, 2, p.Estimate(initialRate, now).Seconds(), 0.25)
	now = now.Add(2 * observationHalfLife)
	observe(initialRate * 2)
	require.InDelta(t, 0.5, p.Estimate(initialRate, now).Seconds(), 0.25)
	before := p.Estimate(initialRate, now)
	p.Observe(minWork/2, 10*time.Second, now)
	require.Equal(t, before, p.Estimate(initialRate, now), "work below minWork must be ignored")
}
