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
	// maxAttempts limits the attempts for one step, including refused ones.
	maxAttempts = 8
	// maxResumes limits the consecutive reconnections to a running attempt that
	// yield no new event.
	maxResumes = 5
	// resumeBackoff is the delay before the first reconnection; it doubles with
	// each further one.
	resumeBackoff = 20 * time.Millisecond
	// queueLimit limits the attempts in progress at an upstream, as a multiple of
	// its slots. Further requests wait in the queue of this daemon.
	queueLimit = 1.5
)

// runStep runs a version until its answer is complete, charges the step to the
// bill, and returns the last event. emit receives every event in order,
// including the last one.
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

// emitFunc receives the events of an answer in order.
type emitFunc func(upstream.Event) error

// attemptResult describes how an attempt ended.
type attemptResult struct {
	lastEvent upstream.Event
	err       error
	// notRun is true if the upstream is known not to have started the work.
	notRun bool
	// upstreamFailed is true if the attempt counts towards ejecting the
	// upstream.
	upstreamFailed bool
	// noRetry is true if no further attempt is allowed.
	noRetry bool
}

// mayRetry reports whether another attempt is allowed after a failed one.
//
// Work that is known not to have run may always be sent to another upstream.
// After an unknown outcome, only idempotent work may be sent again, because the
// first attempt may still be running: a reply draft would be sent twice. Once
// the caller may have received events, no attempt is allowed, because a second
// answer would be appended to the first. The retry budget keeps retries from
// multiplying the load of failing upstreams.
func (e *execution) mayRetry(ctx context.Context, r attemptResult) bool {
	if ctx.Err() != nil || r.noRetry {
		return false
	}
	if r.notRun {
		return true
	}
	return e.req.Kind.Idempotent && !e.out.Started() && e.retries.Take()
}

// acquireUpstream waits until an upstream that serves ref has capacity. It
// returns the upstream and the id of the new attempt, which is already counted
// towards the load of that upstream.
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

// servedByOther reports whether a usable upstream that is not in excluded
// serves ref.
func (e *execution) servedByOther(ref config.VersionRef, excluded map[string]bool) bool {
	for _, u := range e.Upstreams.Usable(backing.RoleEngine) {
		if u.Serves(ref) && !excluded[u.Instance.ID] {
			return true
		}
	}
	return false
}

// chooseUpstream picks an upstream for ref. It returns false if every upstream
// is at its queue limit.
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

// runAttempt sends an attempt to u and reads its answer. It reconnects if the
// stream is interrupted.
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

// recordAttempt writes the upstream and the attempt into the bill before the
// attempt is sent. After a crash, the usage is then requested from the right
// upstream.
func (e *execution) recordAttempt(ctx context.Context, ref config.VersionRef, u member.Upstream, attempt string) error {
	snapshot, _, err := e.ConfigSource.UsableSnapshot(ctx)
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

// checkVersion returns an error if ref may no longer be used. It is called
// right before an attempt is sent.
//
// The plan may be outdated by then: the request may have waited in a queue, the
// bill may have waited for a slow peer, or the daemon may have been paused.
// Without this check, new work would be sent to a version that has been
// withdrawn in the meantime.
func (e *execution) checkVersion(ctx context.Context, ref config.VersionRef) error {
	snapshot, provenOnly, err := e.ConfigSource.UsableSnapshot(ctx)
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

// notRunResult returns the result of an attempt that err proves was not run. An
// upstream that refuses because it is leaving gets no further attempts.
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

// chargeStep adds a completed step to the bill.
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

// startAnswer signs the session and resume tokens and sets the head of the
// answer, unless it is set already. The resume token names the attempt that is
// recorded in the bill.
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
