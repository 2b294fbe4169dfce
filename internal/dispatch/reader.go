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

// attemptReader reads the answer of one attempt, reconnecting as needed.
type attemptReader struct {
	*execution
	ref      config.VersionRef
	upstream member.Upstream
	id       string
	emit     emitFunc
	sentAt   time.Time

	nextOffset     int
	connectionLost bool
	firstEventAt   time.Time
}

// read reads the answer to its end. stream and err are the result of starting
// the attempt.
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
		if stop, result := r.shouldStop(ctx, err, tries); stop {
			return result
		}
		r.connectionLost = true
		if !sleep(ctx, resumeBackoff<<tries) {
			continue
		}
		tries++
		stream, err = r.Engines.Resume(ctx, r.upstream.Instance.Address, r.id, r.nextOffset)
	}
}

// shouldStop reports whether to stop after err, although the answer is incomplete,
// and returns the result of the attempt in that case. tries is the number of
// consecutive reconnections without a new event.
func (r *attemptReader) shouldStop(ctx context.Context, err error, tries int) (bool, attemptResult) {
	base := attemptResult{upstreamFailed: r.connectionLost || !errors.Is(err, errAbandoned)}
	switch {
	case errors.Is(err, errAbandoned):
		r.cancel(ctx)
		base.err, base.noRetry = err, true
	case errors.Is(ctx.Err(), context.Canceled):
		// The daemon is stopping. The attempt is not cancelled, because the caller
		// can continue the answer at the upstream with its resume token.
		base.err, base.noRetry = ctx.Err(), true
	case ctx.Err() != nil:
		r.cancel(ctx)
		base.err, base.noRetry = ctx.Err(), true
	case trace.IsNotFound(err):
		// Either the attempt never arrived, or the engine has restarted since. The
		// two cases cannot be distinguished, so the outcome is unknown.
		base.err = r.incompleteError("the upstream lost the attempt")
	case tries >= maxResumes:
		r.cancel(ctx)
		base.err = r.incompleteError("the upstream cannot be reached")
	default:
		return false, attemptResult{}
	}
	return true, base
}

// incompleteError returns the error for an answer that cannot be completed. The
// answer must end with an error, because a caller would otherwise take the part
// that it has received for the whole answer.
func (r *attemptReader) incompleteError(why string) error {
	if r.out.Started() {
		return fault.New(fault.AnswerCut, "the answer broke off: %s", why).WithRan(fault.RanUnknown)
	}
	return fault.New(fault.UpstreamFailed, "%s", why).WithRan(fault.RanUnknown)
}

// cancelTimeout limits the time to cancel an attempt.
const cancelTimeout = time.Second

func (r *attemptReader) cancel(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// If this fails, the attempt runs to its end at the upstream.
	_ = r.Engines.Cancel(ctx, r.upstream.Instance.Address, r.id)
}

// readStream delivers events up to the last one, which it also returns.
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

// deliver passes an event to emit, unless the request has ended or its answer
// no longer has a reader. Answers to requests with an idempotency key and to
// requests that are not idempotent are completed even without a reader.
func (r *attemptReader) deliver(ctx context.Context, event upstream.Event) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !r.req.HasIdempotencyKey && r.req.Kind.Idempotent && r.out.Abandoned(r.Clock.Now(), r.AbandonGrace) {
		return errAbandoned
	}
	return r.emit(event)
}

// recordTiming adds the latency of a complete answer to the estimates.
func (r *attemptReader) recordTiming(last upstream.Event) {
	if last.Usage == nil || last.Usage.CompletionTokens == 0 {
		return
	}
	generation := r.Clock.Since(r.firstEventAt)
	r.latencies.observe(r.ref, r.firstEventAt.Sub(r.sentAt), generation/time.Duration(last.Usage.CompletionTokens))
}

// sleep waits for d. It returns false if ctx is done first.
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
