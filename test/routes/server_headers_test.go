package routes_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// startThreeServers starts three servers of the plain service and returns the first one, which
// has the given RetryAfter and Behave.
func (s *testbed) startThreeServers(retryAfter string, behave func(platformtest.ReceivedRequest) platformtest.Behaviour) *platformtest.Server {
	first := s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, RetryAfter: retryAfter, Behave: behave})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "cat-3", Service: plainService})
	return first
}

// requireServedWithout requires that 40 requests through a daemon are served and that none
// reaches the given server.
func (s *testbed) requireServedWithout(server *platformtest.Server, d *daemon) {
	s.t.Helper()
	const requests = 40
	before := len(server.Received())
	for range requests {
		reply := s.send(s.newCall(pathSafe), d)
		require.Equal(s.t, http.StatusOK, reply.Status, reply.Body)
	}
	require.Equal(s.t, before, len(server.Received()), "requests at the server")
}

// sendUntilReached sends requests through a daemon until one reaches the given server.
func (s *testbed) sendUntilReached(server *platformtest.Server, d *daemon) {
	s.t.Helper()
	before := len(server.Received())
	s.eventually(func() error {
		s.send(s.newCall(pathSafe), d)
		if len(server.Received()) == before {
			return trace.Errorf("the server has received no request")
		}
		return nil
	})
}

// Guards against requests to a server whose answers announce that it is leaving while the
// store is down and its row still has the state "ready". A daemon that relies on the row sends
// requests to the server until the store is back, and they fail when the server ends. The
// answers are newer than any row: neither a row with the state "ready" nor one that is written
// again after its removal brings the server back into use.
func TestServerLeavesWhileStoreIsDown(t *testing.T) {
	s := newTestbed(t)
	leaving := s.startThreeServers("", nil)
	d := s.startReadyDaemon()
	s.store.SetFault(platformtest.FaultHang)
	leaving.Leave()
	s.sendUntilReached(leaving, d)
	s.requireServedWithout(leaving, d)

	s.store.SetFault(platformtest.FaultNone)
	leaving.Register(s.store, wire.StateReady)
	s.store.PutManifest(newManifest(5))
	s.waitForLog(d, "config.in_force", "version=5 ")
	s.requireServedWithout(leaving, d)

	s.store.Remove(wire.TableInstances, "cat-1")
	s.waitUnlisted(d, "cat-1")
	leaving.Register(s.store, wire.StateReady)
	s.store.PutManifest(newManifest(7))
	s.waitForLog(d, "config.in_force", "version=7 ")
	s.startServer(platformtest.ServerOptions{ID: "cat-4", Service: plainService})
	s.sendUntilReached(s.servers["cat-4"], d)
	s.requireServedWithout(leaving, d)
}

// waitUnlisted waits until a daemon no longer lists a server.
func (s *testbed) waitUnlisted(d *daemon, id string) {
	s.t.Helper()
	s.eventually(func() error {
		for _, v := range s.status(d).List.Instances[plainService] {
			if v.Instance.ID == id {
				return trace.Errorf("%s is still listed", id)
			}
		}
		return nil
	})
}

// Guards against requests to an overloaded server that has refused one with Retry-After: 3. A
// daemon that ignores the header goes on sending it a third of all its requests, and the server
// refuses each of them.
func TestRetryAfterIsObeyed(t *testing.T) {
	s := newTestbed(t)
	busy := s.startThreeServers("3", firstOnly(platformtest.RefuseWithRetryAfter))
	d := s.startReadyDaemon()
	s.sendUntilReached(busy, d)
	s.requireServedWithout(busy, d)
}

// Guards against servers that stay out of use after their Retry-After has passed, and against
// ones that are left out because of an invalid value. Fractions of a second count.
func TestRetryAfterExpires(t *testing.T) {
	for _, retryAfter := range []string{"0.2", "-5", "soon", "NaN"} {
		t.Run(retryAfter, func(t *testing.T) {
			s := newTestbed(t)
			busy := s.startThreeServers(retryAfter, firstOnly(platformtest.RefuseWithRetryAfter))
			d := s.startReadyDaemon()
			s.sendUntilReached(busy, d)
			s.sendUntilReached(busy, d)
		})
	}
}

// Guards against callers that wait until their deadline, or get a wrong Retry-After, when all
// servers of a service have sent Retry-After. The answer must come at once, with the
// Retry-After of the server that is available first.
func TestAllServersSendRetryAfter(t *testing.T) {
	s := newTestbed(t)
	for id, retryAfter := range map[string]string{"cat-1": "30", "cat-2": "7.5"} {
		s.startServer(platformtest.ServerOptions{ID: id, Service: plainService, RetryAfter: retryAfter, Behave: always(platformtest.RefuseWithRetryAfter)})
	}
	d := s.startReadyDaemon()
	s.eventually(func() error {
		s.send(s.newCall(pathSafe), d)
		if len(s.servers["cat-1"].Received()) == 0 || len(s.servers["cat-2"].Received()) == 0 {
			return trace.Errorf("a server has received no request yet")
		}
		return nil
	})
	c := s.newCall(pathUnsafe)
	reply := s.send(c, d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Empty(t, s.serversThatRan(c.ID))
	after, err := strconv.ParseFloat(reply.RetryAfter, 64)
	require.NoError(t, err)
	require.InDelta(t, 7.5, after, 5)
	for _, server := range s.servers {
		require.Len(t, server.Received(), 1)
	}
}

// Guards against a daemon that uses a leaving server although another daemon knows of it. The
// daemon that got the answer must inform the others before they ask the server or the store.
func TestLeavingServerIsAnnouncedToPeers(t *testing.T) {
	s := newTestbed(t)
	leaving := s.startThreeServers("", nil)
	first, second := s.startReadyDaemon(), s.startReadyDaemon()
	s.store.SetFault(platformtest.FaultHang)
	leaving.Leave()
	s.sendUntilReached(leaving, first)
	s.waitForLog(second, "instance.leaving", "instance=cat-1")
	s.requireServedWithout(leaving, second)
}

// status returns the status that a daemon reports to operators.
func (s *testbed) status(d *daemon) entry.DaemonStatus {
	s.t.Helper()
	status, err := s.fetchStatus(d)
	require.NoError(s.t, err)
	return status
}

// fetchStatus is like status but returns an error, for a daemon that may have exited.
func (s *testbed) fetchStatus(d *daemon) (status entry.DaemonStatus, err error) {
	resp, err := s.client.Get("http://" + d.metricsAddress + entry.StatusPath)
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status, err
}
