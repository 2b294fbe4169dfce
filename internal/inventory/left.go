package inventory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leftTime is how long it is remembered that an instance was found to be leaving. It
	// exits some seconds after, at times many; by then its entry is gone for good.
	leftTime = 2 * time.Minute
	// toldLeftTime is how long it is told to others, and maxToldLeft how many at once:
	// some rounds of heartbeats.
	toldLeftTime = 4 * time.Second
	maxToldLeft  = 32
	// maxLeft bounds the lives remembered. Twice the instances of a large fleet may leave
	// within leftTime.
	maxLeft = 20_000
)

// NoteLeaving records that a life of a server was found to be leaving or not there, by
// what it answered or by a peer. It reports whether that is news.
//
// It outlives the entry, and whatever the list says of the same life: the list's row is
// older than the answer. While the store is away a leaving server cannot change its row;
// the row lapses and may be back as "ready" once the store is, and its server would get
// requests again until it can say so. Another life is free at once.
func (t *Table) NoteLeaving(l Life) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[l.ID]; ok && e.instance.Born == l.Born {
		e.left = true
	}
	if _, known := t.leftAt[l]; known || len(t.leftAt) >= maxLeft {
		return false
	}
	t.leftAt[l] = t.clock.Now()
	return true
}

// Leaves reports whether a life is known to be leaving, by the list or otherwise.
func (t *Table) Leaves(l Life) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, left := t.leftAt[l]; left {
		return true
	}
	e, ok := t.entries[l.ID]
	return ok && e.instance.Born == l.Born && (e.left || e.instance.Leaving)
}

// LeftLately returns the lives found to be leaving in the last seconds, newest first.
func (t *Table) LeftLately() []Life {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []Life
	for l, at := range t.leftAt {
		if now.Sub(at) <= toldLeftTime {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b Life) int {
		return cmp.Or(t.leftAt[b].Compare(t.leftAt[a]), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxToldLeft)]
}

// forgetLeft drops what was found long ago. The lock is held.
func (t *Table) forgetLeft(now time.Time) {
	for l, at := range t.leftAt {
		if now.Sub(at) > leftTime {
			delete(t.leftAt, l)
		}
	}
}
