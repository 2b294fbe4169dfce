package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// attemptReader reads the answer of one attempt over as many connections as
// it takes.
type attemptReader struct {
	*execution
	ref      config.VersionRef
	upstream member.Upstream
	id       string
	emit     emitFunc
	sentAt     time.Time

	nextOffset    int
	connectionLost  bool
	firstEventAt time.Time
}

// read takes over an open stream, or the error of opening it.
func (r *attemptReader) read(ctx context.Context, stream *upstream.Stream, err error) attemptResult {
	tries := 0
	for {
		if err == nil {
			before := r.nextOffset
			var last upstream.Event
			last, err = r.readStream(ctx, stream)
			stream.Close()
			if err == nil {
				r.recordTiming(last)
				return attemptResult{lastEvent: last, upstreamFailed: r.connectionLost}
			}
			if r.nextOffset > before {
				tries = 0
			}
		}
		if stop, final := r.shouldStop(ctx, err, tries); stop {
			return final
		}
		r.connectionLost = true
		if !sleep(ctx, resumeBackoff<<tries) {
			continue
		}
		tries++
		stream, err = r.Engines.Resume(ctx, r.upstream.Instance.Address, r.id, r.nextOffset)
	}
}

// stops decides whether reading ends without the whole answer.
func (r *attemptReader) shouldStop(ctx context.Context, err error, tries int) (bool, attemptResult) {
	base := attemptResult{upstreamFailed: r.connectionLost || !errors.Is(err, errAbandoned)}
	switch {
	case errors.Is(err, errAbandoned):
		r.cancel(ctx)
		base.err, base.noRetry = err, true
	case errors.Is(ctx.Err(), context.Canceled):
		// The daemon stops. The upstream goes on: the caller can continue the
		// answer there with its resume token.
		base.err, base.noRetry = ctx.Err(), true
	case ctx.Err() != nil:
		r.cancel(ctx)
		base.err, base.noRetry = ctx.Err(), true
	case trace.IsNotFound(err):
		// The engine does not know the attempt: it never arrived or the
		// engine has restarted since. Which of the two cannot be told.
		base.err = r.incompleteError("the upstream lost the attempt")
	case tries >= maxResumes:
		r.cancel(ctx)
		base.err = r.incompleteError("the upstream cannot be reached")
	default:
		return false, attemptResult{}
	}
	return true, base
}

// cut is the error for an answer that cannot be completed. It is never an
// end: a caller that saw a part of the answer must not take it for the whole.
func (r *attemptReader) incompleteError(why string) error {
	if r.out.Started() {
		return fault.New(fault.AnswerCut, "the answer broke off: %s", why).WithRan(fault.RanUnknown)
	}
	return fault.New(fault.UpstreamFailed, "%s", why).WithRan(fault.RanUnknown)
}

// cancelTimeout bounds the cancelling of an attempt nobody waits for.
const cancelTimeout = time.Second

func (r *attemptReader) cancel(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// A failure leaves the attempt to end by itself.
	_ = r.Engines.Cancel(ctx, r.upstream.Instance.Address, r.id)
}

// drain passes events on until the last one, which it returns.
func (r *attemptReader) readStream(ctx context.Context, stream *upstream.Stream) (upstream.Event, error) {
	for {
		event, err := stream.Next()
		if err != nil {
			return upstream.Event{}, err
		}
		r.nextOffset = stream.NextOffset()
		if r.firstEventAt.IsZero() {
			r.firstEventAt = r.Clock.Now()
			r.ran = fault.RanYes
		}
		if err := r.deliver(ctx, event); err != nil {
			return upstream.Event{}, err
		}
		if event.Last() {
			return event, nil
		}
	}
}

func (r *attemptReader) deliver(ctx context.Context, event upstream.Event) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !r.req.HasIdempotencyKey && r.req.Kind.Idempotent && r.out.Abandoned(r.Clock.Now(), r.AbandonGrace) {
		return errAbandoned
	}
	return r.emit(event)
}

// observe learns the version's timing from a whole answer.
func (r *attemptReader) recordTiming(last upstream.Event) {
	if last.Usage == nil || last.Usage.CompletionTokens == 0 {
		return
	}
	generation := r.Clock.Since(r.firstEventAt)
	r.latencies.observe(r.ref, r.firstEventAt.Sub(r.sentAt), generation/time.Duration(last.Usage.CompletionTokens))
}

// pause waits, or reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
