// Package rollout brings new versions to full share while bounding how many
// answers a bad one can give, and withdraws those that turn out bad.
package rollout

import (
	"math"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// Verdict is the outcome of the test of a new version.
type Verdict int

// Verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// Evidence is the ratings of a version for one kind of request.
type Evidence struct {
	Good int64
	Bad  int64
	// Target is the kind's quality target.
	Target float64
}

// Test is Wald's sequential probability ratio test between "at the target"
// and "below the target by the tolerance", with the policy's error rates.
type Test struct {
	policy config.RolloutPolicy
}

// NewTest returns a test with the error rates of policy.
func NewTest(policy config.RolloutPolicy) Test { return Test{policy: policy.WithDefaults()} }

// minQuality keeps the bad hypothesis a probability.
const minQuality = 0.01

// ratio is the log-likelihood ratio of bad to good, summed over the kinds.
func (t Test) ratio(evidence []Evidence) float64 {
	sum := 0.0
	for _, e := range evidence {
		good := e.Target
		bad := max(good-t.policy.Tolerance, minQuality)
		sum += float64(e.Good)*math.Log(bad/good) + float64(e.Bad)*math.Log((1-bad)/(1-good))
	}
	return sum
}

func (t Test) upper() float64 {
	return math.Log((1 - t.policy.FalseAcceptance) / t.policy.FalseWithdrawal)
}

func (t Test) lower() float64 {
	return math.Log(t.policy.FalseAcceptance / (1 - t.policy.FalseWithdrawal))
}

// Verdict decides on the evidence so far.
func (t Test) Verdict(evidence []Evidence) Verdict {
	r := t.ratio(evidence)
	switch {
	case r >= t.upper():
		return Bad
	case r <= t.lower():
		return Good
	default:
		return Undecided
	}
}

// Progress is how far the evidence has come towards Good, from 0 to 1.
func (t Test) Progress(evidence []Evidence) float64 {
	return min(max(t.ratio(evidence)/t.lower(), 0), 1)
}

// Stage returns the stage that the evidence has earned.
func (t Test) Stage(evidence []Evidence) int {
	last := len(t.policy.Stages) - 1
	return min(int(t.Progress(evidence)*float64(last)), last)
}

// Counts sums evidence.
func Counts(evidence []Evidence) (good, bad int64) {
	for _, e := range evidence {
		good += e.Good
		bad += e.Bad
	}
	return good, bad
}
