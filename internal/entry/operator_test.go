package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// inForce is the time in which an accepted configuration must be in force.
const configDeadline = 2 * time.Second

// storeReader is a daemon that reads a stand-in of the store, with its loops for the
// operator's rows and the list. It knows no other daemon, so it reads for all.
type storeReader struct {
	*Node
	t     *testing.T
	clock *clockwork.FakeClock
	store *platformtest.Store
}

// newStoreReader returns one before instances that may take some time to leave.
func newStoreReader(t *testing.T, drainMS int64) *storeReader {
	t.Helper()
	r := &storeReader{t: t, clock: clockwork.NewFakeClock(), store: platformtest.NewStore()}
	address, stop := r.store.Serve()
	r.store.Declare(routeTo(1, "/old/"))
	r.store.Put(wire.TableInstances, "i", wire.Instance{Service: "s", Address: "127.0.0.1:1", Zone: "a", Version: "v1", Slots: 8, State: wire.StateReady})
	r.Node = newTestNode(r.clock, func(s *settings.Routes) { s.Platform, s.DrainMS = address, drainMS })
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { r.watchOperator(ctx) })
	loops.Go(func() { r.watchInstances(ctx) })
	t.Cleanup(func() {
		cancel()
		loops.Wait()
		stop()
	})
	return r
}

// routeTo is a configuration with one route.
func routeTo(version int64, prefix string) wire.Manifest {
	return wire.Manifest{
		Version: version,
		Routes: []wire.Route{{
			Name: "r", Host: "shop.example", Prefix: prefix, RouteType: wire.KindSafe, TimeoutMS: 8000, TargetLatencyMS: 2000,
			Service: "s", MaxAttempts: 2,
		}},
		Services: []wire.Service{{Name: "s", HealthPath: "/health", MaxConnections: 60}},
		Limits:   wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4096, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	}
}

// until waits for a condition that needs no time to pass on the daemon's clock.
func (r *storeReader) eventually(why string, ok func() bool) {
	r.t.Helper()
	require.Eventually(r.t, ok, 20*time.Second, time.Millisecond, why)
}

// pass lets time pass in steps of a read of the list, each of which ends before the next
// one begins.
func (r *storeReader) advance(d time.Duration) {
	r.t.Helper()
	for ; d > 0; d -= r.listInterval() {
		reads, _ := r.store.Counts()
		r.clock.Advance(min(d, r.listInterval()))
		if d < r.listInterval() {
			return
		}
		r.eventually("the list is read", func() bool { now, _ := r.store.Counts(); return now > reads })
		r.awaitListRead()
	}
}

// listRead waits until no read of the list is under way.
func (r *storeReader) awaitListRead() {
	r.t.Helper()
	require.NoError(r.t, r.clock.BlockUntilContext(r.t.Context(), 1))
}

// loseQuestion waits until the store holds this daemon's question for the operator's news,
// which then is never answered.
func (r *storeReader) losePoll() {
	r.t.Helper()
	r.eventually("the store holds the question", func() bool { return r.store.Held() == 1 })
	r.awaitListRead()
	r.store.LoseHeld()
}

// After an outage of the store callers were refused with 404 at every daemon, on a route
// that the operator had been told was accepted seconds before. The daemon that reads the
// store for the others had asked for news during the outage. The store never answered that
// question and did not close its connection either; until the question was given up, eleven
// seconds after it had been asked, silence was taken for "nothing new".
// Evidence: all calls for the list were answered meanwhile, and the store's revision in
// these answers was one ahead of that of the configuration in force.
func TestLongPollThatIsNeverAnswered(t *testing.T) {
	r := newStoreReader(t, 2000)
	r.losePoll()
	r.store.Declare(routeTo(2, "/new/"))
	r.advance(configDeadline)
	require.Equal(t, int64(2), r.configVersion(), "in force in time")
}

// Where instances may take ten seconds to leave, the list need not be read often. It is all
// the same, since nothing else shows that the question was lost.
func TestLostLongPollWithSlowListReads(t *testing.T) {
	r := newStoreReader(t, 10_000)
	r.losePoll()
	r.store.Declare(routeTo(2, "/new/"))
	r.advance(configDeadline)
	require.Equal(t, int64(2), r.configVersion(), "in force in time")
}

// A server leaves. In the same moment the store answers no question for the operator's
// rows, and one is asked because the list is newer than these are known to be. Other
// daemons must hear of the server all the same, before that question has failed: told
// only then, they went on sending to it for as long as a call may take.
func TestListChangesAreSentBeforeOperatorRowsAreConfirmed(t *testing.T) {
	r := newStoreReader(t, 2000)
	other := newTestNode(r.clock, func(s *settings.Routes) { s.PeerListen = "127.0.0.1:0" })
	heard := make(chan bool, 1)
	server, err := peer.ListenRoutes("127.0.0.1:0", &updateRecorder{Node: other, onUpdate: func(n peer.StoreUpdate) {
		if len(n.Changes) > 0 {
			heard <- r.storeHealth.isLost()
		}
	}})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	other.registry.SetSelf(func(d *member.Daemon) { d.PeerAddress = server.Address() })
	r.registry.Merge([]member.Daemon{other.registry.Self()})
	r.eventually("the store holds the question", func() bool { return r.store.Held() == 1 })
	r.awaitListRead()
	r.store.Silence(wire.TableOperator)
	r.store.Put(wire.TableInstances, "i", wire.Instance{Service: "s", Address: "127.0.0.1:1", Zone: "a", Version: "v1", Slots: 8, State: wire.StateDraining})
	r.clock.Advance(r.listInterval())
	require.False(t, <-heard, "told after the question for the operator's rows had failed")
}

// listener is a daemon whose news is looked at.
type updateRecorder struct {
	*Node
	onUpdate func(peer.StoreUpdate)
}

// OnNews implements peer.RoutesHandler.
func (l *updateRecorder) OnStoreUpdate(n peer.StoreUpdate) { l.onUpdate(n) }

// The same question, seen by a daemon that reads nothing as long as its reader tells it that
// nothing is new. It must not be told anything younger than the store's last answer: only
// then does it notice that news is late, and asks by itself.
func TestUnansweredLongPollConfirmsNothing(t *testing.T) {
	r := newStoreReader(t, 2000)
	r.losePoll()
	other := newFleetNode(t, r.clock)
	other.setKnownState()
	r.clock.Advance(lateListAge(other))
	other.OnStoreUpdate(r.withFreshness(peer.StoreUpdate{From: "127.0.1.1:1", List: noList}))
	require.True(t, other.mustReadOperator())
}

// A question for the operator's news was lost, and failed eleven seconds after it had been
// asked. The daemon took that for a loss of the store, although the store had answered every
// call that was made since, and doubted the list once more: for two seconds it went on using
// upstream instances that left without saying so.
// Evidence: store.lost of a question asked 11.5 s before and store.regained 0.14 s later, with
// the list read twice a second all the while.
func TestFailureOfAnOldCallIsNoStoreLoss(t *testing.T) {
	r := newStoreReader(t, 2000)
	r.losePoll()
	r.advance(configDeadline)
	r.store.RefuseLost()
	r.eventually("the question has failed", func() bool { return r.store.Held() == 0 })
	require.NoError(t, r.clock.BlockUntilContext(t.Context(), 2), "it is to be asked again")
	require.False(t, r.storeHealth.isLost())
	require.Zero(t, r.graceLeft())
}
