package limit

import (
	"sync"
	"time"
)

const (
	// smallBytes is what a request may hold to use the whole budget. Larger ones leave
	// reservedFraction of it, so that small requests fit while large answers of callers that are not
	// slow yet, or are being aborted, fill the rest.
	smallBytes       = 16 << 10
	reservedFraction = 0.125
	// minBlocked is how long a caller must have kept this daemon waiting before it may be aborted
	// for its memory. Callers on a sound link take or send the next bytes within some milliseconds,
	// but a daemon with a tenth of a core may not run for 100 ms.
	minBlocked = 200 * time.Millisecond
	// minBlockedSmall is the same for a request that holds at most smallBytes. To abort it frees
	// little.
	minBlockedSmall = 1 * time.Second
)

// searchInterval is the time between two searches for a request to abort after one without a
// result. All requests that wait for memory ask again and again, and a search visits each of them.
const searchInterval = 10 * time.Millisecond

// HeldBytes is the budget of the bytes that a daemon holds for callers and instances. When it is
// exceeded, requests that wait for their callers are aborted, the slowest and largest first.
//
// Lock order: mu is held while the abort functions are called. They may take the locks of
// connections, but must not call methods of HeldBytes and Holding.
type HeldBytes struct {
	limit int

	mu   sync.Mutex
	used int
	all  map[*Holding]struct{}
	// searchAfter is the earliest time of the next search for a request to abort.
	searchAfter time.Time
}

// Holding is the part of one request.
type Holding struct {
	budget *HeldBytes
	abort  func()

	bytes   int
	aborted bool
	// taken is the number of bytes that the caller has taken or sent, and waited the time that this
	// took. waitingSince is when the current wait for the caller began; zero if there is none.
	taken        int
	waited       time.Duration
	waitingSince time.Time
}

// NewHeldBytes returns an empty budget of limit bytes.
func NewHeldBytes(limit int) *HeldBytes {
	return &HeldBytes{limit: limit, all: map[*Holding]struct{}{}}
}

// Open adds a request that holds nothing yet. abort must make its waits for the caller end.
func (b *HeldBytes) Open(abort func()) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := &Holding{budget: b, abort: abort}
	b.all[g] = struct{}{}
	return g
}

// Largest returns the most bytes that one request may hold.
func (b *HeldBytes) Largest() int { return b.limit - int(reservedFraction*float64(b.limit)) }

// Used returns the number of bytes held.
func (b *HeldBytes) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Grow adds n bytes, and aborts slow requests as far as that is necessary. It returns false if the
// bytes do not fit or the request itself is aborted.
func (g *Holding) Grow(n int, now time.Time) bool {
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if g.bytes+n > smallBytes {
		limit -= int(reservedFraction * float64(b.limit))
	}
	for !g.aborted && b.used+n > limit {
		slowest := b.slowest(now)
		if slowest == nil {
			return false
		}
		slowest.aborted = true
		slowest.free(slowest.bytes)
		slowest.abort()
	}
	if g.aborted {
		return false
	}
	g.bytes += n
	b.used += n
	return true
}

// slowest returns the request that will cost the most memory for the longest time, out of those
// that wait for their callers, or nil. The lock is held.
func (b *HeldBytes) slowest(now time.Time) *Holding {
	if now.Before(b.searchAfter) {
		return nil
	}
	var slowest *Holding
	most := 0.0
	for g := range b.all {
		if !g.mayAbort(now) {
			continue
		}
		// At the caller's pace so far, its bytes will be held for bytes times perByte.
		perByte := (g.waited + now.Sub(g.waitingSince)).Seconds() / float64(g.taken+1)
		if cost := float64(g.bytes) * float64(g.bytes) * perByte; cost > most {
			slowest, most = g, cost
		}
	}
	if slowest == nil {
		b.searchAfter = now.Add(searchInterval)
	}
	return slowest
}

// mayAbort reports whether the caller has kept this daemon waiting for long enough. The lock is held.
func (g *Holding) mayAbort(now time.Time) bool {
	if g.aborted || g.bytes == 0 || g.waitingSince.IsZero() {
		return false
	}
	blocked := now.Sub(g.waitingSince)
	return blocked >= minBlockedSmall || g.bytes > smallBytes && blocked >= minBlocked
}

// Shrink removes n bytes.
func (g *Holding) Shrink(n int) {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	if !g.aborted {
		g.free(n)
	}
}

// free removes n bytes. The lock is held.
func (g *Holding) free(n int) {
	g.bytes -= n
	g.budget.used -= n
}

// BeginWait is called before this daemon waits for the caller to take or send bytes.
func (g *Holding) BeginWait(now time.Time) {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.waitingSince = now
}

// EndWait is called when the caller has taken or sent n bytes.
func (g *Holding) EndWait(n int, now time.Time) {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.taken += n
	g.waited += now.Sub(g.waitingSince)
	g.waitingSince = time.Time{}
}

// Aborted reports whether the request was aborted.
func (g *Holding) Aborted() bool {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return g.aborted
}

// Close removes the request and all that it holds.
func (g *Holding) Close() {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	if !g.aborted {
		g.free(g.bytes)
	}
	delete(g.budget.all, g)
}
