package limit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// FleetRetryPolicy sets the retry budget that all daemons share.
type FleetRetryPolicy struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries that all daemons together may send per Window in addition
	// to those allowed by Ratio.
	Slack  float64
	Window time.Duration
}

// usableFraction is the fraction of the budget that is used. The rest is a margin, since the
// count of an observer of the fleet differs from that of the daemons: their windows do not
// begin at the same time, and callers also count requests that no daemon has read.
const usableFraction = 0.85

// windowSteps is the number of steps in which the window slides. Retries are remembered for
// one step more, so that the partial current step errs on the safe side: with a window that is
// up to a step too short, 81 retries passed where 78 were allowed.
const windowSteps = 10

// FleetRetryBudget limits this daemon's retries to its share of what all daemons may send to a
// service: Ratio times its own requests, and an equal part of Slack. Without it, the retries
// of all daemons together multiply the load of a failing service.
//
// Lock order: no other lock is taken while mu is held; daemons is called before.
type FleetRetryBudget struct {
	clock   clockwork.Clock
	daemons func() int
	// origin is the time at which step 0 began.
	origin time.Time

	mu       sync.Mutex
	policy   FleetRetryPolicy
	services map[string]*fleetWindow
}

type fleetWindow struct {
	requests, retries [windowSteps + 1]int
	// step is the current step, counted from the budget's origin.
	step int64
}

// slot returns the array index of the step that is ahead steps after the current one. The
// arrays are rings, so the next step has the index of the oldest one.
func (w *fleetWindow) slot(ahead int64) int { return int((w.step + ahead) % int64(len(w.requests))) }

// NewFleetRetryBudget returns a FleetRetryBudget. daemons returns how many daemons share it.
func NewFleetRetryBudget(policy FleetRetryPolicy, clock clockwork.Clock, daemons func() int) *FleetRetryBudget {
	return &FleetRetryBudget{policy: policy, clock: clock, daemons: daemons, origin: clock.Now(), services: map[string]*fleetWindow{}}
}

// SetPolicy changes the policy. The counts are kept only if the window stays the same.
func (b *FleetRetryBudget) SetPolicy(p FleetRetryPolicy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.Window != b.policy.Window {
		clear(b.services)
	}
	b.policy = p
}

// CountRequest counts the first attempt of a request.
func (b *FleetRetryBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.slot(0)]++
}

// Take uses one retry; it returns false if this daemon's share is used up.
func (b *FleetRetryBudget) Take(service string) bool {
	n := b.daemons()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	if !b.mayTake(w, n) {
		return false
	}
	w.retries[w.slot(0)]++
	return true
}

// MayTake reports whether Take would succeed now.
func (b *FleetRetryBudget) MayTake(service string) bool {
	n := b.daemons()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayTake(b.window(service), n)
}

// mayTake reports whether the share of one of n daemons has a retry left. The lock is held.
func (b *FleetRetryBudget) mayTake(w *fleetWindow, n int) bool {
	requests, retries := 0, 0
	for i := range w.requests {
		retries += w.retries[i]
		if i != w.slot(1) {
			// Requests are counted without the oldest step.
			requests += w.requests[i]
		}
	}
	allowed := usableFraction * (b.policy.Ratio*float64(requests) + b.policy.Slack/float64(max(n, 1)))
	return float64(retries+1) <= allowed
}

// window returns a service's window, advanced to the current step.
//
// Steps are counted by the monotonic clock. By the wall clock, a jump forward would empty the
// window and allow its retries a second time, and a jump back would stop the window.
func (b *FleetRetryBudget) window(service string) *fleetWindow {
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

// ByteBudget limits an amount of memory.
type ByteBudget struct {
	limit int

	mu   sync.Mutex
	used int
}

// Limit returns the size of the budget.
func (b *ByteBudget) Limit() int { return b.limit }

// NewByteBudget returns a ByteBudget of limit bytes.
func NewByteBudget(limit int) *ByteBudget { return &ByteBudget{limit: limit} }

// Take reserves n bytes; it returns false if fewer are left.
func (b *ByteBudget) Take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// Release frees n bytes.
func (b *ByteBudget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}
