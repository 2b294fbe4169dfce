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
const rolloutTime = 8 * time.Second

// traffic sends sessions of two requests each to all daemons until stopped.
func (s *testbed) startSessions(workers int) (stop func()) {
	return runWorkers(workers, func(int) {
		session := s.newCall(pathStream).ID
		for i := range 2 {
			c := s.newCall(pathStream)
			c.Session = session
			s.send(c, s.daemons[i%len(s.daemons)])
		}
	})
}

func (s *testbed) waitRolloutState(service, state string) {
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
func TestGoodVersionIsRolledOut(t *testing.T) {
	s := newTestbed(t)
	old := s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Work: time.Millisecond})
	s.startReadyDaemon()
	s.startReadyDaemon()
	stop := s.startSessions(4)
	defer stop()
	s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Work: time.Millisecond})
	s.store.Order(engineService, "v2", rolloutTime)
	s.waitRolloutState(engineService, "running")
	s.waitRolloutState(engineService, "completed")
	before := len(old.Seen())
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(s.newCall(pathStream), s.daemons[0]).Status)
	}
	require.Len(t, old.Seen(), before)
}

// A version that fails most requests is rolled back by itself, after a small
// part of the requests has met it, and gets nothing any more. The daemon that
// holds the duty is killed on the way; another one goes on from what is stored.
func TestBadVersionIsRolledBack(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Work: time.Millisecond})
	first, second := s.startReadyDaemon(), s.startReadyDaemon()
	s.waitForDirectory(first, 2)
	stop := s.startSessions(4)
	defer stop()
	bad := s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Behave: always(platformtest.Fail)})
	s.store.Order(engineService, "v2", rolloutTime)
	s.waitRolloutState(engineService, "running")
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
	s.waitRolloutState(engineService, "rolled_back")
	before := len(bad.Seen())
	survivor := first
	if holder == first {
		survivor = second
	}
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(s.newCall(pathStream), survivor).Status)
	}
	require.Len(t, bad.Seen(), before)
}

// A bad version was rolled back and the next one is ordered while servers of the
// bad one still run. None of the sessions may meet the bad version again.
func TestRolledBackVersionGetsNoRequestsInNextRollout(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Work: time.Millisecond})
	s.startReadyDaemon()
	stop := s.startSessions(4)
	defer stop()
	bad := s.startServer(platformtest.ServerOptions{ID: "bad", Service: engineService, Version: "v2", Events: 3, Behave: always(platformtest.Fail)})
	s.store.Order(engineService, "v2", rolloutTime)
	s.waitRolloutState(engineService, "rolled_back")
	before := len(bad.Seen())
	s.startServer(platformtest.ServerOptions{ID: "next", Service: engineService, Version: "v3", Events: 3, Work: time.Millisecond})
	s.store.Order(engineService, "v3", rolloutTime)
	s.waitRolloutState(engineService, "completed")
	require.Len(t, bad.Seen(), before)
}

// The few instances that try a new version are gone all at once. Requests that
// would have gone there are answered by the old version instead of refused.
func TestNewVersionIsUnreachable(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Work: time.Millisecond})
	d := s.startReadyDaemon()
	dead := s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3})
	dead.Close()
	s.store.Order(engineService, "v2", rolloutTime)
	s.waitForLog(d, "msg=rollout.state", "share=0.045")
	for range 60 {
		reply := s.send(s.newCall(pathStream), d)
		require.Equal(t, http.StatusOK, reply.Status, reply.Body)
	}
}

// All daemons lose power after a roll-out was completed and the old servers are
// gone. The daemons that start again know from the store that it is completed
// and serve at once; with the order alone they took it for one that has just
// begun and refused everything for as long as the dead holder's lease lasted.
func TestAllDaemonsRestartAfterRollout(t *testing.T) {
	s := newTestbed(t)
	old := s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Work: time.Millisecond})
	first := s.startReadyDaemon()
	stop := s.startSessions(2)
	s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Work: time.Millisecond})
	s.store.Order(engineService, "v2", rolloutTime)
	s.waitRolloutState(engineService, "completed")
	stop()
	s.store.Remove(wire.TableInstances, "old")
	old.Close()
	first.Kill()
	s.daemons = nil
	again := s.startReadyDaemon()
	reply := s.send(s.newCall(pathStream), again)
	require.Equal(t, http.StatusOK, reply.Status, reply.Body)
	require.Contains(t, again.logLine("msg=rollout.state"), "phase=completed")
}

// The only daemon loses power in the middle of a roll-out. The one that starts
// again finds order and state in the store, but not when the order was given, and
// counted the time allowed from its own start: the operator was told late.
func TestDaemonRestartsDuringRollout(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Work: time.Millisecond})
	first := s.startReadyDaemon()
	s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Work: time.Millisecond})
	s.store.Order(engineService, "v2", rolloutTime)
	s.waitForLog(first, "msg=rollout.state", "share=0.045")
	first.Kill()
	s.daemons = nil
	again := s.startReadyDaemon()
	_, text, _ := strings.Cut(s.waitForLog(again, "msg=rollout.aged"), "age_ms=")
	age, err := strconv.Atoi(strings.Fields(text)[0])
	require.NoError(t, err)
	// The first share opens 1.2 s after the order.
	require.GreaterOrEqual(t, age, 1200)
	s.waitRolloutState(engineService, "completed")
}

// The store turns the daemon that holds the duty away in the middle of a roll-out
// and serves all others. The holder goes on through its peers, and the operator
// is told in time. Without that its lease lapsed, and another daemon took the
// duty seven seconds later.
func TestLeaseHolderLosesStore(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Work: time.Millisecond})
	proxies := map[*daemon]*cluster.Proxy{}
	for range 3 {
		proxy, err := cluster.NewProxy(s.storeAddress)
		require.NoError(t, err)
		t.Cleanup(proxy.Close)
		d := s.startDaemon(func(r *settings.Routes) { r.Platform = proxy.Address() })
		proxies[d] = proxy
		s.waitForLog(d, "msg=daemon.offered")
	}
	s.waitForDirectory(s.daemons[0], 3)
	s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Work: time.Millisecond})
	s.store.Order(engineService, "v2", rolloutTime)
	s.waitRolloutState(engineService, "running")
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
	s.waitRolloutState(engineService, "completed")
	require.Equal(t, []*daemon{holder}, holders())
	require.True(t, holder.logsContain("msg=store.relayed"))
}

// A version turns bad while the store is away, and the daemon that holds the duty is
// killed: nobody can take its lease. Callers of one daemon meet the failures. That
// daemon and the others must stop using the version all the same, also a daemon that
// has seen none of them; it went on to the end of the outage and beyond.
func TestBadVersionStopsWithoutLeaseHolderAndStore(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Work: time.Millisecond})
	all := []*daemon{s.startReadyDaemon(), s.startReadyDaemon(), s.startReadyDaemon()}
	s.waitForDirectory(all[0], 3)
	var turned atomic.Bool
	bad := s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3,
		Behave: func(platformtest.Seen) platformtest.Behaviour {
			if turned.Load() {
				return platformtest.Fail
			}
			return platformtest.Answer
		}})
	const long = time.Minute
	s.store.Order(engineService, "v2", long)
	s.waitRolloutState(engineService, "running")
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
		s.send(s.newCall(pathStream), busy)
		if !idle.logsContain("msg=rollout.state", "stopped=true") && !idle.logsContain("msg=rollout.stopped") {
			return trace.Errorf("%s was not told to stop\n%s", idle.Name, idle.Log())
		}
		return nil
	})
	before := len(bad.Seen())
	for range 60 {
		require.Equal(t, http.StatusOK, s.send(s.newCall(pathStream), idle).Status)
	}
	require.Len(t, bad.Seen(), before)
}
