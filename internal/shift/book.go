package shift

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Evidence is what one daemon has seen of a roll-out.
type Evidence struct {
	Order       int64
	Fresh, Old  Counts
	OldInFlight int
	// Held are hashes of sessions under way that began on the old version and
	// are not held yet.
	Held []uint64
	// From is the incarnation of the daemon.
	From string
}

// rollout is an order with its state and what this daemon has seen of it.
type rollout struct {
	order Order
	state State
	// given is when the order was given, as far as this daemon knows.
	given      time.Time
	fresh, old Counts
	// stopped is set once this daemon's own evidence condemns the version.
	stopped bool
	held    map[uint64]bool
}

// withdraw notes the versions that must not be used any more by an older state.
//
// A version that was rolled back is neither the new version of the next order
// nor the old one; taken for old, it gets work again while its servers run.
func (r *rollout) withdraw(older State) {
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

// Book keeps the roll-outs of all services.
//
// Lock order: mu is taken alone.
type Book struct {
	clock clockwork.Clock
	// pause is the longest pause between the requests of a session.
	pause time.Duration
	// limit is how much of a service's requests a new version may get.
	limit    Exposure
	inFlight func(service string, keep func(version string) bool) int

	mu       sync.Mutex
	services map[string]*rollout
	// sessions are those under way, by service and hash.
	sessions map[sessionKey]underWay
}

// NewBook returns an empty book. inFlight counts this daemon's requests at the
// instances of a service whose version is kept.
func NewBook(clock clockwork.Clock, pause time.Duration, limit Exposure, inFlight func(string, func(string) bool) int) *Book {
	return &Book{
		clock: clock, pause: pause, limit: limit, inFlight: inFlight,
		services: map[string]*rollout{}, sessions: map[sessionKey]underWay{},
	}
}

// Ordered takes in an order. It reports whether it is new.
func (b *Book) Ordered(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, ok := b.services[o.Service]
	switch {
	case !ok:
	case o.restates(before.order):
		before.restate(before.order.ID, o.newest(), o.Era)
		return false
	case o.ID < before.order.ID && o.Restated == before.order.ID:
		before.restate(o.ID, o.Restated, o.Era)
		return false
	case before.order.newest() >= o.ID:
		before.aged(o.ID, b.clock.Now().Add(-o.Age))
		return false
	}
	r := &rollout{
		order: o, given: b.clock.Now().Add(-o.Age), fresh: Counts{}, old: Counts{}, held: map[uint64]bool{},
		state: State{Order: o.ID, Service: o.Service, To: o.To, Phase: Running},
	}
	if ok {
		r.withdraw(before.state)
	}
	b.services[o.Service] = r
	for key, s := range b.sessions {
		if key.service == o.Service {
			// Whatever they run on is the old version of this order.
			s.old = true
			b.sessions[key] = s
		}
	}
	return true
}

// restate gives an order the ID under which it was first known, and that of a later era.
//
// Taken for another order, the roll-out would begin again, and take sessions back to the old
// version.
func (r *rollout) restate(first, restated, era int64) {
	r.order.ID, r.order.Restated, r.order.Era = first, restated, era
	r.state.Order, r.state.Restated = first, restated
}

// Contradicts reports whether another order is known about the same service.
func (b *Book) Contradicts(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.services[o.Service]
	return ok && !o.sameWish(r.order)
}

// Retell has the operator told again of all roll-outs that have ended: what tells of them may
// be lost.
func (b *Book) Retell() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.services {
		r.state.Told = false
	}
}

// Aged takes in how long ago an order was given. The longest time told counts;
// it reports whether this is news.
func (b *Book) Aged(service string, order int64, age time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.services[service]
	return ok && r.aged(order, b.clock.Now().Add(-age))
}

// ageNews is the difference from which the age of an order is news: the way of
// the order through the store and its readers takes less.
const ageNews = 200 * time.Millisecond

// aged takes in when an order was given.
//
// A daemon that starts in the middle of a roll-out counts its time from when it
// learned of the order, until it is told better; with the duty it would take
// twice the time allowed.
func (r *rollout) aged(order int64, given time.Time) bool {
	if r.order.ID != order || r.given.Sub(given) < ageNews {
		return false
	}
	r.given = given
	return true
}

// Learn takes in a state. It reports whether it is news.
func (b *Book) Learn(s State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.services[s.Service]
	if ok && s.Order < r.order.ID && s.Restated == r.order.ID {
		r.restate(s.Order, s.Restated, r.order.Era)
	}
	switch {
	case !ok:
		return false
	case s.Order < r.order.ID:
		r.withdraw(s)
		return false
	case s.Order != r.order.ID:
		return false
	case s.Step <= r.state.Step || r.state.Told:
		// A stop has no step of its own: nobody may hold the duty.
		news := s.Stopped && !r.state.Stopped
		r.state.Stopped = r.state.Stopped || s.Stopped
		return news
	}
	known := r.state
	r.state = s
	r.state.Stopped = s.Stopped || known.Stopped
	r.withdraw(State{Phase: Completed, Withdrawn: known.Withdrawn})
	r.held = map[uint64]bool{}
	for _, h := range s.Held {
		r.held[h] = true
	}
	return true
}

// Orders returns the orders and states, by service.
func (b *Book) Orders() ([]Order, []State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var orders []Order
	var states []State
	for _, r := range b.services {
		o := r.order
		o.Age = b.clock.Since(r.given)
		orders = append(orders, o)
		states = append(states, r.state)
	}
	return orders, states
}

// Running returns the roll-outs that are under way, or have ended without the
// operator being told, with the time since each was ordered.
func (b *Book) Running() []Active {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Active
	for _, r := range b.services {
		if !r.state.Told {
			out = append(out, Active{Order: r.order, State: r.state, Elapsed: b.clock.Since(r.given)})
		}
	}
	return out
}

// Active is a roll-out under way.
type Active struct {
	Order   Order
	State   State
	Elapsed time.Duration
}

// Observe takes in how a request went.
func (b *Book) Observe(service string, o Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.services[service]
	if !ok || r.state.Phase != Running {
		return
	}
	counts := r.old
	if o.Version == r.order.To {
		counts = r.fresh
	}
	c := counts[o.kind()]
	c.add(o)
	counts[o.kind()] = c
	if o.Bad && o.Version == r.order.To && !r.stopped {
		// Stopping needs nobody's consent: it can only lessen the damage while
		// the holder of the duty is away.
		r.stopped = Bad(r.fresh, r.old)
	}
}

// Evidence returns what this daemon has seen of a roll-out.
func (b *Book) Evidence(service string) Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.services[service]
	if !ok {
		return Evidence{}
	}
	e := Evidence{Order: r.order.ID, Fresh: Merge(r.fresh), Old: Merge(r.old)}
	e.Held = b.beganOld(service, r)
	to := r.order.To
	// The table has a lock of its own; it is never taken before this one.
	e.OldInFlight = b.inFlight(service, func(version string) bool { return version != to })
	return e
}
