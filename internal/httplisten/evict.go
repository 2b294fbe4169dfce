package httplisten

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// minClientWait is how long this daemon must have waited for the rest of a request before its connection may be
	// evicted, and minIdleWait the same for its first bytes, which clients send at once.
	minClientWait = 100 * time.Millisecond
	minIdleWait   = 50 * time.Millisecond
	// minWriteWait is the same for a client that does not read its answer, which is lost then.
	minWriteWait = 2 * time.Second
	// evictInterval is the time between two searches for connections to evict while there is no room.
	evictInterval = 25 * time.Millisecond
	// evictDivisor is the divisor of the number of connections that gives how many are evicted at once: each
	// search visits all of them.
	evictDivisor = 32
	// progressUnit keeps connections on which nothing has arrived comparable.
	progressUnit = 1 << 10
)

// evictReason is why connections are evicted.
type evictReason string

const (
	evictConnections evictReason = "connections"
	evictDescriptors evictReason = "descriptors"
)

// candidate is a connection that may be evicted.
type candidate struct {
	conn    *conn
	address netip.Addr
	// waited is for how long this daemon has waited for the client since the current request began, or since the
	// one before ended, and received the number of bytes that came in that time.
	waited   time.Duration
	received int
}

// evict closes some of the connections that keep this daemon waiting for their clients.
func (l *Listener) evict(reason evictReason) {
	candidates, perAddress, open := l.candidates(time.Now())
	evicted := 0
	for _, c := range leastWorth(candidates, perAddress, max(open/evictDivisor, 1)) {
		if c.conn.evict() {
			evicted++
		}
	}
	if evicted > 0 {
		l.options.Metrics.Evicted.Add(int64(evicted))
		l.logs.Note("connections.evicted", evicted, "reason", string(reason), "open", open)
	}
}

// candidates returns the connections that may be evicted, and the number of all connections by address.
func (l *Listener) candidates(now time.Time) (out []candidate, perAddress map[netip.Addr]int, open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	perAddress = map[netip.Addr]int{}
	for c := range l.conns {
		perAddress[c.address]++
		if waited, received, ok := c.clientWait(now); ok {
			out = append(out, candidate{conn: c, address: c.address, waited: waited, received: received})
		}
	}
	return out, perAddress, len(l.conns)
}

// leastWorth returns up to n connections to evict: those that make the least progress in the time that they keep
// this daemon waiting, first those from addresses with many connections.
func leastWorth(candidates []candidate, perAddress map[netip.Addr]int, n int) []candidate {
	cost := func(c candidate) float64 {
		return c.waited.Seconds() / float64(c.received+progressUnit) * float64(perAddress[c.address])
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(cost(b), cost(a)) })
	return candidates[:min(n, len(candidates))]
}
