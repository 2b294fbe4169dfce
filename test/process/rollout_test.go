package process_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// withRatings makes engines rate all their answers after 50 ms, and gives
// notes-large@2 a quality.
func withRatings(quality float64) func(*standin.EngineOptions) {
	return func(o *standin.EngineOptions) {
		o.RatedShare = 1
		o.RatingDelay = standin.Duration(50 * time.Millisecond)
		p := o.Profiles["notes-large@2"]
		p.Quality = map[string]float64{"": quality}
		o.Profiles["notes-large@2"] = p
	}
}

// startTraffic sends requests for a model to the daemons continuously until stop is
// called.
func (s *site) startTraffic(model string, daemons []*cluster.Daemon) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i := range 12 {
		load.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := cluster.ChatRequest{APIKey: visradAPIKey, Model: model, Prompt: fmt.Sprintf("traffic %d %d", i, n)}
				_, _ = a.Send(ctx, daemons[i%len(daemons)].CallerURL, nil)
			}
		})
	}
	return func() { cancel(); load.Wait() }
}

// startRollout starts the roll-out of notes-large@2, with a rating horizon of one
// second.
func (s *site) startRollout(d *cluster.Daemon) {
	s.t.Helper()
	overlay := strings.Replace(readExample(s.t, "overlay-gothenburg.jsonc"), `"exposure_budget": 10`, `"exposure_budget": 10, "rating_horizon_ms": 1000`, 1)
	s.waitGeneration(s.applyConfig(d, "gothenburg", 1, overlay), s.Daemons...)
	require.NoError(s.t, cluster.Post(d.OperatorURL+"/v1/rollouts", operator.RolloutRequest{Model: "notes-large", Version: "2", From: "1"}, nil))
}

// waitRolloutState waits until the roll-out of notes-large@2 is in a state, and
// returns its row.
func (s *site) waitRolloutState(d *cluster.Daemon, wanted config.VersionState) config.Rollout {
	s.t.Helper()
	var row config.Rollout
	require.NoError(s.t, cluster.Eventually(func() error {
		var rows []config.Rollout
		if err := cluster.Get(d.OperatorURL+"/v1/rollouts", &rows); err != nil {
			return err
		}
		index := slices.IndexFunc(rows, func(r config.Rollout) bool { return r.Version == "2" })
		if index < 0 || rows[index].State != wanted {
			return fmt.Errorf("roll-out is not in state %s (%d roll-outs)", wanted, len(rows))
		}
		row = rows[index]
		return nil
	}))
	return row
}

// A version with bad answers is rolled out, and the ratings of its answers show it
// with a delay. Guards against exposing callers to more of its answers than the
// exposure budget allows: the version must be withdrawn automatically.
func TestBadVersionIsWithdrawn(t *testing.T) {
	s := newSite(t, 3, withRatings(0.2))
	s.startRollout(s.Daemons[0])
	stop := s.startTraffic("notes-large", s.Daemons)
	s.waitRolloutState(s.Daemons[1], config.Withdrawn)
	stop()
	exposed := s.versionStarts("notes-large@2")
	t.Logf("%d answers by the bad version", exposed)
	require.Positive(t, exposed)
	require.LessOrEqual(t, exposed, 40, "the budget allows 10 unrated answers, plus those that are rated in the meantime")
	s.requireFinishedBilled(s.Daemons[2])
}

// The daemon that holds the lease of a roll-out is killed during the roll-out.
// Guards against a roll-out that then stops: another daemon must continue from the
// stored row and complete it, and the replaced version must drain.
func TestRolloutContinuesAfterLeaseHolderDies(t *testing.T) {
	s := newSite(t, 3, withRatings(1))
	s.startRollout(s.Daemons[0])
	live := slices.Clone(s.Daemons)
	stop := s.startTraffic("notes-large", s.Daemons)
	defer stop()
	var holder *cluster.Daemon
	require.NoError(t, cluster.Eventually(func() error {
		for _, d := range live {
			if logContains(d, "rollout.duty_taken") {
				holder = d
				return nil
			}
		}
		return errNotYet
	}))
	holder.Kill()
	live = slices.DeleteFunc(live, func(d *cluster.Daemon) bool { return d == holder })
	row := s.waitRolloutState(live[0], config.Serving)
	require.GreaterOrEqual(t, row.Fence, int64(2), "must be written by the second lease holder")
	s.waitGeneration(row.Generation, live...)
	status := map[string]config.VersionState{}
	var versions []operator.VersionStatus
	require.NoError(t, cluster.Get(live[1].OperatorURL+"/v1/versions", &versions))
	for _, v := range versions {
		status[v.VersionRef.String()] = v.State
	}
	require.Equal(t, config.Draining, status["notes-large@1"])
}
