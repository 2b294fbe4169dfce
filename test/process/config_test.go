package process_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

func (s *site) withdraw(d *cluster.Daemon, model, version string) int64 {
	s.t.Helper()
	var out operator.RolloutAnswer
	require.NoError(s.t, cluster.Post(d.OperatorURL+"/v1/rollouts/withdraw", operator.RolloutRequest{Model: model, Version: version}, &out))
	return out.Generation
}

// inForce waits until a generation is in force at daemons.
func (s *site) inForce(generation int64, daemons ...*cluster.Daemon) {
	s.t.Helper()
	for _, d := range daemons {
		require.NoError(s.t, cluster.Eventually(func() error {
			status, err := d.Status()
			if err == nil && status.Generation < generation {
				err = fmt.Errorf("generation %d, not %d", status.Generation, generation)
			}
			return err
		}))
	}
}

// versionRuns counts the attempts that engines started on a version.
func (s *site) versionRuns(ref string) int {
	s.t.Helper()
	n := 0
	for _, c := range s.engineCounts() {
		n += c.Versions[ref]
	}
	return n
}

// Two operators edit the same overlay at different daemons at the same moment.
// One wins; the other is shown what changed, and nothing of either is mixed.
func TestTwoOperatorsOneOverlay(t *testing.T) {
	s := newSite(t, 2, nil)
	overlay := example(t, "overlay-gothenburg.jsonc")
	errs := make([]error, 2)
	var both sync.WaitGroup
	for i := range errs {
		both.Go(func() {
			text := strings.Replace(overlay, "0.95", fmt.Sprintf("0.9%d", i+6), 1)
			errs[i] = cluster.Post(s.Daemons[i].OperatorURL+"/v1/config/apply", config.ApplyRequest{
				Site: "gothenburg", FromRevision: 1, ChangeID: fmt.Sprintf("race-%d", i), Text: text,
			}, nil)
		})
	}
	both.Wait()
	lost := 0
	if errs[1] != nil {
		lost = 1
	}
	require.NoError(t, errs[1-lost])
	require.ErrorContains(t, errs[lost], string(fault.ConfigConflict))
	require.ErrorContains(t, errs[lost], fmt.Sprintf("0.9%d", 1-lost+6), "the difference is shown")
}

// A change is taken by the store and its answer is lost. The operator asks
// again with the same change id and learns what became of it; it is accepted
// once.
func TestLostAnswerToAChange(t *testing.T) {
	s := newSite(t, 2, nil)
	request := config.ApplyRequest{Site: "gothenburg", FromRevision: 1, ChangeID: "lost", Text: example(t, "overlay-gothenburg.jsonc")}
	require.NoError(t, cluster.Eventually(func() error {
		// Another write may be the first to lose its answer; then the change
		// is refused before it is sent, and is tried again.
		s.platformFault(standin.FaultLoseAnswer)
		err := cluster.Post(s.Daemons[0].OperatorURL+"/v1/config/apply", request, nil)
		if err == nil || !strings.Contains(err.Error(), string(fault.ConfigUnknown)) {
			return fmt.Errorf("no lost answer yet: %w", err)
		}
		return nil
	}))
	s.platformFault(standin.FaultNone)
	var first, second operator.Applied
	require.NoError(t, cluster.Post(s.Daemons[0].OperatorURL+"/v1/config/apply", request, &first))
	require.NoError(t, cluster.Post(s.Daemons[1].OperatorURL+"/v1/config/apply", request, &second))
	require.Equal(t, first, second)
	require.Equal(t, int64(2), first.Change.Revision)
}

// A version is withdrawn while three daemons dispatch to it without pause. Once
// a daemon has the new generation, nothing new starts on the version there;
// everywhere within seconds. Sessions on it are told, not moved.
func TestWithdrawUnderTraffic(t *testing.T) {
	s := newSite(t, 3, nil)
	first := requireAnswered(t, s.Daemons[0], summary("begin"))
	token := first.Header.Get(caller.HeaderSession)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i := range 12 {
		load.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				_, _ = summary(fmt.Sprintf("traffic %d %d", i, n)).Send(ctx, s.Daemons[i%3].CallerURL, nil)
			}
		})
	}
	began := time.Now()
	generation := s.withdraw(s.Daemons[1], "clauses", "1")
	s.inForce(generation, s.Daemons...)
	t.Logf("in force at 3 of 3 daemons after %v", time.Since(began))
	after := s.versionRuns("clauses@1")
	again := summary("go on")
	again.Session = token
	for _, d := range s.Daemons {
		requireRefused(t, d, again, fault.SessionWithdrawn, fault.RanNo)
	}
	stop()
	load.Wait()
	require.LessOrEqual(t, s.versionRuns("clauses@1"), after, "new work after the generation was in force")
	s.requireBilled(s.Daemons[0])
}

// A daemon is paused while a version is withdrawn, and callers queue up at it.
// When it wakes, it must not run them on the version, although its own memory
// still says that the version serves.
func TestPausedDaemonDoesNotUseAWithdrawnVersion(t *testing.T) {
	s := newSite(t, 3, nil)
	requireAnswered(t, s.Daemons[0], summary("before"))
	require.NoError(t, s.Daemons[0].Freeze())
	var queued sync.WaitGroup
	for i := range 10 {
		queued.Go(func() {
			_, _ = summary(fmt.Sprintf("queued %d", i)).Send(context.Background(), s.Daemons[0].CallerURL, nil)
		})
	}
	generation := s.withdraw(s.Daemons[1], "clauses", "1")
	s.inForce(generation, s.Daemons[1:]...)
	// The pause outlasts the time for which a confirmation is relied on.
	begin := time.Now()
	require.NoError(t, cluster.Eventually(func() error {
		if time.Since(begin) < 2*time.Second {
			return errNotYet
		}
		return nil
	}))
	before := s.versionRuns("clauses@1")
	s.Daemons[0].Wake()
	queued.Wait()
	require.Equal(t, before, s.versionRuns("clauses@1"))
}

// Requests wait in the queue of a full engine when their version is withdrawn.
// They were planned while it still served; none of them may start on it.
func TestWithdrawnWhileWaiting(t *testing.T) {
	s := newSite(t, 2, func(o *standin.EngineOptions) {
		slow(o)
		o.Slots = 1
	})
	var waiting sync.WaitGroup
	for i := range 12 {
		waiting.Go(func() {
			_, _ = summary(fmt.Sprintf("waiting %d", i)).Send(context.Background(), s.Daemons[0].CallerURL, nil)
		})
	}
	require.NoError(t, cluster.Eventually(func() error {
		status, err := s.Daemons[0].Status()
		if err == nil && status.Waiting["clauses@1"] < 3 {
			err = errNotYet
		}
		return err
	}))
	generation := s.withdraw(s.Daemons[0], "clauses", "1")
	s.inForce(generation, s.Daemons...)
	after := s.versionRuns("clauses@1")
	waiting.Wait()
	require.Equal(t, after, s.versionRuns("clauses@1"))
}

// The store is out when a daemon starts. It takes the configuration, the
// signing keys and the list of upstreams from its peers and serves.
func TestStartWhileTheStoreIsOut(t *testing.T) {
	s := newSite(t, 2, nil)
	first := requireAnswered(t, s.Daemons[0], summary("one"))
	s.platformFault(standin.FaultRefuse)
	d, err := s.StartDaemon("gbg-c", nil)
	require.NoError(t, err)
	require.NoError(t, cluster.Eventually(func() error {
		status, err := d.Status()
		if err == nil && !status.Ready {
			err = errNotYet
		}
		return err
	}))
	again := summary("two")
	again.Session = first.Header.Get(caller.HeaderSession)
	requireAnswered(t, d, again)
	s.platformFault(standin.FaultNone)
	s.requireBilled(d)
}

// A daemon is cut off from the platform only. Its peers still confirm the
// configuration, so it goes on serving, and a withdrawal reaches it through
// them.
func TestCutOffFromThePlatformOnly(t *testing.T) {
	s := newSite(t, 2, nil)
	proxy, err := s.Proxy(s.Platform)
	require.NoError(t, err)
	d, err := s.startBehind(proxy)
	require.NoError(t, err)
	proxy.Cut()
	requireAnswered(t, d, summary("cut off"))
	generation := s.withdraw(s.Daemons[0], "clauses", "1")
	s.inForce(generation, d)
	requireRefused(t, d, cluster.Ask{APIKey: keyVisrad, Model: "clauses@1", Prompt: "x"}, fault.VersionWithdrawn, fault.RanNo)
	require.NoError(t, proxy.Restore())
}

// An accepted generation is never replaced by an older one, whatever a slow
// reader or an old peer brings. The withdrawn version stays withdrawn.
func TestGenerationsNeverGoBack(t *testing.T) {
	s := newSite(t, 3, nil)
	s.withdraw(s.Daemons[0], "notes-small", "1")
	last := make([]int64, 3)
	for i := range 30 {
		generation := s.apply(s.Daemons[i%3], "gothenburg", int64(i+1), example(t, "overlay-gothenburg.jsonc"))
		for j, d := range s.Daemons {
			status, err := d.Status()
			require.NoError(t, err)
			require.GreaterOrEqual(t, status.Generation, last[j])
			last[j] = status.Generation
		}
		s.inForce(generation, s.Daemons[i%3])
	}
	for _, d := range s.Daemons {
		requireRefused(t, d, cluster.Ask{APIKey: keyVisrad, Model: "notes-small@1", Prompt: "x"}, fault.VersionWithdrawn, fault.RanNo)
	}
}

// A version drains while a clerk works on it, and is withdrawn later. The
// session goes on while it drains; nobody new gets it; after the withdrawal the
// clerk is told, and not moved to another version.
func TestSessionThroughTheStatesOfItsVersion(t *testing.T) {
	s := newSite(t, 2, nil)
	first := requireAnswered(t, s.Daemons[0], summary("begin"))
	session := summary("go on")
	session.Session = first.Header.Get(caller.HeaderSession)
	for i, state := range []config.VersionState{config.Draining, config.Withdrawn} {
		overlay := fmt.Sprintf(`{"models": {"clauses": {"versions": {"1": {"state": %q}}}}}`, state)
		s.inForce(s.apply(s.Daemons[0], "gothenburg", int64(i+1), overlay), s.Daemons...)
		for _, d := range s.Daemons {
			pinned := cluster.Ask{APIKey: keyVisrad, Model: "clauses@1", Prompt: "new"}
			requireRefused(t, d, pinned, fault.VersionWithdrawn, fault.RanNo)
			requireRefused(t, d, summary("new"), fault.NoUpstream, fault.RanNo)
			if state == config.Draining {
				reply := requireAnswered(t, d, session)
				require.Equal(t, "1", reply.Header.Get(caller.HeaderVersion))
				continue
			}
			requireRefused(t, d, session, fault.SessionWithdrawn, fault.RanNo)
		}
	}
}

// Signing keys are rotated while a session goes on. The session keeps its
// version at every daemon.
func TestSessionOutlivesKeyRotation(t *testing.T) {
	s := newSite(t, 3, nil)
	first := requireAnswered(t, s.Daemons[0], cluster.Ask{APIKey: keyVisrad, Model: "auto", Prompt: "one"})
	require.NoError(t, cluster.Post(s.Daemons[1].OperatorURL+"/v1/keys/rotate", nil, nil))
	for _, d := range s.Daemons {
		next := cluster.Ask{APIKey: keyVisrad, Model: "auto", Prompt: "two", Session: first.Header.Get(caller.HeaderSession)}
		reply := requireAnswered(t, d, next)
		for _, h := range []string{caller.HeaderModel, caller.HeaderVersion, caller.HeaderSession} {
			require.Equal(t, first.Header.Get(h), reply.Header.Get(h))
		}
	}
	stolen := cluster.Ask{APIKey: "example-key-publisher-a", Model: "auto", Prompt: "three", Session: first.Header.Get(caller.HeaderSession)}
	requireRefused(t, s.Daemons[0], stolen, fault.BadSession, fault.RanNo)
}
