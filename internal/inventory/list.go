package inventory

import "time"

// Snapshot is the whole list with the revision of the store that it is from.
type Snapshot struct {
	Revision  int64
	Instances []Instance
	// Unreadable are the IDs of entries that name no server to use.
	Unreadable []string
	// Doubted are those of Instances that the list does not have any more, by
	// ID, with the time for which they are still kept.
	Doubted map[string]time.Duration
	// Warming is for how long instances are still cold, by ID; others are not.
	Warming map[string]time.Duration
}

// Snapshot returns the list as it is believed to be.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := Snapshot{Revision: t.revision, Doubted: map[string]time.Duration{}, Warming: map[string]time.Duration{}}
	for id, e := range t.entries {
		if e.gone {
			continue
		}
		s.Instances = append(s.Instances, e.instance)
		if left := e.budget.warmUntil.Sub(now); left > 0 {
			s.Warming[id] = left
		}
		if !e.goneAt.IsZero() {
			// Told without its doubt, an entry would be taken for listed by
			// others and come back from them: a server that has left would
			// get requests for as long as daemons ask each other.
			s.Doubted[id] = e.goneAt.Sub(now)
		}
	}
	return s
}

// Revision is the revision of the list, 0 before the first one.
func (t *Table) Revision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Known reports whether the list was ever read; a list that was may be empty and
// have the revision 0.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.readAt.IsZero()
}

// Age is how long ago the list was last confirmed.
func (t *Table) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Since(t.readAt)
}

// Replace takes in a whole list unless a newer one is known. Entries that it
// lacks are kept until doubted: after an outage of its source, those of live
// servers may be missing for a while.
func (t *Table) Replace(s Snapshot, doubted time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Revision < t.revision {
		return false
	}
	listed := map[string]bool{}
	for _, id := range s.Unreadable {
		t.drop(id)
	}
	for _, i := range s.Instances {
		listed[i.ID] = true
		if t.isStale(i) {
			continue
		}
		if e := t.set(i); e != nil {
			t.noteWarming(e, s.Warming[i.ID])
		}
		if left, doubted := s.Doubted[i.ID]; doubted {
			t.entries[i.ID].goneAt = t.clock.Now().Add(left)
		}
	}
	for id, e := range t.entries {
		if !listed[id] {
			t.miss(e, doubted)
		}
	}
	t.advance(s.Revision)
	return true
}

// Apply takes in changes that lead from the present revision to a newer one.
// Entries that are gone by them are kept until doubted, as in Replace. It
// returns the changes that say something new, since most entries of a list
// change only in their heartbeat, and the revision from which they do; ok is
// false, and nothing is taken in, when the table is newer already.
//
// The table may have advanced since the changes were asked for, by news from
// another daemon. What that news brought is not in the changes returned, so they
// lead on only from the revision that the table had here. Passed on as leading
// from the one asked for, they would hide a leaving server from a daemon that has
// missed the news.
func (t *Table) Apply(changes []Change, revision int64, doubted time.Time) (news []Change, from int64, ok bool) {
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
			// While an instance warms up each of its heartbeats says for how much longer.
			if e == nil || e.gone || !e.goneAt.IsZero() || e.instance != *c.Instance || c.Warming > 0 || t.isWarming(e, t.clock.Now()) {
				news = append(news, c)
			}
			if e := t.set(*c.Instance); e != nil {
				t.noteWarming(e, c.Warming)
			}
		case c.Unreadable:
			if t.drop(c.ID) {
				news = append(news, c)
			}
		case e != nil:
			news = append(news, c)
			t.miss(e, doubted)
		}
	}
	t.advance(revision)
	return news, from, true
}

// Confirm notes that the list was as it is believed to be age ago.
func (t *Table) Confirm(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.clock.Now().Add(-age); at.After(t.readAt) {
		t.readAt = at
	}
}

func (t *Table) advance(revision int64) {
	t.revision = revision
	t.readAt = t.clock.Now()
}

// set takes in a listed instance. Leaving is sticky: a server that said so does not
// come back in the same life.
//
// A server that starts again under its ID has lost its prompts, requests and
// failures; what was believed of the earlier life would keep it ejected, or leaving
// for good. Late news of an earlier life changes nothing; set then returns nil, otherwise
// the instance's entry.
func (t *Table) set(i Instance) *entry {
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
	e.instance, e.gone, e.goneAt = i, false, time.Time{}
	if _, left := t.leftAt[i.Life()]; left {
		e.left = true
	}
	return e
}

func (t *Table) noteVersion(i Instance) {
	versions := t.versions[i.Service]
	if versions == nil {
		versions = map[string]time.Time{}
		t.versions[i.Service] = versions
	}
	if _, known := versions[i.Version]; known {
		return
	}
	first := time.Time{}
	if len(versions) > 0 && !t.readAt.IsZero() {
		first = t.clock.Now()
	}
	versions[i.Version] = first
}

// unannounced reports whether a version was first listed a moment ago.
func (t *Table) unannounced(i Instance, now time.Time) bool {
	first := t.versions[i.Service][i.Version]
	return !first.IsZero() && now.Sub(first) < announceTime
}

// drop ends the use of an entry that cannot be read, at once: it may say that its
// server leaves, and a server of which the platform holds nothing readable must not
// be used. It comes back with the next entry that can be read.
func (t *Table) drop(id string) bool {
	e, ok := t.entries[id]
	if !ok || e.gone {
		return false
	}
	t.remove(e)
	return true
}

// miss notes that an instance is not listed any more.
func (t *Table) miss(e *entry, doubted time.Time) {
	switch {
	case e.gone:
	case e.instance.Leaving || e.left || !t.clock.Now().Before(doubted):
		t.remove(e)
	case e.goneAt.IsZero():
		e.goneAt = doubted
	}
}

// Expire drops what has been missing for its grace, and forgets what is gone
// and has no request of this daemon left.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.forgetLeft(now)
	t.forgetLimits(now)
	t.forgetGone(now)
	for id, e := range t.entries {
		if !e.goneAt.IsZero() && now.After(e.goneAt) {
			t.remove(e)
		}
		if e.gone && e.inFlight == 0 {
			delete(t.entries, id)
		}
	}
}
