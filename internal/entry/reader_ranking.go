package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
)

// readerCache contains the readers of groups.
//
// Lock order: no other lock is taken while mu is held.
type readerCache struct {
	mu      sync.Mutex
	readers map[readerKey]cachedReaders
}

type readerKey struct {
	group string
	count int
}

// cachedReaders are the readers of a group as of an epoch of the registry, ranked at rankedAt.
type cachedReaders struct {
	readers  []member.Daemon
	epoch    uint64
	rankedAt time.Time
}

func (c *readerCache) get(key readerKey) (cachedReaders, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.readers[key]
	return cached, ok
}

func (c *readerCache) put(key readerKey, cached cachedReaders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readers == nil {
		c.readers = map[readerKey]cachedReaders{}
	}
	c.readers[key] = cached
}

// rerankInterval is the minimum interval between two rankings of the readers of a group in a
// fleet that is split into groups. While such a fleet starts, its registry changes with each
// heartbeat.
const rerankInterval = 100 * time.Millisecond

// readers returns the first count readers of a group. They are ranked again only after a change
// of the registry.
func (n *Node) readers(count int, group string) []member.Daemon {
	now, epoch, key := n.clock.Now(), n.registry.Epoch(), readerKey{group: group, count: count}
	cached, ok := n.readerCache.get(key)
	recent := n.registry.LiveCount() > maxFleetGroup && now.Sub(cached.rankedAt) < rerankInterval
	if !ok || cached.epoch != epoch && !recent {
		cached = cachedReaders{readers: n.rankReaders(count, inGroup(group)), epoch: epoch, rankedAt: now}
		n.readerCache.put(key, cached)
	}
	return slices.Clone(cached.readers)
}

// rankReaders returns the first count readers of a group: daemons with fast links, and others
// only if there are too few of these.
//
// A reader sends updates to its whole group several times a second over the link that also
// carries its callers' answers. If few daemons have fast links, readers drawn from all daemons
// mostly have slow links, and the updates delay their callers' answers.
func (n *Node) rankReaders(count int, inGroup func(member.Daemon) bool) []member.Daemon {
	fastest := 0.0
	for _, d := range n.registry.Live() {
		if inGroup(d) {
			fastest = max(fastest, d.LinkMbps)
		}
	}
	fast := func(d member.Daemon) bool { return d.LinkMbps >= fastLinkFraction*fastest }
	first := n.registry.TopRanked(readerRankKey, count, func(d member.Daemon) bool { return inGroup(d) && fast(d) })
	rest := n.registry.TopRanked(readerRankKey, count-len(first), func(d member.Daemon) bool { return inGroup(d) && !fast(d) })
	return append(first, rest...)
}
