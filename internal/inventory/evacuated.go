package inventory

import "time"

// SetEvacuated starts or ends the evacuation of a failure domain, whose instances get no new
// requests in the meantime; running requests continue. At the end of an evacuation, the
// instances are assumed to be cold, because the list reports their warm-up late.
func (t *Table) SetEvacuated(domain string, evacuated bool) {
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
			t.setWarmUp(e, t.clock.Now().Add(w.Time), true)
		}
	}
}

// MaySend reports whether an instance may get a request now. The caller checks again just
// before it sends: an instance may become unusable between its selection and the first byte,
// while the connection is established.
func (t *Table) MaySend(i Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[i.ID]
	return ok && t.maySend(e, i, t.clock.Now())
}

// MayServe reports whether an instance is known, belongs to a service, and may get its requests.
func (t *Table) MayServe(id, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	return ok && t.mayServe(e, service)
}

// maySend is MaySend for the entry with the instance's ID. The lock is held.
func (t *Table) maySend(e *entry, i Instance, now time.Time) bool {
	return e.instance.Born == i.Born && t.mayServe(e, i.Service) && !e.budget.isBackingOff(now)
}

// AllEvacuated reports whether a service has instances and all of them are in evacuated
// failure domains.
func (t *Table) AllEvacuated(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, e := range t.entries {
		if !e.serves(service) {
			continue
		}
		if !t.evacuated[e.instance.FailureDomain] {
			return false
		}
		found = true
	}
	return found
}

// OpenRequestsIn returns the number of open requests of all daemons at the instances of a
// failure domain, from the work that daemons report to each other. Without a recent report it
// counts only those of this daemon.
func (t *Table) OpenRequestsIn(domain string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, open := t.clock.Now(), 0
	for _, e := range t.entries {
		if e.instance.FailureDomain == domain {
			open += t.fleetOpen(e, now)
		}
	}
	return open
}
