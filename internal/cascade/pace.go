package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// paceHalfLife is how fast observations of the engines' pace lose weight: some
	// hundred answers of a fleet.
	observationHalfLife = 8 * time.Second
	// leastWork is the work below which a first event says little of the pace:
	// its time is that of the way and of a few steps.
	minWork = 1000
	// BaseHead is the time to a first event of a prompt that is held already.
	BaseHead = 60 * time.Millisecond
	// firstPace is the pace taken before any observation, in prompt tokens of the
	// largest model a second, and firstWeight the work that this counts for. The
	// second answer corrects it.
	initialRate   = 15_000.0
	initialWeight = 20_000.0
)

// Pace learns how fast engines work off what waits for its first event, from first
// events observed. It expects best where some thousand tokens wait.
//
// Lock order: mu is taken alone.
type Pace struct {
	mu sync.Mutex
	// work and seconds are sums of what was observed, as of at.
	work, seconds float64
	at            time.Time
}

// Note takes in how long the first event of a request took with some work before it,
// its own included, in prompt tokens of the largest model.
func (p *Pace) Note(work float64, took time.Duration, now time.Time) {
	if work < minWork || took < BaseHead {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	p.work += work
	p.seconds += (took - BaseHead).Seconds()
}

// Expect is how long some work takes an engine.
func (p *Pace) Expect(work float64, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	pace := (p.work + initialWeight) / (p.seconds + initialWeight/initialRate)
	return time.Duration(work / pace * float64(time.Second))
}

func (p *Pace) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(p.at)) / float64(observationHalfLife))
	p.work *= factor
	p.seconds *= factor
	p.at = now
}
