package inventory

import "time"

// Amount is the open requests at one instance and their waiting work.
type Amount struct {
	// Waiting is the work of the requests that have no first event yet, in prompt tokens of
	// the largest model.
	Waiting float64
	// Open is the number of open requests.
	Open int
}

// Work contains amounts by instance: the outstanding work of one or more daemons there.
type Work map[InstanceHash]Amount

// Add adds an amount to that of an instance.
func (w Work) Add(instance InstanceHash, a Amount) {
	sum := w[instance]
	sum.Waiting += a.Waiting
	sum.Open += a.Open
	w[instance] = sum
}

const (
	// fleetWorkTTL is how long the reported work of all daemons is used.
	fleetWorkTTL = 3 * time.Second
	// fleetHalfLife is the half-life of the reported work of other daemons. A waiting prompt
	// is processed within about a second.
	fleetHalfLife = 1 * time.Second
)

// fleetWaiting returns the waiting work of all daemons at an instance, or only that of this
// daemon if no recent report of the others is available.
func (t *Table) fleetWaiting(e *entry, now time.Time) float64 {
	if !t.fleetKnown(now) {
		return e.waiting
	}
	others := max(e.fleet.Waiting-e.fleetOwnWaiting, 0)
	return e.waiting + decayed(others, now.Sub(t.fleetAt), fleetHalfLife)
}

// fleetOpen returns the number of open requests of all daemons at an instance, or only those
// of this daemon if no recent report of the others is available. The number is accurate for
// requests that last seconds and misleading for requests of some 60 ms, most of which have
// ended when the report arrives.
func (t *Table) fleetOpen(e *entry, now time.Time) int {
	if !t.fleetKnown(now) {
		return e.inFlight
	}
	return e.inFlight + max(e.fleet.Open-e.fleetOwnOpen, 0)
}

func (t *Table) fleetKnown(now time.Time) bool {
	return !t.fleetAt.IsZero() && now.Sub(t.fleetAt) <= fleetWorkTTL
}

// OwnWork returns the outstanding work of this daemon by instance.
func (t *Table) OwnWork() Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Work{}
	for _, e := range t.entries {
		if e.inFlight > 0 {
			out[e.instance.Hash()] = Amount{Waiting: e.waiting, Open: e.inFlight}
		}
	}
	return out
}

// SetFleetWork sets the outstanding work of all daemons, including this one.
func (t *Table) SetFleetWork(w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleetAt = t.clock.Now()
	for _, e := range t.entries {
		e.fleet, e.fleetOwnOpen, e.fleetOwnWaiting = w[e.instance.Hash()], e.inFlight, e.waiting
	}
}

// WorkSum adds up the work that daemons report of themselves.
type WorkSum struct{ reports map[string]workReport }

type workReport struct {
	work Work
	at   time.Time
}

// NewWorkSum returns an empty sum.
func NewWorkSum() *WorkSum { return &WorkSum{reports: map[string]workReport{}} }

// Add replaces the last report of a daemon.
func (s *WorkSum) Add(daemon string, w Work, now time.Time) {
	s.reports[daemon] = workReport{work: w, at: now}
}

// Total returns the sum of the reports that are not older than fleetWorkTTL.
func (s *WorkSum) Total(now time.Time) Work {
	out := Work{}
	for daemon, r := range s.reports {
		if now.Sub(r.at) > fleetWorkTTL {
			delete(s.reports, daemon)
			continue
		}
		for instance, a := range r.work {
			out.Add(instance, a)
		}
	}
	return out
}
