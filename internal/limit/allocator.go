package limit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// ShareTTL is how long a granted share is valid without renewal.
const ShareTTL = 5 * time.Second

// evenFraction is the fraction of a limit that is divided evenly between the daemons when
// their total demand exceeds the limit, so that a daemon without demand keeps a share. The
// rest is divided by demand.
const evenFraction = 0.1

// grant is a daemon's share of an organisation's limits, with the demand for which it was
// granted. Both are fractions of the whole limits.
type grant struct {
	demand   float64
	fraction float64
	until    time.Time
}

// Allocator grants daemons their shares of the limits of those organisations that this daemon
// is responsible for. While the total demand is below the limit, each daemon gets its demand
// and an equal part of the remainder, so that callers may move between daemons at any moment.
// Above the limit, shares are mostly in proportion to demand. Their sum never exceeds the
// limit.
//
// Lock order: mu is taken before the lock that daemons takes.
type Allocator struct {
	clock   clockwork.Clock
	daemons func() int

	mu sync.Mutex
	// grants contains the grants by organisation and daemon.
	grants map[string]map[string]*grant
	// firstReport is when this Allocator first got a report on each organisation.
	firstReport map[string]time.Time
}

// NewAllocator returns an Allocator. daemons returns how many daemons share the limits.
func NewAllocator(clock clockwork.Clock, daemons func() int) *Allocator {
	return &Allocator{clock: clock, daemons: daemons, grants: map[string]map[string]*grant{}, firstReport: map[string]time.Time{}}
}

// Report records a daemon's demand and returns its shares by organisation.
//
// A share is cut to what the valid shares of the other daemons leave, so that their sum never
// exceeds the limit, in whatever order reports arrive. A new Allocator does not know what its
// predecessor granted, so it grants equal shares until those grants have expired.
func (a *Allocator) Report(from string, demands []Demand) map[string]Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	shares := map[string]Share{}
	for _, d := range demands {
		shares[d.Organisation] = a.allocate(from, d, now)
	}
	return shares
}

// Release frees the shares of a daemon that stops.
func (a *Allocator) Release(from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, byDaemon := range a.grants {
		delete(byDaemon, from)
	}
}

func (a *Allocator) allocate(from string, d Demand, now time.Time) Share {
	byDaemon := a.grants[d.Organisation]
	if byDaemon == nil {
		byDaemon = map[string]*grant{}
		a.grants[d.Organisation] = byDaemon
		a.firstReport[d.Organisation] = now
	}
	total, taken := 0.0, 0.0
	for id, g := range byDaemon {
		if now.After(g.until) {
			delete(byDaemon, id)
			continue
		}
		if id != from {
			total += g.demand
			taken += g.fraction
		}
	}
	own := &grant{demand: d.Used, until: now.Add(ShareTTL)}
	total += own.demand
	// One part stays free for a daemon that has just started.
	parts := float64(max(a.daemons(), 1) + 1)
	switch {
	case now.Sub(a.firstReport[d.Organisation]) < ShareTTL:
		own.fraction = 1 / parts
	case total < 1:
		own.fraction = own.demand + (1-total)/parts
	default:
		own.fraction = evenFraction/parts + (1-evenFraction)*own.demand/total
	}
	own.fraction = max(min(own.fraction, 1-taken), 0)
	byDaemon[from] = own
	return Share{Fraction: own.fraction, Until: own.until}
}
