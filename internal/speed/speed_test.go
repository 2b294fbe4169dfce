package speed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// Guards against a factor that one slow answer sets, that hides a lasting change, or that stays
// after the instance has given no data for a while.
func TestFactorFollowsSamplesAndIsForgotten(t *testing.T) {
	var e *Estimator
	require.Equal(t, Factor{}, e.Factor(Others{}, start))
	e = &Estimator{}
	e.Observe(6, start)
	require.Less(t, e.Factor(Others{}, start).Mean, 3.0)
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		e.Observe(6, now)
	}
	require.InDelta(t, 6, e.Factor(Others{}, now).Mean, 0.6)
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		e.Observe(1, now)
	}
	require.InDelta(t, 1, e.Factor(Others{}, now).Mean, 0.15)
	e.Observe(1e9, now)
	e.Observe(0, now)
	e.Observe(-1, now)
	require.Less(t, e.Factor(Others{}, now).Now, 2.0)

	slow := Others{Sample: Sample{Factor: 6, Weight: 50}, At: start}
	require.InDelta(t, 6, (*Estimator)(nil).Factor(slow, start).Now, 0.3)
	require.Greater(t, (*Estimator)(nil).Factor(slow, start.Add(dataTTL)).Mean, 4.0)
	require.InDelta(t, 1, (*Estimator)(nil).Factor(slow, start.Add(dataTTL+10*time.Second)).Mean, 0.1)
	require.Less(t, e.Unsent(now.Add(dataTTL+20*time.Second)).Weight, 0.05, "old samples must not be kept alive by the exchange")
}

// The reported slowdown counts at once, and is gone some hundred milliseconds later.
func TestReportedSlowdownIsMomentary(t *testing.T) {
	e, now := &Estimator{}, start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		e.Observe(1.2, now)
		e.Report(1, now)
	}
	e.Report(2.5, now)
	require.InDelta(t, 3, e.Factor(Others{}, now).Now, 0.15)
	require.InDelta(t, 1.2, e.Factor(Others{}, now).Mean, 0.05)
	require.InDelta(t, 1.2, e.Factor(Others{}, now.Add(time.Second)).Now, 0.1)
	e.Report(1, now.Add(time.Second))
	require.InDelta(t, 1.2, e.Factor(Others{}, now.Add(time.Second)).Now, 0.1)
}

// A daemon must not count its own samples twice when it gets them back in the sum of all.
func TestOwnSamplesAreTakenOutOfTheSum(t *testing.T) {
	own, other := Sample{Factor: 2, Weight: 10}, Sample{Factor: 0.5, Weight: 30}
	rest := own.Sum(other).Without(own)
	require.InDelta(t, 0.5, rest.Factor, 1e-9)
	require.InDelta(t, 30, rest.Weight, 1e-9)
	require.Zero(t, Sample{Factor: 2, Weight: 10.4}.Without(own).Weight, "the precision of the exchange")
	require.Equal(t, 1.0, Sample{}.Sum(Sample{}).Factor)
}

// Amounts of a kind are compared with each other, not with those of others, and a first amount is
// no standard yet.
func TestUsualAmounts(t *testing.T) {
	var m Means
	for range minUsual {
		_, ok := m.Compare(Kind{PlainAnswer, "a", ""}, 0.03, start)
		require.False(t, ok)
		m.Add(Kind{Tokens, "a", ""}, 1000, start)
	}
	multiple, ok := m.Compare(Kind{PlainAnswer, "a", ""}, 0.18, start)
	require.True(t, ok)
	require.InDelta(t, 6, multiple, 0.01)
	_, ok = m.Compare(Kind{PlainAnswer, "b", ""}, 0.18, start)
	require.False(t, ok)
	m.Add(Kind{Tokens, "a", ""}, 9000, start)
	require.InDelta(t, 17000.0/9, m.Mean(Kind{Tokens, "a", ""}, 0), 0.1)
	require.Equal(t, 7.0, m.Mean(Kind{Tokens, "b", ""}, 7))
}
