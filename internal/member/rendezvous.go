package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight is the rendezvous weight of a candidate for a key.
func weight(key, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// Rank orders candidates for a key by rendezvous hashing, best first. When a
// candidate comes or goes, the order of the others stays.
func Rank(key string, candidates []string) []string {
	out := slices.Clone(candidates)
	weights := make(map[string]uint64, len(out))
	for _, c := range out {
		weights[c] = weight(key, c)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return out
}

// Best returns the first of Rank, or "" when there is no candidate.
func Best(key string, candidates []string) string {
	best, top := "", uint64(0)
	for _, c := range candidates {
		if w := weight(key, c); best == "" || w > top || (w == top && c < best) {
			best, top = c, w
		}
	}
	return best
}
