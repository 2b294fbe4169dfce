package forward

import (
	"maps"
	"math"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
)

// shouldEscalate reports whether an attempt's answer is dropped and the request run again on
// the largest model. The caller must not have received any of the answer. The second run
// counts against the retry budget and the route's MaxAttempts.
func (q *request) shouldEscalate(a *attempt) bool {
	models := q.route.Models
	if q.model == "" || q.headSent || !a.answerHeaders.HasConfidence || !q.route.Idempotent() {
		return false
	}
	largest := models[len(models)-1]
	if q.model == largest || q.runs >= q.route.MaxAttempts {
		return false
	}
	now := time.Now()
	escalation := cascade.Escalation{
		Confidence: a.answerHeaders.Confidence, Elapsed: now.Sub(q.startedAt),
		Total:     q.latencies.Estimate(cascade.Key{Route: q.route.Name, Model: largest}, q.expectedTokens(), now),
		Objective: q.route.Objective, Timeout: q.deadline.Sub(q.startedAt),
	}
	var ok bool
	escalation.FirstEvent, escalation.Wait, ok = q.estimateFirstEvent(largest, now)
	if !ok || !escalation.Worthwhile() {
		return false
	}
	if !q.Retries.Take(q.service.Name) {
		q.escalationRefused = true
		q.Metrics.NoEscalation.Add(1)
		return false
	}
	return true
}

// estimateFirstEvent estimates the time to the first event of another model's answer, at the
// instance with the least work ahead of that event, and the mean time that prompts wait. ok is
// false if no instance may get the request. The instance of the last attempt counts too.
func (q *request) estimateFirstEvent(model string, now time.Time) (head, wait time.Duration, ok bool) {
	// A timer of the attempt may read the request at the same time, so a copy gets the model.
	other := *q
	other.model = model
	other.tried = maps.Clone(q.tried)
	delete(other.tried, q.lastInstance.ID)
	candidates := other.candidates()
	if len(candidates) == 0 {
		return 0, 0, false
	}
	least, waiting := math.Inf(1), 0.0
	for _, c := range candidates {
		least = min(least, c.Waiting+c.Prefill)
		waiting += c.Waiting / float64(len(candidates))
	}
	return cascade.CachedFirstEvent + q.prefillRate.Estimate(least, now), q.prefillRate.Estimate(waiting, now), true
}

// expectedTokens returns the expected length of the answer: the caller's estimate, or half of
// its maximum.
func (q *request) expectedTokens() int {
	if q.headers.TokensHint > 0 {
		return q.headers.TokensHint
	}
	return q.headers.TokensOut / 2
}
