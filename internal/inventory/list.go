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

// Part returns the instances of one of several parts of the list, including missing entries that
// are still kept, with the revision of the list. Each instance is in one part, the same one at all
// daemons.
func (t *Table) Part(part, parts int) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := Snapshot{Revision: t.revision, Doubted: map[string]time.Duration{}, Warming: map[string]time.Duration{}}
	for id, e := range t.entries {
		if e.removed || e.position%uint64(max(parts, 1)) != uint64(part) {
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
	first := t.confirmedAt.IsZero()
	var changed []Change
	apply := func(c Change) {
		if t.applyChange(c, keepUntil, true) && !first {
			changed = append(changed, c)
		}
	}
	listed := make(map[string]bool, len(s.Instances))
	for _, id := range s.Unreadable {
		apply(Change{ID: id, Unreadable: true})
	}
	for _, i := range s.Instances {
		listed[i.ID] = true
		if t.isStale(i) {
			continue
		}
		apply(Change{ID: i.ID, Instance: &i, Warming: s.Warming[i.ID]})
		if left, missing := s.Doubted[i.ID]; missing {
			t.doubt(i, t.clock.Now().Add(left))
		}
	}
	for id := range t.entries {
		if !listed[id] {
			apply(Change{ID: id})
		}
	}
	if first {
		t.log.reset(s.Revision)
	} else {
		t.log.add(changed, s.Revision)
	}
	t.setRevision(s.Revision)
	return true
}

// doubt marks an instance as missing from the list and keeps it until the given time. It does
// nothing if another incarnation has taken its place.
func (t *Table) doubt(i Instance, until time.Time) {
	if e := t.entries[i.ID]; e != nil && e.instance.Born == i.Born {
		t.keepUntil(e, until)
	}
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
		if t.applyChange(c, keepUntil, false) {
			changed = append(changed, c)
		}
	}
	t.log.add(changed, revision)
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

// SetAge records that the current list was read from the store the given time ago.
func (t *Table) SetAge(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmedAt = t.clock.Now().Add(-age)
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
// ignores it and returns nil; otherwise it returns the instance's entry. bulk is set while a
// whole list is applied.
func (t *Table) update(i Instance, bulk bool) *entry {
	e, ok := t.entries[i.ID]
	switch {
	case ok && i.Born < e.instance.Born:
		return nil
	case !ok || i.Born > e.instance.Born:
		if ok {
			t.drop(e)
		}
		e = &entry{position: positionOf(i.ID), hash: i.Hash(), removed: true}
		t.entries[i.ID] = e
		t.noteStart(e)
	}
	i.Service, i.Version, i.FailureDomain = t.intern(i.Service), t.intern(i.Version), t.intern(i.FailureDomain)
	t.noteVersion(i)
	i.Leaving = i.Leaving || e.instance.Leaving
	t.setAddress(e, i.Address)
	e.instance, e.removed, e.removeAt = i, false, time.Time{}
	delete(t.missing, e)
	if _, left := t.leavingAt[i.Incarnation()]; left {
		e.leaving = true
	}
	t.reindex(e, bulk)
	return e
}

// intern returns the table's copy of a name that many instances have in common. Decoded lists
// contain a copy for each instance.
func (t *Table) intern(name string) string {
	if known, ok := t.names[name]; ok {
		return known
	}
	t.names[name] = name
	return name
}

// setAddress counts the address of an entry that is listed, in place of its former one.
func (t *Table) setAddress(e *entry, address string) {
	if !e.removed {
		if e.instance.Address == address {
			return
		}
		t.forgetAddress(e)
	}
	t.addresses[address]++
}

func (t *Table) forgetAddress(e *entry) {
	if t.addresses[e.instance.Address]--; t.addresses[e.instance.Address] <= 0 {
		delete(t.addresses, e.instance.Address)
	}
}

// drop removes an entry that is replaced by that of a later incarnation, or deleted.
func (t *Table) drop(e *entry) {
	if !e.removed {
		t.forgetAddress(e)
	}
	e.removed = true
	t.reindex(e, false)
	delete(t.missing, e)
	delete(t.busy, e)
	delete(t.sampled, e)
	delete(t.unproven, e)
	delete(t.watched, e)
	delete(t.summed, e)
	delete(t.unsent, e)
}

// keepUntil keeps an entry that is no longer listed until the given time.
func (t *Table) keepUntil(e *entry, until time.Time) {
	e.removeAt = until
	t.missing[e] = struct{}{}
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

// isUnannounced reports whether a version of a service was first listed less than announceTime
// ago.
func (t *Table) isUnannounced(service, version string, now time.Time) bool {
	first := t.firstListed[service][version]
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
// leaving or keepUntil has passed, otherwise at keepUntil. noteMissing reports whether the
// instance was in the list until now.
func (t *Table) noteMissing(e *entry, keepUntil time.Time) bool {
	present := !e.removed
	switch {
	case e.removed:
	case e.instance.Leaving || e.leaving || !t.clock.Now().Before(keepUntil):
		t.remove(e)
	case e.removeAt.IsZero():
		t.keepUntil(e, keepUntil)
	}
	return present
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
	for e := range t.missing {
		if !e.removeAt.IsZero() && now.After(e.removeAt) {
			t.remove(e)
		}
		if e.removed && e.inFlight == 0 {
			delete(t.entries, e.instance.ID)
			delete(t.missing, e)
		}
	}
}
