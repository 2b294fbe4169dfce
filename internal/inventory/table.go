package inventory

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

const (
	// reportHalfLife is the half-life of the load of other daemons as reported by an instance.
	// Requests last a few hundred milliseconds.
	reportHalfLife = 700 * time.Millisecond
	// announceTime is how long a version that is new to a service is not used while other
	// versions can serve. A roll-out order reaches all daemons within two seconds of its
	// acceptance.
	announceTime = 2 * time.Second
)

// entry is an instance with its load, health and budget.
type entry struct {
	instance Instance
	// position orders entries in the index, and hash identifies the instance in messages.
	position uint64
	hash     InstanceHash
	// indexed is set while the entry is in the index, at indexPlace.
	indexed    bool
	indexPlace indexPlace
	// leaving is set if the instance was found to be leaving or absent by other means than the
	// list. It is separate from instance.Leaving so that the same change in the list still
	// counts as new and is passed on to other daemons.
	leaving bool
	removed bool
	// removeAt is when the grace period of a missing entry ends and it is removed; zero while it
	// is listed.
	removeAt time.Time
	health   health
	budget   budget
	quota    quota
	proof    proof
	// errors is nil until the instance has answered a request for which errors count.
	errors *errorRecord

	// inFlight is the number of this daemon's open requests there. waiting is the work of
	// those that have no first event yet.
	inFlight int
	waiting  float64
	// othersLoad is the number of requests of other daemons there, as reported by the instance
	// at reportedAt.
	othersLoad float64
	reportedAt time.Time
	// tokens is the memory that this daemon's open requests take there.
	tokens float64
	// meanTokens is the mean memory of the requests that it has sent there; 0 if there are none.
	meanTokens float64
	// speed has this daemon's samples of the instance's speed; nil if there are none.
	speed *speed.Estimator
}

// View is the state of an instance that placement uses.
type View struct {
	Instance Instance
	// Load is the estimated number of requests there, from the last report of the instance.
	// InFlight is this daemon's part of it. Open is the number of requests according to the
	// reports that daemons exchange.
	Load     float64
	InFlight int
	Open     int
	// Waiting is the work of all daemons' requests there that have no first event yet, in
	// prompt tokens of the largest model.
	Waiting float64
	// Unannounced instances have a version that was first listed less than announceTime ago,
	// so that the order to use it may not have arrived yet. They get no requests while others
	// can serve.
	Unannounced bool
	// Ejected instances have failed recently and get no requests while others can serve.
	Ejected bool
	// Warming instances accept only part of their normal load.
	Warming bool
	// Limit is the number of requests per second that the instance itself accepts from all
	// daemons, valid if Limited is set.
	Limited bool
	Limit   float64
	// Wait is the time until this daemon may send to the instance; 0 means now. If NoTurn is
	// set, this daemon has no share of the instance's limit and Wait is the estimated time
	// until another daemon may send.
	Wait   time.Duration
	NoTurn bool
	// ProbeDue is set if a request is needed to find out whether Limit still applies.
	ProbeDue bool
	// Quota is how many requests this daemon may have open there, if HasQuota is set.
	Quota    int
	HasQuota bool
	// Speed is how many times as long as usual the instance takes.
	Speed speed.Factor
	// OwnTokens is the memory that this daemon's open requests take there.
	OwnTokens float64
	// Proven is set unless the instance has recently lost an answer or started, or answers with
	// errors. ProvenSince is since when Proven has its value; zero if that is not known.
	Proven      bool
	ProvenSince time.Time
	// LostAt is when the instance last lost an answer or was found faulty; zero if that is not known.
	LostAt time.Time
	// MeanTokens is the mean memory of the requests that this daemon has sent there; 0 if there
	// are none.
	MeanTokens float64
}

// Table is the table of upstream instances.
//
// Lock order: mu is held while the ShareFunc and the RankFunc are called, which may take other locks but must not
// call methods of Table. shift.Tracker holds its lock when it calls InFlight.
type Table struct {
	clock clockwork.Clock

	mu          sync.Mutex
	entries     map[string]*entry
	index       index
	revision    int64
	confirmedAt time.Time
	log         changeLog
	// names contains one copy of each service, version and failure domain.
	names map[string]string
	// addresses is the number of entries by address, without removed ones.
	addresses map[string]int
	// missing contains the entries that are no longer listed.
	missing map[*entry]struct{}
	// busy contains the entries with open requests of this daemon.
	busy map[*entry]struct{}
	// unproven contains the entries with a recent loss of an answer or a recent start.
	unproven map[*entry]struct{}
	// watched contains the entries on whose errors this daemon reports evidence, and summed those
	// whose sum over all daemons is above 0. errorShares counts errors by route, and excused
	// contains the services most of whose instances look faulty.
	watched, summed map[*entry]struct{}
	errorShares     map[serviceRoute]*errorShare
	excused         map[string]bool
	// fleet is the work of all daemons, received at fleetAt. fleetOwn is this daemon's part of
	// it.
	fleet, fleetOwn Work
	fleetAt         time.Time
	// orphans has the requests of callers that have gone, by instance.
	orphans map[InstanceHash]orphans
	// firstListed is when each version of a service was first listed. It is zero for versions
	// that were listed when this daemon started, or that were the first of their service.
	firstListed map[string]map[string]time.Time
	// leavingAt is when each incarnation was found to be leaving.
	leavingAt map[Incarnation]time.Time
	// removedAt is when each incarnation was removed from the list. Lists read before
	// staleUntil may come from an older backup and still contain them.
	removedAt  map[Incarnation]time.Time
	staleUntil time.Time
	// evacuated contains the failure domains whose instances get no new requests.
	evacuated map[string]bool
	// limits contains the limits reported by instances.
	limits map[Incarnation]limitRecord
	// shared contains the services of which an instance has reported its slowdown.
	shared map[string]bool
	// usual holds what is usual over all instances. sampled contains the entries with own samples
	// of their speed, and unsent those with samples that no other daemon has. otherSpeeds is the
	// samples of the other daemons.
	usual       speed.Means
	sampled     map[*entry]struct{}
	unsent      map[*entry]struct{}
	otherSpeeds map[InstanceHash]speed.Others
	// warmUps contains the warm-up settings by service. shareOf computes this daemon's share
	// of a budget.
	warmUps map[string]catalog.WarmUp
	shareOf ShareFunc
	// fragile contains the services with fragile instances. rankOf ranks this daemon for quotas.
	fragile map[string]fragility
	rankOf  RankFunc
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{
		clock: clock, entries: map[string]*entry{}, index: index{}, names: map[string]string{}, addresses: map[string]int{},
		missing: map[*entry]struct{}{}, busy: map[*entry]struct{}{}, unproven: map[*entry]struct{}{}, watched: map[*entry]struct{}{}, summed: map[*entry]struct{}{}, errorShares: map[serviceRoute]*errorShare{}, excused: map[string]bool{}, firstListed: map[string]map[string]time.Time{}, leavingAt: map[Incarnation]time.Time{}, removedAt: map[Incarnation]time.Time{},
		evacuated: map[string]bool{}, limits: map[Incarnation]limitRecord{}, shared: map[string]bool{}, sampled: map[*entry]struct{}{}, unsent: map[*entry]struct{}{}, otherSpeeds: map[InstanceHash]speed.Others{}, shareOf: func(string, float64) pacing.Share { return pacing.Share{} },
		fragile: map[string]fragility{}, rankOf: func(string) (int, int) { return 0, 1 },
	}
}

// Usable returns all instances of a service that may get new requests, sorted by ID. Its cost
// grows with the number of instances; requests use Sample.
func (t *Table) Usable(service string) []View {
	any := func(string, bool) bool { return true }
	views, _ := t.Sample(service, Selection{Accept: any, Size: math.MaxInt})
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return views
}

// view returns the state of an instance. The lock is held.
func (t *Table) view(e *entry, now time.Time) View {
	turn := t.turn(e, now)
	limit, limited := t.limitOf(e)
	quota, hasQuota := t.quotaOf(e, now)
	proven, provenSince, lostAt := t.proofOf(e, now)
	// A report of the instance has the requests of callers that have gone, too.
	orphaned, _ := t.orphansOf(e, now)
	return View{
		Instance: e.instance,
		Load:     float64(e.inFlight) + max(decayed(e.othersLoad, now.Sub(e.reportedAt), reportHalfLife), orphaned),
		Open:     t.fleetOpen(e, now),
		InFlight: e.inFlight,
		Waiting:  t.fleetWaiting(e, now),
		Ejected:  e.health.ejected(now),
		Warming:  t.isWarming(e, now),
		Limited:  limited,
		Limit:    limit,
		Wait:     turn.Wait,
		NoTurn:   turn.NotOwner,
		ProbeDue: t.isProbeDue(e, now),
		Quota:    quota,
		HasQuota: hasQuota,
		Speed:    t.factor(e, now),
		Proven:   proven, ProvenSince: provenSince, LostAt: lostAt,

		OwnTokens:   e.tokens,
		MeanTokens:  e.meanTokens,
		Unannounced: t.isUnannounced(e.instance.Service, e.instance.Version, now),
	}
}

// serves reports whether the instance belongs to the service, is present and is not leaving.
func (e *entry) serves(service string) bool {
	return e.instance.Service == service && !e.removed && !e.leaving && !e.instance.Leaving
}

// mayServe reports whether the instance serves the service and its failure domain is not
// evacuated. The lock is held.
func (t *Table) mayServe(e *entry, service string) bool {
	return e.serves(service) && !t.evacuated[e.instance.FailureDomain]
}

// AllBackingOff reports whether all instances of a service are excluded by BackOff, and the
// shortest remaining back-off.
func (t *Table) AllBackingOff(service string) (shortest time.Duration, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, e := range t.entries {
		if !t.mayServe(e, service) {
			continue
		}
		left := e.budget.backOffUntil.Sub(now)
		if left <= 0 {
			return 0, false
		}
		if !all || left < shortest {
			shortest, all = left, true
		}
	}
	return shortest, all
}

// decayed returns a value after exponential decay for the given time.
func decayed(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// Begin counts a request that is about to be sent to an instance. Its work counts as waiting
// until RemoveWaiting is called.
func (t *Table) Begin(i Instance, work float64) {
	t.withEntry(i, func(e *entry) {
		e.inFlight++
		e.waiting += work
		t.busy[e] = struct{}{}
	})
}

// RemoveWaiting subtracts work that an instance has done, or whose request was cancelled.
func (t *Table) RemoveWaiting(i Instance, work float64) {
	t.withEntry(i, func(e *entry) { e.waiting = max(e.waiting-work, 0) })
}

// ReportLoad records the load that an instance reported.
func (t *Table) ReportLoad(i Instance, l Load) {
	first := false
	t.withEntry(i, func(e *entry) {
		e.othersLoad = max(float64(l.Running+l.Waiting-e.inFlight), 0)
		e.reportedAt = t.clock.Now()
		if l.Slowdown > 0 {
			t.estimator(e).Report(l.Slowdown, e.reportedAt)
		}
		if service := e.instance.Service; l.Slowdown > 0 && !t.shared[service] {
			t.shared[service], first = true, true
		}
	})
	if first {
		slog.Info("service.shares_machines", "service", i.Service, "instance", i.ID, "slowdown", l.Slowdown)
	}
}

// SharesMachines reports whether instances of a service share their machines with other
// programs, so that their speed changes: at least one of them has reported its slowdown.
func (t *Table) SharesMachines(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shared[service]
}

// AnySharesMachines reports whether SharesMachines is true of any service.
func (t *Table) AnySharesMachines() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.shared) > 0
}

// End counts the end of a request and records its outcome.
func (t *Table) End(i Instance, outcome Outcome) {
	t.withEntry(i, func(e *entry) {
		if e.inFlight--; e.inFlight == 0 {
			delete(t.busy, e)
		}
		e.health.note(outcome, t.clock.Now())
	})
}

// ForgiveFailures ends the ejections of the instances of a service: their failures were those of this
// daemon's own links.
func (t *Table) ForgiveFailures(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.instance.Service == service {
			e.health = health{}
		}
	}
}

// withEntry calls f with the entry of an instance if the entry is of the same incarnation.
// Results of requests to an earlier incarnation say nothing about the current one.
func (t *Table) withEntry(i Instance, f func(*entry)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[i.ID]; ok && e.instance.Born == i.Born {
		f(e)
	}
}

// InFlight returns the number of this daemon's requests at instances of a service whose
// version keep accepts.
func (t *Table) InFlight(service string, keep func(version string) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for e := range t.busy {
		if e.instance.Service == service && keep(e.instance.Version) {
			n += e.inFlight
		}
	}
	return n
}

// HasAddress reports whether an instance that was not removed has the address.
func (t *Table) HasAddress(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addresses[address] > 0
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
