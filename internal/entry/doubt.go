package entry

import (
	"sync"
	"time"
)

// doubtTime is how long after the store's return a missing entry of the
// list is doubted: those of live servers are back within two seconds.
const missingEntryGrace = 2 * time.Second

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
type readerGrace struct {
	mu sync.Mutex
	// until is when the doubt that counts ends.
	graceEnd time.Time
	// toldAt is when a reader last told of the list, and toldUntil when its own
	// doubt ends.
	updatedAt, readerGraceEnd time.Time
}

// heard takes in that a reader told of the list, which it doubts for some time.
func (d *readerGrace) noteUpdate(now time.Time, told time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updatedAt, d.readerGraceEnd = now, now.Add(told)
}

// bound returns until when entries are kept that are missing from a list which this
// daemon read, or a peer gave it: not longer than a reader doubts it that has read it
// since this daemon lost the store.
//
// A daemon that is not a reader asks the store seldom and notices late that it is back.
// Its doubt would begin only then, and last longer than that of the readers.
func (d *readerGrace) limit(until, lostAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.updatedAt.After(lostAt) && d.readerGraceEnd.Before(until) {
		return d.readerGraceEnd
	}
	return until
}

// take returns until when entries missing by a reader's news are kept. late tells
// that this daemon had not heard of the list for too long.
func (d *readerGrace) extend(now time.Time, told time.Duration, late bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := now.Add(told)
	if late && until.After(d.graceEnd) {
		d.graceEnd = until
	}
	if until.After(d.graceEnd) {
		return d.graceEnd
	}
	return until
}

// doubt is for how long entries missing from the list are kept.
func (n *Node) graceLeft() time.Duration {
	now := n.clock.Now()
	return max(n.graceEnd(now).Sub(now), 0)
}

// doubtedUntil is until when entries missing from the list are kept.
func (n *Node) graceEnd(now time.Time) time.Time {
	return n.readerGrace.limit(n.storeHealth.graceEnd(now), n.storeHealth.lastLostAt())
}
