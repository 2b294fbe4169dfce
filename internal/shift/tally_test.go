package shift

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// A roll-out is under way. One after the other the daemons that have seen its
// failures are restarted, and at last the holder too. What they had seen must still
// count: users of a version that failed a third of their requests met it until it
// was looked at from nothing.
func TestEvidenceOutlivesItsDaemons(t *testing.T) {
	seen := func(from string, requests, bad int) Evidence {
		return Evidence{Order: 7, From: from, Fresh: counts(requests, bad), Old: counts(10*requests, 0)}
	}
	holder := NewTally(7)
	holder.Take(seen("a", 20, 6))
	holder.Take(seen("b", 20, 7))
	holder.Take(seen("a-restarted", 5, 1))
	holder.Take(Evidence{Order: 6, From: "b", Fresh: counts(900, 0)})
	require.Equal(t, counts(45, 14), holder.Seen().Fresh)

	next := NewTally(7)
	next.Take(seen("b", 22, 8))
	next.Take(seen("a-restarted", 5, 1))
	next.Resume(holder.Seen())
	require.Equal(t, 45, next.Seen().Fresh.Total().Requests, "what the living have told is not counted twice")
	next.Take(seen("b", 30, 10))
	require.Equal(t, 53, next.Seen().Fresh.Total().Requests)

	alone := NewTally(7)
	alone.Resume(holder.Seen())
	require.True(t, Bad(alone.Seen().Fresh, alone.Seen().Old))
}

// All daemons were killed, and the one that takes the duty finds that the time for
// the roll-out was over long ago. It moved all sessions and completed the version
// in one look, before any answer was given, though it had failed a fifth of the few
// requests it got.
func TestLateRolloutIsNotCompletedUnseen(t *testing.T) {
	s := State{Order: 7, Service: "engines", To: "v2", Phase: Running, Share: limit.FirstShare(), Step: 1}
	k := Known{Elapsed: allowed + 13*time.Second, Fresh: counts(31, 1), Old: counts(438, 8)}
	moved := Next(s, order, k, limit)
	require.Equal(t, 1.0, moved.Share)
	require.Equal(t, Running, Next(moved, order, k, limit).Phase, "nothing answered since")
	k.Fresh = counts(31+provenMost, 1)
	require.Equal(t, Completed, Next(moved, order, k, limit).Phase)
}

// The holder is gone and the store is away when the evidence of all condemns the
// version. The daemons are told to stop, whatever step each has heard of, and one
// that starts later hears it with the state; the next holder rolls back.
func TestStopNeedsNoHolder(t *testing.T) {
	b := book(clockwork.NewFakeClock())
	b.Ordered(order)
	running := State{Order: 7, Service: "engines", To: "v2", Phase: Running, Share: 1, Step: 3}
	require.True(t, b.Learn(running))
	require.Equal(t, "v2", prefers(b, "x"))
	stop := running
	stop.Step, stop.Stopped = 2, true
	require.True(t, b.Learn(stop))
	require.False(t, b.Learn(stop))
	require.Equal(t, "v1", prefers(b, "x"))
	running.Step = 4
	require.True(t, b.Learn(running))
	require.Equal(t, "v1", prefers(b, "x"), "a later step without the stop does not undo it")

	_, states := b.Orders()
	started := book(clockwork.NewFakeClock())
	started.Ordered(order)
	require.True(t, started.Learn(states[0]))
	require.Equal(t, "v1", prefers(started, "x"))
	require.Equal(t, RolledBack, Next(states[0], order, Known{Elapsed: 9 * time.Second}, limit).Phase)
}

// Four requests in ten of a new version take eight times as long. The few of its first
// share are too few to condemn it; it must not get all sessions, which then wait, and
// when its time is long over it is given up. A version whose answers take as long as
// expected, on instances that have read no prompt yet, goes on.
func TestPartlySlowVersionIsHeldBack(t *testing.T) {
	sample := func(random *rand.Rand, requests int, slow float64) Counts {
		var c Count
		for range requests {
			expected := time.Duration((0.1 + random.Float64()) * float64(time.Second))
			took := time.Duration(float64(expected) * math.Exp(0.5*random.NormFloat64()))
			if random.Float64() < slow {
				took *= 8
			}
			c.add(Observation{Took: took, Expected: expected})
		}
		return Counts{"r": c}
	}
	s := State{Order: 7, Service: "engines", To: "v2", Phase: Running, Share: limit.FirstShare(), Step: 1}
	moved, held := 0, 0
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 1))
		old := sample(random, 2000, 0)
		good := Known{Elapsed: allowed - time.Second, Fresh: sample(random, 45, 0), Old: old}
		if Next(s, order, good, limit).Share == 1 {
			moved++
		}
		bad := Known{Elapsed: allowed - time.Second, Fresh: sample(random, 45, 0.4), Old: old}
		if Next(s, order, bad, limit).Phase == RolledBack {
			held++
		}
	}
	require.Equal(t, 100, moved)
	require.Greater(t, held, 95)
}

// Every fifth answer of a service is lost, whatever its version. A new version fails or
// lags twice as often, and its first share brings 12 requests a second before 88
// daemons. Users met it for ten seconds, until its allowed time was over: a rate of twice
// the old one is not beyond the rate that failures are tested against, however many speak
// against it. These are the counts of all daemons at the end of such a trial.
func TestVersionThatFailsTwiceAsOftenIsCondemned(t *testing.T) {
	fresh := Counts{"r/m": {Requests: 233, Bad: 96}}
	old := Counts{"r/m": {Requests: 16457, Bad: 3395}}
	require.True(t, Bad(fresh, old))
}

// The same service, and a new version that fails as often as the old one: however often
// the evidence is looked at, the failures that both share do not condemn it.
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
			require.False(t, Bad(Counts{"r": fresh}, Counts{"r": old}), "seed %d, %d of %d", seed, fresh.Bad, fresh.Requests)
		}
	}
}

// A new version begins its answers twice as late as expected and writes them five times as
// slowly as the old one, beside which 14 requests in 100 fail. Callers saw 50 bad answers of
// some 70: streams that ended too late or were given up. The time to the first event, all
// that was looked at, condemns nothing. A version whose streams are half as slow again, on
// instances that read every prompt anew, is kept.
func TestVersionThatWritesSlowlyIsCondemned(t *testing.T) {
	sample := func(random *rand.Rand, requests int, head float64, paces ...float64) Counts {
		c := map[string]Count{}
		for i := range requests {
			kind := []string{"long", "short"}[i%2]
			gap := []float64{0.03, 0.05}[i%2] * paces[i%2] * math.Exp(0.5*random.NormFloat64())
			one := c[kind]
			one.add(Observation{
				Bad: random.Float64() < 0.14, Unfinished: random.Float64() < 0.2,
				Expected: time.Second, Took: time.Duration(head * math.Exp(0.5*random.NormFloat64()) * float64(time.Second)),
				Pace: time.Duration(gap * float64(time.Second)),
			})
			c[kind] = one
		}
		return c
	}
	condemned, oneKind, kept := 0, 0, 0
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 4))
		old := sample(random, 3000, 1, 1, 1)
		if Bad(sample(random, 40, 2, 5, 5), old) {
			condemned++
		}
		if Bad(sample(random, 40, 1, 1, 5), old) {
			oneKind++
		}
		if !Bad(sample(random, 70, 1, 1.5, 1.5), old) {
			kept++
		}
	}
	require.Equal(t, 100, condemned)
	require.Greater(t, oneKind, 95, "only one kind of request is written slowly")
	require.Equal(t, 100, kept)
}
