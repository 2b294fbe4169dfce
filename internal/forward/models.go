package forward

import (
	"math"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
)

// weak reports whether an attempt's answer is dropped for a larger model's. The
// caller must have received none of it, and the second run draws on the budget
// of retries and on the route's number of instances.
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
	l := cascade.Escalation{
		Confidence: a.answerHeaders.Confidence, Elapsed: now.Sub(q.startedAt),
		Total:     q.latencies.Estimate(cascade.Key{Route: q.route.Name, Model: largest}, q.expectedTokens(), now),
		Objective: q.route.Objective, Timeout: q.deadline.Sub(q.startedAt),
	}
	l.FirstEvent, l.Wait = q.estimateFirstEvent(largest, now)
	return l.Worthwhile() && q.Retries.Take(q.service.Name)
}

// expectedHead is the time to the first event of another model's answer, at the
// instance that would be chosen now, and how long prompts wait on average.
func (q *request) estimateFirstEvent(model string, now time.Time) (head, wait time.Duration) {
	small := q.model
	q.model = model
	defer func() { q.model = small }()
	all := q.candidates()
	least, waiting := math.Inf(1), 0.0
	for _, c := range all {
		least = min(least, c.Waiting+c.Prefill)
		waiting += c.Waiting / float64(len(all))
	}
	return cascade.CachedFirstEvent + q.prefillRate.Estimate(least, now), q.prefillRate.Estimate(waiting, now)
}

// tokens is the length of the answer that the caller expects.
func (q *request) expectedTokens() int {
	if q.headers.TokensHint > 0 {
		return q.headers.TokensHint
	}
	return q.headers.TokensOut / 2
}
