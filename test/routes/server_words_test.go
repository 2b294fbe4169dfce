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

// threeServers starts three servers of the plain service; the first treats requests so.
func (s *testbed) startThreeServers(rest string, behave func(platformtest.Seen) platformtest.Behaviour) *platformtest.Server {
	first := s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Rest: rest, Behave: behave})
	s.startServer(platformtest.ServerOptions{ID: "cat-2", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "cat-3", Service: plainService})
	return first
}

// servedWithout requires that requests are served, and that none of them reaches a server.
func (s *testbed) requireServedWithout(server *platformtest.Server, d *daemon) {
	s.t.Helper()
	const requests = 40
	before := len(server.Seen())
	for range requests {
		reply := s.send(s.newCall(pathSafe), d)
		require.Equal(s.t, http.StatusOK, reply.Status, reply.Body)
	}
	require.Equal(s.t, before, len(server.Seen()), "requests at the server")
}

// reached sends requests until a server has got one from a daemon.
func (s *testbed) sendUntilReached(server *platformtest.Server, d *daemon) {
	s.t.Helper()
	before := len(server.Seen())
	s.eventually(func() error {
		s.send(s.newCall(pathSafe), d)
		if len(server.Seen()) == before {
			return trace.Errorf("the server got nothing")
		}
		return nil
	})
}

// A server begins to leave while the store is away. Its row cannot say so, but each of its
// answers does. A daemon that had passed on such an answer went on sending to it for five
// seconds, until the store was back: requests ran into its end. What an answer says is
// newer than any row, so an older row that says "ready", or comes back after it
// lapsed, undoes nothing either.
func TestServerLeavesWhileStoreIsDown(t *testing.T) {
	s := newTestbed(t)
	leaving := s.startThreeServers("", nil)
	d := s.startReadyDaemon()
	s.store.SetFault(platformtest.FaultSilent)
	leaving.Leave()
	s.sendUntilReached(leaving, d)
	s.requireServedWithout(leaving, d)

	s.store.SetFault(platformtest.FaultNone)
	leaving.Register(s.store, wire.StateReady)
	s.store.Declare(newManifest(5))
	s.waitForLog(d, "config.in_force", "version=5 ")
	s.requireServedWithout(leaving, d)

	s.store.Remove(wire.TableInstances, "cat-1")
	s.waitUnlisted(d, "cat-1")
	leaving.Register(s.store, wire.StateReady)
	s.store.Declare(newManifest(7))
	s.waitForLog(d, "config.in_force", "version=7 ")
	s.startServer(platformtest.ServerOptions{ID: "cat-4", Service: plainService})
	s.sendUntilReached(s.servers["cat-4"], d)
	s.requireServedWithout(leaving, d)
}

// gone waits until a daemon holds a server for gone.
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

// A server is overrun and turns a request away: it wants nothing for three seconds. The
// daemon went on sending to it, a third of all its requests, each refused in turn.
func TestRetryAfterIsObeyed(t *testing.T) {
	s := newTestbed(t)
	busy := s.startThreeServers("3", firstOnly(platformtest.Rest))
	d := s.startReadyDaemon()
	s.sendUntilReached(busy, d)
	s.requireServedWithout(busy, d)
}

// The time for which a server wants nothing is over: it is used again. Parts of a second
// count, and what is no time at all is no reason to leave a server out.
func TestRetryAfterExpires(t *testing.T) {
	for _, rest := range []string{"0.2", "-5", "soon", "NaN"} {
		t.Run(rest, func(t *testing.T) {
			s := newTestbed(t)
			busy := s.startThreeServers(rest, firstOnly(platformtest.Rest))
			d := s.startReadyDaemon()
			s.sendUntilReached(busy, d)
			s.sendUntilReached(busy, d)
		})
	}
}

// All servers of a service want nothing for a while. Callers are told at once, and when the
// first of them can be asked again.
func TestAllServersSendRetryAfter(t *testing.T) {
	s := newTestbed(t)
	for id, rest := range map[string]string{"cat-1": "30", "cat-2": "7.5"} {
		s.startServer(platformtest.ServerOptions{ID: id, Service: plainService, Rest: rest, Behave: always(platformtest.Rest)})
	}
	d := s.startReadyDaemon()
	s.eventually(func() error {
		s.send(s.newCall(pathSafe), d)
		if len(s.servers["cat-1"].Seen()) == 0 || len(s.servers["cat-2"].Seen()) == 0 {
			return trace.Errorf("one was not asked yet")
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
		require.Len(t, server.Seen(), 1)
	}
}

// A daemon hears from a server that it leaves. The others hear it from that daemon, before
// any of them asks the server or the store.
func TestLeavingServerIsAnnouncedToPeers(t *testing.T) {
	s := newTestbed(t)
	leaving := s.startThreeServers("", nil)
	first, second := s.startReadyDaemon(), s.startReadyDaemon()
	s.store.SetFault(platformtest.FaultSilent)
	leaving.Leave()
	s.sendUntilReached(leaving, first)
	s.waitForLog(second, "instance.leaving", "instance=cat-1")
	s.requireServedWithout(leaving, second)
}

// beliefs asks a daemon what it believes.
func (s *testbed) status(d *daemon) entry.Beliefs {
	s.t.Helper()
	b, err := s.fetchStatus(d)
	require.NoError(s.t, err)
	return b
}

// askBeliefs is beliefs for a daemon that may have ended.
func (s *testbed) fetchStatus(d *daemon) (b entry.Beliefs, err error) {
	resp, err := s.client.Get("http://" + d.metricsAddress + entry.BeliefsPath)
	if err != nil {
		return b, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&b)
	return b, err
}
