package forward

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// attempt is one request to one instance.
type attempt struct {
	*request
	instance inventory.Instance
	exchange *upconn.Exchange
	answerHeaders    AnswerFacts
	cancel   context.CancelFunc
	sentAt   time.Time
	// work is what the instance has to read for the first event, and waits until
	// that comes; before is what waited there already.
	prefill, queuedPrefill float64
	isWaiting        bool
	// expected is the time to the first event as it was expected; 0 for a service
	// that is no engine.
	expectedFirstEvent time.Duration
	// warming is set for an instance that bore only a part of what it will.
	warming bool
	progress
	// dropped is set when the answer was not read to its end on purpose.
	dropped bool
	ended   bool
	span    oteltrace.Span
}

// refusedError is an instance's own word that it did not run the request.
type refusedError struct{ instance string }

func (e *refusedError) Error() string { return "refused by " + e.instance }

// candidates returns the instances that may take the request: those of the
// preferred versions that were not tried yet, or else those of the next ones.
// Instances of a version that may just not be announced yet come last.
//
// A version that an order asks for is announced. Held back like others, it got
// none of the sessions that began in the half second after its first share had
// opened, and their next requests changed the version.
func (q *request) candidates() []place.Candidate {
	rule := q.Versions.Rule(q.service.Name, q.sessionID())
	usable := q.Table.Usable(q.service.Name)
	announced := slices.DeleteFunc(slices.Clone(usable), func(v inventory.View) bool {
		return v.Unannounced && !rule.IsTarget(v.Instance.Version)
	})
	if left := q.allowedCandidates(rule, announced); len(left) > 0 {
		return left
	}
	return q.allowedCandidates(rule, usable)
}

// allowed returns those of some instances that the rule for versions prefers.
func (q *request) allowedCandidates(rule shift.Rule, views []inventory.View) []place.Candidate {
	prompt := q.promptWork()
	for _, side := range rule.Groups() {
		var group []place.Candidate
		for _, v := range views {
			if side.Accept(v.Instance.Version) {
				c := q.candidate(v, prompt)
				c.Canary = side.InstanceFraction > 0
				group = append(group, c)
			}
		}
		if left := q.readyCandidates(group, side.InstanceFraction); len(left) > 0 {
			return left
		}
	}
	return nil
}

// untried returns the instances of a group that may take the request: those of a part of the
// group. If none of them may at once it is any of the group that may, and if the request
// would have to wait for too long, also one that failed lately.
func (q *request) readyCandidates(group []place.Candidate, part float64) []place.Candidate {
	best := place.Ready(place.Filter(place.Subset(group, part), q.tried))
	if len(best) == 0 || best[0].Wait == 0 {
		return best
	}
	if others := place.Ready(place.Filter(group, q.tried)); others[0].Wait == 0 {
		return others
	}
	if !q.isTooLate(best[0]) {
		return best
	}
	if others := place.Ready(place.Untried(group, q.tried)); others[0].Wait == 0 {
		return others
	}
	return best
}

func (q *request) candidate(v inventory.View, p promptWork) place.Candidate {
	return place.Candidate{
		ID: v.Instance.ID, Local: v.Instance.FailureDomain == q.FailureDomain, Slots: v.Instance.Slots,
		Load: v.Load, Open: v.Open, Waiting: v.Waiting, Prefill: q.uncachedPrefill(p, v.Instance), Ejected: v.Ejected,
		Warming: v.Warming, Wait: v.Wait, NoTurn: v.NoTurn, ProbeDue: v.ProbeDue,
	}
}

// choose places the request.
func (q *request) chooseInstance() (picked place.Candidate, instance inventory.Instance, ok bool) {
	all := q.candidates()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if probe, due := place.Probe(all); due {
		picked, ok = probe, true
	} else if q.instanceEnded {
		picked, ok = place.TwoChoices(all, random)
	} else if key := q.sharedPartID(); key != "" {
		if n := len(q.route.Models); n > 1 && q.model != q.route.Models[n-1] {
			all = place.Local(all)
		}
		picked, ok = place.LowestCost(all, key+"\x00"+q.model, random)
	} else {
		picked, ok = place.LeastLoaded(all, random)
	}
	if !ok {
		return picked, instance, false
	}
	instance, ok = q.Table.Get(picked.ID)
	return picked, instance, ok
}

// connections is how many connections this daemon may open to one instance.
func (q *request) maxConnections() int {
	if q.service.MaxConnections <= 0 {
		return 0
	}
	const least = 2
	return max(q.service.MaxConnections/max(q.Sharers(), 1), least)
}

// begin sends the request to an instance and reads the head of the answer. The
// attempt must be ended when the error is nil.
func (q *request) startAttempt(ctx context.Context, headTimeout time.Duration) (*attempt, error) {
	picked, instance, err := q.takeTurn(ctx)
	if err != nil {
		return nil, err
	}
	a, ctx := q.newAttempt(ctx, instance, picked)
	var timer *time.Timer
	if headTimeout > 0 {
		timer = time.AfterFunc(max(headTimeout, expectedTimeoutFactor*q.expectedFirstEvent), a.cancel)
	}
	err = a.send(ctx)
	if timer != nil && !timer.Stop() && err != nil && ctx.Err() != nil && q.r.Context().Err() == nil {
		err = errHeadTimeout
	}
	if err != nil {
		a.fail(err)
		return nil, err
	}
	return a, nil
}

// attempt notes that the request is about to go to an instance, and what is known of
// the time that it will take there.
func (q *request) newAttempt(ctx context.Context, instance inventory.Instance, picked place.Candidate) (*attempt, context.Context) {
	q.tried[instance.ID] = true
	q.lastInstance = instance
	ctx, cancel := context.WithCancel(ctx)
	ctx, span := tracer.Start(ctx, "attempt")
	span.SetAttributes(attribute.String("instance", instance.ID), attribute.String("version", instance.Version), attribute.String("model", q.model))
	a := &attempt{
		span: span, request: q, instance: instance, cancel: cancel, sentAt: time.Now(),
		prefill: picked.Prefill, queuedPrefill: picked.Waiting, isWaiting: true, warming: picked.Warming,
	}
	q.Table.Begin(instance, a.prefill)
	if !picked.Canary {
		// A trial's few instances read nearly all prompts before the rest of their
		// version gets any. Known as the only ones that keep them, they were sent
		// everything by all daemons at once when all sessions moved.
		q.Prompts.NoteSent(instance, q.promptWork().prefixes)
	}
	if q.service.Engine {
		a.expectedFirstEvent = cascade.CachedFirstEvent + q.prefillRate.Estimate(a.queuedPrefill+a.prefill, a.sentAt)
	}
	q.expectedFirstEvent, q.firstEvent = a.expectedFirstEvent, 0
	a.startOverdueChecks()
	return a, ctx
}

// lateHead is how many times the expected time a first event may take before another
// instance is asked. Asked at the caller's objective, whatever was expected, prompts are
// read at two instances or three while they wait in a queue, and come late everywhere.
const expectedTimeoutFactor = 4

// errSilent says that an instance did not answer within the time set for it.
var errHeadTimeout = errors.New("the instance did not answer in time")

func (a *attempt) send(ctx context.Context) error {
	q := a.request
	left := time.Until(q.deadline)
	s := Send{Instance: a.instance.ID, Model: q.modelName(), LastEvent: q.lastEventID, Patience: left}
	if q.organisation != nil {
		s.Organisation = q.organisation.Name
	}
	if q.service.Engine {
		s.Priority, s.HasPriority = q.priority(), true
	}
	r := &upconn.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: q.Codec.Upstream(q.r.Header, s), Body: q.body,
		HasBody:   len(q.body) > 0 || (q.r.Method != http.MethodGet && q.r.Method != http.MethodHead),
		IsWithdrawn: a.isWithdrawn,
	}
	exchange, err := q.Pool.Do(ctx, a.instance.Address, q.maxConnections(), r, a.acceptAnswer)
	if err != nil {
		if !upconn.NotSent(err) {
			q.sends++
			q.runs++
			q.ran = fault.RanUnknown
		}
		return err
	}
	q.sends++
	a.exchange = exchange
	if a.answerHeaders.HasLoad {
		q.Table.ReportLoad(a.instance, a.answerHeaders.Load)
	}
	if a.answerHeaders.Leaving || a.answerHeaders.WrongOne {
		// Of a wrong one the address belongs to another instance now.
		a.noteLeaving()
	}
	a.noteLimit()
	if a.answerHeaders.Warming > 0 {
		q.Table.NoteWarming(a.instance, a.answerHeaders.Warming)
	}
	if a.answerHeaders.Rest > 0 {
		q.Table.BackOff(a.instance, a.answerHeaders.Rest)
		slog.Info("instance.resting", "instance", a.instance.ID, "rest_ms", a.answerHeaders.Rest.Milliseconds(), "request", a.request.headers.ID)
	}
	if a.answerHeaders.NotRun {
		return &refusedError{instance: a.instance.ID}
	}
	a.noteHead()
	a.removeWaiting()
	q.firstEvent = a.headAt.Sub(a.sentAt)
	if q.service.Engine {
		q.prefillRate.Observe(a.queuedPrefill+a.prefill, q.firstEvent, a.headAt)
	}
	q.runs++
	q.ran = fault.RanUnknown
	return nil
}

// withdrawn reports whether the instance may not be sent to any more.
func (a *attempt) isWithdrawn() bool {
	if a.Table.MaySend(a.instance) {
		return false
	}
	a.Metrics.Withdrawn.Add(1)
	slog.Info("attempt.withdrawn", "request", a.request.headers.ID, "instance", a.instance.ID, "failure_domain", a.instance.FailureDomain,
		"after_ms", time.Since(a.sentAt).Milliseconds(), "list", a.Table.Revision())
	return true
}

// noteLeaving takes in what an answer says of its instance: that it leaves, or is not
// there any more.
func (a *attempt) noteLeaving() {
	if a.Table.NoteLeaving(a.instance.Incarnation()) {
		slog.Info("instance.leaving", "instance", a.instance.ID, "source", "answer", "request", a.request.headers.ID,
			"list", a.Table.Revision())
		a.SpreadNews()
	}
}

// noteLimit takes in whether an answer names a limit of its instance.
func (a *attempt) noteLimit() {
	var l inventory.Limit
	var news bool
	switch {
	case a.answerHeaders.WrongOne || a.answerHeaders.LimitUnreadable:
		return
	case a.answerHeaders.HasLimit:
		l, news = a.Table.NoteLimit(a.instance, a.answerHeaders.Limit)
	default:
		l, news = a.Table.NoteNoLimit(a.instance, a.sentAt)
	}
	if news {
		l.Log("answer")
		a.SpreadNews()
	}
}

// ours tells whether an answer is to this request. Only an instance's refusal
// may come without an id.
func (a *attempt) acceptAnswer(status int, h http.Header) bool {
	facts := a.Codec.Answer(status, h)
	if facts.ID != a.request.headers.ID && (facts.ID != "" || status < http.StatusBadRequest) {
		return false
	}
	a.answerHeaders = facts
	return true
}

// started counts the attempt's work off: it is done, or withdrawn.
func (a *attempt) removeWaiting() {
	if a.isWaiting {
		a.isWaiting = false
		a.Table.RemoveWaiting(a.instance, a.prefill)
	}
}

func (q *request) priority() int {
	if q.organisation != nil && q.organisation.HasPriority {
		return q.organisation.Priority
	}
	return q.route.Priority
}

// fail ends an attempt that has no answer to relay.
func (a *attempt) fail(err error) {
	outcome := inventory.OutcomeFailed
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		outcome = inventory.OutcomeNone
	case a.r.Context().Err() != nil, errors.Is(err, context.DeadlineExceeded):
		outcome = inventory.OutcomeNone
	case errors.Is(err, upconn.ErrNoConnection), errors.Is(err, upconn.ErrWithdrawn):
		outcome = inventory.OutcomeNone
	case upconn.NotSent(err):
		outcome = inventory.OutcomeUnreachable
	case errors.Is(err, errHeadTimeout):
		outcome = inventory.OutcomeTimeout
	}
	if a.r.Context().Err() == nil {
		if isConnectionBroken(err) {
			a.quarantineDecided = a.Quarantine.Broken(a.instance, a.suspect())
		}
		slog.Info("attempt.failed", "request", a.request.headers.ID, "instance", a.instance.ID, "version", a.instance.Version,
			"digest", a.digest, "model", a.model, "list", a.Table.Revision(), "after_ms", time.Since(a.sentAt).Milliseconds(), "error", err)
	}
	a.end(outcome)
}

// end frees what the attempt holds and records how it went.
func (a *attempt) end(outcome inventory.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.stopOverdueChecks()
	a.span.End()
	if a.exchange != nil {
		a.exchange.Close()
	}
	a.cancel()
	a.removeWaiting()
	a.Table.End(a.instance, outcome)
	a.observeLatency(outcome)
	if o, ok := a.finalObservation(outcome); ok {
		a.Versions.Observe(a.service.Name, o)
	}
}

// mayRetry decides whether another attempt may follow a failed one.
//
// What has certainly not run may go elsewhere. After an unknown outcome only
// idempotent work may, on at most the route's number of instances: the first
// attempt may still run, and a reply would be sent twice. The budget keeps the
// sends of all daemons together from multiplying the load of a failing service.
func (q *request) mayRetry(ctx context.Context, err error) bool {
	q.noRetryReason = q.reasonNotToRetry(ctx, err)
	return q.noRetryReason == ""
}

// retryBar names what stands against another attempt; "" is nothing.
func (q *request) reasonNotToRetry(ctx context.Context, err error) string {
	notSent := upconn.NotSent(err)
	var refused *refusedError
	ranHere := !errors.As(err, &refused) && !notSent
	switch {
	case fault.Is(err, fault.NoUpstream), fault.Is(err, fault.NoCapacity):
		// Asked again in the same moment, the answer is the same. Each time took a
		// repeat from the budget of the fleet, until others that needed one had none.
		return "no_instance"
	case ctx.Err() != nil || time.Until(q.deadline) < minTimeLeft:
		return "no_time"
	case len(q.tried) >= maxInstances:
		return "tried_enough"
	case notSent && q.ran == fault.RanNo:
		// Nothing arrived, so nothing is added to the load of the service.
		return ""
	case q.ran != fault.RanNo && !q.route.Idempotent():
		return "may_have_run"
	case ranHere && q.runs >= q.route.MaxAttempts:
		return "route_attempts"
	}
	q.awaitQuarantineDecision(ctx)
	switch {
	case q.checkQuarantine() != nil:
		return "quarantined"
	case notSent:
		// Nothing arrived, so what was taken from the budget for this attempt is there for
		// the next one. Taken again, each instance that does not answer cost a repeat, until
		// none was left for answers that had been dropped for a larger model's.
		return ""
	case !q.Retries.Take(q.service.Name):
		return "budget"
	}
	return ""
}

const (
	// leastTime is the time below which no instance can answer.
	minTimeLeft = 20 * time.Millisecond
	// maxTried bounds the instances tried for one request, those that refused
	// or could not be reached included.
	maxInstances = 5
)
