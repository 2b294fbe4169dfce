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

// withdraw withdraws a version and returns the generation of that change.
func (s *site) withdraw(d *cluster.Daemon, model, version string) int64 {
	s.t.Helper()
	var out operator.RolloutReply
	require.NoError(s.t, cluster.Post(d.OperatorURL+"/v1/rollouts/withdraw", operator.RolloutRequest{Model: model, Version: version}, &out))
	return out.Generation
}

// waitGeneration waits until the daemons use a generation of the configuration or a
// later one.
func (s *site) waitGeneration(generation int64, daemons ...*cluster.Daemon) {
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

// awaitArrivals waits until every attempt that a daemon has in flight has arrived at an engine.
func (s *site) awaitArrivals(d *cluster.Daemon) {
	s.t.Helper()
	require.NoError(s.t, cluster.Eventually(func() error {
		status, err := d.Status()
		if err != nil {
			return err
		}
		missing := 0
		for _, u := range status.Upstreams {
			missing += u.InFlight
		}
		for _, c := range s.engineCounts() {
			missing -= c.Running
		}
		if missing > 0 {
			return fmt.Errorf("%d attempts have not arrived", missing)
		}
		return nil
	}))
}

// versionStarts returns how many attempts the engines started on a version, which
// is given as "model@version".
func (s *site) versionStarts(ref string) int {
	s.t.Helper()
	n := 0
	for _, c := range s.engineCounts() {
		n += c.Versions[ref]
	}
	return n
}

// Two operators change the same revision of an overlay at different daemons at the
// same time. Guards against a lost update: one change must be accepted, the other
// be rejected as a conflict that shows the difference.
func TestConcurrentOverlayEdits(t *testing.T) {
	s := newSite(t, 2, nil)
	overlay := readExample(t, "overlay-gothenburg.jsonc")
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
	rejected := 0
	if errs[1] != nil {
		rejected = 1
	}
	require.NoError(t, errs[1-rejected])
	require.ErrorContains(t, errs[rejected], string(fault.ConfigConflict))
	require.ErrorContains(t, errs[rejected], fmt.Sprintf("0.9%d", 1-rejected+6), "the error must show the difference")
}

// The store executes a configuration change and the answer to the write is lost.
// Guards against applying the change twice: repeated requests with the same change
// id must return the one accepted change.
func TestConfigApplyAnswerLost(t *testing.T) {
	s := newSite(t, 2, nil)
	request := config.ApplyRequest{Site: "gothenburg", FromRevision: 1, ChangeID: "lost", Text: readExample(t, "overlay-gothenburg.jsonc")}
	require.NoError(t, cluster.Eventually(func() error {
		// The first write whose answer is lost may be a different one. After it
		// the stand-in refuses reads, so the daemon rejects the change before
		// it writes anything, and the loop tries again.
		s.setPlatformFault(standin.FaultLoseAnswer)
		err := cluster.Post(s.Daemons[0].OperatorURL+"/v1/config/apply", request, nil)
		if err == nil || !strings.Contains(err.Error(), string(fault.ConfigUnknown)) {
			return fmt.Errorf("no lost answer yet: %w", err)
		}
		return nil
	}))
	s.setPlatformFault(standin.FaultNone)
	var first, second operator.ApplyReply
	require.NoError(t, cluster.Post(s.Daemons[0].OperatorURL+"/v1/config/apply", request, &first))
	require.NoError(t, cluster.Post(s.Daemons[1].OperatorURL+"/v1/config/apply", request, &second))
	require.Equal(t, first, second)
	require.Equal(t, int64(2), first.Change.Revision)
}

// A version is withdrawn while three daemons dispatch requests to it continuously.
// Guards against attempts that start on the version after all daemons use the new
// generation, and against moving its sessions to another version without an error.
func TestWithdrawUnderTraffic(t *testing.T) {
	s := newSite(t, 3, nil)
	first := requireAnswered(t, s.Daemons[0], summaryRequest("begin"))
	token := first.Header.Get(caller.HeaderSession)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i := range 12 {
		load.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				_, _ = summaryRequest(fmt.Sprintf("traffic %d %d", i, n)).Send(ctx, s.Daemons[i%3].CallerURL, nil)
			}
		})
	}
	start := time.Now()
	generation := s.withdraw(s.Daemons[1], "clauses", "1")
	s.waitGeneration(generation, s.Daemons...)
	t.Logf("in force at 3 of 3 daemons after %v", time.Since(start))
	after := s.versionStarts("clauses@1")
	again := summaryRequest("go on")
	again.Session = token
	for _, d := range s.Daemons {
		requireRefused(t, d, again, fault.SessionWithdrawn, fault.RanNo)
	}
	stop()
	load.Wait()
	require.LessOrEqual(t, s.versionStarts("clauses@1"), after, "attempts started after the generation was in force")
	s.requireFinishedBilled(s.Daemons[0])
}

// A daemon is paused while a version is withdrawn, and callers send requests to it.
// Guards against running these requests on the version when the daemon resumes with
// a configuration in memory in which the version still serves.
func TestPausedDaemonDoesNotUseAWithdrawnVersion(t *testing.T) {
	s := newSite(t, 3, nil)
	requireAnswered(t, s.Daemons[0], summaryRequest("before"))
	require.NoError(t, s.Daemons[0].Pause())
	var queued sync.WaitGroup
	for i := range 10 {
		queued.Go(func() {
			_, _ = summaryRequest(fmt.Sprintf("queued %d", i)).Send(context.Background(), s.Daemons[0].CallerURL, nil)
		})
	}
	generation := s.withdraw(s.Daemons[1], "clauses", "1")
	s.waitGeneration(generation, s.Daemons[1:]...)
	// The pause must be longer than Timing.FreshMS, the time for which a daemon
	// relies on a confirmation of its configuration.
	start := time.Now()
	require.NoError(t, cluster.Eventually(func() error {
		if time.Since(start) < 2*time.Second {
			return errNotYet
		}
		return nil
	}))
	before := s.versionStarts("clauses@1")
	s.Daemons[0].Resume()
	queued.Wait()
	require.Equal(t, before, s.versionStarts("clauses@1"))
}

// Requests wait for a full engine when their version is withdrawn. Guards against
// starting them on the version because they were planned while it still served.
func TestWithdrawnWhileWaiting(t *testing.T) {
	s := newSite(t, 2, func(o *standin.EngineOptions) {
		slowTokens(o)
		o.Slots = 1
	})
	var waiting sync.WaitGroup
	for i := range 12 {
		waiting.Go(func() {
			_, _ = summaryRequest(fmt.Sprintf("waiting %d", i)).Send(context.Background(), s.Daemons[0].CallerURL, nil)
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
	s.waitGeneration(generation, s.Daemons...)
	// An attempt that was sent before may still be on its way.
	s.awaitArrivals(s.Daemons[0])
	after := s.versionStarts("clauses@1")
	waiting.Wait()
	require.Equal(t, after, s.versionStarts("clauses@1"))
}

// A daemon starts while the store is unavailable. Guards against a start that needs
// the store: the daemon must get the configuration, the signing keys and the list of
// upstreams from its peers and answer requests.
func TestStartDuringStoreOutage(t *testing.T) {
	s := newSite(t, 2, nil)
	first := requireAnswered(t, s.Daemons[0], summaryRequest("one"))
	s.setPlatformFault(standin.FaultRefuse)
	d, err := s.StartDaemon("gbg-c", nil)
	require.NoError(t, err)
	require.NoError(t, cluster.Eventually(func() error {
		status, err := d.Status()
		if err == nil && !status.Ready {
			err = errNotYet
		}
		return err
	}))
	again := summaryRequest("two")
	again.Session = first.Header.Get(caller.HeaderSession)
	requireAnswered(t, d, again)
	s.setPlatformFault(standin.FaultNone)
	s.requireFinishedBilled(d)
}

// A daemon loses its connection to the platform, but not to its peers. Guards
// against a daemon that stops serving or misses a withdrawal: it must get
// confirmations and changes of the configuration from its peers.
func TestDaemonCutOffFromPlatform(t *testing.T) {
	s := newSite(t, 2, nil)
	proxy, err := s.StartProxy(s.Platform)
	require.NoError(t, err)
	d, err := s.startBehindProxy(proxy)
	require.NoError(t, err)
	proxy.Cut()
	requireAnswered(t, d, summaryRequest("cut off"))
	generation := s.withdraw(s.Daemons[0], "clauses", "1")
	s.waitGeneration(generation, d)
	requireRefused(t, d, cluster.ChatRequest{APIKey: visradAPIKey, Model: "clauses@1", Prompt: "x"}, fault.VersionWithdrawn, fault.RanNo)
	require.NoError(t, proxy.Restore())
}

// Many configuration changes are applied through different daemons in turn. Guards
// against replacing a generation by an older one that a slow read or a peer
// delivers late, which would bring a withdrawn version back.
func TestGenerationNeverDecreases(t *testing.T) {
	s := newSite(t, 3, nil)
	s.withdraw(s.Daemons[0], "notes-small", "1")
	last := make([]int64, 3)
	for i := range 30 {
		generation := s.applyConfig(s.Daemons[i%3], "gothenburg", int64(i+1), readExample(t, "overlay-gothenburg.jsonc"))
		for j, d := range s.Daemons {
			status, err := d.Status()
			require.NoError(t, err)
			require.GreaterOrEqual(t, status.Generation, last[j])
			last[j] = status.Generation
		}
		s.waitGeneration(generation, s.Daemons[i%3])
	}
	for _, d := range s.Daemons {
		requireRefused(t, d, cluster.ChatRequest{APIKey: visradAPIKey, Model: "notes-small@1", Prompt: "x"}, fault.VersionWithdrawn, fault.RanNo)
	}
}

// A version with a session drains and is later withdrawn. Guards against ending the
// session or accepting new work while the version drains, and against moving the
// session to another version without an error after the withdrawal.
func TestSessionOnDrainingThenWithdrawnVersion(t *testing.T) {
	s := newSite(t, 2, nil)
	first := requireAnswered(t, s.Daemons[0], summaryRequest("begin"))
	session := summaryRequest("go on")
	session.Session = first.Header.Get(caller.HeaderSession)
	for i, state := range []config.VersionState{config.Draining, config.Withdrawn} {
		overlay := fmt.Sprintf(`{"models": {"clauses": {"versions": {"1": {"state": %q}}}}}`, state)
		s.waitGeneration(s.applyConfig(s.Daemons[0], "gothenburg", int64(i+1), overlay), s.Daemons...)
		for _, d := range s.Daemons {
			pinned := cluster.ChatRequest{APIKey: visradAPIKey, Model: "clauses@1", Prompt: "new"}
			requireRefused(t, d, pinned, fault.VersionWithdrawn, fault.RanNo)
			requireRefused(t, d, summaryRequest("new"), fault.NoUpstream, fault.RanNo)
			if state == config.Draining {
				reply := requireAnswered(t, d, session)
				require.Equal(t, "1", reply.Header.Get(caller.HeaderVersion))
				continue
			}
			requireRefused(t, d, session, fault.SessionWithdrawn, fault.RanNo)
		}
	}
}

// Signing keys are rotated while a session is in use. Guards against a session
// token that some daemon rejects or resolves to another version after the rotation,
// and against a token that another organisation can use.
func TestSessionSurvivesKeyRotation(t *testing.T) {
	s := newSite(t, 3, nil)
	first := requireAnswered(t, s.Daemons[0], cluster.ChatRequest{APIKey: visradAPIKey, Model: "auto", Prompt: "one"})
	require.NoError(t, cluster.Post(s.Daemons[1].OperatorURL+"/v1/keys/rotate", nil, nil))
	for _, d := range s.Daemons {
		next := cluster.ChatRequest{APIKey: visradAPIKey, Model: "auto", Prompt: "two", Session: first.Header.Get(caller.HeaderSession)}
		reply := requireAnswered(t, d, next)
		for _, h := range []string{caller.HeaderModel, caller.HeaderVersion, caller.HeaderSession} {
			require.Equal(t, first.Header.Get(h), reply.Header.Get(h))
		}
	}
	otherOrganisation := cluster.ChatRequest{APIKey: "example-key-publisher-a", Model: "auto", Prompt: "three", Session: first.Header.Get(caller.HeaderSession)}
	requireRefused(t, s.Daemons[0], otherOrganisation, fault.BadSession, fault.RanNo)
}
