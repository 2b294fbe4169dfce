package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

const (
	// abandonedTime is how long after its exchange was given up a request may still end its instance,
	// which learns of that only by the close of the connection.
	abandonedTime = 500 * time.Millisecond
	// abandonedTTL is how long they are remembered for judges that ask.
	abandonedTTL = 30 * time.Second
	// maxAbandoned bounds the requests that are remembered, the latest.
	maxAbandoned = 1024
)

// Abandoned remembers which requests were given up a moment ago while instances ran them. Their
// connections do not show that the instances ended.
//
// Lock order: no other lock is taken while mu is held.
type Abandoned struct {
	clock clockwork.Clock

	mu  sync.Mutex
	all []abandonedRun
}

type abandonedRun struct {
	instance inventory.InstanceHash
	suspect  Suspect
	at       time.Time
}

// NewAbandoned returns an empty Abandoned.
func NewAbandoned(clock clockwork.Clock) *Abandoned { return &Abandoned{clock: clock} }

// Add remembers a request that was given up now.
func (a *Abandoned) Add(i inventory.InstanceHash, s Suspect) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	expired := 0
	for expired < len(a.all) && (now.Sub(a.all[expired].at) > abandonedTTL || len(a.all)-expired >= maxAbandoned) {
		expired++
	}
	a.all = append(slices.Delete(a.all, 0, expired), abandonedRun{instance: i, suspect: s, at: now})
}

// Of returns the requests that may have ended an instance at the given time.
func (a *Abandoned) Of(i inventory.InstanceHash, at time.Time) []Suspect {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Suspect
	for _, r := range a.all {
		if r.instance == i && at.Sub(r.at) <= abandonedTime {
			out = append(out, r.suspect.UntilEnd(at, r.at))
		}
	}
	return out
}
