package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

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

// Ejected and tried instances must get no requests. If most instances are ejected, the ejected
// ones must be usable, too, so that the few others are not overloaded.
func TestFilter(t *testing.T) {
	all := candidates(4)
	all[0].Ejected = true
	require.Len(t, Filter(all, nil), 3)
	require.Len(t, Filter(all, map[string]bool{"i-1": true}), 2)
	for i := range 3 {
		all[i].Ejected = true
	}
	require.Len(t, Filter(all, nil), 4, "when most fail, the cause is probably elsewhere")
}

// A subset must have the wanted fraction of the instances, and at least minSubset of them.
func TestSubsetSize(t *testing.T) {
	require.Equal(t, 18, SubsetSize(18, 0))
	require.Equal(t, 5, SubsetSize(18, 0.3))
	require.Equal(t, minSubset, SubsetSize(18, 0.01))
	require.Equal(t, 1, SubsetSize(1, 0.5))
}

// Prompts that no instance has cached must go to the same instance from every daemon, and
// removing an instance must move only the prompts placed there.
func TestUncachedPromptGoesToTheSameInstanceFromEveryDaemon(t *testing.T) {
	all := candidates(18)
	moved := 0
	for k := range 200 {
		key := fmt.Sprint(k)
		first, ok := LowestCost(all, key, random())
		require.True(t, ok)
		again, _ := LowestCost(all, key, rand.New(rand.NewPCG(9, 9)))
		require.Equal(t, first.ID, again.ID)
		rest, _ := LowestCost(all[1:], key, random())
		if rest.ID != first.ID {
			require.Equal(t, all[0].ID, first.ID)
			moved++
		}
	}
	require.Less(t, moved, 40)
}

// A prompt must go to the instance with the earliest first event: the one that has its prefix
// cached if the work waiting there is less than the prefill elsewhere, otherwise another.
func TestLowestCostPicksTheEarliestFirstEvent(t *testing.T) {
	for _, c := range []struct {
		name    string
		holder  Candidate
		another Candidate
		want    string
	}{
		{"both idle", Candidate{Prefill: 1000}, Candidate{Prefill: 9000}, "holder"},
		{"less work waits than the cache saves", Candidate{Prefill: 1000, Waiting: 6000}, Candidate{Prefill: 9000}, "holder"},
		{"more work waits than the cache saves", Candidate{Prefill: 1000, Waiting: 12000}, Candidate{Prefill: 9000}, "another"},
		{"no slot is free", Candidate{Prefill: 1000, Open: 100}, Candidate{Prefill: 9000}, "another"},
		{"nearly equal work, one in the own domain", Candidate{Prefill: 9000}, Candidate{Prefill: 9000 - tieBreakWork, Local: true}, "another"},
	} {
		c.holder.ID, c.another.ID = "holder", "another"
		c.holder.Slots, c.another.Slots = 100, 100
		picked, ok := LowestCost([]Candidate{c.holder, c.another}, "key", random())
		require.True(t, ok)
		require.Equal(t, c.want, picked.ID, c.name)
	}
	_, ok := LowestCost(nil, "key", random())
	require.False(t, ok)
}

// The instance with the lowest load must be picked. Of equally loaded ones, that of the own
// failure domain must be picked more often.
func TestLeastLoadedPrefersLowLoadThenTheOwnDomain(t *testing.T) {
	all := candidates(3)
	all[0].Load, all[1].Load, all[2].Load = 60, 10, 30
	picked, _ := LeastLoaded(all, random())
	require.Equal(t, "i-1", picked.ID)
	all = candidates(2)
	all[1].Local = true
	localPicks := 0
	for range 100 {
		if picked, _ := LeastLoaded(all, random()); picked.ID == "i-1" {
			localPicks++
		}
	}
	require.Greater(t, localPicks, 50)
	_, ok := LeastLoaded(nil, random())
	require.False(t, ok)
}

// A failure domain with few instances must use those of all domains; a large one must use only
// its own.
func TestLocalNeedsEnoughInstances(t *testing.T) {
	all := candidates(4 * minLocal)
	for i := range all {
		all[i].Local = i < minLocal
	}
	require.Len(t, Local(all), minLocal)
	all[0].Local = false
	require.Len(t, Local(all), len(all))
}

// Guards against a request that crashes one instance after the other together with all
// requests of the same prompt. After a crash under several requests, the retries must be
// spread over all instances, with fewer at the more loaded ones.
func TestRetriesAfterACrashAreSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var all []Candidate
	for i := range 8 {
		all = append(all, Candidate{ID: fmt.Sprint("i-", i), Slots: 8, Load: float64(i % 2)})
	}
	got := map[string]int{}
	const requests = 800
	for range requests {
		picked, ok := TwoChoices(all, random)
		require.True(t, ok)
		got[picked.ID]++
	}
	require.Len(t, got, len(all))
	for id, n := range got {
		require.Less(t, n, requests/4, id)
	}
	require.Greater(t, got["i-0"], got["i-1"])
	_, ok := TwoChoices(nil, random)
	require.False(t, ok)
}

// Guards against a choice that costs more than a pass over the candidates.
func BenchmarkChoice(b *testing.B) {
	all := candidates(192)
	for i := range all {
		all[i].Waiting, all[i].Prefill, all[i].Factor, all[i].Local = float64(i%7)*1000, 9000, 0.5+float64(i%5)/4, i%4 == 0
	}
	r, random := Request{Engine: true, Key: "subject", PerWork: 1e-4, Unseen: 100e6, Objective: 2e9}, random()
	b.Run("lowest cost", func(b *testing.B) {
		for b.Loop() {
			LowestCost(all, r.Key, random)
		}
	})
	b.Run("soonest engine", func(b *testing.B) {
		for b.Loop() {
			Soonest(all, r, random)
		}
	})
	b.Run("least loaded", func(b *testing.B) {
		for b.Loop() {
			LeastLoaded(all, random)
		}
	})
	b.Run("soonest plain", func(b *testing.B) {
		for b.Loop() {
			Soonest(all, Request{Objective: 15e7}, random)
		}
	})
}

// Guards against an engine that runs out of memory while another has some, also if it has cached
// the prompt, and against a request without an engine if none has memory.
func TestSoonestKeepsToMemory(t *testing.T) {
	all := []Candidate{
		{ID: "cached", Local: true, Slots: 64, Prefill: 100, Tokens: 560_000},
		{ID: "far", Slots: 64, Prefill: 9000, Waiting: 30_000, Tokens: 100_000},
		{ID: "local", Local: true, Slots: 64, Prefill: 9000, Waiting: 500_000, Open: 64, Tokens: 590_000},
	}
	r := Request{Engine: true, Key: "key", PerWork: 1e-4, Tokens: 9000, Capacity: 564_296, Objective: 2 * time.Second}
	picked, ok := Soonest(all, r, random())
	require.True(t, ok)
	require.Equal(t, "far", picked.ID)
	require.Len(t, WithMemory(all, r), 1)
	picked, ok = Soonest(append(all[:1:1], all[2]), r, random())
	require.True(t, ok)
	require.Equal(t, "cached", picked.ID)
	r.Capacity = 0
	picked, _ = Soonest(all, r, random())
	require.Equal(t, "cached", picked.ID)
	_, ok = Soonest(nil, r, random())
	require.False(t, ok)
}
