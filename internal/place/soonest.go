package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request describes a request to Soonest. Times are those at an instance of usual speed.
type Request struct {
	// Engine is set for requests to model engines.
	Engine bool
	// Key identifies the shared part of a prompt; empty if there is none.
	Key string
	// PerWork is the time that an engine takes for a unit of prefill work, in seconds.
	PerWork float64
	// Hold is the time for which a request takes a slot.
	Hold time.Duration
	// Tokens is the memory that the request takes at an engine, and Capacity what each engine
	// has; 0 means unknown.
	Tokens, Capacity float64
	// Unseen is the time since the last exchange of work, of which the requests of other daemons
	// are unknown; 0 if there are none.
	Unseen time.Duration
	// Objective is the time within which the caller expects the answer or its first event.
	Objective time.Duration
}

const (
	// minDomainCost and maxDomainCost are the least and the highest cost of another failure
	// domain, as fractions of the objective. The cost of a request is between them, by the hash
	// of its prompt or at random. If it were the same for all requests, all daemons of a domain
	// would send all of them elsewhere as soon as the last exchanged figures exceeded it, and
	// back with the next ones. The same prompts cross first, so that their shared parts are
	// processed in one other place.
	minDomainCost = 0.03
	maxDomainCost = 0.4
	// usableMemory is the fraction of an engine's memory that is planned for. The rest is for
	// requests that other daemons have sent since the last exchange.
	usableMemory = 0.95
	// noMemoryCost is added at engines without memory for the request, so that they are chosen
	// only if all are.
	noMemoryCost = 1000.0
	// busyCost is how many times its own time a request is taken to lose at a plain server with
	// all slots taken. It is above the real cost, because the load is known with a delay: daemons
	// that decide by the same figures then spread their requests over servers that differ less
	// than the estimates err. At 0.5, noisy neighbours cost as many callers as placement by load.
	busyCost = 2.0
	// negligible is the fraction of the objective below which the time of an answer at a plain
	// server does not matter to its caller. Without it, a difference of a millisecond
	// between idle servers keeps one of them without requests.
	negligible = 0.05
	// jitter is the random part of the expected time at a plain server.
	jitter = 0.2
	// fillSteps bounds the steps of the search for a level.
	fillSteps = 12
	// defaultHold is assumed until the first requests have ended.
	defaultHold = time.Second
)

// PrefillTime returns the work until the first event of a request at the instance, as the work that
// an instance of usual speed does in that time.
func (c *Candidate) PrefillTime() float64 { return c.steppedFactor() * (c.Waiting + c.Prefill) }

// QueueTime is PrefillTime of the queued work alone.
func (c *Candidate) QueueTime() float64 { return c.steppedFactor() * c.Waiting }

// factorSteps is the number of steps in which a factor doubles.
const factorSteps = 2

// steppedFactor returns the factor rounded to a step. All daemons learn nearly the same factors. If
// differences within the accuracy of the estimate counted, all would send long prompts to the same
// one of several equal instances.
func (c *Candidate) steppedFactor() float64 {
	if c.Factor <= 0 {
		return 1
	}
	return math.Exp2(math.Round(factorSteps*math.Log2(c.factor())) / factorSteps)
}

func (c *Candidate) factor() float64 {
	if c.Factor <= 0 {
		return 1
	}
	return c.Factor
}

// Soonest returns the instance that will probably start to answer first, or for plain servers end
// first, by the time that each instance takes for its work and the request.
func Soonest(all []Candidate, r Request, random *rand.Rand) (Candidate, bool) {
	if r.Hold <= 0 {
		r.Hold = defaultHold
	}
	point := random.Float64()
	if r.Key != "" {
		point = hashFraction(xxhash.Sum64String(r.Key))
	}
	crossing := r.Objective.Seconds() * (minDomainCost + (maxDomainCost-minDomainCost)*point)
	if r.Engine {
		return amongSoonest(all, r, crossing, random)
	}
	best, bestTime := -1, math.Inf(1)
	for i := range all {
		c := &all[i]
		t := c.answerTime(r) * (1 + jitter*random.Float64())
		if !c.Local {
			t += crossing
		}
		if t < bestTime {
			best, bestTime = i, t
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return all[best], true
}

// hasMemory reports whether an engine has memory for the request.
func (c *Candidate) hasMemory(r Request) bool {
	return r.Capacity <= 0 || c.Tokens+r.Tokens <= usableMemory*r.Capacity
}

// OthersTokens returns the memory that a number of requests of other daemons takes at an engine,
// given the mean of all requests. Their sizes are unknown and vary by about as much as their mean,
// so one standard deviation is added.
func OthersTokens(requests int, mean float64) float64 {
	n := float64(max(requests, 0))
	return mean * (n + math.Sqrt(n))
}

// WithMemory returns the engines with memory for the request, or all if none has.
func WithMemory(all []Candidate, r Request) []Candidate {
	fitting := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return !c.hasMemory(r) })
	if len(fitting) == 0 {
		return all
	}
	return fitting
}

// amongSoonest chooses among the engines that will be the soonest when the request arrives.
//
// Between two exchanges all daemons see the same figures. If each chose the engine with the least
// expected time, most of them would choose the same, fastest one. They are taken to fill up the
// engines with the least time by the work that arrives meanwhile, up to a level for the own
// failure domain and one for the others. The engines below a level are then equally soon, and each
// gets a part of the requests in proportion to the work that fills it up. The hash of the prompt
// decides, so that the same prompts go to the same engine.
func amongSoonest(all []Candidate, r Request, crossing float64, random *rand.Rand) (Candidate, bool) {
	if len(all) == 0 {
		return Candidate{}, false
	}
	whole := 0.0
	for i := range all {
		whole = max(whole, all[i].Prefill)
	}
	times := make([]float64, len(all))
	for i := range all {
		times[i] = all[i].firstEventTime(r, whole)
	}
	levels := [2]float64{fillLevel(all, times, true, r), fillLevel(all, times, false, r)}
	level := func(c *Candidate) float64 {
		if c.Local {
			return levels[0]
		}
		return levels[1]
	}
	soonest := func(i int) float64 {
		c := &all[i]
		at := max(times[i], level(c)) - c.factor()*r.PerWork*(whole-c.Prefill)
		if !c.Local {
			at += crossing
		}
		return at
	}
	least := math.Inf(1)
	for i := range all {
		least = min(least, soonest(i))
	}
	tie := tieBreakWork * r.PerWork
	best, bestScore := -1, math.Inf(1)
	for i := range all {
		if soonest(i) > least+tie {
			continue
		}
		c, point := &all[i], random.Float64()
		if r.Key != "" {
			point = hashFraction(xxhash.Sum64String(c.ID + "\x00" + r.Key))
		}
		room := max(level(c)-times[i], 0) / c.factor()
		if score := -math.Log1p(-point) / (room + tie); score < bestScore {
			best, bestScore = i, score
		}
	}
	return all[best], true
}

// fillLevel returns the time up to which work of other daemons that is not known yet fills the
// engines with the least times, in the own failure domain or in the others.
func fillLevel(all []Candidate, times []float64, local bool, r Request) float64 {
	least, leastFactor, capacity, busy, n := math.Inf(1), 1.0, 0.0, 0, 0
	for i := range all {
		c := &all[i]
		if c.Local != local {
			continue
		}
		n++
		if times[i] < least {
			least, leastFactor = times[i], c.factor()
		}
		capacity += 1 / c.factor()
		if c.Waiting > 0 {
			busy++
		}
	}
	if busy == 0 || r.Unseen <= 0 {
		return least
	}
	// The part of the engines that are busy is the part of their capacity that is used.
	work := r.Unseen.Seconds() * capacity * float64(busy) / float64(n)
	// Newton's method from above gives the level in a few steps: the work below a level is a convex
	// function of it.
	level := least + work*leastFactor
	for range fillSteps {
		filled, slope := 0.0, 0.0
		for i, t := range times {
			if t < level && all[i].Local == local {
				speed := 1 / all[i].factor()
				filled += (level - t) * speed
				slope += speed
			}
		}
		step := (filled - work) / slope
		if level -= step; step < r.Unseen.Seconds()/100 {
			break
		}
	}
	return level
}

// firstEventTime returns the expected time to the first event at an engine in seconds if it has to
// process all of the prompt.
func (c *Candidate) firstEventTime(r Request, prefill float64) float64 {
	t := c.factor() * r.PerWork * (c.Waiting + prefill)
	if over := float64(c.Open+1) - fullFraction*float64(c.Slots); over > 0 {
		t += c.untilCompletions(over, r)
	}
	if !c.hasMemory(r) {
		over := c.Tokens + r.Tokens - usableMemory*r.Capacity
		t += noMemoryCost + c.untilCompletions(over/max(r.Tokens, 1), r)
	}
	return t
}

// untilCompletions returns the expected time until n of the requests at an instance with no free
// slot have ended, in seconds.
func (c *Candidate) untilCompletions(n float64, r Request) float64 {
	return c.factor() * r.Hold.Seconds() * n / float64(max(c.Slots, 1))
}

// answerTime returns the expected time of a whole answer at a plain server in seconds.
func (c *Candidate) answerTime(r Request) float64 {
	used := (c.load() + 1) / float64(max(c.Slots, 1))
	own := max(c.factor()*r.Hold.Seconds(), negligible*r.Objective.Seconds())
	return own * (1 + busyCost*used)
}
