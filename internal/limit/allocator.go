package limit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// ShareTTL is how long a granted share lasts without being renewed.
const ShareTTL = 5 * time.Second

// shareFloor is the part of a limit that is kept for daemons without demand
// when the demand of all is above the limit.
const evenFraction = 0.1

// granted is a daemon's share of an organisation's limits.
type grant struct {
	demand   float64
	fraction float64
	until    time.Time
}

// Allocator allots the shares of the organisations whose duty this daemon has.
// Each daemon gets what it is asked for and an equal part of what nobody asks
// for, so that callers may move between daemons at any moment; above the whole
// limit, shares are in proportion to demand. They never add up to more than the
// whole.
//
// Lock order: mu is taken alone.
type Allocator struct {
	clock   clockwork.Clock
	daemons func() int

	mu    sync.Mutex
	table map[string]map[string]*grant
	// since is when this daemon first allotted an organisation.
	firstReport map[string]time.Time
}

// NewAllocator returns an allocator. daemons returns how many daemons share
// the limits.
func NewAllocator(clock clockwork.Clock, daemons func() int) *Allocator {
	return &Allocator{clock: clock, daemons: daemons, table: map[string]map[string]*grant{}, firstReport: map[string]time.Time{}}
}

// Report takes a daemon's demand and returns its shares.
//
// A share is cut to what the unexpired shares of the others leave, so that the
// shares never add up to more than one limit, in whatever order reports come.
// A new allocator does not know what its predecessor granted; it grants equal
// shares until those have lapsed.
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

// Return gives back the shares of a daemon that stops.
func (a *Allocator) Return(from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, shares := range a.table {
		delete(shares, from)
	}
}

func (a *Allocator) allocate(from string, d Demand, now time.Time) Share {
	shares := a.table[d.Organisation]
	if shares == nil {
		shares = map[string]*grant{}
		a.table[d.Organisation] = shares
		a.firstReport[d.Organisation] = now
	}
	total, taken := 0.0, 0.0
	for id, g := range shares {
		if now.After(g.until) {
			delete(shares, id)
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
	shares[from] = own
	return Share{Fraction: own.fraction, Until: own.until}
}
