package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// observationHalfLife is the time after which an observation has half its weight. That is
	// some hundred answers of a fleet.
	observationHalfLife = 8 * time.Second
	// minWork is the work below which a first event is ignored: its time is then mostly
	// network latency and a few generation steps, not prompt processing.
	minWork = 1000
	// CachedFirstEvent is the time to the first event for a prompt that the engine has cached.
	CachedFirstEvent = 60 * time.Millisecond
	// initialRate is the rate assumed before any observation, in prompt tokens of the largest
	// model per second. initialWeight is the work that this assumption weighs as much as; it
	// is so small that the second answer already corrects the rate.
	initialRate   = 15_000.0
	initialWeight = 20_000.0
)

// PrefillRate estimates how fast engines process the prompts that wait for their first event,
// from the times to first events. It is most accurate where some thousand tokens wait.
//
// Lock order: mu is taken alone.
type PrefillRate struct {
	mu sync.Mutex
	// work and seconds are decaying sums of the observations, as of at.
	work, seconds float64
	at            time.Time
}

// Observe records the time to the first event of a request. work is what the engine had to
// process before it, including the request's own prompt, in prompt tokens of the largest
// model.
func (p *PrefillRate) Observe(work float64, took time.Duration, now time.Time) {
	if work < minWork || took < CachedFirstEvent {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	p.work += work
	p.seconds += (took - CachedFirstEvent).Seconds()
}

// Estimate returns how long an engine takes to process the given work.
func (p *PrefillRate) Estimate(work float64, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	rate := (p.work + initialWeight) / (p.seconds + initialWeight/initialRate)
	return time.Duration(work / rate * float64(time.Second))
}

func (p *PrefillRate) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(p.at)) / float64(observationHalfLife))
	p.work *= factor
	p.seconds *= factor
	p.at = now
}
