package dispatch

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/route"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

const (
	// maxAttempts bounds the attempts of one step, refused ones included.
	maxAttempts = 8
	// maxResumes bounds the reconnections to a running attempt without a new
	// event in between.
	maxResumes = 5
	// resumePause is the first pause before a reconnection; it doubles.
	resumeBackoff = 20 * time.Millisecond
	// queueLimit is how many attempts per slot an upstream is sent.
	queueLimit = 1.5
)

// step runs one version to the end of its answer and adds it to the bill. emit
// gets every event in order, the last one included.
func (e *execution) runStep(ctx context.Context, ref config.VersionRef, emit emitFunc) (upstream.Event, error) {
	excluded := map[string]bool{}
	for range maxAttempts {
		u, attempt, err := e.acquireUpstream(ctx, ref, excluded)
		if err != nil {
			return upstream.Event{}, err
		}
		result := e.runAttempt(ctx, ref, u, attempt, emit)
		e.Upstreams.Ended(u.Instance.ID, attempt, result.upstreamFailed)
		if result.err == nil {
			e.chargeStep(ctx, ref, result.lastEvent)
			return result.lastEvent, nil
		}
		if !e.mayRetry(ctx, result) {
			return upstream.Event{}, result.err
		}
		excluded[u.Instance.ID] = true
	}
	return upstream.Event{}, fault.New(fault.NoUpstream, "no upstream took the request in %d attempts", maxAttempts)
}

// emitter takes the events of an answer in order.
type emitFunc func(upstream.Event) error

// result is how an attempt ended.
type attemptResult struct {
	lastEvent upstream.Event
	err  error
	// notRun is true when the upstream certainly did not start.
	notRun bool
	// upstreamFailed counts towards ejecting the upstream.
	upstreamFailed bool
	// final is true when another attempt must not follow.
	noRetry bool
}

// mayRetry decides whether another attempt may follow a failed one.
//
// What was certainly not run may always go elsewhere. After an unknown outcome
// only idempotent work may, since the first attempt may still run: a reply
// draft would be sent twice. Nothing may follow events that the caller has
// seen, as a second answer would be joined to the first. The budget keeps
// retries from multiplying the load of failing upstreams.
func (e *execution) mayRetry(ctx context.Context, r attemptResult) bool {
	if ctx.Err() != nil || r.noRetry {
		return false
	}
	if r.notRun {
		return true
	}
	return e.req.Kind.Idempotent && !e.out.Started() && e.retries.Take()
}

// acquire waits for room at an upstream that serves ref and counts the attempt
// as sent there.
func (e *execution) acquireUpstream(ctx context.Context, ref config.VersionRef, excluded map[string]bool) (member.Upstream, string, error) {
	attempt := rand.Text()
	tokens := e.expectedTokens()
	timing := e.latencies.estimate(ref)
	work := limit.Work{
		Priority:     e.req.Kind.Priority.Level(),
		Organisation: e.req.Organisation,
		Cost:         float64(tokens),
		Deadline:     e.req.Deadline,
		ServiceTime:  timing.firstToken + time.Duration(tokens)*timing.perToken,
	}
	if !e.servedByOther(ref, excluded) {
		return member.Upstream{}, "", fault.New(fault.NoUpstream, "no upstream serves %s now", ref)
	}
	var chosen member.Upstream
	err := e.queueFor(ref.String()).Wait(ctx, work, func() bool {
		u, ok := e.chooseUpstream(ref, excluded)
		if ok {
			chosen = u
			e.Upstreams.Started(u.Instance.ID, attempt)
		}
		return ok
	})
	return chosen, attempt, err
}

func (e *execution) servedByOther(ref config.VersionRef, excluded map[string]bool) bool {
	for _, u := range e.Upstreams.Usable(backing.RoleEngine) {
		if u.Serves(ref) && !excluded[u.Instance.ID] {
			return true
		}
	}
	return false
}

// choose picks an upstream for ref, or none while all are full.
func (e *execution) chooseUpstream(ref config.VersionRef, excluded map[string]bool) (member.Upstream, bool) {
	usable := e.Upstreams.Usable(backing.RoleEngine)
	var loads []route.UpstreamLoad
	byID := map[string]member.Upstream{}
	for _, u := range usable {
		if !u.Serves(ref) || excluded[u.Instance.ID] {
			continue
		}
		byID[u.Instance.ID] = u
		loads = append(loads, route.UpstreamLoad{
			ID:                u.Instance.ID,
			SameFailureDomain: u.Instance.FailureDomain == e.FailureDomain,
			Slots:             u.Report.Slots,
			Attempts:          route.EstimateLoad(u.Report.Running+u.Report.Queued, u.SentSince),
		})
	}
	bound := e.Policy().WithDefaults().AffinityBound
	key := route.PrefixKey(e.req.Organisation, promptText(e.req))
	var picked route.UpstreamLoad
	var ok bool
	e.withRandom(func(random *mathrand.Rand) {
		picked, ok = route.PickUpstream(loads, key, bound, queueLimit, random)
	})
	return byID[picked.ID], ok
}

// attempt sends one attempt and reads its answer, reconnecting when the stream
// is cut.
func (e *execution) runAttempt(ctx context.Context, ref config.VersionRef, u member.Upstream, id string, emit emitFunc) attemptResult {
	ctx, span := tracer.Start(ctx, "attempt")
	defer span.End()
	span.SetAttributes(attribute.String("upstream", u.Instance.ID), attribute.String("version", ref.String()), attribute.String("attempt", id))
	if err := e.recordAttempt(ctx, ref, u, id); err != nil {
		return attemptResult{err: err, notRun: true, noRetry: true}
	}
	if err := e.checkVersion(ctx, ref); err != nil {
		return attemptResult{err: err, notRun: true, noRetry: true}
	}
	chat := e.req.Chat
	chat.Model = ref.String()
	chat.Stream = true
	sent := e.Clock.Now()
	stream, err := e.Engines.Start(ctx, u.Instance.Address, upstream.Attempt{
		ID: id, RequestID: e.req.ID, Kind: e.req.KindName, Priority: e.req.Kind.Priority.Level(), Chat: chat,
	})
	if err != nil && upstream.NotRun(err) {
		return e.notRunResult(u, err)
	}
	if e.ran == fault.RanNo {
		e.ran = fault.RanUnknown
	}
	reader := &attemptReader{execution: e, ref: ref, upstream: u, id: id, emit: emit, sentAt: sent}
	return reader.read(ctx, stream, err)
}

// record makes the bill name this attempt before it is sent, so that after a
// crash the right upstream is asked what ran.
func (e *execution) recordAttempt(ctx context.Context, ref config.VersionRef, u member.Upstream, attempt string) error {
	snapshot, _, err := e.Fresh.Ensure(ctx)
	if err != nil {
		return err
	}
	version := snapshot.Doc.Models[ref.Model].Versions[ref.Version]
	e.bill.Version = ref
	e.bill.Upstream = u.Instance.Address
	e.bill.Attempt = attempt
	e.bill.InputPrice, e.bill.OutputPrice = version.InputPrice, version.OutputPrice
	if e.billOpened {
		e.bill.State = ledger.Open
		return e.Billing.Update(ctx, e.bill)
	}
	if err := e.Billing.Open(ctx, e.bill); err != nil {
		return err
	}
	e.billOpened = true
	return nil
}

// confirm looks at the version once more, right before the attempt is sent.
//
// The plan may be old by now: the request waited in a queue, the bill waited
// for a slow peer, or the daemon was paused. Sending then would give new work
// to a version withdrawn in the meantime.
func (e *execution) checkVersion(ctx context.Context, ref config.VersionRef) error {
	snapshot, provenOnly, err := e.Fresh.Ensure(ctx)
	if err != nil {
		return err
	}
	state, known := snapshot.State(ref)
	switch {
	case !known || state == config.Withdrawn:
		if e.req.Session != nil {
			return fault.New(fault.SessionWithdrawn, "%s was withdrawn; start a new session", ref)
		}
		return fault.New(fault.VersionWithdrawn, "%s was withdrawn while the request waited", ref).WithRetryAfter(resumeBackoff)
	case !snapshot.Allows(e.req.Organisation, ref):
		return fault.New(fault.ModelNotAllowed, "the organisation may not use %s any more", ref)
	case provenOnly && !snapshot.Proven(ref):
		return fault.New(fault.ConfigStale, "%s cannot be used until the configuration is confirmed", ref)
	}
	return nil
}

func (e *execution) notRunResult(u member.Upstream, err error) attemptResult {
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		if refused.Reason == upstream.RefusedLeaving {
			e.Upstreams.MarkLeaving(u.Instance.ID)
		}
		return attemptResult{err: fault.New(fault.NoUpstream, "%v", err), notRun: true}
	}
	return attemptResult{err: fault.New(fault.UpstreamFailed, "%v", err), notRun: true, upstreamFailed: true}
}

// addStep charges a finished run.
func (e *execution) chargeStep(ctx context.Context, ref config.VersionRef, last upstream.Event) {
	usage := upstream.Usage{}
	if last.Usage != nil {
		usage = *last.Usage
	}
	e.bill.AddStep(ledger.Step{
		Version:          ref,
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		Amount:           e.bill.InputPrice*int64(usage.PromptTokens) + e.bill.OutputPrice*int64(usage.CompletionTokens),
	})
	slog.DebugContext(ctx, "step.finished", "request", e.req.ID, "version", ref, "tokens", usage.CompletionTokens)
}

// showHead signs the tokens and lets readers see the head of the answer. The
// bill names the attempt that answers.
func (e *execution) startAnswer() error {
	if e.out.Started() {
		return nil
	}
	ref := e.bill.Version
	token := e.req.SessionToken
	if e.req.Session == nil {
		signed, err := e.Signer.SignSession(session.Session{Organisation: e.req.Organisation, Version: ref, Started: e.Clock.Now()})
		if err != nil {
			return trace.Wrap(err)
		}
		token = signed
	}
	resume, err := e.Signer.SignResume(session.Resume{
		RequestID: e.req.ID, Organisation: e.req.Organisation, Version: ref,
		Address: e.bill.Upstream, Attempt: e.bill.Attempt, Session: token,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	e.out.Start(answer.Head{Version: ref, Session: token, Resume: resume, Created: e.started})
	return nil
}
