// Package place picks the upstream instance for a request: filter, score,
// pick. It does no I/O and keeps no state.
package place

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

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
	// Waiting is the work there that has no first event yet, and Reads the work of
	// reading what the instance lacks of the prompt, both in prompt tokens of the
	// largest model.
	Waiting float64
	Reads   float64
	// Ejected instances failed lately.
	Ejected bool
	// Warming instances bear only a part of what they will.
	Warming bool
	// Wait is the time until this daemon may send to the instance; 0 is at once. Where
	// NoTurn is set only others may send there, and it is the time until one of them may.
	Wait   time.Duration
	NoTurn bool
	// ProbeDue is set where only another request can tell whether an instance still takes
	// fewer requests than it could.
	ProbeDue bool
	// Trial instances are those of a new version that serve a part of the sessions
	// before the others of that version get any.
	Trial bool
}

const (
	// maxEjected is the largest share of instances that may be left out for
	// their failures. When more fail, the fault is likely not theirs, and the
	// rest would break under the load of all.
	maxEjected = 0.5
	// fullShare is the part of an instance's slots above which a request likely
	// waits for one: what is known of other daemons' requests is up to a second old.
	fullFraction = 0.75
	// slotWork is what a whole batch of requests above that costs, as work: a slot
	// becomes free when an answer ends, after some seconds.
	fullBatchWork = 40_000.0
	// farWork is what bytes between failure domains are worth, as work.
	crossDomainWork = 150.0
	// tieWork is the difference in work that does not count: below it the order of
	// the prompt decides, which is the same at all daemons, so that prompts that are
	// new to all of them meet at one instance. It is some 20 ms of reading.
	tieBreakWork = 300.0
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

// Untried leaves out those in tried.
func Untried(all []Candidate, tried map[string]bool) []Candidate {
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return tried[c.ID] })
}

// Ready leaves out instances to which nothing may be sent yet, as long as there are others.
// Of several that all have to be waited for the first one is left, if possible one that this
// daemon will have a turn at.
func Ready(all []Candidate) []Candidate {
	var ready []Candidate
	for _, c := range all {
		if c.Wait == 0 {
			ready = append(ready, c)
		}
	}
	if len(ready) > 0 || len(all) == 0 {
		return ready
	}
	return []Candidate{slices.MinFunc(all, func(a, b Candidate) int {
		if a.NoTurn != b.NoTurn {
			if b.NoTurn {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Wait, b.Wait)
	})}
}

// Probe picks an instance that is due to be probed, if there is one.
func Probe(all []Candidate) (Candidate, bool) {
	at := slices.IndexFunc(all, func(c Candidate) bool { return c.ProbeDue && c.Wait == 0 && !c.NoTurn })
	if at < 0 {
		return Candidate{}, false
	}
	return all[at], true
}

// load is a candidate's load in requests, with the work that waits there.
func (c Candidate) load() float64 { return c.Load + c.Waiting/workPerRequest }

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

// Apart picks one of two random instances, the one with the smaller load for its slots.
//
// It is for requests whose instance has ended. One of them may be the cause. By load, or
// by a prompt that they share, all would go on together to the same next instance, and
// end with it again: with three attempts each, all had failed after the third.
func Apart(all []Candidate, random *rand.Rand) (Candidate, bool) {
	if len(all) == 0 {
		return Candidate{}, false
	}
	a, b := all[random.IntN(len(all))], all[random.IntN(len(all))]
	if b.load()/float64(max(b.Slots, 1)) < a.load()/float64(max(a.Slots, 1)) {
		a = b
	}
	return a, true
}

// leastPart is the least number of instances that a part of them has: with one,
// its crash would look like a fault of the version that it runs.
const minSubset = 2

// Part returns a part of the instances, the same at all daemons; 0 is all.
func Part(all []Candidate, part float64) []Candidate {
	n := max(int(math.Round(part*float64(len(all)))), minSubset)
	if part == 0 || n >= len(all) {
		return all
	}
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	return ranked[:n]
}

// cost is the expected time to the first event there, as work.
func (c Candidate) cost(key string) float64 {
	cost := c.Waiting + c.Reads
	if over := float64(c.Open+1) - fullFraction*float64(c.Slots); over > 0 {
		cost += fullBatchWork * over / float64(max(c.Slots, 1))
	}
	if !c.Near {
		cost += crossDomainWork
	}
	return cost + tieBreakWork*hashFraction(xxhash.Sum64String(c.ID+"\x00"+key))
}

// unit maps a hash to [0, 1).
func hashFraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// ByPrompt picks the instance that likely begins to answer a prompt first: what
// waits there, and what it has to read of the prompt, together are the least.
func ByPrompt(all []Candidate, key string, random *rand.Rand) (Candidate, bool) {
	if key == "" || len(all) == 0 {
		return LeastLoaded(all, random)
	}
	best, top := -1, math.Inf(1)
	for i, c := range all {
		if cost := c.cost(key); cost < top {
			best, top = i, cost
		}
	}
	return all[best], true
}

// leastNear is the number of instances that a failure domain must have for its small
// model's prompts to stay there. Each domain then reads the shared parts for itself,
// which domains of few instances feel and those of many do not.
const minLocal = 24

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
	if len(near) < minLocal {
		return all
	}
	return near
}
