package entry

import (
	"sync"
	"time"
)

// doubtTime is how long after the store's return a missing entry of the
// list is doubted: those of live servers are back within two seconds.
const doubtTime = 2 * time.Second

// toldDoubts bound for how long entries that are missing from the list are kept
// because a reader doubts it.
//
// A reader doubts the list for doubtTime after the store has answered it again.
// If only the reader was cut off, the store was there all the time and missing
// entries are those of servers that left; were the doubt taken over by the others, a
// whole group would go on using such servers. A daemon to which
// another reader has told of the list all the while knows that. So doubt counts
// only from news that ends a time without any.
//
// Lock order: mu is taken alone.
type toldDoubts struct {
	mu sync.Mutex
	// until is when the doubt that counts ends.
	until time.Time
	// toldAt is when a reader last told of the list, and toldUntil when its own
	// doubt ends.
	toldAt, toldUntil time.Time
}

// heard takes in that a reader told of the list, which it doubts for some time.
func (d *toldDoubts) heard(now time.Time, told time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.toldAt, d.toldUntil = now, now.Add(told)
}

// bound returns until when entries are kept that are missing from a list which this
// daemon read, or a peer gave it: not longer than a reader doubts it that has read it
// since this daemon lost the store.
//
// A daemon that is not a reader asks the store seldom and notices late that it is back.
// Its doubt would begin only then, and last longer than that of the readers.
func (d *toldDoubts) bound(until, lostAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.toldAt.After(lostAt) && d.toldUntil.Before(until) {
		return d.toldUntil
	}
	return until
}

// take returns until when entries missing by a reader's news are kept. late tells
// that this daemon had not heard of the list for too long.
func (d *toldDoubts) take(now time.Time, told time.Duration, late bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := now.Add(told)
	if late && until.After(d.until) {
		d.until = until
	}
	if until.After(d.until) {
		return d.until
	}
	return until
}

// doubt is for how long entries missing from the list are kept.
func (n *Node) doubt() time.Duration {
	now := n.clock.Now()
	return max(n.doubtedUntil(now).Sub(now), 0)
}

// doubtedUntil is until when entries missing from the list are kept.
func (n *Node) doubtedUntil(now time.Time) time.Time {
	return n.doubts.bound(n.contact.doubted(now), n.contact.lostSince())
}
