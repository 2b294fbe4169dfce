package inventory

import "time"

// Amount is what was sent to one instance.
type Amount struct {
	// Sent is work in prompt tokens of the largest model.
	Sent float64
	// Open is the number of requests under way.
	Open int
}

// Work is an amount by the ID of the instance that it was sent to.
type Work map[string]Amount

// Add adds an amount to that of an instance.
func (w Work) Add(id string, a Amount) {
	sum := w[id]
	sum.Sent += a.Sent
	sum.Open += a.Open
	w[id] = sum
}

// sentNow is the work that all daemons sent to an instance lately.
func (t *Table) sentNow(e *entry, now time.Time) float64 {
	if !t.fleetKnown(now) {
		return decayed(e.sent, now.Sub(e.sentAt), SentHalfLife)
	}
	return decayed(e.fleet.Sent, now.Sub(t.fleetAt), SentHalfLife) + e.since
}

// openNow is the number of requests of all daemons at an instance as they tell
// each other; only this daemon's while nothing is known of the others. It is
// about a second old: good for requests that last seconds, misleading for those
// of some 60 ms.
func (t *Table) openNow(e *entry, now time.Time) int {
	if !t.fleetKnown(now) {
		return e.inFlight
	}
	return e.inFlight + max(e.fleet.Open-e.openThen, 0)
}

func (t *Table) fleetKnown(now time.Time) bool {
	return !t.fleetAt.IsZero() && now.Sub(t.fleetAt) <= fleetTime
}

// Totals returns all work that this daemon ever sent, and what is under way, by
// instance.
func (t *Table) Totals() Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Work{}
	for id, e := range t.entries {
		if e.total > 0 || e.inFlight > 0 {
			out[id] = Amount{Sent: e.total, Open: e.inFlight}
		}
	}
	return out
}

// SetFleet takes in the work that all daemons sent lately and have under way.
func (t *Table) SetFleet(w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleetAt = t.clock.Now()
	for id, e := range t.entries {
		e.fleet, e.since, e.openThen = w[id], 0, e.inFlight
	}
}

// Sum adds up the work that daemons report of themselves as totals, with the
// weight of time: what was sent SentHalfLife ago counts half.
type Sum struct {
	last   map[string]Work
	lately map[string]float64
	at     time.Time
}

// NewSum returns an empty sum.
func NewSum() *Sum { return &Sum{last: map[string]Work{}, lately: map[string]float64{}} }

// Add takes in the totals of one daemon. The first totals of a daemon are where
// its later ones are counted from.
func (s *Sum) Add(daemon string, totals Work, now time.Time) {
	s.fade(now)
	before, known := s.last[daemon]
	s.last[daemon] = totals
	if !known {
		return
	}
	for id, total := range totals {
		sent := total.Sent - before[id].Sent
		if sent < 0 {
			// The instance started again, and its work is counted from then.
			delete(s.lately, id)
			sent = total.Sent
		}
		if sent > 0 {
			s.lately[id] += sent
		}
	}
}

// Lately returns the work sent lately and what is under way.
func (s *Sum) Lately(now time.Time) Work {
	s.fade(now)
	out := make(Work, len(s.lately))
	for id, sent := range s.lately {
		out[id] = Amount{Sent: sent}
	}
	for _, totals := range s.last {
		for id, total := range totals {
			if total.Open > 0 {
				out.Add(id, Amount{Open: total.Open})
			}
		}
	}
	return out
}

// leastSent is the work below which an instance is left out of a sum.
const leastSent = 100

func (s *Sum) fade(now time.Time) {
	age := now.Sub(s.at)
	s.at = now
	for id, sent := range s.lately {
		if sent = decayed(sent, age, SentHalfLife); sent < leastSent {
			delete(s.lately, id)
		} else {
			s.lately[id] = sent
		}
	}
}

// Forget drops the daemons that keep does not accept.
func (s *Sum) Forget(keep func(daemon string) bool) {
	for daemon := range s.last {
		if !keep(daemon) {
			delete(s.last, daemon)
		}
	}
}
