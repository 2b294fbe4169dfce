package inventory

import "time"

// Evacuate notes that the instances of a failure domain get nothing new, or that they do
// again. What runs there runs on. Instances may come back cold, and the list tells of it
// late.
func (t *Table) Evacuate(domain string, evacuated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if evacuated {
		t.evacuated[domain] = true
		return
	}
	if !t.evacuated[domain] {
		return
	}
	delete(t.evacuated, domain)
	for _, e := range t.entries {
		if e.instance.FailureDomain != domain {
			continue
		}
		if w := t.warmUps[e.instance.Service]; w.Time > 0 {
			t.warm(e, t.clock.Now().Add(w.Time), true)
		}
	}
}

// MaySend reports whether an instance may get a request now. It is asked again when the
// request is about to go out: between the choice and the first byte a connection is made,
// and what was chosen may have been withdrawn meanwhile.
func (t *Table) MaySend(i Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[i.ID]
	return ok && t.maySend(e, i, t.clock.Now())
}

// maySend is MaySend for the entry of an instance's ID. The lock is held.
func (t *Table) maySend(e *entry, i Instance, now time.Time) bool {
	return e.instance.Born == i.Born && t.serves(e, i.Service) && !e.budget.isResting(now)
}

// AllEvacuated reports whether a service has instances, and all of them are in evacuated
// failure domains.
func (t *Table) AllEvacuated(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	some := false
	for _, e := range t.entries {
		if !e.serves(service) {
			continue
		}
		if !t.evacuated[e.instance.FailureDomain] {
			return false
		}
		some = true
	}
	return some
}

// OpenIn is the number of requests of all daemons under way at the instances of a failure
// domain, as daemons tell each other.
func (t *Table) OpenIn(domain string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, open := t.clock.Now(), 0
	for _, e := range t.entries {
		if e.instance.FailureDomain == domain {
			open += t.openNow(e, now)
		}
	}
	return open
}
