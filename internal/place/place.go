// Package place picks the upstream instance for a request: filter, score,
// pick. It does no I/O and keeps no state.
package place

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that serves the wanted version.
type Candidate struct {
	ID string
	// Near is true in the daemon's own failure domain.
	Near bool
	// Slots is the number of requests it works on at once.
	Slots int
	// Load is the number of requests believed to be there.
	Load float64
	// Open is the number of requests there, as daemons tell each other.
	Open int
	// Sent is the work sent there lately, in prompt tokens of the largest
	// model.
	Sent float64
	// Ejected instances failed lately.
	Ejected bool
}

const (
	// maxEjected is the largest share of instances that may be left out for
	// their failures. When more fail, the fault is likely not theirs, and the
	// rest would break under the load of all.
	maxEjected = 0.5
	// affinityBound is how far above the mean the work of the instance that
	// holds a prompt's parts may be before the next one in order is taken. From
	// 1.15 to 1.6 callers get the same within noise; the lower one keeps
	// fewer requests waiting for their deadline in a large fleet.
	affinityBound = 1.15
	// affinitySlack is the work above the bound that is accepted in any case:
	// one long prompt.
	affinitySlack = 4000
	// fullShare is the part of an instance's slots that may be taken before the
	// next one in order is used: what is known of other daemons' requests is
	// about a second old, and a request without a slot waits for seconds.
	fullShare = 0.75
	// workPerRequest makes work and requests comparable: reading this many
	// tokens takes an engine as long as a usual answer.
	workPerRequest = 6000.0
)

// Filter leaves out ejected instances, as long as enough others remain, and
// those in tried.
func Filter(all []Candidate, tried map[string]bool) []Candidate {
	var healthy, ejected []Candidate
	for _, c := range all {
		switch {
		case tried[c.ID]:
		case c.Ejected:
			ejected = append(ejected, c)
		default:
			healthy = append(healthy, c)
		}
	}
	if float64(len(ejected)) > maxEjected*float64(len(healthy)+len(ejected)) {
		return append(healthy, ejected...)
	}
	return healthy
}

// load is a candidate's load in requests, work sent lately included.
func (c Candidate) load() float64 { return c.Load + c.Sent/workPerRequest }

// LeastLoaded picks the instance with the smallest load for its slots, in the
// own failure domain where two are equal.
func LeastLoaded(all []Candidate, random *rand.Rand) (Candidate, bool) {
	best, top := -1, math.Inf(1)
	for i, c := range all {
		score := c.load() / float64(max(c.Slots, 1))
		if !c.Near {
			score += 0.02
		}
		// A random part keeps daemons that know the same from all choosing the
		// same instance.
		score += random.Float64() * 0.02
		if score < top {
			best, top = i, score
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return all[best], true
}

// leastPart is the least number of instances that a part of them has: with one,
// its crash would look like a fault of the version that it runs.
const leastPart = 2

// Part returns a part of the instances, the same at all daemons; 0 is all.
func Part(all []Candidate, part float64) []Candidate {
	n := max(int(math.Round(part*float64(len(all)))), leastPart)
	if part == 0 || n >= len(all) {
		return all
	}
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	return ranked[:n]
}

// leastNear is the number of instances that a failure domain must have for its
// prompts to stay there. Each domain then reads the shared parts for itself,
// which domains of six instances feel (three times as many tokens read again, one
// answer in ten more late or lost) and those of 35 do not.
const leastNear = 24

// Near returns the instances of the daemon's own failure domain, or all when it
// has too few. For the small model, which reads fast, this saves a third of the
// bytes between domains.
func Near(all []Candidate) []Candidate {
	var near []Candidate
	for _, c := range all {
		if c.Near {
			near = append(near, c)
		}
	}
	if len(near) < leastNear {
		return all
	}
	return near
}

// ByPrompt picks the instance that is likely to hold the parts of a prompt in
// its memory. All daemons hash the same key to the same order of instances;
// the first one whose work is not far above the mean is taken, so that a key
// with much traffic spreads over the next ones in order.
func ByPrompt(all []Candidate, key string, random *rand.Rand) (Candidate, bool) {
	if key == "" || len(all) == 0 {
		return LeastLoaded(all, random)
	}
	total := 0.0
	for _, c := range all {
		total += c.Sent
	}
	bound := affinityBound*total/float64(len(all)) + affinitySlack
	best, top := -1, uint64(0)
	for i, c := range all {
		if c.Sent > bound || float64(c.Open) >= fullShare*float64(c.Slots) {
			continue
		}
		if weight := xxhash.Sum64String(c.ID + "\x00" + key); best < 0 || weight > top {
			best, top = i, weight
		}
	}
	if best < 0 {
		return LeastLoaded(all, random)
	}
	return all[best], true
}
