package quarantine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxFinished bounds each half of the memory of what ran to its end: 20,000 digests of some
// 60 bytes. At 130 requests a second it holds for the whole of EvidenceTime. Forgotten too
// early, a request that runs well between three losses of power looks like their cause.
const maxFinished = 20_000

// Finished remembers which requests ran to their end lately. It has two generations:
// the present half of EvidenceTime and the one before.
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
	if age < EvidenceTime/2 && len(f.young) < maxFinished {
		return
	}
	f.old = f.young
	if age >= EvidenceTime {
		f.old = nil
	}
	f.young, f.turnedAt = map[Digest]time.Time{}, now
}
