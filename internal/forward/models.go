package forward

import (
	"maps"
	"math"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
)

// firstModel returns the model of the first attempt: the smallest one, since its answer can be
// dropped for one of the largest model. If it could not be dropped, because the route or this
// daemon's share of the retries does not allow a second run, the largest model runs at once
// where that is worthwhile given the mean confidence of the smallest one.
//
// This matters in a large fleet at normal load. A daemon that gets a request every few seconds
// uses up its share with a few low answers in a row, while most of the fleet's retries are left.
func (q *request) firstModel() string {
	smallest, largest := q.route.Models[0], q.largestModel()
	if smallest == largest || q.lastEventID != "" || q.mayEscalateLater() {
		return smallest
	}
	if q.isLargestWorthwhile(q.confidences.Mean(q.estimateKey(smallest))) {
		return largest
	}
	return smallest
}

// mayEscalateLater reports whether the answer of the first attempt may be dropped.
func (q *request) mayEscalateLater() bool {
	return q.route.Idempotent() && q.route.MaxAttempts > 1 && q.Retries.MayTake(q.service.Name)
}

func (q *request) largestModel() string { return q.route.Models[len(q.route.Models)-1] }

// shouldEscalate reports whether an attempt's answer is dropped and the request run again on
// the largest model. The caller must not have received any of the answer. The second run
// counts against the retry budget and the route's MaxAttempts.
func (q *request) shouldEscalate(a *attempt) bool {
	if q.model == "" || q.headSent || !a.answerHeaders.HasConfidence {
		return false
	}
	q.confidences.Observe(q.estimateKey(q.model), a.answerHeaders.Confidence)
	if !q.route.Idempotent() || q.model == q.largestModel() || q.runs >= q.route.MaxAttempts {
		return false
	}
	if !q.isLargestWorthwhile(a.answerHeaders.Confidence) {
		return false
	}
	if !q.Retries.Take(q.service.Name) {
		q.escalationRefused = true
		q.Metrics.NoEscalation.Add(1)
		return false
	}
	return true
}

// isLargestWorthwhile reports whether to run the largest model instead of using an answer with
// the given confidence.
func (q *request) isLargestWorthwhile(confidence int) bool {
	now, largest := time.Now(), q.largestModel()
	firstEvent, wait, ok := q.estimateFirstEvent(largest, now)
	key, timeout := q.estimateKey(largest), q.deadline.Sub(q.startedAt)
	e := cascade.Escalation{
		Confidence: confidence, Elapsed: now.Sub(q.startedAt), FirstEvent: firstEvent, Wait: wait,
		Total:     q.latencies.Estimate(key, q.expectedTokens(), now),
		Objective: q.route.Objective, Timeout: timeout,
	}
	if q.Overload != nil && q.Overload.ModelPrice(q.service.Name) {
		e.InTime, e.HasInTime = q.spreads.Chance(key, q.latencies.Mean(key, q.expectedTokens(), now), timeout-e.Elapsed), true
	}
	return ok && e.Worthwhile()
}

// estimateKey returns the key of the estimates for a model's answers on the request's route.
func (q *request) estimateKey(model string) cascade.Key {
	return cascade.Key{Route: q.route.Name, Model: model}
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
		least = min(least, c.PrefillTime())
		waiting += c.QueueTime() / float64(len(candidates))
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
