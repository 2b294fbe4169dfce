package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// Guards against a crash of the lease holder: a policy with fewer stages is accepted while a
// roll-out is at a later stage.
func TestStageIsWithinAShorterPolicy(t *testing.T) {
	for _, stages := range [][]float64{{1}, {0.1, 1}, {0.1, 0.5, 1}} {
		policy := config.RolloutPolicy{Stages: stages}
		for reached := range stages {
			for current := range 5 {
				stage, share := nextStage(policy, reached, current)
				require.Less(t, stage, len(stages))
				require.GreaterOrEqual(t, stage, 0)
				require.Equal(t, stages[stage], share)
				if len(stages) > 1 {
					require.Less(t, share, 1.0, "full share needs a verdict")
				}
			}
		}
	}
}
