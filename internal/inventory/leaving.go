package inventory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leavingTime is how long the table remembers that an instance is leaving. An instance
	// usually exits some seconds after this is noticed, at times much later. By the end of
	// leavingTime its entry has been removed for good.
	leavingTime = 2 * time.Minute
	// leavingGossipTime is how long peers are informed that an instance is leaving, and
	// maxLeavingGossip the maximum number of instances per message. The time covers several
	// heartbeat rounds.
	leavingGossipTime = 4 * time.Second
	maxLeavingGossip  = 32
	// maxLeaving limits the number of incarnations remembered. Within leavingTime, twice the
	// instances of a large fleet may leave.
	maxLeaving = 20_000
)

// NoteLeaving records that an incarnation is leaving or no longer present, according to its
// own answer or to a peer. It returns true if this was unknown and is now recorded.
//
// The record outlives the list entry and overrides it for the same incarnation, because the
// server's row in the store is older than its answer. During an outage of the store, a leaving
// server cannot update its row. The row expires and may return as "ready" after the outage.
// Without this record, the server would then get requests until it can update the row. A new
// incarnation is usable at once.
func (t *Table) NoteLeaving(inc Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[inc.ID]; ok && e.instance.Born == inc.Born {
		e.leaving = true
		t.reindex(e, false)
	}
	if _, known := t.leavingAt[inc]; known || len(t.leavingAt) >= maxLeaving {
		return false
	}
	t.leavingAt[inc] = t.clock.Now()
	return true
}

// IsLeaving reports whether an incarnation is known to be leaving, from the list or from
// NoteLeaving.
func (t *Table) IsLeaving(inc Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, left := t.leavingAt[inc]; left {
		return true
	}
	e, ok := t.entries[inc.ID]
	return ok && e.instance.Born == inc.Born && (e.leaving || e.instance.Leaving)
}

// IsListedAsLeaving reports whether the list states that an incarnation is leaving.
func (t *Table) IsListedAsLeaving(inc Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[inc.ID]
	return ok && e.instance.Born == inc.Born && e.instance.Leaving
}

// RecentlyLeaving returns the incarnations that were found to be leaving within
// leavingGossipTime, newest first, and at most maxLeavingGossip of them.
func (t *Table) RecentlyLeaving() []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []Incarnation
	for inc, at := range t.leavingAt {
		if now.Sub(at) <= leavingGossipTime {
			out = append(out, inc)
		}
	}
	slices.SortFunc(out, func(a, b Incarnation) int {
		return cmp.Or(t.leavingAt[b].Compare(t.leavingAt[a]), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxLeavingGossip)]
}

// forgetLeaving deletes records older than leavingTime. The lock is held.
func (t *Table) forgetLeaving(now time.Time) {
	for inc, at := range t.leavingAt {
		if now.Sub(at) > leavingTime {
			delete(t.leavingAt, inc)
		}
	}
}
