package forward

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// attempt is the sending of a request to one instance.
type attempt struct {
	*request
	instance      inventory.Instance
	exchange      *upconn.Exchange
	answerHeaders AnswerHeaders
	cancel        context.CancelFunc
	sentAt        time.Time
	// prefill is the work that the instance has to do before the request's first event, and
	// queuedPrefill the work that was waiting there already, both in prompt tokens of the largest
	// model. isWaiting is set while prefill is part of the instance's waiting work.
	prefill, queuedPrefill float64
	isWaiting              bool
	// expectedFirstEvent is the expected time to the first event; 0 if the service is not a model
	// engine.
	expectedFirstEvent time.Duration
	// warming is set if the instance was warming up when it was chosen, so that it accepted only
	// part of its normal load.
	warming bool
	// byTime is set if the instance was chosen by expected time. crowding is how many times as
	// long its answer takes because requests wait for slots there.
	byTime   bool
	crowding float64
	// tokens is the memory counted for the attempt at the instance.
	tokens float64
	progress
	// dropped is set if the answer was deliberately not read to its end, and callerFailed if it was
	// not because the caller's connection failed.
	dropped, callerFailed bool
	// sent is set if the instance may have got the request.
	sent, ended bool
	// tunneled is set if the attempt goes through another daemon, and broken if it ended because the
	// direct connection broke.
	tunneled atomic.Bool
	broken   bool
	// delivering is set once the head of an answer that cannot be resumed is sent to the caller.
	delivering atomic.Bool
	// pathLost is set once the attempt is ended because this daemon is cut off.
	pathLost atomic.Bool
	// withdrawn is set once the attempt is ended because the request has been quarantined.
	withdrawn atomic.Bool
	span      oteltrace.Span
	// failure is why the answer could not be relayed, and sign what was known of the instance after an
	// answer without framing.
	failure error
	sign    SignOfLife
	// misdirected is who has rejected the request as not meant for it.
	misdirected rejecter
	// leave and answerEnded tell the quarantine of the end of the attempt; answerEnded is nil until an
	// answer has begun.
	leave, answerEnded func()
}

// refusedError means that the instance refused the request and did not run it.
type refusedError struct{ instance string }

func (e *refusedError) Error() string { return "refused by " + e.instance }

// chooseInstance picks the instance for the next attempt: one that is due for a probe; the
// better of two random ones if an instance has ended under the request; the one with the lowest
// prefill cost if the prompt has shared parts; the one with the least expected time if the speed of
// instances counts; otherwise the least loaded one.
//
// Prompts with shared parts stay with the engines that their hash prefers. If they were spread over
// the engines with the least expected time, all engines would process prompts all the time, and
// between two tokens of each running answer a part of one: answers took twice as long.
func (q *request) chooseInstance() (picked place.Candidate, instance inventory.Instance, ok bool) {
	candidates := q.preferProven(q.withCapacity(place.WithConnection(q.candidates())))
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if probe, due := place.Probe(candidates); due {
		picked, ok = probe, true
	} else if q.endedInstances > 0 {
		if q.placesByTime() {
			candidates = place.WithMemory(candidates, q.placementRequest())
		}
		picked, ok = place.TwoChoices(candidates, random)
	} else if key := q.placementKey(); q.placesByTime() && key == "" {
		picked, ok = place.Soonest(candidates, q.placementRequest(), random)
	} else if key != "" {
		if q.placesByTime() {
			candidates = place.WithMemory(candidates, q.placementRequest())
		}
		if n := len(q.route.Models); n > 1 && q.model != q.route.Models[n-1] {
			candidates = place.Local(candidates)
		}
		picked, ok = place.LowestCost(candidates, key, random)
	} else {
		picked, ok = place.LeastLoaded(candidates, random)
	}
	if !ok {
		return picked, instance, false
	}
	instance, ok = q.Table.Get(picked.ID)
	return picked, instance, ok
}

// startAttempt sends the request to an instance and reads the head of the answer. The head
// must arrive within headTimeout, or within expectedTimeoutFactor times the expected time if
// that is longer; a headTimeout of 0 means no limit. If the error is nil, the caller must end
// the attempt.
func (q *request) startAttempt(ctx context.Context, headTimeout time.Duration) (*attempt, error) {
	leave := q.Quarantine.Enter(ctx, q.suspect())
	err := q.checkQuarantine()
	var picked place.Candidate
	var instance inventory.Instance
	if err == nil {
		picked, instance, err = q.takeTurn(ctx)
	}
	if err != nil {
		leave()
		return nil, err
	}
	a, ctx := q.newAttempt(ctx, instance, picked)
	a.leave = leave
	var timer *time.Timer
	if headTimeout > 0 {
		timer = time.AfterFunc(max(headTimeout, expectedTimeoutFactor*q.expectedFirstEvent), a.cancel)
	}
	err = a.send(ctx)
	if timer != nil && !timer.Stop() && err != nil && ctx.Err() != nil && q.r.Context().Err() == nil {
		err = errHeadTimeout
	}
	if err != nil && a.pathLost.Load() {
		err = errPathLost
	}
	if err != nil && a.withdrawn.Load() {
		err = withdrawnError(err)
	}
	if err != nil {
		a.fail(err)
		return nil, err
	}
	return a, nil
}

// newAttempt registers an attempt at an instance and estimates its time to the first event.
// The returned context is cancelled when the attempt ends.
func (q *request) newAttempt(ctx context.Context, instance inventory.Instance, picked place.Candidate) (*attempt, context.Context) {
	q.tried[instance.ID] = true
	q.lastInstance = instance
	ctx, cancel := context.WithCancel(ctx)
	ctx, span := tracer.Start(ctx, "attempt")
	span.SetAttributes(attribute.String("instance", instance.ID), attribute.String("version", instance.Version), attribute.String("model", q.model))
	a := &attempt{
		span: span, request: q, instance: instance, cancel: cancel, sentAt: time.Now(),
		prefill: picked.Prefill, queuedPrefill: picked.Waiting, isWaiting: true, warming: picked.Warming,
		byTime: q.placesByTime(), crowding: crowding(picked), leave: func() {},
	}
	q.running = a
	q.Table.Begin(instance, a.prefill)
	q.Endings.Begin(instance.Hash())
	q.countUnproven(picked)
	a.holdMemory()
	q.releaseGrant()
	if !picked.Canary {
		// Prompts sent to canary instances are not recorded as cached there. The few canary
		// instances process nearly all prompts before the other instances of their version get
		// any. If only they were known to have the prefixes cached, all daemons would send
		// them everything once all sessions move to the version.
		q.Prompts.NoteSent(instance, q.promptWork().prefixes)
	}
	if q.service.Engine {
		a.expectedFirstEvent = cascade.CachedFirstEvent + q.prefillRate.Estimate(a.queuedPrefill+a.prefill, a.sentAt)
	}
	q.expectedFirstEvent, q.firstEvent = a.expectedFirstEvent, 0
	a.startOverdueChecks()
	return a, ctx
}

// expectedTimeoutFactor is how many times the expected time a first event may take before
// another instance is asked. If only the caller's objective counted, prompts that wait in a
// queue would be processed by two or three instances, and first events would be late
// everywhere.
const expectedTimeoutFactor = 4

// errHeadTimeout means that the head of the answer did not arrive within its time limit.
var errHeadTimeout = errors.New("the instance did not answer in time")

func (a *attempt) send(ctx context.Context) error {
	q := a.request
	headers := AttemptHeaders{Instance: a.instance.ID, Model: q.modelName(), LastEventID: q.lastEventID}
	if q.organisation != nil {
		headers.Organisation = q.organisation.Name
	}
	if q.service.Engine {
		headers.Priority, headers.HasPriority = q.priority(), true
	}
	upstreamRequest := &upconn.Request{
		ID: q.headers.ID, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: func() http.Header {
			headers.Timeout = time.Until(q.deadline)
			return q.Codec.UpstreamHeaders(q.r.Header, headers)
		},
		Body:        q.body,
		HasBody:     q.body.Len() > 0 || (q.r.Method != http.MethodGet && q.r.Method != http.MethodHead),
		IsWithdrawn: func() bool { return a.hasCallerLeft() || a.isWithdrawn() || a.isRefused() },
	}
	exchange, err := a.exchangeHeads(ctx, upstreamRequest)
	if err != nil {
		if !upconn.NotSent(err) {
			a.sent = true
			q.sends++
			q.runs++
			q.ran = fault.RanUnknown
		}
		return err
	}
	a.sent = true
	q.sends++
	a.exchange = exchange
	a.identifyRejecter(ctx)
	if !a.misdirected.mayBeOther() && a.answerHeaders.ID != "" {
		exchange.ConfirmInstance()
	}
	if a.answerHeaders.HasLoad {
		q.Table.ReportLoad(a.instance, a.answerHeaders.Load)
	}
	if a.answerHeaders.Leaving || a.misdirected == otherInstance {
		a.noteLeaving()
	}
	a.noteLimit()
	if a.answerHeaders.Warming > 0 {
		q.Table.NoteWarming(a.instance, a.answerHeaders.Warming)
	}
	if a.answerHeaders.BackOff > 0 {
		q.Table.BackOff(a.instance, a.answerHeaders.BackOff)
		slog.Info("instance.resting", "instance", a.instance.ID, "rest_ms", a.answerHeaders.BackOff.Milliseconds(), "request", a.request.headers.ID)
	}
	a.noteFragile()
	if a.isRejection() {
		return nil
	}
	if a.answerHeaders.NotRun {
		return &refusedError{instance: a.instance.ID}
	}
	a.noteHead()
	a.answerEnded = a.Quarantine.Answering(a.suspect())
	a.removeWaiting()
	q.firstEvent = a.headAt.Sub(a.sentAt)
	if q.service.Engine {
		q.prefillRate.Observe(a.queuedPrefill+a.prefill, q.firstEvent, a.headAt)
	}
	q.runs++
	q.ran = fault.RanUnknown
	return nil
}

// exchangeHeads sends the request and reads the head of the answer.
func (a *attempt) exchangeHeads(ctx context.Context, r *upconn.Request) (*upconn.Exchange, error) {
	service := a.service.Name
	_, tunneled := a.Paths.Tunneled(service)
	a.tunneled.Store(tunneled)
	if !tunneled {
		a.Paths.Sent(service)
		if a.route.Idempotent() {
			a.direct.add(a)
		}
	}
	to := upconn.Target{Address: a.instance.Address, Service: service, Instance: a.instance.ID}
	a.unanswered.add(a)
	defer a.unanswered.remove(a)
	exchange, err := a.Pool.Do(ctx, to, a.maxConnections(), r, a.acceptAnswer)
	if !tunneled {
		a.Paths.Answered(service, err == nil && !a.misdirected.mayBeOther())
	}
	var byTunnel *upconn.TunneledError
	switch {
	case err == nil:
		a.gateway = exchange.Gateway()
		a.tunneled.Store(a.gateway != "")
	case errors.As(err, &byTunnel):
		a.tunneled.Store(true)
	}
	return exchange, err
}

// hasCallerLeft reports whether nobody waits for the answer any more.
func (q *request) hasCallerLeft() bool {
	q.callerLeft = q.callerLeft || q.CallerLeft(q.r.Context())
	return q.callerLeft
}

// isWithdrawn reports whether the instance may no longer get requests.
func (a *attempt) isWithdrawn() bool {
	if a.Table.MaySend(a.instance) {
		return false
	}
	a.Metrics.Withdrawn.Add(1)
	slog.Info("attempt.withdrawn", "request", a.request.headers.ID, "instance", a.instance.ID, "failure_domain", a.instance.FailureDomain,
		"after_ms", time.Since(a.sentAt).Milliseconds(), "list", a.Table.Revision())
	return true
}

// removeWaiting subtracts the attempt's work from the waiting work of the instance. It does so
// once, at the head of the answer or at the end of the attempt.
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

// fail ends an attempt whose answer cannot be relayed.
func (a *attempt) fail(err error) {
	a.failure = err
	outcome := inventory.OutcomeFailed
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		outcome = inventory.OutcomeNone
	case a.r.Context().Err() != nil, errors.Is(err, context.DeadlineExceeded):
		outcome = inventory.OutcomeNone
	case errors.Is(err, upconn.ErrNoConnection), errors.Is(err, upconn.ErrWithdrawn), errors.Is(err, upconn.ErrNoGateway), errors.Is(err, upconn.ErrGatewaysBusy):
		outcome = inventory.OutcomeNone
	case upconn.NotSent(err):
		outcome = inventory.OutcomeUnreachable
	case errors.Is(err, errHeadTimeout):
		outcome = inventory.OutcomeTimeout
	}
	outcome = a.pathOutcome(outcome, err)
	a.broken = outcome == inventory.OutcomeFailed && isConnectionBroken(err)
	if a.r.Context().Err() == nil {
		if isConnectionBroken(err) {
			a.quarantineDecided = a.Quarantine.ConnectionBroken(a.instance, a.endedSuspect())
		}
		a.noteLoss(err)
		slog.Info("attempt.failed", "request", a.request.headers.ID, "instance", a.instance.ID, "version", a.instance.Version,
			"digest", a.digest, "parts", a.loggedParts(), "model", a.model, "list", a.Table.Revision(), "after_ms", time.Since(a.sentAt).Milliseconds(), "error", err)
	}
	a.end(outcome)
}

// end releases the resources of the attempt and records its outcome. Only the first call has
// an effect.
func (a *attempt) end(outcome inventory.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.recordRun(outcome)
	a.leave()
	if a.answerEnded != nil {
		a.answerEnded()
	}
	a.direct.remove(a)
	a.noteWhole(outcome)
	a.noteAbandoned()
	a.stopOverdueChecks()
	a.span.End()
	if a.exchange != nil {
		a.exchange.Close()
	}
	a.cancel()
	a.removeWaiting()
	a.Table.End(a.instance, outcome)
	a.Endings.End(a.instance.Hash(), isConnectionBroken(a.failure))
	a.releaseMemory()
	a.noteEnded(outcome)
	a.observeLatency(outcome)
	a.noteSpeed(outcome)
	if a.broken {
		a.observeLater()
	} else if o, ok := a.finalObservation(outcome); ok {
		a.Versions.Observe(a.service.Name, o)
	}
}
