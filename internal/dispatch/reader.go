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
	emit     emitter
	sent     time.Time

	next    int
	failed  bool
	firstAt time.Time
}

// read takes over an open stream, or the error of opening it.
func (r *attemptReader) read(ctx context.Context, stream *upstream.Stream, err error) result {
	tries := 0
	for {
		if err == nil {
			before := r.next
			var last upstream.Event
			last, err = r.drain(ctx, stream)
			stream.Close()
			if err == nil {
				r.observe(last)
				return result{last: last, upstreamFailed: r.failed}
			}
			if r.next > before {
				tries = 0
			}
		}
		if stop, final := r.stops(ctx, err, tries); stop {
			return final
		}
		r.failed = true
		if !pause(ctx, resumePause<<tries) {
			continue
		}
		tries++
		stream, err = r.Engines.Resume(ctx, r.upstream.Instance.Address, r.id, r.next)
	}
}

// stops decides whether reading ends without the whole answer.
func (r *attemptReader) stops(ctx context.Context, err error, tries int) (bool, result) {
	base := result{upstreamFailed: r.failed || !errors.Is(err, errAbandoned)}
	switch {
	case errors.Is(err, errAbandoned):
		r.cancel(ctx)
		base.err, base.final = err, true
	case errors.Is(ctx.Err(), context.Canceled):
		// The daemon stops. The upstream goes on: the caller can continue the
		// answer there with its resume token.
		base.err, base.final = ctx.Err(), true
	case ctx.Err() != nil:
		r.cancel(ctx)
		base.err, base.final = ctx.Err(), true
	case trace.IsNotFound(err):
		// The engine does not know the attempt: it never arrived or the
		// engine has restarted since. Which of the two cannot be told.
		base.err = r.cut("the upstream lost the attempt")
	case tries >= maxResumes:
		r.cancel(ctx)
		base.err = r.cut("the upstream cannot be reached")
	default:
		return false, result{}
	}
	return true, base
}

// cut is the error for an answer that cannot be completed. It is never an
// end: a caller that saw a part of the answer must not take it for the whole.
func (r *attemptReader) cut(why string) error {
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
func (r *attemptReader) drain(ctx context.Context, stream *upstream.Stream) (upstream.Event, error) {
	for {
		event, err := stream.Next()
		if err != nil {
			return upstream.Event{}, err
		}
		r.next = stream.Offset()
		if r.firstAt.IsZero() {
			r.firstAt = r.Clock.Now()
			r.ran = fault.RanYes
		}
		if err := r.pass(ctx, event); err != nil {
			return upstream.Event{}, err
		}
		if event.Last() {
			return event, nil
		}
	}
}

func (r *attemptReader) pass(ctx context.Context, event upstream.Event) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !r.req.Keyed && r.req.Kind.Idempotent && r.out.Abandoned(r.Clock.Now(), r.AbandonGrace) {
		return errAbandoned
	}
	return r.emit(event)
}

// observe learns the version's timing from a whole answer.
func (r *attemptReader) observe(last upstream.Event) {
	if last.Usage == nil || last.Usage.CompletionTokens == 0 {
		return
	}
	generation := r.Clock.Since(r.firstAt)
	r.times.observe(r.ref, r.firstAt.Sub(r.sent), generation/time.Duration(last.Usage.CompletionTokens))
}

// pause waits, or reports false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
