package entry

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// daemons is the number of daemons in these tests: more than one group.
const daemons = 40

// newFleetNode returns a daemon that knows a fleet, of which it is not one of
// those that read the store for the others. Its loops do not run.
func newFleetNode(t *testing.T, clock clockwork.Clock) *Node {
	t.Helper()
	for {
		n := newTestNode(clock, nil)
		var others []member.Daemon
		for i := range daemons {
			others = append(others, member.Daemon{
				Incarnation: fmt.Sprint("other-", i), PeerAddress: fmt.Sprint("127.0.1.", i, ":1"), FailureDomain: "a", Site: "s",
			})
		}
		n.registry.Merge(others)
		if !n.isReader() {
			return n
		}
	}
}

// know gives a daemon a configuration, a list and a confirmed state of the
// operator's rows, as if it had read them just now.
func (n *Node) setKnownState() {
	n.installConfig(&catalog.Catalog{Version: 3}, []byte("{}"), "test")
	n.evacuations.Replace(nil, 5)
	n.table.Replace(inventory.Snapshot{Revision: 5, Instances: []inventory.Instance{{ID: "i", Service: "s"}}}, time.Time{})
	n.freshness.record(n.clock.Now(), 5, true)
	n.storeHealth.record(n.clock.Now(), n.clock.Now(), nil)
}

// On a calm day 88 daemons sent each other 41 MB of lists between failure
// domains: whenever two differed in anything, the one that lacked something was
// sent all that the other knew.
func TestSyncReplyHasOnlyWhatWasRequested(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	n.setKnownState()
	n.addOrder(shift.Order{ID: 4, Service: "s", To: "v2", Allowed: time.Minute}, "test")

	require.Equal(t, peer.SyncReply{}, n.OnSync(peer.SyncRequest{Config: 3}))
	b := n.OnSync(peer.SyncRequest{Config: 2})
	require.NotEmpty(t, b.Manifest)
	require.Empty(t, b.Members)
	require.Nil(t, b.Instances)
	require.Len(t, n.OnSync(peer.SyncRequest{Config: 3, Members: true}).Members, daemons+1)
	require.Len(t, n.OnSync(peer.SyncRequest{Config: 3, Shifts: true}).Orders, 1)
	require.NotNil(t, n.OnSync(peer.SyncRequest{Config: 3, Instances: true}).Instances)
	require.Nil(t, n.OnSync(peer.SyncRequest{Config: 3, Instances: true, List: 5}).Instances)
}

// A peer knows of other daemons and of a newer list. While news of daemons still
// comes in, and the reader's news of the list is not late, nothing is asked for;
// what stays different is.
func TestSyncRequestAsksOnlyForMissingState(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	n.setKnownState()
	mine := n.heartbeat()
	theirs := mine
	theirs.Digest++
	theirs.List++

	_, lacking := n.missingFrom(theirs, mine)
	require.False(t, lacking)

	clock.Advance(membershipSettleTime + time.Millisecond)
	ask, lacking := n.missingFrom(theirs, mine)
	require.True(t, lacking)
	require.True(t, ask.Members)
	require.True(t, ask.Instances, "the store is silent and the list is old")

	n.storeHealth.record(clock.Now(), clock.Now(), nil)
	ask, _ = n.missingFrom(theirs, mine)
	require.False(t, ask.Instances, "the store answers")

	theirs = mine
	theirs.Shifts++
	ask, lacking = n.missingFrom(theirs, mine)
	require.True(t, lacking && ask.Shifts)
	require.False(t, ask.Members || ask.Instances)

	started := newFleetNode(t, clock)
	ask, _ = started.missingFrom(mine, started.heartbeat())
	require.True(t, ask.Instances, "a daemon that has just started has no list")
}

// The store was away for seven seconds and 88 daemons asked it 1,700 times, each
// of them for list and operator's rows by itself. Only readers need to find out
// quickly that it is back; any other daemon asks for the list, seldom.
func TestOnlyReadersPollALostStore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	n.setKnownState()
	require.False(t, n.mustReadList() || n.mustReadOperator(), "its readers tell it")
	clock.Advance(lateListAge(n))
	require.True(t, n.mustReadList() && n.mustReadOperator(), "news is late")
	n.storeHealth.record(clock.Now(), clock.Now(), errors.New("no answer"))
	require.True(t, n.mustReadList())
	require.False(t, n.mustReadOperator())
	n.behind.Store(true)
	require.True(t, n.mustReadOperator(), "a peer told of something newer")

	started := newFleetNode(t, clock)
	require.True(t, started.mustReadList() && started.mustReadOperator())
	started.storeHealth.record(clock.Now(), clock.Now(), errors.New("no answer"))
	require.True(t, started.mustReadOperator())
	require.False(t, started.mustReadList())
}

// The list is empty when the first daemons start, and has the revision 0. It is
// known all the same: the daemons took it for unknown and read it again and again
// instead of waiting for their readers' news.
func TestEmptyListCountsAsLoaded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	require.True(t, n.mustReadList())
	n.table.Replace(inventory.Snapshot{}, time.Time{})
	require.False(t, n.mustReadList())
	one := inventory.Instance{ID: "i", Service: "s"}
	n.OnStoreUpdate(peer.StoreUpdate{From: "127.0.1.1:1", List: 2, Changes: []inventory.Change{{ID: "i", Instance: &one}}})
	require.Equal(t, int64(2), n.table.Revision())
}

// The holder of a duty is turned away by the store. A few daemons take their turn
// first; all others wait until these have had the time to take it.
func TestFewDaemonsTryToTakeOverADuty(t *testing.T) {
	clock := clockwork.NewFakeClock()
	first := 0
	for range 200 {
		n := newFleetNode(t, clock)
		if n.duties.takeOverAfter("s") == holderTimeout {
			first++
		} else {
			require.Equal(t, lastTakeoverTimeout, n.duties.takeOverAfter("s"))
		}
	}
	require.Less(t, first, 100)
}

// All daemons have lost power and the store is away when they start again. A
// caller that returns too soon is refused a second time and gives up; one that
// meets a daemon about to learn its configuration need not wait long.
func TestRetryAfterMatchesExpectedReadiness(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	w := make(chan *httptest.ResponseRecorder)
	ask := func() { w <- askOnce(n) }
	refusal := func() string {
		answer := <-w
		require.Equal(t, http.StatusServiceUnavailable, answer.Code)
		return answer.Header().Get("Retry-After")
	}
	go ask()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(startupTime)
	require.Equal(t, "0.300", refusal())
	n.storeHealth.record(n.clock.Now(), n.clock.Now(), errors.New("no answer"))
	go ask()
	require.Equal(t, "2.000", refusal(), "at once")
}

func askOnce(n *Node) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	n.handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x/", nil))
	return w
}

// All daemons were killed. A caller, on its last try, meets one that is back and reads
// its configuration in the next moment. It is held for that moment: refused, it would
// not come again.
func TestRequestWaitsForADaemonAboutToBeReady(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	n.callerAddress = "127.0.0.1:2"
	answer := make(chan *httptest.ResponseRecorder)
	go func() { answer <- askOnce(n) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	n.setKnownState()
	n.publishCallerURL()
	require.Equal(t, http.StatusNotFound, (<-answer).Code, "by the configuration, not refused for want of one")
}

// One of two readers was cut off from the store while servers left. When it is
// back it doubts that they are gone, and told all daemons of its failure domain
// so, which used them for three seconds. They had the other reader's news all the
// while. After an outage of the store itself, when nobody had news, doubt counts,
// also for entries that lapse a moment after the store's return.
func TestGraceOfAReaderThatWasCutOff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	n.setKnownState()
	gone := func(list int64, id string, doubted time.Duration) {
		n.OnStoreUpdate(peer.StoreUpdate{From: "127.0.1.1:1", Base: 5, List: list, Changes: []inventory.Change{{ID: id}}, Doubted: doubted})
	}
	gone(6, "i", 2*time.Second)
	require.Empty(t, n.table.Usable("s"))

	n = newFleetNode(t, clock)
	n.setKnownState()
	other := inventory.Instance{ID: "j", Service: "s"}
	n.table.Apply([]inventory.Change{{ID: "j", Instance: &other}}, 5, time.Time{})
	clock.Advance(lateListAge(n))
	gone(6, "i", 2*time.Second)
	require.Len(t, n.table.Usable("s"), 2)
	clock.Advance(100 * time.Millisecond)
	gone(7, "j", 1900*time.Millisecond)
	require.Len(t, n.table.Usable("s"), 2)
	clock.Advance(1901 * time.Millisecond)
	n.table.Expire()
	require.Empty(t, n.table.Usable("s"))
}

// Two daemons read the list for the others. While one of them waits for its
// answer, the other tells it that a server leaves; a third daemon misses that
// news. The answer has the leaving too, which is not new any more to the first
// and is left out of what it tells: the third must not take this for all that
// there is, or it uses the server until its entry vanishes.
func TestMissedUpdateIsNotSkipped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	reader, third := newFleetNode(t, clock), newFleetNode(t, clock)
	reader.setKnownState()
	third.setKnownState()
	leaving := inventory.Instance{ID: "i", Service: "s", Leaving: true}
	change := inventory.Change{ID: "i", Instance: &leaving}
	reader.OnStoreUpdate(peer.StoreUpdate{From: "127.0.1.1:1", Base: 5, List: 6, Changes: []inventory.Change{change}})
	require.Empty(t, reader.table.Usable("s"))

	told, ok := reader.applyChanges(platform.InstanceNews{Revision: 7, Changes: []inventory.Change{change}}, time.Time{})
	require.True(t, ok)
	clock.Advance(lateListAge(third))
	third.OnStoreUpdate(told)
	require.Equal(t, int64(5), third.table.Revision())
	require.True(t, third.mustReadList(), "it reads the list itself")
}

// lateAge is the age of the list at which a daemon reads it itself.
func lateListAge(n *Node) time.Duration {
	return n.listInterval() + lateUpdateMargin + time.Millisecond
}

// What became of a call to the store must be the same to the holder of a duty
// whether it made the call itself or a peer did: a check that failed taken for a
// lost answer, or the other way round, would have it write on what it no longer
// holds.
func TestRelayedCallsKeepTheirOutcome(t *testing.T) {
	for _, err := range []error{
		nil, trace.NotFound("x"), trace.CompareFailed("x"), trace.ConnectionProblem(nil, "x"),
		&backing.UnknownOutcomeError{Cause: trace.ConnectionProblem(nil, "x")},
	} {
		relayed := replyError(peer.StoreReply{Outcome: storeOutcome(err), Why: "x"})
		require.Equal(t, err == nil, relayed == nil)
		require.Equal(t, trace.IsNotFound(err), trace.IsNotFound(relayed))
		require.Equal(t, trace.IsCompareFailed(err), trace.IsCompareFailed(relayed))
		require.Equal(t, backing.IsUnknownOutcome(err), backing.IsUnknownOutcome(relayed))
		require.Equal(t, trace.IsConnectionProblem(err), trace.IsConnectionProblem(relayed))
	}
}

// A daemon that the store does not answer either says so at once, so that the
// asker goes on to the next peer.
func TestPeerWithoutStoreDoesNotRelay(t *testing.T) {
	n := newFleetNode(t, clockwork.NewFakeClock())
	n.storeHealth.record(n.clock.Now(), n.clock.Now(), errors.New("no answer"))
	require.Equal(t, peer.StoreNotDone, n.OnStoreCall(peer.StoreCall{Get: "x"}).Outcome)
}

// The store was away. A reader found it back at once and told so; a daemon that is no
// reader notices two seconds later, with its own read or with the list of a peer that
// has not noticed yet. A server that left meanwhile must not be doubted from then on
// for two seconds more: it got a request 3.5 s after it had left.
func TestGraceEndsWithThatOfTheReader(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	n.setKnownState()
	n.storeHealth.record(clock.Now(), clock.Now(), errors.New("no answer"))
	clock.Advance(3 * time.Second)
	n.OnStoreUpdate(peer.StoreUpdate{From: "127.0.1.1:1", Base: 5, List: 5, Doubted: 2 * time.Second})
	end := clock.Now().Add(2 * time.Second)
	clock.Advance(1900 * time.Millisecond)
	require.Equal(t, end, n.graceEnd(clock.Now()), "the store has not answered here yet")
	n.storeHealth.record(clock.Now(), clock.Now(), nil)
	require.Equal(t, end, n.graceEnd(clock.Now()))
	require.Equal(t, 100*time.Millisecond, n.graceLeft(), "told to peers")

	n.storeHealth.record(clock.Now(), clock.Now(), errors.New("no answer"))
	clock.Advance(time.Second)
	n.storeHealth.record(clock.Now(), clock.Now(), nil)
	require.Equal(t, clock.Now().Add(missingEntryGrace), n.graceEnd(clock.Now()), "no reader has told since a later outage")
}

// Guards against streams that a stopping daemon takes from callers with an old answer of the
// directory, and cuts when its process ends. Short requests are served to the end.
func TestStoppingDaemonRefusesLateStreams(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newFleetNode(t, clock)
	n.setKnownState()
	n.installConfig(catalog.New(catalog.Declared{Version: 4, Services: []catalog.Service{{Name: "s"}}, Routes: []catalog.Route{
		{Name: "stream", Host: "example.com", Prefix: "/x/", Kind: catalog.Stream, Public: true, Timeout: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}}},
	}}), []byte("{}"), "test")
	late := func() bool { return strings.Contains(askOnce(n).Body.String(), string(fault.Stopping)) }
	require.False(t, n.refusesStreams())
	n.leave(member.Leaving)
	clock.Advance(refuseStreamsAfter - time.Millisecond)
	require.False(t, n.refusesStreams())
	clock.Advance(time.Millisecond)
	n.leave(member.Left)
	require.True(t, late())
	require.Equal(t, http.StatusServiceUnavailable, askOnce(n).Code)
}
