// Package place selects the upstream instance for a request: it filters the candidates, scores
// them and picks one. It does no I/O and keeps no state.
package place

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that serves the requested version.
type Candidate struct {
	ID string
	// Local is set if the instance is in the daemon's own failure domain.
	Local bool
	// Slots is the number of requests that the instance processes concurrently.
	Slots int
	// Load is the estimated number of requests there, from the last report of the instance. InFlight
	// is this daemon's part of it.
	Load     float64
	InFlight int
	// Open is the number of open requests there, according to the reports that daemons
	// exchange.
	Open int
	// Waiting is the work of the requests there that have no first event yet. Prefill is the
	// work of processing the part of the prompt that the instance has not cached. Both are
	// in prompt tokens of the largest model.
	Waiting float64
	Prefill float64
	// Ejected instances have failed recently.
	Ejected bool
	// Warming instances accept only part of their normal load.
	Warming bool
	// Wait is the time until this daemon may send to the instance; 0 means now. If NoTurn is
	// set, this daemon has no share of the instance's limit and Wait is the estimated time
	// until another daemon may send.
	Wait   time.Duration
	NoTurn bool
	// ProbeDue is set if a request is needed to find out whether the instance's limit still
	// applies.
	ProbeDue bool
	// Canary instances run a new version and serve part of the sessions before the other
	// instances of that version get any.
	Canary bool
	// Factor is how many times as long as usual the instance takes; 0 means as long as usual.
	Factor float64
	// Tokens is the memory that the requests at an engine take.
	Tokens float64
	// Quota is how many requests this daemon may have open there, if HasQuota is set: its service is
	// fragile.
	Quota    int
	HasQuota bool
	// NoConnection is set if this daemon has no connection left for the instance.
	NoConnection bool
	Proof
}

const (
	// maxEjected is the largest fraction of instances that may be excluded for their failures.
	// If more fail, the cause is probably elsewhere, and the remaining instances would be
	// overloaded by the whole traffic.
	maxEjected = 0.5
	// fullFraction is the fraction of an instance's slots above which a new request probably
	// waits for a slot. It is below 1 because the known number of other daemons' requests is
	// up to a second old.
	fullFraction = 0.75
	// fullBatchWork is the cost, as work, of exceeding fullFraction by as many requests as the
	// instance has slots; a smaller excess costs proportionally less. The cost is high because
	// a slot becomes free only when an answer ends, after some seconds.
	fullBatchWork = 40_000.0
	// crossDomainWork is the cost, as work, of the traffic between failure domains.
	crossDomainWork = 150.0
	// tieBreakWork is the difference in work that is ignored, some 20 ms of processing. Between
	// instances that differ by less, a hash of the prompt and the instance decides. The hash is
	// the same at all daemons, so that requests with the same uncached prompt go to one
	// instance.
	tieBreakWork = 300.0
	// workPerRequest converts requests to work: an engine needs as long for processing this
	// many prompt tokens as for a typical answer.
	workPerRequest = 6000.0
)

// Filter removes tried instances, and ejected ones as long as enough others remain.
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

// Untried removes tried instances.
func Untried(all []Candidate, tried map[string]bool) []Candidate {
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return tried[c.ID] })
}

// WithConnection removes instances to which this daemon has no connection left, if there are
// others. Fast instances get most requests, and one without a connection would cost an attempt.
func WithConnection(all []Candidate) []Candidate {
	full := func(c Candidate) bool { return c.NoConnection }
	if !slices.ContainsFunc(all, full) {
		return all
	}
	if left := slices.DeleteFunc(slices.Clone(all), full); len(left) > 0 {
		return left
	}
	return all
}

// TotalQuota returns how many requests this daemon may have open at all of the instances.
func TotalQuota(all []Candidate) float64 {
	sum := 0
	for _, c := range all {
		sum += c.Quota
	}
	return float64(sum)
}

// WithQuota returns the instances to which this daemon may send a request. granted is the number of
// requests that it is about to send, by instance.
//
// A daemon that has no quota at any instance, because there are more daemons than slots, uses those
// that report at least half of their slots free.
func WithQuota(all []Candidate, granted map[string]int) []Candidate {
	any, sum := false, 0
	for _, c := range all {
		any = any || c.HasQuota
		sum += c.Quota
	}
	if !any {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool {
		switch {
		case !c.HasQuota:
			return false
		case sum <= 0:
			return c.InFlight+granted[c.ID] > 0 || 2*c.Load > float64(c.Slots)
		}
		return c.InFlight+granted[c.ID] >= c.Quota
	})
}

// Ready removes instances that may not receive requests yet if there are others. If all have
// to be waited for, it returns only the one with the shortest wait, preferably one at which
// this daemon has a turn.
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

// Probe returns an instance that is due for a probe, if there is one.
func Probe(all []Candidate) (Candidate, bool) {
	at := slices.IndexFunc(all, func(c Candidate) bool { return c.ProbeDue && c.Wait == 0 && !c.NoTurn })
	if at < 0 {
		return Candidate{}, false
	}
	return all[at], true
}

// load returns a candidate's load in requests, including the waiting work.
func (c Candidate) load() float64 { return c.Load + c.Waiting/workPerRequest }

// LeastLoaded returns the instance with the lowest load per slot, and of nearly equal ones
// preferably one in the own failure domain.
func LeastLoaded(all []Candidate, random *rand.Rand) (Candidate, bool) {
	best, bestScore := -1, math.Inf(1)
	for i, c := range all {
		score := c.load() / float64(max(c.Slots, 1))
		if !c.Local {
			score += 0.02
		}
		// Without a random part, daemons with the same information would all choose the same
		// instance.
		score += random.Float64() * 0.02
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return all[best], true
}

// TwoChoices returns the less loaded, per slot, of two instances chosen at random.
//
// It is for retries of requests whose instance crashed. One of these requests may be the
// cause. If they were placed by load or by a common prompt, all would go to the same next
// instance and fail with it again: with three attempts each, all of them would have failed
// after the third crash.
func TwoChoices(all []Candidate, random *rand.Rand) (Candidate, bool) {
	if len(all) == 0 {
		return Candidate{}, false
	}
	a, b := all[random.IntN(len(all))], all[random.IntN(len(all))]
	if b.load()/float64(max(b.Slots, 1)) < a.load()/float64(max(a.Slots, 1)) {
		a = b
	}
	return a, true
}

// minSubset is the minimum size of a subset. With a single instance, its crash would look like
// a fault of the version that it runs.
const minSubset = 2

// SubsetSize returns how many of a group of instances make up a fraction of it. A fraction of 0
// means all.
func SubsetSize(total int, fraction float64) int {
	if fraction == 0 {
		return total
	}
	return min(max(int(math.Round(fraction*float64(total))), minSubset), total)
}

// cost returns the expected time until the first event at the instance, as work. key identifies
// the prompt.
func (c Candidate) cost(key string) float64 {
	cost := c.PrefillTime()
	if over := float64(c.Open+1) - fullFraction*float64(c.Slots); over > 0 {
		cost += fullBatchWork * over / float64(max(c.Slots, 1))
	}
	if !c.Local {
		cost += crossDomainWork
	}
	return cost + tieBreakWork*hashFraction(xxhash.Sum64String(c.ID+"\x00"+key))
}

// hashFraction maps a hash to [0, 1).
func hashFraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// LowestCost returns the instance that will probably answer a prompt first: the one with the
// lowest sum of waiting work, prefill work and penalties. key identifies the prompt; if it is
// empty, LowestCost returns the least loaded instance.
func LowestCost(all []Candidate, key string, random *rand.Rand) (Candidate, bool) {
	if key == "" || len(all) == 0 {
		return LeastLoaded(all, random)
	}
	best, bestCost := -1, math.Inf(1)
	for i, c := range all {
		if cost := c.cost(key); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return all[best], true
}

// minLocal is the number of instances that a failure domain needs to serve its small model's
// prompts alone. Each domain then reads shared prefixes separately, which is a noticeable cost
// only for domains with few instances.
const minLocal = 24

// Local returns the instances of the daemon's own failure domain, or all if the domain has too
// few. For the small model, which reads fast, this saves a third of the traffic between
// domains.
func Local(all []Candidate) []Candidate {
	var local []Candidate
	for _, c := range all {
		if c.Local {
			local = append(local, c)
		}
	}
	if len(local) < minLocal {
		return all
	}
	return local
}
