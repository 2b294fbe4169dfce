package inventory

import "time"

// maxLoggedChanges limits the changes of the list that a table keeps for other daemons. With a
// few changes per second it covers many minutes, also in a large fleet.
const maxLoggedChanges = 4096

// changeLog contains the latest changes of the list, without heartbeats.
type changeLog struct {
	changes []loggedChange
	// since is the revision from which on the log is complete.
	since int64
}

type loggedChange struct {
	Change
	revision int64
}

// reset empties the log; it is complete from the given revision on.
func (l *changeLog) reset(revision int64) { *l = changeLog{since: revision} }

// add appends changes that lead to a revision. It drops the older half of the log if there are
// too many.
func (l *changeLog) add(changes []Change, revision int64) {
	for _, c := range changes {
		l.changes = append(l.changes, loggedChange{Change: c, revision: revision})
	}
	if len(l.changes) > maxLoggedChanges {
		dropped := max(len(l.changes)-maxLoggedChanges, len(l.changes)/2)
		l.since = l.changes[dropped-1].revision
		l.changes = append([]loggedChange(nil), l.changes[dropped:]...)
	}
}

// ChangesSince returns the changes of the list after a revision, and the revision to which they
// lead. ok is false if the table does not have all of them or is itself older.
func (t *Table) ChangesSince(since int64) (changes []Change, revision int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt.IsZero() || since < t.log.since || since > t.revision {
		return nil, t.revision, false
	}
	for _, c := range t.log.changes {
		if c.revision > since {
			changes = append(changes, c.Change)
		}
	}
	return changes, t.revision, true
}

// applyChange applies one change and reports whether it was new. Most changes are heartbeats,
// which contain nothing new.
func (t *Table) applyChange(c Change, keepUntil time.Time, bulk bool) bool {
	e := t.entries[c.ID]
	switch {
	case c.Instance != nil:
		// A warming instance reports its remaining warm-up time with each heartbeat.
		fresh := e == nil || e.removed || !e.removeAt.IsZero() || e.instance != *c.Instance || c.Warming > 0 || t.isWarming(e, t.clock.Now())
		if e := t.update(*c.Instance, bulk); e != nil {
			t.noteWarming(e, c.Warming)
		}
		return fresh
	case c.Unreadable:
		return t.removeUnreadable(c.ID)
	case e != nil:
		return t.noteMissing(e, keepUntil)
	}
	return false
}

// Len returns the number of instances in the list.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
