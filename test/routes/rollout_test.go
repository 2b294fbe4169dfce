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

// rolloutTime is the time allowed for roll-outs in these tests.
const rolloutTime = 8 * time.Second

// startSessions sends sessions of two requests each through all daemons until stop is called.
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

// waitRolloutState waits until the state of a roll-out in the store has the given value.
func (s *testbed) waitRolloutState(service, state string) {
	s.t.Helper()
	s.eventually(func() error {
		if got := s.store.RolloutState(service); got != state {
			return trace.Errorf("the stored roll-out state is %q, want %q", got, state)
		}
		return nil
	})
}

// Guards against a roll-out of a good version that does not complete under load, and against
// requests at the old version after it has.
func TestGoodVersionIsRolledOut(t *testing.T) {
	s := newTestbed(t)
	old := s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Delay: time.Millisecond})
	s.startReadyDaemon()
	s.startReadyDaemon()
	stop := s.startSessions(4)
	defer stop()
	s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Delay: time.Millisecond})
	s.store.OrderRollout(engineService, "v2", rolloutTime)
	s.waitRolloutState(engineService, "running")
	s.waitRolloutState(engineService, "completed")
	before := len(old.Received())
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(s.newCall(pathStream), s.daemons[0]).Status)
	}
	require.Len(t, old.Received(), before)
}

// Guards against a version that fails its requests and is not rolled back, or that gets
// requests after its roll-back. The daemon that holds the lease of the roll-out is killed
// during the roll-out; another one must continue from the stored state.
func TestBadVersionIsRolledBack(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Delay: time.Millisecond})
	first, second := s.startReadyDaemon(), s.startReadyDaemon()
	s.waitForDirectory(first, 2)
	stop := s.startSessions(4)
	defer stop()
	bad := s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Behave: always(platformtest.Fail)})
	s.store.OrderRollout(engineService, "v2", rolloutTime)
	s.waitRolloutState(engineService, "running")
	holder := first
	s.eventually(func() error {
		for _, d := range []*daemon{first, second} {
			if d.logsContain("msg=duty.changed", "held=true") {
				holder = d
				return nil
			}
		}
		return trace.Errorf("no daemon holds the lease of the roll-out")
	})
	holder.Kill()
	s.waitRolloutState(engineService, "rolled_back")
	before := len(bad.Received())
	survivor := first
	if holder == first {
		survivor = second
	}
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(s.newCall(pathStream), survivor).Status)
	}
	require.Len(t, bad.Received(), before)
}

// Guards against sessions at a rolled-back version, whose servers still run, during the
// roll-out of the next version. The rolled-back version must not count as the old version of
// that roll-out.
func TestRolledBackVersionGetsNoRequestsInNextRollout(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Delay: time.Millisecond})
	s.startReadyDaemon()
	stop := s.startSessions(4)
	defer stop()
	bad := s.startServer(platformtest.ServerOptions{ID: "bad", Service: engineService, Version: "v2", Events: 3, Behave: always(platformtest.Fail)})
	s.store.OrderRollout(engineService, "v2", rolloutTime)
	s.waitRolloutState(engineService, "rolled_back")
	before := len(bad.Received())
	s.startServer(platformtest.ServerOptions{ID: "next", Service: engineService, Version: "v3", Events: 3, Delay: time.Millisecond})
	s.store.OrderRollout(engineService, "v3", rolloutTime)
	s.waitRolloutState(engineService, "completed")
	require.Len(t, bad.Received(), before)
}

// Guards against requests that are refused when the few instances of a new version are all
// gone. The old version must answer them.
func TestNewVersionIsUnreachable(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Delay: time.Millisecond})
	d := s.startReadyDaemon()
	dead := s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3})
	dead.Close()
	s.store.OrderRollout(engineService, "v2", rolloutTime)
	s.waitForLog(d, "msg=rollout.state", "share=0.045")
	for range 60 {
		reply := s.send(s.newCall(pathStream), d)
		require.Equal(t, http.StatusOK, reply.Status, reply.Body)
	}
}

// Guards against daemons that refuse all requests when they restart after a completed
// roll-out, with the old servers gone. A daemon that reads only the order, and not the stored
// state, treats the roll-out as one that has just started and refuses everything until the
// lease of the killed holder expires.
func TestAllDaemonsRestartAfterRollout(t *testing.T) {
	s := newTestbed(t)
	old := s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Delay: time.Millisecond})
	first := s.startReadyDaemon()
	stop := s.startSessions(2)
	s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Delay: time.Millisecond})
	s.store.OrderRollout(engineService, "v2", rolloutTime)
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

// Guards against a roll-out whose time starts anew when the only daemon restarts. The store
// has the order and the state but not the time of the order; a daemon that counts from its
// own start reports the result late.
func TestDaemonRestartsDuringRollout(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Delay: time.Millisecond})
	first := s.startReadyDaemon()
	s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Delay: time.Millisecond})
	s.store.OrderRollout(engineService, "v2", rolloutTime)
	s.waitForLog(first, "msg=rollout.state", "share=0.045")
	first.Kill()
	s.daemons = nil
	again := s.startReadyDaemon()
	_, text, _ := strings.Cut(s.waitForLog(again, "msg=rollout.aged"), "age_ms=")
	age, err := strconv.Atoi(strings.Fields(text)[0])
	require.NoError(t, err)
	// The first share of the traffic goes to the new version 1.2 s after the order.
	require.GreaterOrEqual(t, age, 1200)
	s.waitRolloutState(engineService, "completed")
}

// Guards against a roll-out that is delayed because the holder of its lease cannot reach the
// store while all other daemons can. The holder must renew the lease and report through its
// peers. Otherwise the lease expires, and another daemon acquires it only seven seconds later.
func TestLeaseHolderLosesStore(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Delay: time.Millisecond})
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
	s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3, Delay: time.Millisecond})
	s.store.OrderRollout(engineService, "v2", rolloutTime)
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

// Guards against a version that starts to fail while the store is down, after the holder of
// the lease was killed, so that no daemon can acquire the lease. Only one daemon sees the
// failures. If the daemons wait for a lease holder to stop the version, they use it until the
// end of the outage and beyond. All must stop using it, including those that saw no failure.
func TestBadVersionStopsWithoutLeaseHolderAndStore(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "old", Service: engineService, Events: 3, Delay: time.Millisecond})
	all := []*daemon{s.startReadyDaemon(), s.startReadyDaemon(), s.startReadyDaemon()}
	s.waitForDirectory(all[0], 3)
	var failing atomic.Bool
	bad := s.startServer(platformtest.ServerOptions{ID: "new", Service: engineService, Version: "v2", Events: 3,
		Behave: func(platformtest.ReceivedRequest) platformtest.Behaviour {
			if failing.Load() {
				return platformtest.Fail
			}
			return platformtest.Answer
		}})
	const long = time.Minute
	s.store.OrderRollout(engineService, "v2", long)
	s.waitRolloutState(engineService, "running")
	var holder *daemon
	s.eventually(func() error {
		for _, d := range all {
			if d.logsContain("msg=duty.changed", "held=true") {
				holder = d
			}
			if !d.logsContain("msg=rollout.state", "phase=running") {
				return trace.Errorf("%s has not received the first share", d.Name)
			}
		}
		return nil
	})
	s.store.SetFault(platformtest.FaultRefuse)
	holder.Kill()
	failing.Store(true)
	others := slices.DeleteFunc(all, func(d *daemon) bool { return d == holder })
	busy, idle := others[0], others[1]
	s.eventually(func() error {
		s.send(s.newCall(pathStream), busy)
		if !idle.logsContain("msg=rollout.state", "stopped=true") && !idle.logsContain("msg=rollout.stopped") {
			return trace.Errorf("%s has not stopped the version\n%s", idle.Name, idle.Log())
		}
		return nil
	})
	before := len(bad.Received())
	for range 60 {
		require.Equal(t, http.StatusOK, s.send(s.newCall(pathStream), idle).Status)
	}
	require.Len(t, bad.Received(), before)
}
