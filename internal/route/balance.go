package route

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Load is an upstream that serves the wanted version.
type Load struct {
	ID string
	// Near is true in the daemon's own failure domain.
	Near bool
	// Slots is how many attempts run at once without queueing.
	Slots int
	// Estimate is the number of attempts believed to be there.
	Estimate float64
}

// utilisation is the load per slot.
func (l Load) utilisation() float64 { return l.Estimate / float64(max(l.Slots, 1)) }

// EstimateLoad adds the daemon's own attempts since the report to what the
// report said.
func EstimateLoad(reported, sentSince int) float64 { return float64(reported + sentSince) }

// PrefixKey hashes the start of a conversation, which engines keep in their
// prompt caches.
func PrefixKey(organisation, prefix string) uint64 {
	const prefixBytes = 1024
	return xxhash.Sum64String(organisation + "\x00" + prefix[:min(len(prefix), prefixBytes)])
}

// Balance picks an upstream. The one that rendezvous hashing gives the prefix
// is taken while its load is at most bound times the mean (plus one attempt);
// otherwise the less loaded of two random ones. It returns false when every
// upstream is over the queue limit, in attempts per slot.
func Balance(loads []Load, prefix uint64, bound, queueLimit float64, random *rand.Rand) (Load, bool) {
	var room []Load
	total, slots := 0.0, 0
	for _, l := range loads {
		total += l.Estimate
		slots += max(l.Slots, 1)
		if l.utilisation() < queueLimit {
			room = append(room, l)
		}
	}
	if len(room) == 0 {
		return Load{}, false
	}
	mean := total / float64(slots)
	affine := rendezvous(room, prefix)
	if affine.Estimate <= bound*mean*float64(max(affine.Slots, 1))+1 && affine.utilisation() < 1 {
		return affine, true
	}
	return twoChoices(room, random), true
}

// affinity returns the upstream that rendezvous hashing gives the prefix.
func rendezvous(loads []Load, prefix uint64) Load {
	best, top := loads[0], uint64(0)
	for _, l := range loads {
		key := binary.LittleEndian.AppendUint64([]byte(l.ID), prefix)
		if weight := xxhash.Sum64(key); weight >= top {
			best, top = l, weight
		}
	}
	return best
}

func twoChoices(loads []Load, random *rand.Rand) Load {
	a := loads[random.IntN(len(loads))]
	b := loads[random.IntN(len(loads))]
	switch {
	case a.utilisation() < b.utilisation():
		return a
	case b.utilisation() < a.utilisation():
		return b
	case b.Near && !a.Near:
		return b
	default:
		return a
	}
}
