package inventory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

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

// Busiest returns the n instances with the most work that waits, and of those with the same
// the ones with most open requests.
func (w Work) Busiest(n int) Work {
	if len(w) <= n {
		return w
	}
	ranked := slices.SortedFunc(maps.Keys(w), func(a, b InstanceHash) int {
		return cmp.Or(cmp.Compare(w[b].Waiting, w[a].Waiting), cmp.Compare(w[b].Open, w[a].Open), cmp.Compare(a, b))
	})
	out := make(Work, n)
	for _, instance := range ranked[:n] {
		out[instance] = w[instance]
	}
	return out
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
	_, orphaned := t.orphansOf(e, now)
	if !t.fleetKnown(now) {
		return e.waiting + orphaned
	}
	others := max(t.fleet[e.hash].Waiting-t.fleetOwn[e.hash].Waiting, 0)
	return e.waiting + decayed(others, now.Sub(t.fleetAt), fleetHalfLife) + orphaned
}

// fleetOpen returns the number of open requests of all daemons at an instance, or only those
// of this daemon if no recent report of the others is available. The number is accurate for
// requests that last seconds and misleading for requests of some 60 ms, most of which have
// ended when the report arrives.
func (t *Table) fleetOpen(e *entry, now time.Time) int {
	orphaned, _ := t.orphansOf(e, now)
	return t.reportedOpen(e, now) + int(math.Round(orphaned))
}

// reportedOpen is fleetOpen without the requests of callers that have gone.
func (t *Table) reportedOpen(e *entry, now time.Time) int {
	if !t.fleetKnown(now) {
		return e.inFlight
	}
	return e.inFlight + max(t.fleet[e.hash].Open-t.fleetOwn[e.hash].Open, 0)
}

func (t *Table) fleetKnown(now time.Time) bool {
	return !t.fleetAt.IsZero() && now.Sub(t.fleetAt) <= fleetWorkTTL
}

// OwnWork returns the outstanding work of this daemon by instance.
func (t *Table) OwnWork() Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownWork()
}

// ownWork is OwnWork with the lock held.
func (t *Table) ownWork() Work {
	out := make(Work, len(t.busy))
	for e := range t.busy {
		out[e.hash] = Amount{Waiting: e.waiting, Open: e.inFlight}
	}
	return out
}

// SetFleetWork sets the outstanding work of all daemons, including this one. The table keeps w.
func (t *Table) SetFleetWork(w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleetAt, t.fleet, t.fleetOwn = t.clock.Now(), w, t.ownWork()
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
