package route

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// UpstreamLoad is the load of an upstream that serves the wanted version.
type UpstreamLoad struct {
	ID string
	// SameFailureDomain is set if the upstream is in the daemon's own failure domain.
	SameFailureDomain bool
	// Slots is the number of attempts that run at once without queueing.
	Slots int
	// Attempts is the estimated number of attempts at the upstream.
	Attempts float64
}

// utilisation returns the attempts per slot.
func (l UpstreamLoad) utilisation() float64 { return l.Attempts / float64(max(l.Slots, 1)) }

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
func PickUpstream(loads []UpstreamLoad, prefix uint64, bound, queueLimit float64, random *rand.Rand) (UpstreamLoad, bool) {
	var room []UpstreamLoad
	total, slots := 0.0, 0
	for _, l := range loads {
		total += l.Attempts
		slots += max(l.Slots, 1)
		if l.utilisation() < queueLimit {
			room = append(room, l)
		}
	}
	if len(room) == 0 {
		return UpstreamLoad{}, false
	}
	mean := total / float64(slots)
	preferred := rendezvous(room, prefix)
	if preferred.Attempts <= bound*mean*float64(max(preferred.Slots, 1))+1 && preferred.utilisation() < 1 {
		return preferred, true
	}
	return twoChoices(room, random), true
}

// rendezvous returns the upstream that rendezvous hashing assigns to the prefix.
func rendezvous(loads []UpstreamLoad, prefix uint64) UpstreamLoad {
	best, top := loads[0], uint64(0)
	for _, l := range loads {
		key := binary.LittleEndian.AppendUint64([]byte(l.ID), prefix)
		if weight := xxhash.Sum64(key); weight >= top {
			best, top = l, weight
		}
	}
	return best
}

func twoChoices(loads []UpstreamLoad, random *rand.Rand) UpstreamLoad {
	a := loads[random.IntN(len(loads))]
	b := loads[random.IntN(len(loads))]
	switch {
	case a.utilisation() < b.utilisation():
		return a
	case b.utilisation() < a.utilisation():
		return b
	case b.SameFailureDomain && !a.SameFailureDomain:
		return b
	default:
		return a
	}
}
