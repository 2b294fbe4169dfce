package routes_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// firstOnly treats the first request of all servers that share it in a way, and
// answers the rest.
func firstOnly(b platformtest.Behaviour) func(platformtest.Seen) platformtest.Behaviour {
	var count atomic.Int64
	return func(platformtest.Seen) platformtest.Behaviour {
		if count.Add(1) == 1 {
			return b
		}
		return platformtest.Answer
	}
}

// always treats every request in a way.
func always(b platformtest.Behaviour) func(platformtest.Seen) platformtest.Behaviour {
	return func(platformtest.Seen) platformtest.Behaviour { return b }
}

// pair starts two servers of the plain service that treat requests alike.
func (s *testbed) startPair(behave func(platformtest.Seen) platformtest.Behaviour) {
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Behave: behave})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService, Behave: behave})
}

// A server dies on a statement that may be fetched once only, after it began.
// The caller must not be told "not run", and no other server may get it: the
// songwriter would be billed twice.
func TestLostAnswerOfUnsafeRequest(t *testing.T) {
	for name, behaviour := range map[string]platformtest.Behaviour{
		"reset": platformtest.Reset, "truncated": platformtest.Truncate, "without digest": platformtest.Unsealed,
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			s.startPair(always(behaviour))
			d := s.startReadyDaemon()
			c := s.newCall(pathUnsafe)
			reply := s.send(c, d)
			require.NoError(t, reply.Err)
			require.Equal(t, http.StatusBadGateway, reply.Status)
			require.Empty(t, reply.RetryAfter)
			require.Len(t, s.serversThatRan(c.ID), 1)
		})
	}
}

// A server's own failure of a request that may not be repeated reaches the
// caller as it is: it ran, so neither "not run" nor another attempt is true.
func TestFailureOfUnsafeRequest(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Behave: always(platformtest.Fail)})
	d := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	reply := s.send(c, d)
	require.Equal(t, http.StatusInternalServerError, reply.Status)
	require.True(t, reply.Sealed)
	require.Equal(t, s.servers["cat-1"].Body(c.ID), reply.Body)
}

// A server refuses a request without running it, or answers before it has read
// the body. Another one may get it, also if it may run once only.
func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	for name, behaviour := range map[string]platformtest.Behaviour{"full": platformtest.Refuse, "early": platformtest.Early} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			s.startPair(firstOnly(behaviour))
			d := s.startReadyDaemon()
			c := s.newCall(pathUnsafe)
			reply := s.send(c, d)
			require.Equal(t, http.StatusOK, reply.Status, reply.Body)
			require.Len(t, s.serversThatRan(c.ID), 1)
		})
	}
}

// Every server refuses. The caller learns at once that the request has not run
// and when to come back, instead of waiting for its deadline.
func TestAllServersRefuse(t *testing.T) {
	s := newTestbed(t)
	s.startPair(always(platformtest.Refuse))
	d := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	reply := s.send(c, d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	after, err := strconv.ParseFloat(reply.RetryAfter, 64)
	require.NoError(t, err)
	require.Positive(t, after)
	require.Empty(t, s.serversThatRan(c.ID))
}

// One of two servers fails, breaks off or spoils the answer to a look-up, which
// may be repeated. The caller gets the whole answer of the other one.
func TestBrokenAnswerOfSafeRequest(t *testing.T) {
	for name, behaviour := range map[string]platformtest.Behaviour{
		"error": platformtest.Fail, "reset": platformtest.Reset, "truncated": platformtest.Truncate, "without digest": platformtest.Unsealed,
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			s.startPair(firstOnly(behaviour))
			d := s.startReadyDaemon()
			c := s.newCall(pathSafe)
			reply := s.send(c, d)
			require.Equal(t, http.StatusOK, reply.Status, reply.Body)
			ran := s.serversThatRan(c.ID)
			require.Len(t, ran, 2)
			require.Contains(t, []string{s.servers["cat-1"].Body(c.ID), s.servers["cat-2"].Body(c.ID)}, reply.Body)
		})
	}
}

// A server answers a request twice on a connection that is kept. The second
// answer must not become the answer to the next caller's request.
func TestDuplicateAnswerIsDiscarded(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Behave: firstOnly(platformtest.Extra)})
	d := s.startReadyDaemon()
	for range 3 {
		c := s.newCall(pathSafe)
		s.requireWholeAnswer(c, s.send(c, d), "cat-1")
	}
}

// An answer that ends with its connection instead of at a stated length is
// whole.
func TestAnswerWithoutLength(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Behave: always(platformtest.NoLength)})
	d := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	s.requireWholeAnswer(c, s.send(c, d), "cat-1")
}

// An engine crashes in the middle of an event. The clerk sees one stream
// without a gap or a repeat: the rest comes from another engine.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	s := newTestbed(t)
	behave := firstOnly(platformtest.CutInside)
	for _, id := range []string{"eng-1", "eng-2"} {
		s.startServer(platformtest.ServerOptions{ID: id, Service: engineService, Events: 6, Behave: behave})
	}
	d := s.startReadyDaemon()
	c := s.newCall(pathStream)
	reply := s.send(c, d)
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(c.ID, 6), reply.Body)
	require.Len(t, s.serversThatRan(c.ID), 2)
}

// The only engine crashes in the middle of an event and nothing can go on. The
// answer must not look complete: the caller's connection is cut.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 6, Behave: always(platformtest.CutInside)})
	d := s.startReadyDaemon()
	reply := s.send(s.newCall(pathStream), d)
	require.Error(t, reply.Err)
}

// The address of a server that is gone was given to a server of another
// service, and the list does not tell yet. The request must not run there.
func TestReusedAddress(t *testing.T) {
	s := newTestbed(t)
	other := s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 3})
	s.store.Put(wire.TableInstances, "cat-old", wire.Instance{
		Service: plainService, Address: other.Address(), Zone: "hall-a", Version: "v1", Slots: 8, State: wire.StateReady,
	})
	d := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	require.Equal(t, http.StatusServiceUnavailable, s.send(c, d).Status)
	require.Empty(t, other.Seen())
}

// A server says that it leaves. Soon after, nothing new reaches it, while the
// other one goes on.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	s := newTestbed(t)
	leaving := s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService})
	d := s.startReadyDaemon()
	leaving.Register(s.store, wire.StateDraining)
	s.waitUntilAvoided(d, "cat-1")
}

// sendsAvoid waits until a daemon's requests avoid a server, and requires that
// they go on to do so.
func (s *testbed) waitUntilAvoided(d *daemon, server string) {
	s.t.Helper()
	const inARow = 20
	sound := 0
	s.eventually(func() error {
		c := s.newCall(pathSafe)
		reply := s.send(c, d)
		require.Equal(s.t, http.StatusOK, reply.Status, reply.Body)
		if reply.Body == s.servers[server].Body(c.ID) {
			sound = 0
			return trace.Errorf("%s still gets requests", server)
		}
		if sound++; sound < inARow {
			return trace.Errorf("only %d in a row", sound)
		}
		return nil
	})
}

// The store forgets its history while a server leaves. The daemon must read the
// whole list again; changes alone would never tell it.
func TestServerLeavesDuringLostHistory(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService})
	d := s.startReadyDaemon()
	s.store.SetFault(platformtest.FaultRefuse)
	s.waitForLog(d, "msg=store.lost")
	s.store.Remove(wire.TableInstances, "cat-1")
	s.store.Compact()
	s.store.SetFault(platformtest.FaultNone)
	s.waitUntilAvoided(d, "cat-1")
}

// An API key is taken away while its holder is connected. Soon after, it opens
// nothing any more; other keys do.
func TestRevokedKey(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	m := newManifest(9)
	m.Tenants[1].APIKeys = nil
	s.store.Declare(m)
	s.waitForLog(d, "msg=config.in_force", "version=9")
	c := s.newCall(pathSafe)
	c.Key = otherKey
	require.Equal(t, http.StatusUnauthorized, s.send(c, d).Status)
	c = s.newCall(pathSafe)
	s.requireWholeAnswer(c, s.send(c, d), "cat-1")
}

// The store is silent when a daemon starts. Alone it knows of no route and must
// say "not run, come back", never that the route or key does not exist.
func TestStartWithoutStore(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.store.SetFault(platformtest.FaultSilent)
	d := s.startDaemon(nil)
	reply := s.send(s.newCall(pathUnsafe), d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.NotEmpty(t, reply.RetryAfter)
	require.False(t, platformtest.Ready(context.Background(), s.client, d.readyAddress))
}

// The store is silent when a daemon restarts beside another one. It takes
// configuration and list from its peer and serves.
func TestRestartWithoutStore(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	first := s.startReadyDaemon()
	s.store.SetFault(platformtest.FaultSilent)
	second := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	s.requireWholeAnswer(c, s.send(c, second), "cat-1")
	require.Contains(t, second.Log(), "source="+first.peerAddress)
}

// A daemon is told to stop while it writes an answer. Callers are no longer
// sent to it, the answer ends whole, and the process ends by itself.
func TestGracefulStop(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 200, Work: 10 * time.Millisecond})
	first, second := s.startReadyDaemon(), s.startReadyDaemon()
	s.waitForDirectory(first, 2)
	c := s.newCall(pathStream)
	got := make(chan platformtest.Reply, 1)
	go func() { got <- s.send(c, second) }()
	s.eventually(func() error {
		if len(s.serversThatRan(c.ID)) == 0 {
			return trace.Errorf("the request has not begun")
		}
		return nil
	})
	second.terminate()
	s.waitForDirectory(first, 1)
	require.False(t, platformtest.Ready(context.Background(), s.client, second.readyAddress))
	reply := <-got
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(c.ID, 200), reply.Body)
	require.Equal(t, 0, second.Wait())
	require.Contains(t, second.Log(), "msg=daemon.stopped cut=0")
}

// entries waits until a daemon's directory names n daemons.
func (s *testbed) waitForDirectory(d *daemon, n int) {
	s.t.Helper()
	s.eventually(func() error {
		addresses, err := platformtest.Entries(context.Background(), s.client, d.directoryAddress, host, "hall-a")
		if err == nil && len(addresses) != n {
			err = trace.Errorf("%d daemons are named, not %d", len(addresses), n)
		}
		return err
	})
}

// A daemon is killed. Its peers notice without the store and leave it out of
// what callers are told.
func TestKilledDaemonLeavesDirectory(t *testing.T) {
	s := newTestbed(t)
	first, second := s.startReadyDaemon(), s.startReadyDaemon()
	s.waitForDirectory(first, 2)
	s.store.SetFault(platformtest.FaultSilent)
	second.Kill()
	s.waitForDirectory(first, 1)
}

// The settings file changes and SIGHUP says so. A daemon without a handler for
// it ends on the spot and cuts every answer under way.
func TestSIGHUPDoesNotEndDaemon(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	d.Signal(syscall.SIGHUP)
	s.waitForLog(d, "msg=settings.reloaded")
	c := s.newCall(pathUnsafe)
	s.requireWholeAnswer(c, s.send(c, d), "cat-1")
}

// Bad settings are refused with the name of the field before anything starts.
func TestSettingsAreChecked(t *testing.T) {
	r := settings.Routes{FailureDomain: "hall-a"}
	require.ErrorContains(t, r.Check(), "/routes/caller_listen")
}

// Two of three daemons read the store for all. Whichever two die, a change of
// the configuration and of the list reaches the third one: it notices that news
// is late and reads by itself.
func TestStoreReadersAreKilled(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService})
	all := []*daemon{s.startReadyDaemon(), s.startReadyDaemon(), s.startReadyDaemon()}
	s.waitForDirectory(all[0], 3)
	all[0].Kill()
	all[2].Kill()
	s.store.Declare(newManifest(11))
	s.servers["cat-1"].Register(s.store, wire.StateDraining)
	s.waitForLog(all[1], "msg=config.in_force", "version=11")
	s.waitUntilAvoided(all[1], "cat-1")
}

// A configuration of a megabyte is not passed on between daemons, whose links
// may be slow; each of them reads it, and it is in force everywhere.
func TestLargeConfiguration(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	all := []*daemon{s.startReadyDaemon(), s.startReadyDaemon(), s.startReadyDaemon()}
	s.waitForDirectory(all[0], 3)
	m := newManifest(12)
	for i := range 4000 {
		r := m.Routes[0]
		r.Name, r.Prefix = fmt.Sprintf("route-%d", i), fmt.Sprintf("/added/%d/", i)
		m.Routes = append(m.Routes, r)
	}
	s.store.Declare(m)
	for _, d := range all {
		s.waitForLog(d, "msg=config.in_force", "version=12")
		c := s.newCall("/added/3999/")
		c.Method = http.MethodGet
		s.requireWholeAnswer(c, s.send(c, d), "cat-1")
	}
}

// Guards against repeats that are spent on instances to which nothing can be sent: a small
// model's answer was dropped, the larger model's instance refused the connection, and the
// caller got 502.
func TestUnreachableInstancesUseNoRetries(t *testing.T) {
	s := newTestbed(t)
	const pieces = 3
	confidence := map[string]int{"small": 2, "large": 90}
	for n := range 4 {
		dead := s.newServer(platformtest.ServerOptions{ID: fmt.Sprint("dead-", n), Service: engineService, Events: pieces})
		dead.Close()
	}
	s.startServer(platformtest.ServerOptions{ID: "live", Service: engineService, Events: pieces, Confidence: confidence})
	d := s.startDaemon(func(r *settings.Routes) {
		// One repeat for each request.
		r.RetryRatio, r.RetrySlack = 1.3, 0
	})
	s.waitForLog(d, "daemon.offered")
	for range 6 {
		c := s.newCall(pathStream)
		reply := s.send(c, d)
		require.NoError(t, reply.Err)
		require.Equal(t, http.StatusOK, reply.Status, "%s\n%s", reply.Body, d.Log())
		require.Equal(t, eventStream(c.ID, pieces), reply.Body)
	}
}
