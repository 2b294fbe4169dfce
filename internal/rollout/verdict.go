// Package rollout brings a new version of a model to full share, bounds how many answers a bad
// version can give, and withdraws versions whose ratings are below the target.
package rollout

import (
	"math"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// Verdict is the result of the test of a new version.
type Verdict int

// Verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// Evidence holds the ratings of a version for one kind of request.
type Evidence struct {
	Good int64
	Bad  int64
	// Target is the quality target of the kind, as the fraction of good ratings.
	Target float64
}

// Test is Wald's sequential probability ratio test between the hypotheses "quality at the
// target" and "quality below the target by the tolerance", with the policy's error rates.
type Test struct {
	policy config.RolloutPolicy
}

// NewTest returns a test with the tolerance and the error rates of policy.
func NewTest(policy config.RolloutPolicy) Test { return Test{policy: policy.WithDefaults()} }

// minQuality is the lower bound of the quality under the bad hypothesis, which must be above
// 0.
const minQuality = 0.01

// logLikelihoodRatio returns the log-likelihood ratio of bad to good, summed over the kinds.
func (t Test) logLikelihoodRatio(evidence []Evidence) float64 {
	sum := 0.0
	for _, e := range evidence {
		good := e.Target
		bad := max(good-t.policy.Tolerance, minQuality)
		sum += float64(e.Good)*math.Log(bad/good) + float64(e.Bad)*math.Log((1-bad)/(1-good))
	}
	return sum
}

// withdrawBound is the log-likelihood ratio at or above which a version is bad.
func (t Test) withdrawBound() float64 {
	return math.Log((1 - t.policy.FalseAcceptance) / t.policy.FalseWithdrawal)
}

// acceptBound is the log-likelihood ratio at or below which a version is good.
func (t Test) acceptBound() float64 {
	return math.Log(t.policy.FalseAcceptance / (1 - t.policy.FalseWithdrawal))
}

// Verdict returns the verdict on the evidence so far.
func (t Test) Verdict(evidence []Evidence) Verdict {
	r := t.logLikelihoodRatio(evidence)
	switch {
	case r >= t.withdrawBound():
		return Bad
	case r <= t.acceptBound():
		return Good
	default:
		return Undecided
	}
}

// Progress returns how close the evidence is to the verdict Good, from 0 to 1.
func (t Test) Progress(evidence []Evidence) float64 {
	return min(max(t.logLikelihoodRatio(evidence)/t.acceptBound(), 0), 1)
}

// Stage returns the index of the policy's stage that matches the progress.
func (t Test) Stage(evidence []Evidence) int {
	last := len(t.policy.Stages) - 1
	return min(int(t.Progress(evidence)*float64(last)), last)
}

// nextStage returns the stage of a roll-out without a verdict, and its share. reached is the stage
// that the ratings allow and current the one that the roll-out has, which may be later than all
// stages of a policy that was changed. Unless it is the only one, the last stage requires the
// verdict Good.
func nextStage(policy config.RolloutPolicy, reached, current int) (stage int, share float64) {
	beforeLast := max(len(policy.Stages)-2, 0)
	stage = min(max(reached, current), beforeLast)
	return stage, policy.Stages[stage]
}

// SumRatings sums the ratings of all kinds.
func SumRatings(evidence []Evidence) (good, bad int64) {
	for _, e := range evidence {
		good += e.Good
		bad += e.Bad
	}
	return good, bad
}
