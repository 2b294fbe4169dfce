package process_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// startBehindProxy starts a daemon that reaches the platform through a proxy.
func (s *site) startBehindProxy(p *cluster.Proxy) (*cluster.Daemon, error) {
	d, err := s.StartDaemon("gbg-z", func(set *settings.Settings) { set.Platform = p.Address() })
	if err != nil {
		return nil, err
	}
	return d, s.WaitReady(s.Daemons, len(s.engines))
}

// waitLeavingKnown waits until every daemon reports an upstream as leaving.
func (s *site) waitLeavingKnown(id string) {
	s.t.Helper()
	for _, d := range s.Daemons {
		require.NoError(s.t, cluster.Eventually(func() error {
			status, err := d.Status()
			if err != nil {
				return err
			}
			known := slices.ContainsFunc(status.Upstreams, func(u operator.UpstreamStatus) bool { return u.ID == id && u.Leaving })
			if !known {
				return errNotYet
			}
			return nil
		}))
	}
}

// An engine leaves, and only one source shows it: the platform's list, the engine's
// load report, or its refusal of an attempt. Guards against attempts that a daemon
// still sends to the engine, and against errors for callers.
func TestUpstreamLeaves(t *testing.T) {
	for name, leave := range map[string]func(s *site, e *cluster.Upstream) error{
		"list": func(s *site, e *cluster.Upstream) error {
			return s.AddInstance(backing.Instance{ID: e.ID, Role: backing.RoleEngine, Address: e.Address, State: backing.StateLeaving})
		},
		"report": func(_ *site, e *cluster.Upstream) error {
			return cluster.Post("http://"+e.Address+"/standin/faults", standin.EngineFaults{Leaving: true}, nil)
		},
		"refusal": func(_ *site, e *cluster.Upstream) error {
			return cluster.Post("http://"+e.Address+"/standin/faults", standin.EngineFaults{Leaving: true, HideLeaving: true}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3, nil)
			require.NoError(t, leave(s, s.engines[0]))
			requireAllAnswered(t, s.Daemons[0], 30, "leaving")
			s.waitLeavingKnown("engine-1")
			started := func() (n int) {
				var c standin.EngineCounts
				require.NoError(t, cluster.Get("http://"+s.engines[0].Address+"/standin/counts", &c))
				for _, k := range c.Started {
					n += k
				}
				return n
			}
			before := started()
			for _, d := range s.Daemons {
				requireAllAnswered(t, d, 20, "after")
			}
			require.Equal(t, before, started())
			s.requireFinishedBilled(s.Daemons[1])
		})
	}
}

// discoveryCache is a caller's copy of a discovery answer, kept for its full TTL.
type discoveryCache struct {
	entries    []caller.Entry
	validUntil time.Time
}

// refresh gets a new answer from one of the listed daemons once the TTL has passed.
func (d *discoveryCache) refresh(t *testing.T) {
	if time.Now().Before(d.validUntil) {
		return
	}
	for _, e := range d.entries {
		var found struct {
			Entries []caller.Entry `json:"entries"`
			TTL     int            `json:"ttl_seconds"`
		}
		start := time.Now()
		if cluster.Get(e.URL+"/v1/entries", &found) == nil && len(found.Entries) > 0 {
			d.entries, d.validUntil = found.Entries, start.Add(time.Duration(found.TTL)*time.Second)
			return
		}
	}
	t.Error("none of the daemons in the discovery answer can be reached")
}

// All daemons are restarted one after the other under load, streamed and not, by
// callers that use a discovery answer for its full TTL. Guards against requests
// that fail, are cut or run twice because their daemon stops.
func TestRollingRestart(t *testing.T) {
	s := newSite(t, 3, func(o *standin.EngineOptions) {
		slowTokens(o)
		for name, p := range o.Profiles {
			p.TokenTime /= 4
			o.Profiles[name] = p
		}
	})
	first := caller.Entry{URL: s.Daemons[0].CallerURL}
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	sent := 0
	for i := range 8 {
		load.Go(func() {
			d := discoveryCache{entries: []caller.Entry{first}}
			for n := 0; ctx.Err() == nil; n++ {
				d.refresh(t)
				e := d.entries[(i+n)%len(d.entries)]
				a := clearanceRequest(fmt.Sprintf("restart %d %d", i, n), fmt.Sprintf("%s.%d-%d", e.KeyPrefix, i, n))
				a.Stream = n%2 == 0
				reply, err := a.Send(context.Background(), e.URL, nil)
				mu.Lock()
				sent++
				if err != nil || !reply.Complete() {
					failures = append(failures, fmt.Sprintf("%s: %v %v", a.Prompt, err, reply.Err))
				}
				mu.Unlock()
			}
		})
	}
	for i := range 3 {
		old := s.Daemons[i]
		_, err := s.StartDaemon(fmt.Sprintf("gbg-%c", 'a'+i), nil)
		require.NoError(t, err)
		require.NoError(t, s.WaitReady(append(slices.Clone(s.Daemons[i+1:3]), s.Daemons[3:]...), 2, cluster.AllowOtherDaemons))
		old.Signal(syscall.SIGTERM)
		require.Equal(t, 0, old.Wait(), old.Log())
	}
	stop()
	load.Wait()
	require.Empty(t, failures)
	t.Logf("%d requests during 3 restarts", sent)
	for i := range 8 {
		require.LessOrEqual(t, s.promptStarts(fmt.Sprintf("restart %d 0", i)), 1)
	}
	last := s.Daemons[len(s.Daemons)-1]
	s.requireFinishedBilled(last)
	require.Len(t, s.bills(last), sent)
}

// A daemon stops as planned, and a client then uses keys whose home it was. Guards
// against a second run, and against a key that is refused because its home no longer
// exists: the daemon's successor must act as home.
func TestKeyOfStoppedHome(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearanceRequest("stopped home", keyWithHome(t, s.Daemons[0], "stopped"))
	unused := clearanceRequest("unused key", keyWithHome(t, s.Daemons[0], "unused"))
	first := requireAnswered(t, s.Daemons[0], a)
	s.Daemons[0].Signal(syscall.SIGTERM)
	require.Equal(t, 0, s.Daemons[0].Wait())
	for _, d := range s.Daemons[1:] {
		require.Equal(t, first.Text, requireAnswered(t, d, a).Text)
		requireAnswered(t, d, unused)
	}
	require.Equal(t, 1, s.promptStarts("stopped home"))
	require.Equal(t, 1, s.promptStarts("unused key"))
}

// A daemon gets a second signal while it stops, and cuts the open requests. Guards
// against a cut without notice: the caller must get an error event at once and be
// able to resume at another daemon, the daemon must exit with code 3, and the
// request must be billed.
func TestSecondSignalCutsRequests(t *testing.T) {
	s := newSite(t, 2, func(o *standin.EngineOptions) {
		for name, p := range o.Profiles {
			p.TokenTime *= 50
			o.Profiles[name] = p
		}
	})
	reply, err := streamAndAct(t, s.Daemons[0], summaryRequest("long"), 1, func(cluster.Reply) {
		s.Daemons[0].Signal(syscall.SIGTERM)
		s.Daemons[0].Signal(syscall.SIGINT)
	})
	require.NoError(t, err)
	require.False(t, reply.Done)
	require.NotNil(t, reply.Err)
	require.Equal(t, fault.Stopping, reply.Err.Kind)
	require.Equal(t, 3, s.Daemons[0].Wait())
	rest, err := resume(t, s.Daemons[1], reply)
	require.NoError(t, err)
	requireComplete(t, reply.Text+rest.Text)
	s.requireBill(s.Daemons[1], reply.RequestID(), ledger.Answered)
}
