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
// group would keep sending requests to these instances. A daemon that received list updates
// from another reader all the time knows that the store was available. A reader's grace period
// is therefore adopted only from the first update after a time without updates.
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
func (g *readerGrace) noteUpdate(now time.Time, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updatedAt, g.readerGraceEnd = now, now.Add(remaining)
}

// limit limits a grace period of this daemon, which ends at until, to that of its readers. If a
// reader has sent an update after lostAt, when this daemon lost the store, it returns the end
// of that reader's grace period if this is earlier than until. It applies to lists that this
// daemon has read itself or got in a sync from a peer.
//
// A daemon that is not a reader calls the store rarely and notices late that it is available
// again. Its own grace period would start only then and last longer than those of the readers.
func (g *readerGrace) limit(until, lostAt time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.updatedAt.After(lostAt) && g.readerGraceEnd.Before(until) {
		return g.readerGraceEnd
	}
	return until
}

// adopt returns until when entries are kept that are missing according to an update from a
// reader whose grace period lasts for the remaining time. late means that this daemon had
// received no list update for too long; it then adopts the reader's grace period. Otherwise the
// result is at most the end of the period adopted before.
func (g *readerGrace) adopt(now time.Time, remaining time.Duration, late bool) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := now.Add(remaining)
	if late && until.After(g.graceEnd) {
		g.graceEnd = until
	}
	if until.After(g.graceEnd) {
		return g.graceEnd
	}
	return until
}

// graceLeft returns how much longer entries missing from the instance list are kept.
func (n *Node) graceLeft() time.Duration {
	now := n.clock.Now()
	return max(n.graceEnd(now).Sub(now), 0)
}

// graceEnd returns until when entries are kept that are missing from a list which this daemon
// has read itself.
func (n *Node) graceEnd(now time.Time) time.Time {
	return n.readerGrace.limit(n.storeHealth.graceEnd(now), n.storeHealth.lastLostAt())
}
