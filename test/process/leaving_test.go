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

// startBehind starts a daemon that reaches the platform through a proxy.
func (s *site) startBehind(p *cluster.Proxy) (*cluster.Daemon, error) {
	d, err := s.StartDaemon("gbg-z", func(set *settings.Settings) { set.Platform = p.Address() })
	if err != nil {
		return nil, err
	}
	return d, s.Settle(s.Daemons, len(s.engines))
}

// leavingEverywhere waits until every daemon knows that an upstream leaves.
func (s *site) leavingEverywhere(id string) {
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

// An engine leaves, and only one source says so: the platform's list, its own
// load report, or its refusal. All daemons learn of it and send it nothing
// more, and callers notice nothing.
func TestUpstreamLeaves(t *testing.T) {
	for name, leave := range map[string]func(s *site, e *cluster.Upstream) error{
		"list": func(s *site, e *cluster.Upstream) error {
			return s.List(backing.Instance{ID: e.ID, Role: backing.RoleEngine, Address: e.Address, State: backing.StateLeaving})
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
			askMany(t, s.Daemons[0], 30, "leaving")
			s.leavingEverywhere("engine-1")
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
				askMany(t, d, 20, "after")
			}
			require.Equal(t, before, started())
			s.requireBilled(s.Daemons[1])
		})
	}
}

// directory is a caller's discovery answer, kept as long as it may be.
type directory struct {
	entries []caller.Entry
	until   time.Time
}

// refresh asks again once the answer has lapsed, at one of its daemons.
func (d *directory) refresh(t *testing.T) {
	if time.Now().Before(d.until) {
		return
	}
	for _, e := range d.entries {
		var found struct {
			Entries []caller.Entry `json:"entries"`
			TTL     int            `json:"ttl_seconds"`
		}
		asked := time.Now()
		if cluster.Get(e.URL+"/v1/entries", &found) == nil && len(found.Entries) > 0 {
			d.entries, d.until = found.Entries, asked.Add(time.Duration(found.TTL)*time.Second)
			return
		}
	}
	t.Error("no daemon of the discovery answer answers")
}

// All daemons are restarted one after the other under load, streamed and not,
// with callers that keep old discovery answers for as long as they may. No
// answer may fail, be cut or run twice.
func TestRollingRestart(t *testing.T) {
	s := newSite(t, 3, func(o *standin.EngineOptions) {
		slow(o)
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
	asked := 0
	for i := range 8 {
		load.Go(func() {
			d := directory{entries: []caller.Entry{first}}
			for n := 0; ctx.Err() == nil; n++ {
				d.refresh(t)
				e := d.entries[(i+n)%len(d.entries)]
				a := clearance(fmt.Sprintf("restart %d %d", i, n), fmt.Sprintf("%s.%d-%d", e.KeyPrefix, i, n))
				a.Stream = n%2 == 0
				reply, err := a.Send(context.Background(), e.URL, nil)
				mu.Lock()
				asked++
				if err != nil || !reply.Whole() {
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
		require.NoError(t, s.Settle(append(slices.Clone(s.Daemons[i+1:3]), s.Daemons[3:]...), 2, cluster.IgnoreOthers))
		old.Signal(syscall.SIGTERM)
		require.Equal(t, 0, old.Wait(), old.Log())
	}
	stop()
	load.Wait()
	require.Empty(t, failures)
	t.Logf("%d requests during 3 restarts", asked)
	for i := range 8 {
		require.LessOrEqual(t, s.runs(fmt.Sprintf("restart %d 0", i)), 1)
	}
	last := s.Daemons[len(s.Daemons)-1]
	s.requireBilled(last)
	require.Len(t, s.bills(last), asked)
}

// A daemon stops as planned; later a client repeats a key whose home it was.
// The successor answers for it with the first answer.
func TestKeyOfAStoppedHome(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearance("stopped home", keyOf(t, s.Daemons[0], "stopped"))
	unused := clearance("unused key", keyOf(t, s.Daemons[0], "unused"))
	first := requireAnswered(t, s.Daemons[0], a)
	s.Daemons[0].Signal(syscall.SIGTERM)
	require.Equal(t, 0, s.Daemons[0].Wait())
	for _, d := range s.Daemons[1:] {
		require.Equal(t, first.Text, requireAnswered(t, d, a).Text)
		requireAnswered(t, d, unused)
	}
	require.Equal(t, 1, s.runs("stopped home"))
	require.Equal(t, 1, s.runs("unused key"))
}

// An operator loses patience with a stop and sends a second signal. The daemon
// reports what it cut, with an exit code of its own; the caller is told at
// once and can go on reading at another daemon, and the request is billed.
func TestStopReportsWhatItCuts(t *testing.T) {
	s := newSite(t, 2, func(o *standin.EngineOptions) {
		for name, p := range o.Profiles {
			p.TokenTime *= 50
			o.Profiles[name] = p
		}
	})
	reply, err := streamUntil(t, s.Daemons[0], summary("long"), 1, func(cluster.Reply) {
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
	requireWhole(t, reply.Text+rest.Text)
	s.requireBill(s.Daemons[1], reply.RequestID(), ledger.Answered)
}
