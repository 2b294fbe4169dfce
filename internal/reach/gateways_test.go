package reach

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against gateways that are overloaded while others have free capacity, and against traffic
// between failure domains that near gateways could carry.
func TestChooseSpreadsByFreeCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	counts := func(all []Gateway) []int {
		out := make([]int, len(all))
		for range 1000 {
			if i, ok := Choose(all, random); ok {
				out[i]++
			}
		}
		return out
	}
	far := counts([]Gateway{{Free: 10, Limit: 100}, {Free: 90, Limit: 100}, {Free: 0, Limit: 100}})
	require.Greater(t, far[1], 5*far[0])
	require.Positive(t, far[0])
	require.Zero(t, far[2])
	near := counts([]Gateway{{Near: true, Free: 50, Limit: 100}, {Free: 100, Limit: 100}})
	require.Equal(t, 1000, near[0])
	busy := counts([]Gateway{{Near: true, Free: 10, Limit: 100}, {Free: 90, Limit: 100}})
	require.Greater(t, busy[1], busy[0])
	_, ok := Choose([]Gateway{{Limit: 100}}, random)
	require.False(t, ok)
}
