package limit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// FleetPolicy is the budget of repeats that all daemons share.
type FleetPolicy struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Slack is the repeats allowed beside that in a window, for all daemons.
	Slack  float64
	Window time.Duration
}

// fleetMargin is the part of the budget that is used. Windows of the daemons
// and of those who check do not begin at the same time, and requests that were
// not read count for callers but not here.
const usableFraction = 0.85

// fleetBuckets is the number of steps in which a window slides. Repeats are
// remembered for one step more, so that the one that is not over is on the safe
// side: with a window that is up to a step short, 81 repeats passed where 78
// were allowed.
const windowSteps = 10

// FleetBudget bounds the repeats of this daemon to its share of what all of
// them may send to a service: its own requests times the ratio, and an equal
// part of the slack. Without it retries of all daemons together multiply the
// load of a service that is failing already.
//
// Lock order: mu is taken alone.
type FleetBudget struct {
	clock   clockwork.Clock
	daemons func() int
	// origin is where steps are counted from.
	origin time.Time

	mu       sync.Mutex
	policy   FleetPolicy
	services map[string]*fleetWindow
}

type fleetWindow struct {
	requests, retries [windowSteps + 1]int
	// at is the bucket of the present step, counted from the budget's origin.
	step int64
}

// slot is the index of the step that is ahead of the present one.
func (w *fleetWindow) slot(ahead int64) int { return int((w.step + ahead) % int64(len(w.requests))) }

// NewFleetBudget returns a budget. sharers is the number of daemons that share
// it.
func NewFleetBudget(policy FleetPolicy, clock clockwork.Clock, sharers func() int) *FleetBudget {
	return &FleetBudget{policy: policy, clock: clock, daemons: sharers, origin: clock.Now(), services: map[string]*fleetWindow{}}
}

// SetPolicy changes the budget. What was counted so far keeps its place only if
// the window stays the same.
func (b *FleetBudget) SetPolicy(p FleetPolicy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.Window != b.policy.Window {
		clear(b.services)
	}
	b.policy = p
}

// First counts a request that is sent for the first time.
func (b *FleetBudget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.slot(0)]++
}

// Take spends one repeat, or reports that the share is used up.
func (b *FleetBudget) Take(service string) bool {
	n := float64(max(b.daemons(), 1))
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	firsts, repeats := 0, 0
	for i := range w.requests {
		repeats += w.retries[i]
		if i != w.slot(1) {
			// All but the oldest step.
			firsts += w.requests[i]
		}
	}
	allowed := usableFraction * (b.policy.Ratio*float64(firsts) + b.policy.Slack/n)
	if float64(repeats+1) > allowed {
		return false
	}
	w.retries[w.slot(0)]++
	return true
}

// window is a service's window, moved on to the present step.
//
// Steps are counted by the steady clock. Counted by the time of day, a jump forward
// emptied the window, so that its repeats were allowed once more, and after a jump
// back it stood still.
func (b *FleetBudget) window(service string) *fleetWindow {
	step := b.policy.Window / windowSteps
	now := int64(b.clock.Since(b.origin) / max(step, time.Millisecond))
	w, ok := b.services[service]
	if !ok {
		w = &fleetWindow{step: now}
		b.services[service] = w
	}
	for ; w.step < now && now-w.step <= windowSteps; w.step++ {
		next := w.slot(1)
		w.requests[next], w.retries[next] = 0, 0
	}
	if w.step < now {
		*w = fleetWindow{step: now}
	}
	return w
}

// Bytes bounds an amount of memory.
type Bytes struct {
	limit int

	mu   sync.Mutex
	used int
}

// NewBytes returns an unused amount.
func NewBytes(limit int) *Bytes { return &Bytes{limit: limit} }

// Take uses n bytes, or reports that there are not as many left.
func (b *Bytes) Take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// Release gives n bytes back.
func (b *Bytes) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}
