package shift

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Evidence is what one daemon has observed of a roll-out.
type Evidence struct {
	Order       int64
	Fresh, Old  Counts
	OldInFlight int
	// Held are the hashes of sessions under way that began on the old version and are not yet
	// in State.Held.
	Held []uint64
	// From is the incarnation of the daemon.
	From string
}

// rollout is an order, its state and what this daemon has observed of it.
type rollout struct {
	order Order
	state State
	// orderedAt is when the order was given, to this daemon's knowledge.
	orderedAt  time.Time
	fresh, old Counts
	// waiting are the requests that wait at instances of the new version.
	waiting map[*WaitingRequest]struct{}
	// stopped is set once this daemon's own evidence shows a regression.
	stopped bool
	held    map[uint64]bool
}

// inheritWithdrawn adds the versions that an older state excludes from use.
//
// A version that was rolled back is neither the new version of the next order nor the old one.
// If it counted as old, it would get requests again while its servers run.
func (r *rollout) inheritWithdrawn(older State) {
	versions := older.Withdrawn
	if older.Phase != Completed {
		versions = append(slices.Clone(versions), older.To)
	}
	for _, version := range versions {
		if version != r.order.To && !slices.Contains(r.state.Withdrawn, version) {
			r.state.Withdrawn = append(slices.Clone(r.state.Withdrawn), version)
		}
	}
}

// Tracker keeps the roll-outs of all services and the sessions under way.
//
// Lock order: no other lock is held when mu is taken. While it is held, only inFlight takes a
// lock.
type Tracker struct {
	clock clockwork.Clock
	// pause is the longest pause between the requests of a session.
	pause time.Duration
	// limit is the fraction of a service's requests that a new version may get.
	limit    ExposureLimit
	inFlight func(service string, keep func(version string) bool) int

	mu       sync.Mutex
	services map[string]*rollout
	// sessions are the sessions under way, by service and hash.
	sessions map[sessionKey]activeSession
}

// NewTracker returns a Tracker without roll-outs. inFlight counts this daemon's requests in
// flight at the instances of a service whose version satisfies the predicate.
func NewTracker(clock clockwork.Clock, pause time.Duration, limit ExposureLimit, inFlight func(string, func(string) bool) int) *Tracker {
	return &Tracker{
		clock: clock, pause: pause, limit: limit, inFlight: inFlight,
		services: map[string]*rollout{}, sessions: map[sessionKey]activeSession{},
	}
}

// AddOrder adds an order and reports whether it is new. It starts a roll-out for a new order,
// and updates the IDs or the age of one that is already known.
func (t *Tracker) AddOrder(o Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	existing, ok := t.services[o.Service]
	switch {
	case !ok:
	case o.isRestatementOf(existing.order):
		existing.setIDs(existing.order.ID, o.latestID(), o.Era)
		return false
	case o.ID < existing.order.ID && o.Restated == existing.order.ID:
		existing.setIDs(o.ID, o.Restated, o.Era)
		return false
	case existing.order.latestID() >= o.ID:
		existing.moveOrderTime(o.ID, t.clock.Now().Add(-o.Age))
		return false
	}
	r := &rollout{
		order: o, orderedAt: t.clock.Now().Add(-o.Age), fresh: Counts{}, old: Counts{}, held: map[uint64]bool{}, waiting: map[*WaitingRequest]struct{}{},
		state: State{Order: o.ID, Service: o.Service, To: o.To, Phase: Running},
	}
	if ok {
		r.inheritWithdrawn(existing.state)
	}
	t.services[o.Service] = r
	for key, s := range t.sessions {
		if key.service == o.Service {
			// The version that these sessions use is the old one of this order.
			s.old = true
			t.sessions[key] = s
		}
	}
	return true
}

// setIDs records the ID under which the order was first known, and its ID and era after a
// restore of the store.
//
// If the order counted as a new one, its roll-out would start again and take sessions back to
// the old version.
func (r *rollout) setIDs(first, restated, era int64) {
	r.order.ID, r.order.Restated, r.order.Era = first, restated, era
	r.state.Order, r.state.Restated = first, restated
}

// Conflicts reports whether a different order is known for the same service.
func (t *Tracker) Conflicts(o Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.services[o.Service]
	return ok && !o.sameRequest(r.order)
}

// ResetTold marks the operator as not notified of any roll-out, so that the lease holders
// notify it again. It is for a restored store, which may have lost the record of the
// notifications.
func (t *Tracker) ResetTold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.services {
		r.state.Told = false
	}
}

// UpdateAge records how long ago an order was given, and keeps the longest age received. It
// reports whether the time of the order changed.
func (t *Tracker) UpdateAge(service string, order int64, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.services[service]
	return ok && r.moveOrderTime(order, t.clock.Now().Add(-age))
}

// minAgeChange is the smallest difference that changes the age of an order. An order takes
// less time than this through the store and its readers.
const minAgeChange = 200 * time.Millisecond

// moveOrderTime sets when the order was given, if that is earlier than known.
//
// A daemon that starts in the middle of a roll-out counts from when it received the order,
// until another daemon sends the order's age. Without that, as lease holder it could take
// twice the allowed time.
func (r *rollout) moveOrderTime(order int64, orderedAt time.Time) bool {
	if r.order.ID != order || r.orderedAt.Sub(orderedAt) < minAgeChange {
		return false
	}
	r.orderedAt = orderedAt
	return true
}

// ApplyState replaces the known state by a newer one. A stop, and the versions that an earlier
// order's state withdraws, apply whatever the step. It reports whether the state is newer, or
// is the first that stops the version.
func (t *Tracker) ApplyState(s State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.services[s.Service]
	if ok && s.Order < r.order.ID && s.Restated == r.order.ID {
		r.setIDs(s.Order, s.Restated, r.order.Era)
	}
	switch {
	case !ok:
		return false
	case s.Order < r.order.ID:
		r.inheritWithdrawn(s)
		return false
	case s.Order != r.order.ID:
		return false
	case s.Step <= r.state.Step || r.state.Told:
		// A stop does not increase Step, since it is also sent while no daemon holds the
		// lease.
		changed := s.Stopped && !r.state.Stopped
		r.state.Stopped = r.state.Stopped || s.Stopped
		return changed
	}
	previous := r.state
	r.state = s
	r.state.Stopped = s.Stopped || previous.Stopped
	r.inheritWithdrawn(State{Phase: Completed, Withdrawn: previous.Withdrawn})
	r.held = map[uint64]bool{}
	for _, h := range s.Held {
		r.held[h] = true
	}
	return true
}

// Orders returns the orders and states of all services, in matching positions.
func (t *Tracker) Orders() ([]Order, []State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []Order
	var states []State
	for _, r := range t.services {
		o := r.order
		o.Age = t.clock.Since(r.orderedAt)
		orders = append(orders, o)
		states = append(states, r.state)
	}
	return orders, states
}

// Unfinished returns the roll-outs that are running, or have ended without the operator being
// notified.
func (t *Tracker) Unfinished() []UnfinishedRollout {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []UnfinishedRollout
	for _, r := range t.services {
		if !r.state.Told {
			out = append(out, UnfinishedRollout{Order: r.order, State: r.state, Elapsed: t.clock.Since(r.orderedAt)})
		}
	}
	return out
}

// UnfinishedRollout is a roll-out that still needs work by a lease holder. Elapsed is the time
// since the order.
type UnfinishedRollout struct {
	Order   Order
	State   State
	Elapsed time.Duration
}

// Observe counts an observation of a request.
func (t *Tracker) Observe(service string, o Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.services[service]
	if !ok || r.state.Phase != Running {
		return
	}
	if o.Version == r.order.To {
		r.fresh.add(o)
	} else {
		o.Instance = ""
		r.old.add(o)
	}
	if o.Bad && o.Version == r.order.To && !r.stopped {
		// A daemon stops a version without the lease: a stop only limits the damage while the
		// lease holder is away.
		r.stopped = Regressed(r.fresh, r.old)
	}
}

// Evidence returns what this daemon has observed of a service's roll-out; the zero Evidence if
// it has none.
func (t *Tracker) Evidence(service string) Evidence {
	e, waiting := t.evidence(service)
	e.Fresh = Merge(e.Fresh, t.countWaiting(waiting))
	return e
}

// evidence returns the evidence without the requests that wait, and these.
func (t *Tracker) evidence(service string) (Evidence, []*WaitingRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.services[service]
	if !ok {
		return Evidence{}, nil
	}
	e := Evidence{Order: r.order.ID, Fresh: Merge(r.fresh), Old: Merge(r.old)}
	e.Held = t.sessionsToHold(service, r)
	to := r.order.To
	// inFlight takes a lock of its own, under which mu is never taken.
	e.OldInFlight = t.inFlight(service, func(version string) bool { return version != to })
	return e, slices.Collect(maps.Keys(r.waiting))
}
