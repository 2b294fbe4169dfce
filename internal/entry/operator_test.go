package entry

import (
	"context"
	"encoding/json"
	"fmt"
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

// configDeadline is the time within which an accepted configuration must be in force.
const configDeadline = 2 * time.Second

// storeReader is a daemon that reads a test store with its loops for the operator's rows and
// the list. It knows no other daemons, so it is a reader.
type storeReader struct {
	*Node
	t     *testing.T
	clock *clockwork.FakeClock
	store *platformtest.Store
	// stop ends the loops that read the store.
	stop func()
}

// newStoreReader returns a storeReader whose instances may take drainMS milliseconds to leave.
func newStoreReader(t *testing.T, drainMS int64) *storeReader {
	t.Helper()
	r := &storeReader{t: t, clock: clockwork.NewFakeClock(), store: platformtest.NewStore()}
	address, stop := r.store.Serve()
	r.store.PutManifest(routeTo(1, "/old/"))
	r.store.Put(wire.TableInstances, "i", wire.Instance{Service: "s", Address: "127.0.0.1:1", Zone: "a", Version: "v1", Slots: 8, State: wire.StateReady})
	r.Node = newTestNode(r.clock, func(s *settings.Routes) { s.Platform, s.DrainMS = address, drainMS })
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { r.watchOperator(ctx) })
	loops.Go(func() { r.watchInstances(ctx) })
	r.stop = func() {
		cancel()
		loops.Wait()
	}
	t.Cleanup(func() {
		r.stop()
		stop()
	})
	return r
}

// routeTo returns a configuration with one route.
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

// eventually waits for a condition that does not need the daemon's clock to advance.
func (r *storeReader) eventually(why string, ok func() bool) {
	r.t.Helper()
	require.Eventually(r.t, ok, 20*time.Second, time.Millisecond, why)
}

// advance advances the clock in steps of one read of the list, and waits for the end of each
// read.
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

// awaitListRead waits until no read of the list is in progress.
func (r *storeReader) awaitListRead() {
	r.t.Helper()
	require.NoError(r.t, r.clock.BlockUntilContext(r.t.Context(), 1))
}

// losePoll waits until the store holds this daemon's long poll for operator rows, which the
// store then never answers.
func (r *storeReader) losePoll() {
	r.t.Helper()
	r.eventually("the store holds the long poll", func() bool { return r.store.WaitingFeeds() == 1 })
	r.awaitListRead()
	r.store.HangWaitingFeeds()
}

// Guards against taking the silence of the store for unchanged rows. A long poll that a reader
// sends during an outage may never be answered although its connection stays open. Until it
// failed, after eleven seconds, all daemons answered 404 on a route whose acceptance the
// operator had already seen, although every read of the list showed a newer revision of the
// store than that of the configuration in force.
func TestLongPollThatIsNeverAnswered(t *testing.T) {
	r := newStoreReader(t, 2000)
	r.losePoll()
	r.store.PutManifest(routeTo(2, "/new/"))
	r.advance(configDeadline)
	require.Equal(t, int64(2), r.configVersion(), "the configuration is in force in time")
}

// Guards against reading the list too rarely where instances may take ten seconds to leave:
// only the read of the list shows that the long poll was lost.
func TestLostLongPollWithSlowListReads(t *testing.T) {
	r := newStoreReader(t, 10_000)
	r.losePoll()
	r.store.PutManifest(routeTo(2, "/new/"))
	r.advance(configDeadline)
	require.Equal(t, int64(2), r.configVersion(), "the configuration is in force in time")
}

// Guards against an update of the list that waits longer than confirmTimeout for a read of the
// operator's rows. An instance leaves while the store does not answer reads of these rows, one
// of which starts because the list has a newer revision. If other daemons got the update only
// after that read has failed, they would send requests to the instance until its timeout.
func TestListChangesAreSentBeforeOperatorRowsAreConfirmed(t *testing.T) {
	r := newStoreReader(t, 2000)
	other := newTestNode(r.clock, func(s *settings.Routes) { s.PeerListen = "127.0.0.1:0" })
	storeLost := make(chan bool, 1)
	server, err := peer.ListenRoutes("127.0.0.1:0", &updateRecorder{Node: other, onUpdate: func(update peer.StoreUpdate) {
		if len(update.Changes) > 0 {
			storeLost <- r.storeHealth.isLost()
		}
	}}, nil, peer.Limits{})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	other.registry.SetSelf(func(d *member.Daemon) { d.PeerAddress = server.Address() })
	r.registry.Merge([]member.Daemon{other.registry.Self()})
	r.eventually("the store holds the long poll", func() bool { return r.store.WaitingFeeds() == 1 })
	r.awaitListRead()
	r.store.HangTable(wire.TableOperator)
	r.store.Put(wire.TableInstances, "i", wire.Instance{Service: "s", Address: "127.0.0.1:1", Zone: "a", Version: "v1", Slots: 8, State: wire.StateDraining})
	r.clock.Advance(r.listInterval())
	require.False(t, <-storeLost, "the update was sent after the read of the operator's rows had failed")
}

// updateRecorder is a daemon that passes the updates it receives to a function.
type updateRecorder struct {
	*Node
	onUpdate func(peer.StoreUpdate)
}

// OnStoreUpdate implements peer.RoutesHandler.
func (r *updateRecorder) OnStoreUpdate(update peer.StoreUpdate) { r.onUpdate(update) }

// Guards against a reader that confirms the operator's rows to other daemons although its long
// poll is lost. Its updates must not confirm the rows for a time after the store's last
// answer, so that another daemon notices that they are late and reads the rows itself.
func TestUnansweredLongPollConfirmsNothing(t *testing.T) {
	r := newStoreReader(t, 2000)
	r.losePoll()
	other := newFleetNode(t, r.clock)
	other.setKnownState()
	// A read of the list after that time would confirm the rows.
	r.stop()
	r.clock.Advance(lateListAge(other))
	other.OnStoreUpdate(r.withFreshness(peer.StoreUpdate{From: "127.0.1.1:1", List: noList}))
	require.True(t, other.mustReadOperator())
}

// Guards against counting the late failure of a lost long poll as an outage of the store. The
// poll failed 11.5 s after it was sent, while the list was read twice a second. Counted as an
// outage, it started a grace period of two seconds in which requests went to instances that
// had left unannounced.
func TestFailureOfAnOldCallIsNoStoreLoss(t *testing.T) {
	r := newStoreReader(t, 2000)
	r.losePoll()
	r.advance(configDeadline)
	r.store.RefuseHangingFeeds()
	r.eventually("the long poll has failed", func() bool { return r.store.WaitingFeeds() == 0 })
	require.NoError(t, r.clock.BlockUntilContext(t.Context(), 2), "the next read must be scheduled")
	require.False(t, r.storeHealth.isLost())
	require.Zero(t, r.graceLeft())
}

// Guards against a list that lags further and further behind. While a large fleet starts, more
// instances register between two reads than the store returns in one response. If a daemon read
// one response at each interval, it would learn of an instance that leaves only after all that
// registered before.
func TestReaderReadsAllChangesOfTheListAtOnce(t *testing.T) {
	r := newStoreReader(t, 2000)
	r.eventually("the list is read", func() bool { return r.table.Loaded() })
	r.awaitListRead()
	const added = 2200
	for i := range added {
		r.store.Put(wire.TableInstances, fmt.Sprint("i", i), wire.Instance{Service: "s", Address: "127.0.0.1:1", Zone: "a", Version: "v1", Slots: 8, State: wire.StateReady})
	}
	last := r.store.Put(wire.TableInstances, "i", wire.Instance{Service: "s", Address: "127.0.0.1:1", Zone: "a", Version: "v1", Slots: 8, State: wire.StateDraining})
	r.clock.Advance(r.listInterval())
	r.eventually("all changes are known", func() bool { return r.table.Revision() >= last })
	require.Equal(t, 1+added, r.table.Len())
}

// Guards against counting a configuration as proof that nothing was missed. A daemon misses the
// update with a roll-out's order and receives the next one, which has a configuration. If it took
// its rows for current, it would never read the order, and would use the old version after all
// others have moved.
func TestConfigurationDoesNotHideAMissedUpdate(t *testing.T) {
	manifest := func(version int64) []byte {
		data, err := json.Marshal(routeTo(version, "/new/"))
		require.NoError(t, err)
		return data
	}
	send := func(base int64) *Node {
		n := newFleetNode(t, clockwork.NewFakeClock())
		n.setKnownState()
		n.OnStoreUpdate(peer.StoreUpdate{
			From: "127.0.1.1:1", Manifest: manifest(4), List: noList, Evacuated: n.evacuations.Checksum(),
			OperatorBase: base, OperatorWhole: true, OperatorRead: 9, OperatorChanged: 9,
		})
		require.Equal(t, int64(4), n.configVersion())
		return n
	}
	require.False(t, send(5).mustReadOperator(), "continues with what the daemon has")
	require.False(t, send(allRows).mustReadOperator(), "has all rows")
	require.True(t, send(8).mustReadOperator(), "the update before was missed")
}
