package inventory

import "time"

const (
	// goneTime is how long it is remembered that a life was taken off the list: longer
	// than copies of the list are old. maxGone bounds the lives remembered.
	goneTime = 2 * time.Minute
	maxGone  = 20_000
)

// Settle notes that lists read until some time may come from an older copy. They bring no
// life back that was taken off the list.
func (t *Table) Settle(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settledAt = until
}

// isStale reports whether a list that names an instance may be older than the news that its
// life was taken off the list. The lock is held.
func (t *Table) isStale(i Instance) bool {
	_, gone := t.goneAt[i.Life()]
	return gone && t.clock.Now().Before(t.settledAt)
}

// remove ends the use of an entry that is not listed any more. The lock is held.
func (t *Table) remove(e *entry) {
	e.gone, e.goneAt = true, time.Time{}
	if len(t.goneAt) < maxGone {
		t.goneAt[e.instance.Life()] = t.clock.Now()
	}
}

// forgetGone drops what was taken off the list long ago. The lock is held.
func (t *Table) forgetGone(now time.Time) {
	for life, at := range t.goneAt {
		if now.Sub(at) > goneTime {
			delete(t.goneAt, life)
		}
	}
}
