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

// rated makes the engines' answers rated soon, and gives notes-large@2 a
// quality.
func rated(quality float64) func(*standin.EngineOptions) {
	return func(o *standin.EngineOptions) {
		o.RateShare = 1
		o.RateDelay = standin.Duration(50 * time.Millisecond)
		p := o.Profiles["notes-large@2"]
		p.Quality = map[string]float64{"": quality}
		o.Profiles["notes-large@2"] = p
	}
}

// traffic keeps asking the daemons for a model until stop is called.
func (s *site) traffic(model string, daemons []*cluster.Daemon) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i := range 12 {
		load.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := cluster.Ask{APIKey: keyVisrad, Model: model, Prompt: fmt.Sprintf("traffic %d %d", i, n)}
				_, _ = a.Send(ctx, daemons[i%len(daemons)].CallerURL, nil)
			}
		})
	}
	return func() { cancel(); load.Wait() }
}

func (s *site) startRollout(d *cluster.Daemon) {
	s.t.Helper()
	overlay := strings.Replace(example(s.t, "overlay-gothenburg.jsonc"), `"exposure_budget": 10`, `"exposure_budget": 10, "rating_horizon_ms": 1000`, 1)
	s.inForce(s.apply(d, "gothenburg", 1, overlay), s.Daemons...)
	require.NoError(s.t, cluster.Post(d.OperatorURL+"/v1/rollouts", operator.RolloutRequest{Model: "notes-large", Version: "2", From: "1"}, nil))
}

// rolloutState waits for notes-large@2 to be in a state.
func (s *site) rolloutState(d *cluster.Daemon, wanted config.VersionState) config.Rollout {
	s.t.Helper()
	var row config.Rollout
	require.NoError(s.t, cluster.Eventually(func() error {
		var rows []config.Rollout
		if err := cluster.Get(d.OperatorURL+"/v1/rollouts", &rows); err != nil {
			return err
		}
		at := slices.IndexFunc(rows, func(r config.Rollout) bool { return r.Version == "2" })
		if at < 0 || rows[at].State != wanted {
			return fmt.Errorf("not %s: %d rows", wanted, len(rows))
		}
		row = rows[at]
		return nil
	}))
	return row
}

// An operator rolls out a version that writes wrong clearance notes. Ratings
// speak against it after a while; it is withdrawn by itself, after no more
// answers than the exposure budget allows.
func TestBadVersionIsStopped(t *testing.T) {
	s := newSite(t, 3, rated(0.2))
	s.startRollout(s.Daemons[0])
	stop := s.traffic("notes-large", s.Daemons)
	s.rolloutState(s.Daemons[1], config.Withdrawn)
	stop()
	exposed := s.versionRuns("notes-large@2")
	t.Logf("%d answers by the bad version", exposed)
	require.Positive(t, exposed)
	require.LessOrEqual(t, exposed, 40, "10 allowed without evidence, and room for those rated meanwhile")
	s.requireBilled(s.Daemons[2])
}

// The daemon that has the duty of a roll-out is killed on the way. Another one
// goes on from the row and brings the good version to its full share; its
// predecessor drains.
func TestRolloutSurvivesItsDutyHolder(t *testing.T) {
	s := newSite(t, 3, rated(1))
	s.startRollout(s.Daemons[0])
	live := slices.Clone(s.Daemons)
	stop := s.traffic("notes-large", s.Daemons)
	defer stop()
	var holder *cluster.Daemon
	require.NoError(t, cluster.Eventually(func() error {
		for _, d := range live {
			if containsLog(d, "rollout.duty_taken") {
				holder = d
				return nil
			}
		}
		return errNotYet
	}))
	holder.Kill()
	live = slices.DeleteFunc(live, func(d *cluster.Daemon) bool { return d == holder })
	row := s.rolloutState(live[0], config.Serving)
	require.GreaterOrEqual(t, row.Fence, int64(2), "written by the second holder")
	s.inForce(row.Generation, live...)
	status := map[string]config.VersionState{}
	var versions []operator.VersionStatus
	require.NoError(t, cluster.Get(live[1].OperatorURL+"/v1/versions", &versions))
	for _, v := range versions {
		status[v.VersionRef.String()] = v.State
	}
	require.Equal(t, config.Draining, status["notes-large@1"])
}
