package forward

import (
	"math"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
)

// weak reports whether an attempt's answer is dropped for a larger model's. The
// caller must have received none of it, and the second run draws on the budget
// of retries and on the route's number of instances.
func (q *request) weak(a *attempt) bool {
	models := q.route.Models
	if q.model == "" || q.begun || !a.facts.HasConfidence || !q.route.Idempotent() {
		return false
	}
	largest := models[len(models)-1]
	if q.model == largest || q.runs >= q.route.MaxAttempts {
		return false
	}
	now := time.Now()
	l := cascade.Escalation{
		Confidence: a.facts.Confidence, Elapsed: now.Sub(q.started),
		Total:     q.times.Estimate(cascade.Key{Route: q.route.Name, Model: largest}, q.tokens(), now),
		Objective: q.route.Objective, Timeout: q.deadline.Sub(q.started),
	}
	l.FirstEvent, l.Wait = q.expectedHead(largest, now)
	return l.Worthwhile() && q.Retries.Take(q.service.Name)
}

// expectedHead is the time to the first event of another model's answer, at the
// instance that would be chosen now, and how long prompts wait on average.
func (q *request) expectedHead(model string, now time.Time) (head, wait time.Duration) {
	small := q.model
	q.model = model
	defer func() { q.model = small }()
	all := q.candidates()
	least, waiting := math.Inf(1), 0.0
	for _, c := range all {
		least = min(least, c.Waiting+c.Prefill)
		waiting += c.Waiting / float64(len(all))
	}
	return cascade.CachedFirstEvent + q.pace.Estimate(least, now), q.pace.Estimate(waiting, now)
}

// tokens is the length of the answer that the caller expects.
func (q *request) tokens() int {
	if q.facts.TokensHint > 0 {
		return q.facts.TokensHint
	}
	return q.facts.TokensOut / 2
}
