package inventory

import "time"

// Snapshot is the whole list at a revision of the store.
type Snapshot struct {
	Revision  int64
	Instances []Instance
	// Unreadable contains the IDs of entries that do not describe a usable server.
	Unreadable []string
	// Doubted contains, for each of Instances that is missing from the list, the rest of its
	// grace period, in which it is kept, by ID.
	Doubted map[string]time.Duration
	// Warming contains the remaining warm-up time by ID; instances not in it are warm.
	Warming map[string]time.Duration
}

// Snapshot returns the current list, including missing entries that are still kept.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := Snapshot{Revision: t.revision, Doubted: map[string]time.Duration{}, Warming: map[string]time.Duration{}}
	for id, e := range t.entries {
		if e.removed {
			continue
		}
		s.Instances = append(s.Instances, e.instance)
		if left := e.budget.warmUntil.Sub(now); left > 0 {
			s.Warming[id] = left
		}
		if !e.removeAt.IsZero() {
			// Without this time, a peer would treat the entry as listed and might send it
			// back. A server that has left would then get requests for as long as daemons
			// exchange their lists.
			s.Doubted[id] = e.removeAt.Sub(now)
		}
	}
	return s
}

// Revision returns the revision of the list, 0 before the first one.
func (t *Table) Revision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Loaded reports whether the list was ever read. A list that was read may be empty and have
// revision 0.
func (t *Table) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.confirmedAt.IsZero()
}

// Age returns the time since the list was last confirmed to be current.
func (t *Table) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Since(t.confirmedAt)
}

// Replace replaces the whole list, or returns false if s is older than the current list.
// Entries missing from s are kept until keepUntil, the end of the grace period: after an outage
// of the source, entries of running servers may be missing for a while.
func (t *Table) Replace(s Snapshot, keepUntil time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Revision < t.revision {
		return false
	}
	listed := map[string]bool{}
	for _, id := range s.Unreadable {
		t.removeUnreadable(id)
	}
	for _, i := range s.Instances {
		listed[i.ID] = true
		if t.isStale(i) {
			continue
		}
		if e := t.update(i); e != nil {
			t.noteWarming(e, s.Warming[i.ID])
		}
		if left, missing := s.Doubted[i.ID]; missing {
			t.entries[i.ID].removeAt = t.clock.Now().Add(left)
		}
	}
	for id, e := range t.entries {
		if !listed[id] {
			t.noteMissing(e, keepUntil)
		}
	}
	t.setRevision(s.Revision)
	return true
}

// Apply applies changes that lead from the current revision to a newer one. Removed entries
// are kept until keepUntil, as in Replace. It returns the changes with new content, since most
// entries change only in their heartbeat, and the revision to which these changes apply. ok is
// false and nothing is applied if the table is already newer.
//
// The table may have advanced since the changes were requested, through an update from another
// daemon. The returned changes do not contain that update and are therefore valid only from
// the revision that the table had when Apply was called. If they were passed on as changes
// from the requested revision, a daemon that has missed the update would not learn, for
// example, that a server is leaving.
func (t *Table) Apply(changes []Change, revision int64, keepUntil time.Time) (changed []Change, from int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = t.revision
	if revision < from {
		return nil, from, false
	}
	for _, c := range changes {
		e := t.entries[c.ID]
		switch {
		case c.Instance != nil:
			// A warming instance reports its remaining warm-up time with each heartbeat.
			if e == nil || e.removed || !e.removeAt.IsZero() || e.instance != *c.Instance || c.Warming > 0 || t.isWarming(e, t.clock.Now()) {
				changed = append(changed, c)
			}
			if e := t.update(*c.Instance); e != nil {
				t.noteWarming(e, c.Warming)
			}
		case c.Unreadable:
			if t.removeUnreadable(c.ID) {
				changed = append(changed, c)
			}
		case e != nil:
			changed = append(changed, c)
			t.noteMissing(e, keepUntil)
		}
	}
	t.setRevision(revision)
	return changed, from, true
}

// Confirm records that the list was current the given time ago.
func (t *Table) Confirm(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.clock.Now().Add(-age); at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

func (t *Table) setRevision(revision int64) {
	t.revision = revision
	t.confirmedAt = t.clock.Now()
}

// update adds or updates a listed instance. Leaving is sticky: a server that has announced it
// stays leaving for the rest of its incarnation.
//
// A server that restarts under its ID has lost its prompt cache, its requests and its
// failures. State of the earlier incarnation would keep it ejected or leaving, so a new
// incarnation gets a new entry. If i is of an earlier incarnation than the entry, update
// ignores it and returns nil; otherwise it returns the instance's entry.
func (t *Table) update(i Instance) *entry {
	e, ok := t.entries[i.ID]
	switch {
	case ok && i.Born < e.instance.Born:
		return nil
	case !ok || i.Born > e.instance.Born:
		e = &entry{}
		t.entries[i.ID] = e
	}
	t.noteVersion(i)
	i.Leaving = i.Leaving || e.instance.Leaving
	e.instance, e.removed, e.removeAt = i, false, time.Time{}
	if _, left := t.leavingAt[i.Incarnation()]; left {
		e.leaving = true
	}
	return e
}

// noteVersion records when the instance's version was first listed; see Table.firstListed.
func (t *Table) noteVersion(i Instance) {
	versions := t.firstListed[i.Service]
	if versions == nil {
		versions = map[string]time.Time{}
		t.firstListed[i.Service] = versions
	}
	if _, known := versions[i.Version]; known {
		return
	}
	first := time.Time{}
	if len(versions) > 0 && !t.confirmedAt.IsZero() {
		first = t.clock.Now()
	}
	versions[i.Version] = first
}

// isUnannounced reports whether the instance's version was first listed less than announceTime
// ago.
func (t *Table) isUnannounced(i Instance, now time.Time) bool {
	first := t.firstListed[i.Service][i.Version]
	return !first.IsZero() && now.Sub(first) < announceTime
}

// removeUnreadable removes the entry of a server whose row in the store cannot be read. It does
// so at once: the server may be leaving, and a server without a readable row must not be used.
// The next readable row restores the entry. It returns false if there was no such entry.
func (t *Table) removeUnreadable(id string) bool {
	e, ok := t.entries[id]
	if !ok || e.removed {
		return false
	}
	t.remove(e)
	return true
}

// noteMissing records that an instance is no longer listed. It is removed at once if it is
// leaving or keepUntil has passed, otherwise at keepUntil.
func (t *Table) noteMissing(e *entry, keepUntil time.Time) {
	switch {
	case e.removed:
	case e.instance.Leaving || e.leaving || !t.clock.Now().Before(keepUntil):
		t.remove(e)
	case e.removeAt.IsZero():
		e.removeAt = keepUntil
	}
}

// Expire removes missing entries that have been kept for their time, and deletes removed
// entries that have no open request of this daemon. It also deletes outdated records of
// leaving and removed incarnations and of limits.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.forgetLeaving(now)
	t.forgetLimits(now)
	t.forgetRemoved(now)
	for id, e := range t.entries {
		if !e.removeAt.IsZero() && now.After(e.removeAt) {
			t.remove(e)
		}
		if e.removed && e.inFlight == 0 {
			delete(t.entries, id)
		}
	}
}
