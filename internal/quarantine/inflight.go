package quarantine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Flight is a run of a request on an instance.
type Flight struct {
	suspect *Suspect
	headAt  time.Time
}

// InFlight has the runs of this daemon's requests. An answer that has gone on for longer than those
// that ended with their instances shows that its traits did not end them.
//
// Lock order: mu is taken alone.
type InFlight struct {
	clock clockwork.Clock

	mu  sync.Mutex
	all map[*Flight]struct{}
}

// NewInFlight returns an InFlight without runs.
func NewInFlight(clock clockwork.Clock) *InFlight {
	return &InFlight{clock: clock, all: map[*Flight]struct{}{}}
}

// Begin adds a run whose answer has begun, and End removes it. The suspect must not be changed.
func (f *InFlight) Begin(s *Suspect) *Flight {
	flight := &Flight{suspect: s, headAt: f.clock.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[flight] = struct{}{}
	return flight
}

// End is documented at Begin.
func (f *InFlight) End(flight *Flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, flight)
}

// Longest returns for how long answers have run, for those of the traits that have any. The traits are
// those for which requests complete, that is, of no particular organisation.
func (f *InFlight) Longest(traits []Trait) Running {
	asked := make(map[Trait]bool, len(traits))
	for _, t := range traits {
		asked[t] = true
	}
	out := Running{}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for flight := range f.all {
		flight.suspect.traits(func(t Trait) {
			if asked[t] {
				out[t] = max(out[t], now.Sub(flight.headAt))
			}
		})
	}
	return out
}

// Merge adds what another daemon knows.
func (r Running) Merge(other Running) {
	for t, d := range other {
		r[t] = max(r[t], d)
	}
}
