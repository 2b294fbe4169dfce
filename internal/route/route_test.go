package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

func candidate(name string, cost, good, bad float64) Candidate {
	return Candidate{Version: config.VersionRef{Model: name, Version: "1"}, Cost: cost, Quality: NewQuality(0.5, 2, good, bad)}
}

var judge = Judge{TrueAccept: 0.95, FalseAccept: 0.1, Cost: 1}

// The cheapest plan that meets the target with confidence must be picked. A version with too few
// ratings does not meet it, and without any such plan the best one is picked.
func TestPickPlan(t *testing.T) {
	cheap, dear := candidate("cheap", 10, 850, 150), candidate("dear", 100, 970, 30)
	for name, c := range map[string]struct {
		candidates []Candidate
		target     float64
		cascade    bool
		steps      []string
	}{
		"cheap is good enough":       {[]Candidate{cheap, dear}, 0.8, true, []string{"cheap"}},
		"a cascade is good enough":   {[]Candidate{cheap, dear}, 0.93, true, []string{"cheap", "dear"}},
		"no cascade allowed":         {[]Candidate{cheap, dear}, 0.93, false, []string{"dear"}},
		"none is good enough":        {[]Candidate{cheap, dear}, 0.999, false, []string{"dear"}},
		"too few ratings to be sure": {[]Candidate{candidate("cheap", 10, 9, 1), dear}, 0.8, false, []string{"dear"}},
	} {
		t.Run(name, func(t *testing.T) {
			req := Request{Target: c.target, Cascade: c.cascade, Remaining: time.Hour}
			pick, ok := PickPlan(InTime(Plans(c.candidates, judge, req), req), c.target)
			require.True(t, ok)
			var steps []string
			for _, s := range pick.Steps {
				steps = append(steps, s.Model)
			}
			require.Equal(t, c.steps, steps)
		})
	}
	_, ok := PickPlan(nil, 0.5)
	require.False(t, ok)
}

// The cheaper version is too slow for the deadline or for the wanted first token. It must not be
// picked, unless no other version is there.
func TestSlowPlansAreDropped(t *testing.T) {
	slow, fast := candidate("slow", 1, 990, 10), candidate("fast", 5, 990, 10)
	slow.FirstToken, slow.Total = time.Second, 3*time.Second
	for _, req := range []Request{
		{Target: 0.9, Remaining: 2 * time.Second},
		{Target: 0.9, Remaining: time.Hour, FirstToken: 500 * time.Millisecond},
	} {
		pick, _ := PickPlan(InTime(Plans([]Candidate{slow, fast}, judge, req), req), req.Target)
		require.Equal(t, "fast", pick.Steps[0].Model)
	}
	req := Request{Target: 0.9, Remaining: time.Second}
	pick, _ := PickPlan(InTime(Plans([]Candidate{slow}, judge, req), req), req.Target)
	require.Equal(t, "slow", pick.Steps[0].Model, "a late answer is better than none")
}

// Exploration must not exceed its share of requests, and must not choose a version whose ratings
// show that it is too bad.
func TestExplorationIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	cheap, dear := candidate("cheap", 10, 5, 0), candidate("dear", 100, 970, 30)
	plans := Plans([]Candidate{cheap, dear}, judge, Request{})
	pick, _ := PickPlan(plans, 0.9)
	require.Equal(t, "dear", pick.Steps[0].Model)
	explored := 0
	for range 10_000 {
		if Explore(pick, plans, 0.9, 0.02, random).Explored {
			explored++
		}
	}
	require.InDelta(t, 200, explored, 60)
	tooBad := Plans([]Candidate{candidate("cheap", 10, 5, 95), dear}, judge, Request{})
	require.False(t, Explore(pick, tooBad, 0.9, 1, random).Explored)
}

// Requests with the same prefix must go to the same upstream, so that its prompt cache is used,
// but not once that upstream is much busier than the others. None is picked when all are full.
func TestPickUpstream(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	loads := []UpstreamLoad{{ID: "a", Slots: 10}, {ID: "b", Slots: 10}, {ID: "c", Slots: 10}}
	first, ok := PickUpstream(loads, 7, 1.25, 1.5, random)
	require.True(t, ok)
	for range 10 {
		again, _ := PickUpstream(loads, 7, 1.25, 1.5, random)
		require.Equal(t, first.ID, again.ID, "the same prefix goes to the same upstream")
	}
	for i := range loads {
		if loads[i].ID == first.ID {
			loads[i].Attempts = 9
		}
	}
	moved, _ := PickUpstream(loads, 7, 1.25, 1.5, random)
	require.NotEqual(t, first.ID, moved.ID, "an upstream with little room left is not preferred")
	for i := range loads {
		loads[i].Attempts = 15
	}
	_, ok = PickUpstream(loads, 7, 1.25, 1.5, random)
	require.False(t, ok)
}
