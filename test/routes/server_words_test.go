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
func (s *site) threeServers(rest string, behave func(platformtest.Seen) platformtest.Behaviour) *platformtest.Server {
	first := s.server(platformtest.ServerOptions{ID: "cat-1", Service: plain, Rest: rest, Behave: behave})
	s.server(platformtest.ServerOptions{ID: "cat-2", Service: plain})
	s.server(platformtest.ServerOptions{ID: "cat-3", Service: plain})
	return first
}

// servedWithout requires that requests are served, and that none of them reaches a server.
func (s *site) servedWithout(server *platformtest.Server, d *daemon) {
	s.t.Helper()
	const requests = 40
	before := len(server.Seen())
	for range requests {
		reply := s.send(s.call(pathSafe), d)
		require.Equal(s.t, http.StatusOK, reply.Status, reply.Body)
	}
	require.Equal(s.t, before, len(server.Seen()), "requests at the server")
}

// reached sends requests until a server has got one from a daemon.
func (s *site) reached(server *platformtest.Server, d *daemon) {
	s.t.Helper()
	before := len(server.Seen())
	s.eventually(func() error {
		s.send(s.call(pathSafe), d)
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
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	s := newSite(t)
	leaving := s.threeServers("", nil)
	d := s.serving()
	s.store.SetFault(platformtest.FaultSilent)
	leaving.Leave()
	s.reached(leaving, d)
	s.servedWithout(leaving, d)

	s.store.SetFault(platformtest.FaultNone)
	leaving.Register(s.store, wire.StateReady)
	s.store.Declare(declaration(5))
	s.logged(d, "config.in_force", "version=5 ")
	s.servedWithout(leaving, d)

	s.store.Remove(wire.TableInstances, "cat-1")
	s.gone(d, "cat-1")
	leaving.Register(s.store, wire.StateReady)
	s.store.Declare(declaration(7))
	s.logged(d, "config.in_force", "version=7 ")
	s.server(platformtest.ServerOptions{ID: "cat-4", Service: plain})
	s.reached(s.servers["cat-4"], d)
	s.servedWithout(leaving, d)
}

// gone waits until a daemon holds a server for gone.
func (s *site) gone(d *daemon, id string) {
	s.t.Helper()
	s.eventually(func() error {
		for _, v := range s.beliefs(d).List.Instances[plain] {
			if v.Instance.ID == id {
				return trace.Errorf("%s is still listed", id)
			}
		}
		return nil
	})
}

// A server is overrun and turns a request away: it wants nothing for three seconds. The
// daemon went on sending to it, a third of all its requests, each refused in turn.
func TestServerThatAsksForRestGetsNone(t *testing.T) {
	s := newSite(t)
	busy := s.threeServers("3", firstOnly(platformtest.Rest))
	d := s.serving()
	s.reached(busy, d)
	s.servedWithout(busy, d)
}

// The time for which a server wants nothing is over: it is used again. Parts of a second
// count, and what is no time at all is no reason to leave a server out.
func TestRestIsOver(t *testing.T) {
	for _, rest := range []string{"0.2", "-5", "soon", "NaN"} {
		t.Run(rest, func(t *testing.T) {
			s := newSite(t)
			busy := s.threeServers(rest, firstOnly(platformtest.Rest))
			d := s.serving()
			s.reached(busy, d)
			s.reached(busy, d)
		})
	}
}

// All servers of a service want nothing for a while. Callers are told at once, and when the
// first of them can be asked again.
func TestAllServersAskForRest(t *testing.T) {
	s := newSite(t)
	for id, rest := range map[string]string{"cat-1": "30", "cat-2": "7.5"} {
		s.server(platformtest.ServerOptions{ID: id, Service: plain, Rest: rest, Behave: always(platformtest.Rest)})
	}
	d := s.serving()
	s.eventually(func() error {
		s.send(s.call(pathSafe), d)
		if len(s.servers["cat-1"].Seen()) == 0 || len(s.servers["cat-2"].Seen()) == 0 {
			return trace.Errorf("one was not asked yet")
		}
		return nil
	})
	c := s.call(pathOnce)
	reply := s.send(c, d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Empty(t, s.runs(c.ID))
	after, err := strconv.ParseFloat(reply.RetryAfter, 64)
	require.NoError(t, err)
	require.InDelta(t, 7.5, after, 5)
	for _, server := range s.servers {
		require.Len(t, server.Seen(), 1)
	}
}

// A daemon hears from a server that it leaves. The others hear it from that daemon, before
// any of them asks the server or the store.
func TestPeersHearThatAServerLeaves(t *testing.T) {
	s := newSite(t)
	leaving := s.threeServers("", nil)
	first, second := s.serving(), s.serving()
	s.store.SetFault(platformtest.FaultSilent)
	leaving.Leave()
	s.reached(leaving, first)
	s.logged(second, "instance.leaving", "instance=cat-1")
	s.servedWithout(leaving, second)
}

// beliefs asks a daemon what it believes.
func (s *site) beliefs(d *daemon) entry.Beliefs {
	s.t.Helper()
	b, err := s.askBeliefs(d)
	require.NoError(s.t, err)
	return b
}

// askBeliefs is beliefs for a daemon that may have ended.
func (s *site) askBeliefs(d *daemon) (b entry.Beliefs, err error) {
	resp, err := s.client.Get("http://" + d.metrics + entry.BeliefsPath)
	if err != nil {
		return b, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&b)
	return b, err
}
