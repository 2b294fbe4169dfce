package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// The load that sharing knowledge answers: 88 daemons before 140 engines, each
// daemon with five requests a second. Prompts of some hundred subjects, which
// engines keep in memory, unevenly popular.
const (
	playDaemons   = 88
	playEngines   = 140
	playSubjects  = 300
	playPerSecond = 436
	playSeconds   = 30
	// playSpeed is what an engine reads a second, in tokens of the largest
	// model, and playHalfLife how fast sent work loses weight, in seconds.
	playSpeed    = 10_800.0
	playHalfLife = 1.5
)

// play returns how long requests wait for their engine, in seconds. With told,
// every daemon knows once a second what all have sent; without it only what it
// sent itself.
func play(seed uint64, told bool) []float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	free := make([]float64, playEngines)
	type sums struct {
		sent [playEngines]float64
		at   float64
	}
	fade := func(s *sums, now float64) {
		factor := math.Exp2(-(now - s.at) / playHalfLife)
		for i := range s.sent {
			s.sent[i] *= factor
		}
		s.at = now
	}
	own := make([]sums, playDaemons)
	var fleet, snapshot sums
	since := make([]sums, playDaemons)
	toldAt := 0.0
	var waits []float64
	for now := 0.0; now < playSeconds; now += random.ExpFloat64() / playPerSecond {
		if now-toldAt > 1 {
			fade(&fleet, now)
			snapshot, toldAt = fleet, now
			since = make([]sums, playDaemons)
		}
		daemon := random.IntN(playDaemons)
		// A subject's popularity falls with its rank to the power of 0.3.
		subject := int(playSubjects * math.Pow(random.Float64(), 1/0.7))
		work := 1300 * random.ExpFloat64()
		all := make([]Candidate, playEngines)
		fade(&own[daemon], now)
		for i := range all {
			all[i] = Candidate{ID: fmt.Sprint("e-", i), Slots: 1 << 20, Sent: own[daemon].sent[i]}
			if told {
				all[i].Sent = snapshot.sent[i]*math.Exp2(-(now-toldAt)/playHalfLife) + since[daemon].sent[i]
			}
		}
		picked, _ := ByPrompt(all, fmt.Sprint(subject), random)
		at := slices.IndexFunc(all, func(c Candidate) bool { return c.ID == picked.ID })
		fade(&fleet, now)
		fleet.sent[at] += work
		own[daemon].sent[at] += work
		since[daemon].sent[at] += work
		waits = append(waits, max(free[at]-now, 0))
		free[at] = max(free[at], now) + work/playSpeed
	}
	slices.Sort(waits)
	return waits
}

// late is the part of the requests that wait longer than some seconds.
func late(waits []float64, seconds float64) float64 {
	at, _ := slices.BinarySearch(waits, seconds)
	return float64(len(waits)-at) / float64(len(waits))
}

// A few engines hold several popular subjects and work at their limit while the
// others are at a third of it. A daemon that knows only its own requests sees
// nothing of that, and callers of those subjects wait for seconds. Knowing what
// all daemons send, once a second, sends what is over to the next engine.
func TestToldWorkKeepsCallersFromWaiting(t *testing.T) {
	for seed := range uint64(3) {
		blind, told := play(seed, false), play(seed, true)
		t.Logf("waits over 2 s: %.4f blind, %.4f told; p99 %.2f s and %.2f s", late(blind, 2), late(told, 2),
			blind[len(blind)*99/100], told[len(told)*99/100])
		require.Less(t, late(told, 2), late(blind, 2)/2)
	}
}

// An engine without a free slot is passed over for the next one in order.
func TestFullEnginesArePassedOver(t *testing.T) {
	all := candidates(10)
	first, _ := ByPrompt(all, "key", random())
	for i := range all {
		if all[i].ID == first.ID {
			all[i].Open = 75
		}
	}
	next, ok := ByPrompt(all, "key", random())
	require.True(t, ok)
	require.NotEqual(t, first.ID, next.ID)
}
