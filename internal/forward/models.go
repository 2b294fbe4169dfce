package forward

import (
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
	escalation.FirstEvent, escalation.Wait = q.estimateFirstEvent(largest, now)
	if !escalation.Worthwhile() {
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
// instance with the least work ahead of that event, and the mean time that prompts wait.
func (q *request) estimateFirstEvent(model string, now time.Time) (head, wait time.Duration) {
	current := q.model
	q.model = model
	defer func() { q.model = current }()
	candidates := q.candidates()
	least, waiting := math.Inf(1), 0.0
	for _, c := range candidates {
		least = min(least, c.Waiting+c.Prefill)
		waiting += c.Waiting / float64(len(candidates))
	}
	return cascade.CachedFirstEvent + q.prefillRate.Estimate(least, now), q.prefillRate.Estimate(waiting, now)
}

// expectedTokens returns the expected length of the answer: the caller's estimate, or half of
// its maximum.
func (q *request) expectedTokens() int {
	if q.headers.TokensHint > 0 {
		return q.headers.TokensHint
	}
	return q.headers.TokensOut / 2
}
