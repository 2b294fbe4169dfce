package route

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// UpstreamLoad is the load of an upstream that serves the wanted version.
type Load struct {
	ID string
	// SameFailureDomain is set if the upstream is in the daemon's own failure domain.
	Near bool
	// Slots is the number of attempts that run at once without queueing.
	Slots int
	// Attempts is the estimated number of attempts at the upstream.
	Estimate float64
}

// utilisation returns the attempts per slot.
func (l Load) utilisation() float64 { return l.Estimate / float64(max(l.Slots, 1)) }

// EstimateLoad returns the estimated number of attempts at an upstream: those in its last
// report, and those that this daemon has sent since.
func EstimateLoad(reported, sentSince int) float64 { return float64(reported + sentSince) }

// PrefixKey hashes the start of an organisation's conversation, by which engines find it in
// their prompt caches. It uses at most the first 1,024 bytes of prefix.
func PrefixKey(organisation, prefix string) uint64 {
	const prefixBytes = 1024
	return xxhash.Sum64String(organisation + "\x00" + prefix[:min(len(prefix), prefixBytes)])
}

// PickUpstream picks an upstream. It takes the one that rendezvous hashing assigns to the
// prefix if that one has a free slot and at most bound times the mean load, plus one attempt.
// Otherwise it takes the less loaded of two random ones. It returns false if every upstream
// has reached queueLimit, in attempts per slot.
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
	preferred := rendezvous(room, prefix)
	if preferred.Estimate <= bound*mean*float64(max(preferred.Slots, 1))+1 && preferred.utilisation() < 1 {
		return preferred, true
	}
	return twoChoices(room, random), true
}

// rendezvous returns the upstream that rendezvous hashing assigns to the prefix.
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
