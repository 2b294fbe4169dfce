package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against answers of the largest model that run into their deadline because the caller's
// estimate of their length is off: four answers in ten take twice the expected time.
func TestChanceFollowsTheSpreadOfAnswers(t *testing.T) {
	const expected = 2 * time.Second
	key := Key{"r", "large"}
	random := rand.New(rand.NewPCG(1, 1))
	steady, varied := NewSpreads(), NewSpreads()
	require.Greater(t, steady.Chance(key, expected, 3*expected), 0.9, "no answer has been seen")
	for range 400 {
		steady.Observe(key, expected, expected)
		took := expected
		if random.Float64() < 0.4 {
			took *= 2
		}
		varied.Observe(key, took, expected)
	}
	const left = 3 * time.Second
	require.Greater(t, steady.Chance(key, expected, left), 0.95)
	require.InDelta(t, 0.6, varied.Chance(key, expected, left), 0.2)
	require.Greater(t, varied.Chance(key, expected, 4*expected), 0.95)
	require.Zero(t, steady.Chance(key, expected, 0))
	require.Equal(t, 1.0, steady.Chance(key, 0, time.Second), "the time of an answer is not known")
}

// Guards against a second run whose chance to end in time is not worth its cost, and against a
// chance that replaces the objective.
func TestEscalationGoesByChance(t *testing.T) {
	worthwhile := func(confidence int, chance float64, firstEvent time.Duration) bool {
		return Escalation{
			Confidence: confidence, FirstEvent: firstEvent, Objective: 2 * time.Second, Timeout: 6 * time.Second,
			Total: time.Minute, InTime: chance, HasInTime: true,
		}.Worthwhile()
	}
	require.True(t, worthwhile(10, 0.9, time.Second))
	require.False(t, worthwhile(10, 0.45, time.Second))
	require.False(t, worthwhile(55, 0.9, time.Second))
	require.False(t, worthwhile(10, 0.9, 3*time.Second), "the first event would be late")
}
