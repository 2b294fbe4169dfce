package routes_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// allowed is the time that roll-outs of these tests get.
const allowed = 8 * time.Second

// traffic sends sessions of two requests each to all daemons until stopped.
func (s *site) traffic(workers int) (stop func()) {
	return repeatedly(workers, func(int) {
		session := s.call(pathTurns).ID
		for i := range 2 {
			c := s.call(pathTurns)
			c.Session = session
			s.send(c, s.daemons[i%len(s.daemons)])
		}
	})
}

func (s *site) told(service, state string) {
	s.t.Helper()
	s.eventually(func() error {
		if got := s.store.Rollout(service); got != state {
			return trace.Errorf("the operator was told %q, not %q", got, state)
		}
		return nil
	})
}

// A good version is brought in while clerks work. The operator learns that it
// is completed, every request is answered, and afterwards only the new version
// gets any.
func TestGoodVersionIsCompleted(t *testing.T) {
	s := newSite(t)
	old := s.server(platformtest.ServerOptions{ID: "old", Service: engines, Events: 3, Work: time.Millisecond})
	s.serving()
	s.serving()
	stop := s.traffic(4)
	defer stop()
	s.server(platformtest.ServerOptions{ID: "new", Service: engines, Version: "v2", Events: 3, Work: time.Millisecond})
	s.store.Order(engines, "v2", allowed)
	s.told(engines, "running")
	s.told(engines, "completed")
	before := len(old.Seen())
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(s.call(pathTurns), s.daemons[0]).Status)
	}
	require.Len(t, old.Seen(), before)
}

// A version that fails most requests is rolled back by itself, after a small
// part of the requests has met it, and gets nothing any more. The daemon that
// holds the duty is killed on the way; another one goes on from what is stored.
func TestBadVersionIsRolledBack(t *testing.T) {
	s := newSite(t)
	s.server(platformtest.ServerOptions{ID: "old", Service: engines, Events: 3, Work: time.Millisecond})
	first, second := s.serving(), s.serving()
	s.entries(first, 2)
	stop := s.traffic(4)
	defer stop()
	bad := s.server(platformtest.ServerOptions{ID: "new", Service: engines, Version: "v2", Events: 3, Behave: always(platformtest.Fail)})
	s.store.Order(engines, "v2", allowed)
	s.told(engines, "running")
	holder := first
	s.eventually(func() error {
		for _, d := range []*daemon{first, second} {
			if d.logsContain("msg=duty.changed", "held=true") {
				holder = d
				return nil
			}
		}
		return trace.Errorf("no daemon holds the duty")
	})
	holder.Kill()
	s.told(engines, "rolled_back")
	before := len(bad.Seen())
	survivor := first
	if holder == first {
		survivor = second
	}
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(s.call(pathTurns), survivor).Status)
	}
	require.Len(t, bad.Seen(), before)
}

// A bad version was rolled back and the next one is ordered while servers of the
// bad one still run. None of the sessions may meet the bad version again.
func TestRolledBackVersionIsNotOldForTheNextOrder(t *testing.T) {
	s := newSite(t)
	s.server(platformtest.ServerOptions{ID: "old", Service: engines, Events: 3, Work: time.Millisecond})
	s.serving()
	stop := s.traffic(4)
	defer stop()
	bad := s.server(platformtest.ServerOptions{ID: "bad", Service: engines, Version: "v2", Events: 3, Behave: always(platformtest.Fail)})
	s.store.Order(engines, "v2", allowed)
	s.told(engines, "rolled_back")
	before := len(bad.Seen())
	s.server(platformtest.ServerOptions{ID: "next", Service: engines, Version: "v3", Events: 3, Work: time.Millisecond})
	s.store.Order(engines, "v3", allowed)
	s.told(engines, "completed")
	require.Len(t, bad.Seen(), before)
}

// The few instances that try a new version are gone all at once. Requests that
// would have gone there are answered by the old version instead of refused.
func TestNewVersionsInstancesAreGone(t *testing.T) {
	s := newSite(t)
	s.server(platformtest.ServerOptions{ID: "old", Service: engines, Events: 3, Work: time.Millisecond})
	d := s.serving()
	dead := s.server(platformtest.ServerOptions{ID: "new", Service: engines, Version: "v2", Events: 3})
	dead.Close()
	s.store.Order(engines, "v2", allowed)
	s.logged(d, "msg=rollout.state", "share=0.045")
	for range 60 {
		reply := s.send(s.call(pathTurns), d)
		require.Equal(t, http.StatusOK, reply.Status, reply.Body)
	}
}

// All daemons lose power after a roll-out was completed and the old servers are
// gone. The daemons that start again know from the store that it is completed
// and serve at once; with the order alone they took it for one that has just
// begun and refused everything for as long as the dead holder's lease lasted.
func TestRestartOfAllDaemonsAfterARollout(t *testing.T) {
	s := newSite(t)
	old := s.server(platformtest.ServerOptions{ID: "old", Service: engines, Events: 3, Work: time.Millisecond})
	first := s.serving()
	stop := s.traffic(2)
	s.server(platformtest.ServerOptions{ID: "new", Service: engines, Version: "v2", Events: 3, Work: time.Millisecond})
	s.store.Order(engines, "v2", allowed)
	s.told(engines, "completed")
	stop()
	s.store.Remove(wire.TableInstances, "old")
	old.Close()
	first.Kill()
	s.daemons = nil
	again := s.serving()
	reply := s.send(s.call(pathTurns), again)
	require.Equal(t, http.StatusOK, reply.Status, reply.Body)
	require.Contains(t, again.line("msg=rollout.state"), "phase=completed")
}

// The only daemon loses power in the middle of a roll-out. The one that starts
// again finds order and state in the store, but not when the order was given, and
// counted the time allowed from its own start: the operator was told late.
func TestRestartInTheMiddleOfARollout(t *testing.T) {
	s := newSite(t)
	s.server(platformtest.ServerOptions{ID: "old", Service: engines, Events: 3, Work: time.Millisecond})
	first := s.serving()
	s.server(platformtest.ServerOptions{ID: "new", Service: engines, Version: "v2", Events: 3, Work: time.Millisecond})
	s.store.Order(engines, "v2", allowed)
	s.logged(first, "msg=rollout.state", "share=0.045")
	first.Kill()
	s.daemons = nil
	again := s.serving()
	_, text, _ := strings.Cut(s.logged(again, "msg=rollout.aged"), "age_ms=")
	age, err := strconv.Atoi(strings.Fields(text)[0])
	require.NoError(t, err)
	// The first share opens 1.2 s after the order.
	require.GreaterOrEqual(t, age, 1200)
	s.told(engines, "completed")
}

// The store turns the daemon that holds the duty away in the middle of a roll-out
// and serves all others. The holder goes on through its peers, and the operator
// is told in time. Without that its lease lapsed, and another daemon took the
// duty seven seconds later.
func TestHolderIsTurnedAwayByTheStore(t *testing.T) {
	s := newSite(t)
	s.server(platformtest.ServerOptions{ID: "old", Service: engines, Events: 3, Work: time.Millisecond})
	proxies := map[*daemon]*cluster.Proxy{}
	for range 3 {
		proxy, err := cluster.NewProxy(s.address)
		require.NoError(t, err)
		t.Cleanup(proxy.Close)
		d := s.start(func(r *settings.Routes) { r.Platform = proxy.Address() })
		proxies[d] = proxy
		s.logged(d, "msg=daemon.offered")
	}
	s.entries(s.daemons[0], 3)
	s.server(platformtest.ServerOptions{ID: "new", Service: engines, Version: "v2", Events: 3, Work: time.Millisecond})
	s.store.Order(engines, "v2", allowed)
	s.told(engines, "running")
	holders := func() (out []*daemon) {
		for _, d := range s.daemons {
			if d.logsContain("msg=duty.changed", "held=true") {
				out = append(out, d)
			}
		}
		return out
	}
	require.Len(t, holders(), 1)
	holder := holders()[0]
	proxies[holder].Cut()
	s.told(engines, "completed")
	require.Equal(t, []*daemon{holder}, holders())
	require.True(t, holder.logsContain("msg=store.relayed"))
}

// A version turns bad while the store is away, and the daemon that holds the duty is
// killed: nobody can take its lease. Callers of one daemon meet the failures. That
// daemon and the others must stop using the version all the same, also a daemon that
// has seen none of them; it went on to the end of the outage and beyond.
func TestBadVersionIsStoppedWithoutHolderAndStore(t *testing.T) {
	s := newSite(t)
	s.server(platformtest.ServerOptions{ID: "old", Service: engines, Events: 3, Work: time.Millisecond})
	all := []*daemon{s.serving(), s.serving(), s.serving()}
	s.entries(all[0], 3)
	var turned atomic.Bool
	bad := s.server(platformtest.ServerOptions{ID: "new", Service: engines, Version: "v2", Events: 3,
		Behave: func(platformtest.Seen) platformtest.Behaviour {
			if turned.Load() {
				return platformtest.Fail
			}
			return platformtest.Answer
		}})
	const long = time.Minute
	s.store.Order(engines, "v2", long)
	s.told(engines, "running")
	var holder *daemon
	s.eventually(func() error {
		for _, d := range all {
			if d.logsContain("msg=duty.changed", "held=true") {
				holder = d
			}
			if !d.logsContain("msg=rollout.state", "phase=running") {
				return trace.Errorf("%s does not know the first share", d.Name)
			}
		}
		return nil
	})
	s.store.SetFault(platformtest.FaultRefuse)
	holder.Kill()
	turned.Store(true)
	others := slices.DeleteFunc(all, func(d *daemon) bool { return d == holder })
	busy, idle := others[0], others[1]
	s.eventually(func() error {
		s.send(s.call(pathTurns), busy)
		if !idle.logsContain("msg=rollout.state", "stopped=true") && !idle.logsContain("msg=rollout.stopped") {
			return trace.Errorf("%s was not told to stop\n%s", idle.Name, idle.Log())
		}
		return nil
	})
	before := len(bad.Seen())
	for range 60 {
		require.Equal(t, http.StatusOK, s.send(s.call(pathTurns), idle).Status)
	}
	require.Len(t, bad.Seen(), before)
}
