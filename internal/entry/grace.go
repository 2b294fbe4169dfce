package entry

import (
	"sync"
	"time"
)

// missingEntryGrace is how long entries that are missing from the instance list are kept after
// the store has become available again. Live instances have renewed their entries within two
// seconds.
const missingEntryGrace = 2 * time.Second

// readerGrace limits how long this daemon keeps entries that are missing from the list because
// a reader is in its grace period.
//
// A reader keeps missing entries for missingEntryGrace after the store answers it again. If
// only that reader was cut off, the store was available all the time and the missing entries
// belong to instances that have left. If the other daemons adopted its grace period, the whole
// group would keep sending requests to these instances. A daemon that has received list
// updates from another reader in the meantime knows better. A reader's grace period is
// therefore adopted only from the update that ends a time without updates.
//
// Lock order: no other lock is taken while mu is held.
type readerGrace struct {
	mu sync.Mutex
	// graceEnd is when the adopted grace period ends.
	graceEnd time.Time
	// updatedAt is when a reader last sent a list update, and readerGraceEnd when the grace
	// period of that reader ends.
	updatedAt, readerGraceEnd time.Time
}

// noteUpdate records a list update from a reader whose grace period lasts for the remaining
// time.
func (d *readerGrace) noteUpdate(now time.Time, remaining time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updatedAt, d.readerGraceEnd = now, now.Add(remaining)
}

// limit returns until when entries are kept that are missing from a list which this daemon has
// read itself or got in a sync from a peer. It shortens until to the end of the grace period
// of a reader that has sent an update after lostAt, when this daemon lost the store.
//
// A daemon that is not a reader calls the store rarely and notices late that it is available
// again. Its own grace period would start only then and last longer than those of the readers.
func (d *readerGrace) limit(until, lostAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.updatedAt.After(lostAt) && d.readerGraceEnd.Before(until) {
		return d.readerGraceEnd
	}
	return until
}

// adopt returns until when entries are kept that are missing according to a reader's update,
// whose grace period lasts for the remaining time. late means that this daemon had received no
// list update for too long; it then adopts the reader's grace period. Otherwise the result is
// at most the end of the period adopted before.
func (d *readerGrace) adopt(now time.Time, remaining time.Duration, late bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := now.Add(remaining)
	if late && until.After(d.graceEnd) {
		d.graceEnd = until
	}
	if until.After(d.graceEnd) {
		return d.graceEnd
	}
	return until
}

// graceLeft returns how much longer entries missing from the instance list are kept.
func (n *Node) graceLeft() time.Duration {
	now := n.clock.Now()
	return max(n.graceEnd(now).Sub(now), 0)
}

// graceEnd returns until when entries missing from the instance list are kept.
func (n *Node) graceEnd(now time.Time) time.Time {
	return n.readerGrace.limit(n.storeHealth.graceEnd(now), n.storeHealth.lastLostAt())
}
