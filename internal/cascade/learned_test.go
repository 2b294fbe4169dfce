package cascade

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a daemon that restarts and estimates without the observations of its peers, and
// against values of a peer that replace newer observations or cannot be true.
func TestLearnedValuesFillGaps(t *testing.T) {
	now := time.Unix(1000, 0)
	key, own := Key{Route: "r", Model: "large"}, Key{Route: "own", Model: "large"}
	old, fresh := NewLatencyEstimator(), NewLatencyEstimator()
	old.Observe(key, time.Second, 2*time.Second, 10, now)
	old.Observe(own, time.Second, 2*time.Second, 10, now)
	fresh.Observe(own, time.Millisecond, time.Millisecond, 10, now)
	before := fresh.Estimate(own, 10, now)
	now = now.Add(time.Second)
	require.Equal(t, 1, fresh.Adopt(append(old.Export(now), LearnedLatency{Key: Key{Route: "bad"}, FirstEvent: math.NaN()}), now))
	require.Equal(t, old.Estimate(key, 10, now), fresh.Estimate(key, 10, now))
	require.InDelta(t, before, fresh.Estimate(own, 10, now.Add(-time.Second)), float64(time.Microsecond))
	require.Zero(t, fresh.Estimate(Key{Route: "bad"}, 10, now))

	var rate, freshRate PrefillRate
	rate.Observe(50_000, time.Second, now)
	freshRate.Observe(2_000, time.Second, now)
	work, seconds := rate.Export(now)
	freshRate.Adopt(work, seconds, now)
	require.Equal(t, rate.Estimate(1000, now), freshRate.Estimate(1000, now))

	means, freshMeans := NewConfidenceMeans(), NewConfidenceMeans()
	means.Observe(key, 90)
	freshMeans.Observe(own, 10)
	mean := freshMeans.Mean(own)
	freshMeans.Adopt(append(means.Export(), LearnedConfidence{Key: own, Mean: 99, Answers: 5}, LearnedConfidence{Key: Key{Route: "bad"}, Mean: 900, Answers: 5}))
	require.Equal(t, means.Mean(key), freshMeans.Mean(key))
	require.Equal(t, mean, freshMeans.Mean(own))
	require.Equal(t, int(assumedConfidence), freshMeans.Mean(Key{Route: "bad"}))
}
