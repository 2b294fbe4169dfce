package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages: about the last seven
	// samples count.
	sampleWeight = 0.15
	// estimateHalfLife is the time after which an estimate without new samples has halved, so
	// that a model that was too slow is tried again. One daemon of a large fleet sees about
	// one answer of the largest model per second; a shorter time would discard most of its
	// samples.
	estimateHalfLife = 8 * time.Second
)

// Key identifies the answers that share an estimate.
type Key struct{ Route, Model string }

// estimate holds the moving averages for one Key.
type estimate struct {
	// firstEvent is the time to the first event, and perToken the time for each token that the
	// caller expects, both in seconds.
	firstEvent, perToken float64
	// overrun is the average excess of answers over the expected time, as a fraction of that
	// time. Faster answers count as 0.
	overrun float64
	at      time.Time
}

// total returns an upper estimate of the time of an answer, in seconds. While an engine
// processes long prompts, its other answers take two to three times their usual time per
// token. Without the overrun, more answers of the largest model would hit their deadline, and
// their callers would lose the small model's answer too.
func (e estimate) total(tokens int) float64 {
	return (e.firstEvent + e.perToken*float64(tokens)) * (1 + e.overrun)
}

// LatencyEstimator estimates how long answers take from recent ones.
//
// Lock order: mu is taken alone.
type LatencyEstimator struct {
	mu    sync.Mutex
	table map[Key]estimate
}

// NewLatencyEstimator returns an estimator without observations.
func NewLatencyEstimator() *LatencyEstimator { return &LatencyEstimator{table: map[Key]estimate{}} }

// maxKeys bounds the table, since routes are added and removed with the configuration.
const maxKeys = 4096

// Observe records the time from the start of an answer to its first event, and from there to
// its end. An answer that was abandoned counts with the time until then, which underestimates
// it.
func (t *LatencyEstimator) Observe(key Key, firstEvent, rest time.Duration, tokens int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.table[key]
	perToken := rest.Seconds() / float64(max(tokens, 1))
	if !known {
		e = estimate{firstEvent: firstEvent.Seconds(), perToken: perToken}
	}
	if mean := e.firstEvent + e.perToken*float64(tokens); mean > 0 {
		excess := max((firstEvent+rest).Seconds()/mean-1, 0)
		e.overrun += sampleWeight * (excess - e.overrun)
	}
	e.firstEvent += sampleWeight * (firstEvent.Seconds() - e.firstEvent)
	if rest > 0 {
		e.perToken += sampleWeight * (perToken - e.perToken)
	}
	e.at = now
	if len(t.table) > maxKeys {
		clear(t.table)
	}
	t.table[key] = e
}

// Estimate returns how long an answer of the given length is likely to take, or 0 if there are
// no observations.
func (t *LatencyEstimator) Estimate(key Key, tokens int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.table[key]
	decay := math.Exp2(-float64(now.Sub(e.at)) / float64(estimateHalfLife))
	return time.Duration(e.total(tokens) * decay * float64(time.Second))
}

// Mean returns the mean time of an answer of the given length, without the overrun that Estimate
// adds, or 0 if there are no observations.
func (t *LatencyEstimator) Mean(key Key, tokens int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.table[key]
	e.overrun = 0
	decay := math.Exp2(-float64(now.Sub(e.at)) / float64(estimateHalfLife))
	return time.Duration(e.total(tokens) * decay * float64(time.Second))
}
