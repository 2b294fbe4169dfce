package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// mayRetry reports whether another attempt may follow a failed one.
//
// A request that has certainly not run may be sent to another instance. If the outcome is
// unknown, it is repeated only on an idempotent route, and runs on at most the route's
// MaxAttempts instances: the first attempt may still be running, and a request that is not
// idempotent would be executed twice. The retry budget prevents the retries of all daemons
// together from multiplying the load of a failing service.
func (q *request) mayRetry(ctx context.Context, err error) bool {
	q.noRetryReason = q.reasonNotToRetry(ctx, err)
	return q.noRetryReason == ""
}

// reasonNotToRetry returns why no other attempt may follow, or "" if one may.
func (q *request) reasonNotToRetry(ctx context.Context, err error) string {
	notSent := upconn.NotSent(err)
	if q.callerLeft {
		return "caller_left"
	}
	if q.hasBegunUnresumable() {
		return "answer_begun"
	}
	if notSent && gatewayFault(err) != nil {
		return "no_gateway"
	}
	if notSent {
		q.awaitPath(ctx)
	}
	var refused *refusedError
	mayHaveRun := !errors.As(err, &refused) && !notSent
	switch {
	case fault.Is(err, fault.Quarantined):
		return "quarantined"
	case fault.Is(err, fault.NoUpstream), fault.Is(err, fault.NoCapacity):
		// An immediate retry would fail in the same way. Each would take a retry from the
		// fleet's budget, until none is left for other requests.
		return "no_instance"
	case ctx.Err() != nil || time.Until(q.deadline) < minTimeLeft:
		return "no_time"
	case !q.sequence.mayResume():
		return "no_event_id"
	case len(q.tried) >= maxInstances:
		return "tried_enough"
	case notSent && q.ran == fault.RanNo:
		// Nothing was sent, so a retry adds no load to the service.
		return ""
	case q.ran != fault.RanNo && !q.route.Idempotent():
		return "may_have_run"
	case mayHaveRun && q.runs >= q.route.MaxAttempts:
		return "route_attempts"
	}
	q.awaitQuarantineDecision(ctx)
	switch {
	case q.checkQuarantine() != nil:
		return "quarantined"
	case q.endedInstances >= maxEndedWhileHeld && q.Quarantine.Holds(q.suspect()):
		return "held_back"
	case notSent:
		// Nothing was sent, so the next attempt may use the retry that this one took from the
		// budget. Otherwise each unreachable instance would cost a retry, until none is left
		// for requests whose small model's answer has been dropped.
		return ""
	case !q.Retries.Take(q.service.Name):
		return "budget"
	}
	return ""
}

// hasBegunUnresumable reports whether the caller has part of an answer that is not a stream of events. Another
// instance's answer cannot continue it.
func (q *request) hasBegunUnresumable() bool {
	return q.headSent && (q.route.Kind != catalog.Stream || q.status >= http.StatusMultipleChoices)
}

const (
	// minTimeLeft is the remaining time below which no instance can answer.
	minTimeLeft = 20 * time.Millisecond
	// maxInstances bounds the instances tried for one request, including those that refused it or
	// could not be reached.
	maxInstances = 5
)
