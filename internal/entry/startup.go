package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// firstHeartbeatTime is how long a daemon that starts waits for the answers to its first
	// heartbeats before it reads the store. Peers that answer have the state that it needs.
	firstHeartbeatTime = 100 * time.Millisecond
	// fleetHintTime is how long after its start a daemon goes by the size of the fleet that its
	// peers report, because it does not know all of its daemons yet.
	fleetHintTime = 10 * time.Second
	// electionTime is how long after its start a daemon of a large fleet may take part in the
	// reading of the store for the whole fleet at the earliest. Before that it knows few others
	// and would take itself for one of the readers.
	electionTime = 1500 * time.Millisecond
	// minStoreReadDelay is how long after its start another daemon of a large fleet waits for
	// the state from peers before it reads the store itself. Up to storeReadSpread is added at
	// random, since all may have to do so at the same time.
	minStoreReadDelay = 4 * time.Second
	storeReadSpread   = 6 * time.Second
)

// startup is the state of a daemon that has just started.
type startup struct {
	clock     clockwork.Clock
	startedAt time.Time
	// storeReadAt is when a daemon of a large fleet that has got no state from peers reads the
	// store itself.
	storeReadAt time.Time
	// fleetSize is the largest number of live daemons that a peer has reported.
	fleetSize atomic.Int64
	// heartbeatsSent is closed after the first round of heartbeats.
	heartbeatsSent chan struct{}
	once           sync.Once
}

func newStartup(clock clockwork.Clock) *startup {
	now := clock.Now()
	return &startup{
		clock: clock, startedAt: now, storeReadAt: now.Add(minStoreReadDelay + rand.N(storeReadSpread)),
		heartbeatsSent: make(chan struct{}),
	}
}

// noteFleet records the number of live daemons that a peer knows.
func (s *startup) noteFleet(live int) {
	if s.clock.Since(s.startedAt) <= fleetHintTime {
		s.fleetSize.Store(max(s.fleetSize.Load(), int64(live)))
	}
}

// fleetHint returns the size of the fleet according to peers, or 0 once this daemon has had the
// time to learn it itself.
func (s *startup) fleetHint() int {
	if s.clock.Since(s.startedAt) > fleetHintTime {
		return 0
	}
	return int(s.fleetSize.Load())
}

// noteHeartbeats records that the first heartbeats have been answered or have failed.
func (s *startup) noteHeartbeats() { s.once.Do(func() { close(s.heartbeatsSent) }) }

// awaitHeartbeats waits for the answers to the first heartbeats, for at most
// firstHeartbeatTime.
func (s *startup) awaitHeartbeats(ctx context.Context) {
	select {
	case <-s.heartbeatsSent:
	case <-s.clock.After(firstHeartbeatTime):
	case <-ctx.Done():
	}
}

// mustAwaitPeers reports whether this daemon, which has no state yet, leaves the reading of the
// store to others. In a large fleet that starts, most daemons get the configuration and the list
// from peers: if each read them from the store, the reads would exceed the store's rate and the
// bandwidth of its link.
func (n *Node) mustAwaitPeers() bool {
	now := n.clock.Now()
	switch {
	case !n.isSplit() || now.After(n.startup.storeReadAt):
		return false
	case n.isStoreReader():
		return now.Sub(n.startup.startedAt) < electionTime
	default:
		return true
	}
}
