package dispatch

import (
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// timing is the expected latency of a version.
type timing struct {
	firstToken time.Duration
	perToken   time.Duration
}

// latencyEstimator estimates the latency of each version by exponential
// smoothing.
//
// Lock order: mu is taken alone.
type latencyEstimator struct {
	mu    sync.Mutex
	table map[config.VersionRef]timing
}

func newLatencyEstimator() *latencyEstimator {
	return &latencyEstimator{table: map[config.VersionRef]timing{}}
}

// smoothingWeight is the weight of a new sample.
const smoothingWeight = 0.05

func (t *latencyEstimator) estimate(ref config.VersionRef) timing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table[ref]
}

func (t *latencyEstimator) observe(ref config.VersionRef, firstToken, perToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, seen := t.table[ref]
	if !seen {
		t.table[ref] = timing{firstToken: firstToken, perToken: perToken}
		return
	}
	mean.firstToken += time.Duration(smoothingWeight * float64(firstToken-mean.firstToken))
	mean.perToken += time.Duration(smoothingWeight * float64(perToken-mean.perToken))
	t.table[ref] = mean
}
