package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

const (
	// firstAnswerTime is how long a daemon that starts waits for the first answer of a peer before
	// it reads the store: a peer that answers has the state that it needs, or knows how large the
	// fleet is. Callers' requests wait for as long, too. If a peer has accepted the connection, the
	// daemon waits for busyPeerTime, until the call has timed out.
	firstAnswerTime = 250 * time.Millisecond
	busyPeerTime    = peerCallTimeout
	// contactRetryTime is how long a daemon that starts contacts the seeds again every
	// contactInterval until one answers. Daemons that start together refuse connections at first.
	contactRetryTime = 1 * time.Second
	// fleetHintTime is how long after its start a daemon goes by the size of the fleet that its
	// peers report, because it does not know all of its daemons yet.
	fleetHintTime = 10 * time.Second
	// electionTime is how long after its start a daemon may read the store for others at the
	// earliest.
	electionTime = 1500 * time.Millisecond
	// minStoreReadDelay is how long after its start another daemon of a large fleet waits for
	// the state from peers before it reads the store itself. Up to storeReadSpread is added at
	// random, since all may have to do so at the same time.
	minStoreReadDelay = 3 * time.Second
	storeReadSpread   = 4 * time.Second
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
	// contacted is closed once a peer has answered a heartbeat, or has been too busy to answer.
	contacted chan struct{}
	once      sync.Once
}

func newStartup(clock clockwork.Clock) *startup {
	now := clock.Now()
	return &startup{
		clock: clock, startedAt: now, storeReadAt: now.Add(minStoreReadDelay + rand.N(storeReadSpread)),
		contacted: make(chan struct{}),
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

// noteContact records the result of a heartbeat to an address at which no daemon was known.
// Before the first answer, peers that are reachable and too busy to answer are taken for those of
// a large fleet.
func (s *startup) noteContact(err error) {
	switch {
	case err == nil:
		s.skipContact()
	case errors.Is(err, peer.ErrNoReply) && !s.isContacted():
		s.noteFleet(maxFleetGroup + 1)
		s.skipContact()
	}
}

// skipContact ends the wait for the first answer.
func (s *startup) skipContact() { s.once.Do(func() { close(s.contacted) }) }

func (s *startup) isContacted() bool {
	select {
	case <-s.contacted:
		return true
	default:
		return false
	}
}

// isContacting reports whether this daemon contacts the seeds again without delay.
func (s *startup) isContacting() bool {
	return !s.isContacted() && s.clock.Since(s.startedAt) < contactRetryTime
}

// awaitContact waits for the first answer of a peer, for at most firstAnswerTime, or for another
// busyPeerTime if a peer has been reached.
func (s *startup) awaitContact(ctx context.Context, reached func() bool) {
	if s.isContacted() {
		return
	}
	if !s.await(ctx, firstAnswerTime) && reached() {
		s.await(ctx, busyPeerTime)
	}
}

func (s *startup) await(ctx context.Context, d time.Duration) bool {
	select {
	case <-s.contacted:
		return true
	case <-s.clock.After(d):
	case <-ctx.Done():
	}
	return false
}

// mayBeElected reports whether this daemon may read the store for others. It knows no others
// when it starts, and would take itself for one of the readers.
func (n *Node) mayBeElected() bool {
	return len(*n.seeds.Load()) == 0 || n.clock.Since(n.startup.startedAt) >= electionTime
}

// mustAwaitPeers reports whether this daemon, which has no state yet, leaves the reading of the
// store to others. In a large fleet that starts, most daemons get the configuration and the list
// from peers: if each read them from the store, the reads would exceed the store's rate and the
// bandwidth of its link.
func (n *Node) mustAwaitPeers() bool {
	return n.isSplit() && !n.isStoreReader() && n.clock.Now().Before(n.startup.storeReadAt)
}
