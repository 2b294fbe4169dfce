package shift

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against losing the evidence of daemons that restart during a roll-out, the lease
// holder last. Without it, callers would keep getting a version that fails a third of its
// requests, because each restart would begin the evidence again.
func TestEvidenceOfEndedDaemonsCounts(t *testing.T) {
	seen := func(from string, requests, bad int) Evidence {
		return Evidence{Order: 7, From: from, Fresh: counts(requests, bad), Old: counts(10*requests, 0)}
	}
	holder := NewTally(7)
	holder.Update(seen("a", 20, 6))
	holder.Update(seen("b", 20, 7))
	holder.Update(seen("a-restarted", 5, 1))
	holder.Update(Evidence{Order: 6, From: "b", Fresh: counts(900, 0)})
	require.Equal(t, counts(45, 14), holder.Totals().Fresh)

	next := NewTally(7)
	next.Update(seen("b", 22, 8))
	next.Update(seen("a-restarted", 5, 1))
	next.Restore(holder.Totals())
	require.Equal(t, 45, next.Totals().Fresh.Total().Requests, "reports of live daemons are not counted twice")
	next.Update(seen("b", 30, 10))
	require.Equal(t, 53, next.Totals().Fresh.Total().Requests)

	alone := NewTally(7)
	alone.Restore(holder.Totals())
	require.True(t, Regressed(alone.Totals().Fresh, alone.Totals().Old))
}

// Guards against completing a version without any answer under full load. All daemons were
// killed, and the one that takes the lease finds that the allowed time is over. It must not
// move all sessions and complete the version in one decision.
func TestLateRolloutIsNotCompletedWithoutAnswers(t *testing.T) {
	s := State{Order: 7, Service: "engines", To: "v2", Phase: Running, Share: limit.FirstShare(), Step: 1}
	in := DecisionInput{Elapsed: allowed + 13*time.Second, Fresh: counts(31, 1), Old: counts(438, 8)}
	moved := NextState(s, order, in, limit)
	require.Equal(t, 1.0, moved.Share)
	require.Equal(t, Running, NextState(moved, order, in, limit).Phase, "nothing answered since")
	in.Fresh = counts(31+maxCompletionRequests, 1)
	require.Equal(t, Completed, NextState(moved, order, in, limit).Phase)
}

// Guards against a bad version staying in use while no daemon holds the lease and the store is
// unavailable. A stop applies whatever step a daemon has seen, a daemon that starts later
// receives it with the state, and the next lease holder rolls the version back.
func TestStopWithoutLeaseHolder(t *testing.T) {
	tracker := newTracker(clockwork.NewFakeClock())
	tracker.AddOrder(order)
	running := State{Order: 7, Service: "engines", To: "v2", Phase: Running, Share: 1, Step: 3}
	require.True(t, tracker.ApplyState(running))
	require.Equal(t, "v2", preferredVersion(tracker, "x"))
	stop := running
	stop.Step, stop.Stopped = 2, true
	require.True(t, tracker.ApplyState(stop))
	require.False(t, tracker.ApplyState(stop))
	require.Equal(t, "v1", preferredVersion(tracker, "x"))
	running.Step = 4
	require.True(t, tracker.ApplyState(running))
	require.Equal(t, "v1", preferredVersion(tracker, "x"), "a later step without the stop does not undo it")

	_, states := tracker.Orders()
	started := newTracker(clockwork.NewFakeClock())
	started.AddOrder(order)
	require.True(t, started.ApplyState(states[0]))
	require.Equal(t, "v1", preferredVersion(started, "x"))
	require.Equal(t, RolledBack, NextState(states[0], order, DecisionInput{Elapsed: 9 * time.Second}, limit).Phase)
}

// Guards against all sessions moving to a version that takes eight times as long for 40% of
// its requests. The few answers of the first share do not reject it; it stays on that share
// and is rolled back when its time is over. A version whose answers take as long as expected,
// on instances that have not processed any prompt yet, moves on.
func TestPartlySlowVersionIsHeldBack(t *testing.T) {
	sample := func(random *rand.Rand, requests int, slow float64) Counts {
		var c Count
		for range requests {
			expected := time.Duration((0.1 + random.Float64()) * float64(time.Second))
			took := time.Duration(float64(expected) * math.Exp(0.5*random.NormFloat64()))
			if random.Float64() < slow {
				took *= 8
			}
			c.add(Observation{Latency: took, Expected: expected})
		}
		return Counts{"r": c}
	}
	s := State{Order: 7, Service: "engines", To: "v2", Phase: Running, Share: limit.FirstShare(), Step: 1}
	moved, held := 0, 0
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 1))
		old := sample(random, 2000, 0)
		good := DecisionInput{Elapsed: allowed - time.Second, Fresh: sample(random, 45, 0), Old: old}
		if NextState(s, order, good, limit).Share == 1 {
			moved++
		}
		bad := DecisionInput{Elapsed: allowed - time.Second, Fresh: sample(random, 45, 0.4), Old: old}
		if NextState(s, order, bad, limit).Phase == RolledBack {
			held++
		}
	}
	require.Equal(t, 100, moved)
	require.Greater(t, held, 95)
}

// Guards against a version that fails twice as often as an old one that fails 20% of its
// requests. If the test compared it with twice the old rate only, it would never reject such a
// version. The counts are those of 88 daemons after ten seconds of a first share of 12 requests
// a second.
func TestVersionThatFailsTwiceAsOftenIsRejected(t *testing.T) {
	fresh := Counts{"r/m": {Requests: 233, Bad: 96}}
	old := Counts{"r/m": {Requests: 16457, Bad: 3395}}
	require.True(t, Regressed(fresh, old))
}

// A version that fails as often as an old one with 20% failures is not rejected, however many
// decisions are taken.
func TestVersionThatFailsAsOftenIsKept(t *testing.T) {
	const rate, looks, seeds = 0.2, 100, 200
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		var fresh, old Count
		for range looks {
			for range 10 {
				fresh.add(Observation{Bad: random.Float64() < rate})
			}
			for range 150 {
				old.add(Observation{Bad: random.Float64() < rate})
			}
			require.False(t, Regressed(Counts{"r": fresh}, Counts{"r": old}), "seed %d, %d of %d", seed, fresh.Bad, fresh.Requests)
		}
	}
}

// Guards against a version that takes twice the expected time to the first event and writes
// five times as slowly, while 14% of all requests fail. Its streams end too late or are
// abandoned by their callers, and the time to the first event alone does not reject it. A version
// whose streams take 1.5 times as long, on instances that read every prompt again, is kept.
func TestVersionThatWritesSlowlyIsRejected(t *testing.T) {
	sample := func(random *rand.Rand, requests int, head float64, paces ...float64) Counts {
		c := map[string]Count{}
		for i := range requests {
			kind := []string{"long", "short"}[i%2]
			gap := []float64{0.03, 0.05}[i%2] * paces[i%2] * math.Exp(0.5*random.NormFloat64())
			one := c[kind]
			one.add(Observation{
				Bad: random.Float64() < 0.14, Unfinished: random.Float64() < 0.2,
				Expected: time.Second, Latency: time.Duration(head * math.Exp(0.5*random.NormFloat64()) * float64(time.Second)),
				Pace: time.Duration(gap * float64(time.Second)),
			})
			c[kind] = one
		}
		return c
	}
	rejected, oneKind, kept := 0, 0, 0
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 4))
		old := sample(random, 3000, 1, 1, 1)
		if Regressed(sample(random, 40, 2, 5, 5), old) {
			rejected++
		}
		if Regressed(sample(random, 40, 1, 1, 5), old) {
			oneKind++
		}
		if !Regressed(sample(random, 70, 1, 1.5, 1.5), old) {
			kept++
		}
	}
	require.Equal(t, 100, rejected)
	require.Greater(t, oneKind, 95, "only one kind of request is written slowly")
	require.Equal(t, 100, kept)
}
