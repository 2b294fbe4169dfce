package inventory

import "time"

// Amount is what waits at one instance.
type Amount struct {
	// Waiting is the work of the requests there that have no first event yet, in
	// prompt tokens of the largest model.
	Waiting float64
	// Open is the number of requests under way.
	Open int
}

// Work is an amount by the instance that it was sent to.
type Work map[Number]Amount

// Add adds an amount to that of an instance.
func (w Work) Add(instance Number, a Amount) {
	sum := w[instance]
	sum.Waiting += a.Waiting
	sum.Open += a.Open
	w[instance] = sum
}

const (
	// fleetTime is how long the told work of all daemons is relied on.
	fleetTime = 3 * time.Second
	// toldHalfLife is how fast the told work of others loses weight: a prompt
	// that waits is read within about a second.
	toldHalfLife = 1 * time.Second
)

// waitingNow is the work of all daemons that waits at an instance.
func (t *Table) waitingNow(e *entry, now time.Time) float64 {
	if !t.fleetKnown(now) {
		return e.waiting
	}
	others := max(e.fleet.Waiting-e.waitingThen, 0)
	return e.waiting + decayed(others, now.Sub(t.fleetAt), toldHalfLife)
}

// openNow is the number of requests of all daemons at an instance as they tell
// each other; only this daemon's while nothing is known of the others. It is good
// for requests that last seconds, misleading for those of some 60 ms.
func (t *Table) openNow(e *entry, now time.Time) int {
	if !t.fleetKnown(now) {
		return e.inFlight
	}
	return e.inFlight + max(e.fleet.Open-e.openThen, 0)
}

func (t *Table) fleetKnown(now time.Time) bool {
	return !t.fleetAt.IsZero() && now.Sub(t.fleetAt) <= fleetTime
}

// Own returns what this daemon has under way, by instance.
func (t *Table) Own() Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Work{}
	for _, e := range t.entries {
		if e.inFlight > 0 {
			out[e.instance.Number()] = Amount{Waiting: e.waiting, Open: e.inFlight}
		}
	}
	return out
}

// SetFleet takes in what all daemons have under way, this one included.
func (t *Table) SetFleet(w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleetAt = t.clock.Now()
	for _, e := range t.entries {
		e.fleet, e.openThen, e.waitingThen = w[e.instance.Number()], e.inFlight, e.waiting
	}
}

// Sum adds up what daemons report of themselves.
type Sum struct{ last map[string]report }

type report struct {
	work Work
	at   time.Time
}

// NewSum returns an empty sum.
func NewSum() *Sum { return &Sum{last: map[string]report{}} }

// Add replaces what a daemon reported before.
func (s *Sum) Add(daemon string, w Work, now time.Time) {
	s.last[daemon] = report{work: w, at: now}
}

// Total returns the sum of the reports that are new enough to be relied on.
func (s *Sum) Total(now time.Time) Work {
	out := Work{}
	for daemon, r := range s.last {
		if now.Sub(r.at) > fleetTime {
			delete(s.last, daemon)
			continue
		}
		for instance, a := range r.work {
			out.Add(instance, a)
		}
	}
	return out
}
