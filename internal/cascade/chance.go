package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// spreadWeight is the weight of a new answer in the mean and the variance of a spread. Some
	// twenty answers count.
	spreadWeight = 0.05
	// assumedDeviation is the standard deviation of the logarithm that is assumed before any
	// answer: callers' estimates of the length are off by such a factor.
	assumedDeviation = 0.5
	// minDeviation keeps a series of similar answers from making a late one seem impossible.
	minDeviation = 0.2
)

// spread is the distribution of the logarithm of the time of answers as a multiple of the
// expected time.
type spread struct{ mean, variance float64 }

// Spreads holds the spread of the times of answers by Key.
//
// Lock order: mu is taken alone.
type Spreads struct {
	mu    sync.Mutex
	table map[Key]spread
}

// NewSpreads returns Spreads without observations.
func NewSpreads() *Spreads { return &Spreads{table: map[Key]spread{}} }

// Observe records the time that an answer took, and the time that was expected. An answer that
// was cut off at its deadline counts with the time until then.
func (s *Spreads) Observe(key Key, took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.table) > maxKeys {
		clear(s.table)
	}
	sp := s.get(key)
	deviation := math.Log(float64(took)/float64(expected)) - sp.mean
	sp.mean += spreadWeight * deviation
	sp.variance += spreadWeight * (deviation*deviation - sp.variance)
	s.table[key] = sp
}

// Chance returns the probability that an answer with the given expected time takes at most the
// time left.
func (s *Spreads) Chance(key Key, expected, left time.Duration) float64 {
	switch {
	case left <= 0:
		return 0
	case expected <= 0:
		return 1
	}
	s.mu.Lock()
	sp := s.get(key)
	s.mu.Unlock()
	z := (math.Log(float64(left)/float64(expected)) - sp.mean) / max(math.Sqrt(sp.variance), minDeviation)
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// get returns the spread of a key. The lock is held.
func (s *Spreads) get(key Key) spread {
	if sp, ok := s.table[key]; ok {
		return sp
	}
	return spread{variance: assumedDeviation * assumedDeviation}
}
