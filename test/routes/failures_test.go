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

// firstOnly returns a Behave function that applies b to the first request of all servers that
// share the function, and answers the other requests.
func firstOnly(b platformtest.Behaviour) func(platformtest.ReceivedRequest) platformtest.Behaviour {
	var count atomic.Int64
	return func(platformtest.ReceivedRequest) platformtest.Behaviour {
		if count.Add(1) == 1 {
			return b
		}
		return platformtest.Answer
	}
}

// always returns a Behave function that applies b to every request.
func always(b platformtest.Behaviour) func(platformtest.ReceivedRequest) platformtest.Behaviour {
	return func(platformtest.ReceivedRequest) platformtest.Behaviour { return b }
}

// startPair starts two servers of the plain service that share a Behave function.
func (s *testbed) startPair(behave func(platformtest.ReceivedRequest) platformtest.Behaviour) {
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Behave: behave})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService, Behave: behave})
}

// Guards against unsafe requests that run twice, or that are reported as not run, when the
// server fails after the request has begun. Two runs would bill the customer twice.
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

// Guards against a 500 answer to an unsafe request that is retried or replaced by an error
// that says that the request did not run. The request ran, so the caller must get the answer
// of the server unchanged.
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

// Guards against unsafe requests that fail although a server refused them without running
// them, or answered before it read the body. Such requests may be sent to another server.
func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	for name, behaviour := range map[string]platformtest.Behaviour{"full": platformtest.Refuse, "early": platformtest.RefuseEarly} {
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

// Guards against callers that wait for their deadline when every server refuses. The answer
// must come at once, with Retry-After, and mean that the request did not run.
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

// Guards against broken answers to safe requests that reach the caller: one of two servers
// answers 500, resets the connection, truncates the answer or omits its digest. The caller
// must get the whole answer of the other server.
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

// Guards against a second answer on a keep-alive connection that is taken for the answer to
// the next request, which may be of another caller.
func TestDuplicateAnswerIsDiscarded(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Behave: firstOnly(platformtest.DuplicateAnswer)})
	d := s.startReadyDaemon()
	for range 3 {
		c := s.newCall(pathSafe)
		s.requireWholeAnswer(c, s.send(c, d), "cat-1")
	}
}

// Guards against treating an answer without Content-Length, which ends when the connection is
// closed, as truncated.
func TestAnswerWithoutLength(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Behave: always(platformtest.NoLength)})
	d := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	s.requireWholeAnswer(c, s.send(c, d), "cat-1")
}

// Guards against gaps or repeated events in a stream whose engine crashes inside an event, and
// which another engine resumes.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	s := newTestbed(t)
	behave := firstOnly(platformtest.CutInsideEvent)
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

// Guards against a broken stream that looks complete to the caller. When the only engine
// crashes inside an event, the connection to the caller must be cut.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 6, Behave: always(platformtest.CutInsideEvent)})
	d := s.startReadyDaemon()
	reply := s.send(s.newCall(pathStream), d)
	require.Error(t, reply.Err)
}

// Guards against requests that run on a server of another service, which got the address of a
// server that is gone but still listed.
func TestReusedAddress(t *testing.T) {
	s := newTestbed(t)
	other := s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 3})
	s.store.Put(wire.TableInstances, "cat-old", wire.Instance{
		Service: plainService, Address: other.Address(), Zone: "hall-a", Version: "v1", Slots: 8, State: wire.StateReady,
	})
	d := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	require.Equal(t, http.StatusServiceUnavailable, s.send(c, d).Status)
	require.Empty(t, other.Received())
}

// Guards against new requests to a server whose row says that it is draining.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	s := newTestbed(t)
	leaving := s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService})
	d := s.startReadyDaemon()
	leaving.Register(s.store, wire.StateDraining)
	s.waitUntilAvoided(d, "cat-1")
}

// waitUntilAvoided sends requests through a daemon until 20 in a row were served by other
// servers than the given one.
func (s *testbed) waitUntilAvoided(d *daemon, server string) {
	s.t.Helper()
	const inARow = 20
	avoided := 0
	s.eventually(func() error {
		c := s.newCall(pathSafe)
		reply := s.send(c, d)
		require.Equal(s.t, http.StatusOK, reply.Status, reply.Body)
		if reply.Body == s.servers[server].Body(c.ID) {
			avoided = 0
			return trace.Errorf("%s still gets requests", server)
		}
		if avoided++; avoided < inARow {
			return trace.Errorf("only %d requests in a row were served elsewhere", avoided)
		}
		return nil
	})
}

// Guards against a removed server that stays listed because the store dropped the history of
// its removal during an outage. The daemon must read the whole list again.
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

// Guards against a revoked API key that is still accepted, and against other keys that are
// refused after the change.
func TestRevokedKey(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	m := newManifest(9)
	m.Tenants[1].APIKeys = nil
	s.store.PutManifest(m)
	s.waitForLog(d, "msg=config.in_force", "version=9")
	c := s.newCall(pathSafe)
	c.Key = otherKey
	require.Equal(t, http.StatusUnauthorized, s.send(c, d).Status)
	c = s.newCall(pathSafe)
	s.requireWholeAnswer(c, s.send(c, d), "cat-1")
}

// Guards against a daemon that starts while the store does not answer and tells callers that
// their route or key does not exist. It must answer 503 with Retry-After and not be ready.
func TestStartWithoutStore(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.store.SetFault(platformtest.FaultHang)
	d := s.startDaemon(nil)
	reply := s.send(s.newCall(pathUnsafe), d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.NotEmpty(t, reply.RetryAfter)
	require.False(t, platformtest.Ready(context.Background(), s.client, d.readyAddress))
}

// Guards against a daemon that cannot start while the store does not answer although a peer
// runs. It must take the configuration and the list of instances from its peer.
func TestRestartWithoutStore(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	first := s.startReadyDaemon()
	s.store.SetFault(platformtest.FaultHang)
	second := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	s.requireWholeAnswer(c, s.send(c, second), "cat-1")
	require.Contains(t, second.Log(), "source="+first.peerAddress)
}

// Guards against answers that are cut when a daemon gets SIGTERM. It must leave the directory
// and stop being ready, finish the answers in progress, and exit.
func TestGracefulStop(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 200, Delay: 10 * time.Millisecond})
	first, second := s.startReadyDaemon(), s.startReadyDaemon()
	s.waitForDirectory(first, 2)
	c := s.newCall(pathStream)
	got := make(chan platformtest.Reply, 1)
	go func() { got <- s.send(c, second) }()
	s.eventually(func() error {
		if len(s.serversThatRan(c.ID)) == 0 {
			return trace.Errorf("the request has not started")
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

// waitForDirectory waits until the directory of a daemon returns n daemons.
func (s *testbed) waitForDirectory(d *daemon, n int) {
	s.t.Helper()
	s.eventually(func() error {
		addresses, err := platformtest.ResolveDaemons(context.Background(), s.client, d.directoryAddress, host, "hall-a")
		if err == nil && len(addresses) != n {
			err = trace.Errorf("the directory returns %d daemons, want %d", len(addresses), n)
		}
		return err
	})
}

// Guards against a killed daemon that stays in the directory while the store does not answer.
// The other daemons must detect its failure themselves.
func TestKilledDaemonLeavesDirectory(t *testing.T) {
	s := newTestbed(t)
	first, second := s.startReadyDaemon(), s.startReadyDaemon()
	s.waitForDirectory(first, 2)
	s.store.SetFault(platformtest.FaultHang)
	second.Kill()
	s.waitForDirectory(first, 1)
}

// Guards against a daemon without a handler for SIGHUP: the signal, which asks it to reload
// its settings, would end the process and cut all answers in progress.
func TestSIGHUPDoesNotEndDaemon(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	d.Signal(syscall.SIGHUP)
	s.waitForLog(d, "msg=settings.reloaded")
	c := s.newCall(pathUnsafe)
	s.requireWholeAnswer(c, s.send(c, d), "cat-1")
}

// Guards against invalid settings that are accepted, or refused without the path of the field.
func TestSettingsAreChecked(t *testing.T) {
	r := settings.Routes{FailureDomain: "hall-a"}
	require.ErrorContains(t, r.Check(), "/routes/caller_listen")
}

// Guards against changes that no longer arrive when the daemons that read the store for the
// others fail. Two of three daemons read it; when two are killed, the third one must notice
// that updates are late and read the store itself.
func TestStoreReadersAreKilled(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService})
	all := []*daemon{s.startReadyDaemon(), s.startReadyDaemon(), s.startReadyDaemon()}
	s.waitForDirectory(all[0], 3)
	all[0].Kill()
	all[2].Kill()
	s.store.PutManifest(newManifest(11))
	s.servers["cat-1"].Register(s.store, wire.StateDraining)
	s.waitForLog(all[1], "msg=config.in_force", "version=11")
	s.waitUntilAvoided(all[1], "cat-1")
}

// Guards against a configuration of about a megabyte that some daemons never get. Daemons do
// not forward one of this size to each other, since links between them may be slow; each reads
// it from the store.
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
	s.store.PutManifest(m)
	for _, d := range all {
		s.waitForLog(d, "msg=config.in_force", "version=12")
		c := s.newCall("/added/3999/")
		c.Method = http.MethodGet
		s.requireWholeAnswer(c, s.send(c, d), "cat-1")
	}
}

// Guards against the retry budget being spent on instances that refuse the connection: the
// answer of the small model is discarded, the instance of the large model refuses the
// connection, no retry is left, and the caller gets 502.
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
		// Allows one retry for each request.
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
