package quarantine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxPerGeneration bounds each of the two generations of Finished: 20,000 digests of some 60
// bytes. Up to 130 requests per second, a generation does not fill before half of EvidenceTTL
// is over. If completions were forgotten earlier, a request that completes normally between
// three power losses would look like their cause.
const maxPerGeneration = 20_000

// Finished remembers when requests last completed. It keeps two generations, which are rotated
// every half EvidenceTTL, or earlier when the current one is full. Unless a generation fills
// up, a completion is remembered for at least half of EvidenceTTL.
//
// Lock order: mu is taken alone.
type Finished struct {
	clock clockwork.Clock

	mu                sync.Mutex
	current, previous map[Digest]time.Time
	rotatedAt         time.Time
}

// NewFinished returns an empty Finished.
func NewFinished(clock clockwork.Clock) *Finished {
	return &Finished{clock: clock, current: map[Digest]time.Time{}, rotatedAt: clock.Now()}
}

// Record records that a request has completed.
func (f *Finished) Record(d Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate()
	f.current[d] = f.clock.Now()
}

// Age returns the time since a request last completed; known is false if no completion is
// remembered.
func (f *Finished) Age(d Digest) (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate()
	at, ok := f.current[d]
	if !ok {
		at, ok = f.previous[d]
	}
	return f.clock.Since(at), ok
}

func (f *Finished) rotate() {
	now := f.clock.Now()
	age := now.Sub(f.rotatedAt)
	if age < EvidenceTTL/2 && len(f.current) < maxPerGeneration {
		return
	}
	f.previous = f.current
	if age >= EvidenceTTL {
		f.previous = nil
	}
	f.current, f.rotatedAt = map[Digest]time.Time{}, now
}
