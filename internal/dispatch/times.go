package dispatch

import (
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// timing is what a version usually takes.
type timing struct {
	firstToken time.Duration
	perToken   time.Duration
}

// times keeps smoothed timings by version.
//
// Lock order: mu is taken alone.
type latencyEstimator struct {
	mu    sync.Mutex
	table map[config.VersionRef]timing
}

func newLatencyEstimator() *latencyEstimator { return &latencyEstimator{table: map[config.VersionRef]timing{}} }

// timeSmoothing is the weight of a new sample.
const smoothingWeight = 0.05

func (t *latencyEstimator) estimate(ref config.VersionRef) timing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table[ref]
}

func (t *latencyEstimator) observe(ref config.VersionRef, firstToken, perToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	have, seen := t.table[ref]
	if !seen {
		t.table[ref] = timing{firstToken: firstToken, perToken: perToken}
		return
	}
	have.firstToken += time.Duration(smoothingWeight * float64(firstToken-have.firstToken))
	have.perToken += time.Duration(smoothingWeight * float64(perToken-have.perToken))
	t.table[ref] = have
}
