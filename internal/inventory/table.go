package inventory

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
)

const (
	// reportHalfLife is how fast what an instance said of other daemons' work
	// loses weight: requests last a few hundred ms.
	reportHalfLife = 700 * time.Millisecond
	// announceTime is how long a version that is new to a service is held back:
	// an accepted order is known everywhere within two seconds.
	announceTime = 2 * time.Second
)

// entry is an instance with what is believed of it.
type entry struct {
	instance Instance
	// left is set when the instance was found to be leaving or not there by
	// other means than the list. It is kept apart: what the list says later
	// must still look new, so that it is told to others.
	left bool
	gone bool
	// goneAt is when a missing entry counts as gone; zero while it is listed.
	goneAt time.Time
	health health
	budget budget

	// inFlight counts this daemon's requests there; waiting is the work of those
	// that have no first event yet.
	inFlight int
	waiting  float64
	// fleet is what all daemons have under way, as of Table.fleetAt; openThen and
	// waitingThen are this one's part of it.
	fleet       Amount
	openThen    int
	waitingThen float64
	// others is the work of other daemons there as of reportedAt.
	others     float64
	reportedAt time.Time
}

// View is what placing sees of an instance.
type View struct {
	Instance Instance
	// Load is the number of requests believed to be there by what the instance
	// said last, InFlight this daemon's share of it, and Open the number by
	// what all daemons tell each other.
	Load     float64
	InFlight int
	Open     int
	// Waiting is the work of all daemons that waits there for its first event,
	// in prompt tokens of the largest model.
	Waiting float64
	// Unannounced instances have a version that was first listed a moment ago,
	// while the order to use it may be on its way. They get nothing while others
	// can serve.
	Unannounced bool
	// Ejected instances failed lately and get nothing while others can serve.
	Ejected bool
	// Warming instances bear only a part of what they will.
	Warming bool
	// Limit is the number of requests a second that the instance takes of all daemons, by
	// its own word, if Limited is set.
	Limited bool
	Limit   float64
	// Wait is the time until this daemon may send to the instance; 0 is at once. Where
	// NoTurn is set only others may send there, and it is the time until one of them may.
	Wait   time.Duration
	NoTurn bool
	// ProbeDue is set where only another request can tell whether Limit still holds.
	ProbeDue bool
}

// Table is the table of upstream instances.
//
// Lock order: mu is held while a Share is called, which may take the locks of its own.
type Table struct {
	clock clockwork.Clock

	mu       sync.Mutex
	entries  map[string]*entry
	revision int64
	readAt   time.Time
	// fleetAt is when the work of all daemons was last told.
	fleetAt time.Time
	// versions is when each version of a service was first listed; zero for
	// those that were there when this daemon started, or alone.
	versions map[string]map[string]time.Time
	// leftAt has the lives that were found to be leaving, and when.
	leftAt map[Life]time.Time
	// goneAt has the lives that were taken off the list, and when. Until settledAt a list
	// may be an older copy, which has them still.
	goneAt    map[Life]time.Time
	settledAt time.Time
	// evacuated are the failure domains whose instances get nothing new.
	evacuated map[string]bool
	// limits has what lives have said of their limits.
	limits map[Life]limitWord
	// warmUps is what instances bear while they warm up, by service, and share this
	// daemon's part of budgets.
	warmUps map[string]catalog.WarmUp
	share   Share
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{
		clock: clock, entries: map[string]*entry{}, versions: map[string]map[string]time.Time{}, leftAt: map[Life]time.Time{}, goneAt: map[Life]time.Time{},
		evacuated: map[string]bool{}, limits: map[Life]limitWord{}, share: func(string, float64) pacing.Part { return pacing.Part{} },
	}
}

// Usable returns the instances of a service that may get something new, by ID.
func (t *Table) Usable(service string) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []View
	for _, e := range t.entries {
		if !t.serves(e, service) || e.budget.isResting(now) {
			continue
		}
		turn := t.turn(e, now)
		limit, limited := t.limitOf(e)
		out = append(out, View{
			Instance: e.instance,
			Load:     float64(e.inFlight) + decayed(e.others, now.Sub(e.reportedAt), reportHalfLife),
			Open:     t.openNow(e, now),
			InFlight: e.inFlight,
			Waiting:  t.waitingNow(e, now),
			Ejected:  e.health.ejected(now),
			Warming:  t.isWarming(e, now),
			Limited:  limited,
			Limit:    limit,
			Wait:     turn.Wait,
			NoTurn:   turn.None,
			ProbeDue: t.isProbeDue(e, now),

			Unannounced: t.unannounced(e.instance, now),
		})
	}
	slices.SortFunc(out, func(a, b View) int {
		if a.Instance.ID < b.Instance.ID {
			return -1
		}
		return 1
	})
	return out
}

// serves reports whether an instance of a service is there and does not leave.
func (e *entry) serves(service string) bool {
	return e.instance.Service == service && !e.gone && !e.left && !e.instance.Leaving
}

// serves reports whether an instance of a service is there and may get something new. The
// lock is held.
func (t *Table) serves(e *entry, service string) bool {
	return e.serves(service) && !t.evacuated[e.instance.FailureDomain]
}

// AllRest reports whether all instances of a service are left out by Rest, and the least
// time until one is not.
func (t *Table) AllRest(service string) (least time.Duration, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, e := range t.entries {
		if !t.serves(e, service) {
			continue
		}
		left := e.budget.restUntil.Sub(now)
		if left <= 0 {
			return 0, false
		}
		if !all || left < least {
			least, all = left, true
		}
	}
	return least, all
}

// decayed is what is left of a value after some time.
func decayed(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// Begin counts a request that is about to be sent to an instance, and its work,
// which waits until Started is called.
func (t *Table) Begin(i Instance, work float64) {
	t.with(i, func(e *entry) {
		e.inFlight++
		e.waiting += work
	})
}

// Started counts work off that an instance has done, or that was withdrawn.
func (t *Table) Started(i Instance, work float64) {
	t.with(i, func(e *entry) { e.waiting = max(e.waiting-work, 0) })
}

// Report takes in what an instance says of its load.
func (t *Table) Report(i Instance, l Load) {
	t.with(i, func(e *entry) {
		e.others = max(float64(l.Running+l.Waiting-e.inFlight), 0)
		e.reportedAt = t.clock.Now()
	})
}

// End counts a request that ended, and how.
func (t *Table) End(i Instance, outcome Outcome) {
	t.with(i, func(e *entry) {
		e.inFlight--
		e.health.note(outcome, t.clock.Now())
	})
}

// with calls f with the entry of an instance, if it is still the same life of its
// server: a request to an earlier one says nothing of the present one.
func (t *Table) with(i Instance, f func(*entry)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[i.ID]; ok && e.instance.Born == i.Born {
		f(e)
	}
}

// InFlight counts this daemon's requests at instances of a service whose
// version keep accepts.
func (t *Table) InFlight(service string, keep func(version string) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if e.instance.Service == service && keep(e.instance.Version) {
			n += e.inFlight
		}
	}
	return n
}

// Addresses returns the addresses of the instances that may be used.
func (t *Table) Addresses() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]bool{}
	for e := range maps.Values(t.entries) {
		if !e.gone {
			out[e.instance.Address] = true
		}
	}
	return out
}

// Get returns an instance by ID.
func (t *Table) Get(id string) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return Instance{}, false
	}
	return e.instance, true
}
