package inventory

import "time"

const (
	// removedTime is how long the table remembers that an incarnation was removed from the
	// list. It is longer than the age of any backup of the list. maxRemoved limits the records.
	removedTime = 2 * time.Minute
	maxRemoved  = 20_000
)

// SetStaleUntil declares that lists read before the given time may come from an older backup of
// the store. Such lists do not restore incarnations that were removed.
func (t *Table) SetStaleUntil(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.staleUntil = until
}

// isStale reports whether a list that contains the instance may be older than the instance's
// removal. The lock is held.
func (t *Table) isStale(i Instance) bool {
	_, removed := t.removedAt[i.Incarnation()]
	return removed && t.clock.Now().Before(t.staleUntil)
}

// remove marks an entry as removed and records its incarnation. The lock is held.
func (t *Table) remove(e *entry) {
	if !e.removed {
		t.forgetAddress(e)
	}
	e.removed, e.removeAt = true, time.Time{}
	t.missing[e] = struct{}{}
	t.reindex(e, false)
	if len(t.removedAt) < maxRemoved {
		t.removedAt[e.instance.Incarnation()] = t.clock.Now()
	}
}

// forgetRemoved deletes records older than removedTime. The lock is held.
func (t *Table) forgetRemoved(now time.Time) {
	for inc, at := range t.removedAt {
		if now.Sub(at) > removedTime {
			delete(t.removedAt, inc)
		}
	}
}
