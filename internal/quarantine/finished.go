package quarantine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// finishedTime is how long a daemon remembers that a request ran to its end. A
	// request is judged while its repeats come, some seconds apart.
	finishedTime = 30 * time.Second
	// maxFinished bounds each half of that: 10,000 digests of some 40 bytes. At 300
	// requests a second it holds for the whole time.
	maxFinished = 10_000
)

// Finished remembers which requests ran to their end lately. It has two generations:
// the present half of finishedTime and the one before.
//
// Lock order: mu is taken alone.
type Finished struct {
	clock clockwork.Clock

	mu         sync.Mutex
	young, old map[Digest]time.Time
	turnedAt   time.Time
}

// NewFinished returns an empty memory.
func NewFinished(clock clockwork.Clock) *Finished {
	return &Finished{clock: clock, young: map[Digest]time.Time{}, turnedAt: clock.Now()}
}

// Note takes in that a request has run to its end.
func (f *Finished) Note(d Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn()
	f.young[d] = f.clock.Now()
}

// Age returns how long ago a request last ran to its end.
func (f *Finished) Age(d Digest) (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn()
	at, ok := f.young[d]
	if !ok {
		at, ok = f.old[d]
	}
	return f.clock.Since(at), ok
}

func (f *Finished) turn() {
	now := f.clock.Now()
	age := now.Sub(f.turnedAt)
	if age < finishedTime/2 && len(f.young) < maxFinished {
		return
	}
	f.old = f.young
	if age >= finishedTime {
		f.old = nil
	}
	f.young, f.turnedAt = map[Digest]time.Time{}, now
}
