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
type times struct {
	mu    sync.Mutex
	table map[config.VersionRef]timing
}

func newTimes() *times { return &times{table: map[config.VersionRef]timing{}} }

// timeSmoothing is the weight of a new sample.
const timeSmoothing = 0.05

func (t *times) get(ref config.VersionRef) timing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table[ref]
}

func (t *times) observe(ref config.VersionRef, firstToken, perToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	have, seen := t.table[ref]
	if !seen {
		t.table[ref] = timing{firstToken: firstToken, perToken: perToken}
		return
	}
	have.firstToken += time.Duration(timeSmoothing * float64(firstToken-have.firstToken))
	have.perToken += time.Duration(timeSmoothing * float64(perToken-have.perToken))
	t.table[ref] = have
}
