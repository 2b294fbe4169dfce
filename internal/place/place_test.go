package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprintf("i-%d", i), Slots: 100}
	}
	return out
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestFilter(t *testing.T) {
	all := candidates(4)
	all[0].Ejected = true
	require.Len(t, Filter(all, nil), 3)
	require.Len(t, Filter(all, map[string]bool{"i-1": true}), 2)
	for i := range 3 {
		all[i].Ejected = true
	}
	require.Len(t, Filter(all, nil), 4, "when most fail, the fault is likely not theirs")
}

func TestPart(t *testing.T) {
	all := candidates(18)
	require.Len(t, Part(all, 0), 18)
	require.Len(t, Part(all, 0.3), 5)
	require.Len(t, Part(all, 0.01), leastPart)
	require.Len(t, Part(all[:1], 0.5), 1)
	require.Equal(t, Part(all, 0.3), Part(all, 0.3))
}

// Requests with the same key go to the same instance from every daemon, and one
// instance less moves only its own keys.
func TestByPromptIsStable(t *testing.T) {
	all := candidates(18)
	moved := 0
	for k := range 200 {
		key := fmt.Sprint(k)
		first, ok := ByPrompt(all, key, random())
		require.True(t, ok)
		again, _ := ByPrompt(all, key, rand.New(rand.NewPCG(9, 9)))
		require.Equal(t, first.ID, again.ID)
		rest, _ := ByPrompt(all[1:], key, random())
		if rest.ID != first.ID {
			require.Equal(t, all[0].ID, first.ID)
			moved++
		}
	}
	require.Less(t, moved, 40)
}

// One key gets much of the traffic. Its instance must not drown while the
// others idle: the next ones in the order of the key take what is over.
func TestHotKeySpreads(t *testing.T) {
	all := candidates(18)
	for range 180 {
		picked, _ := ByPrompt(all, "hot", random())
		for i := range all {
			if all[i].ID == picked.ID {
				all[i].Sent += 3000
			}
		}
	}
	most := 0.0
	for _, c := range all {
		most = max(most, c.Sent)
	}
	require.LessOrEqual(t, most, affinityBound*30000+affinitySlack+3000)
}

func TestLeastLoadedPrefersRoomThenTheOwnDomain(t *testing.T) {
	all := candidates(3)
	all[0].Load, all[1].Load, all[2].Load = 60, 10, 30
	picked, _ := LeastLoaded(all, random())
	require.Equal(t, "i-1", picked.ID)
	all = candidates(2)
	all[1].Near = true
	near := 0
	for range 100 {
		if picked, _ := LeastLoaded(all, random()); picked.ID == "i-1" {
			near++
		}
	}
	require.Greater(t, near, 50)
	_, ok := LeastLoaded(nil, random())
	require.False(t, ok)
}
