package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// incompleteReason is why a caller did not get a whole answer; empty if it did as far as is known.
type incompleteReason string

const (
	// answerCut means that no attempt was left to complete an answer whose head had been sent.
	answerCut incompleteReason = "cut"
	// notWritten means that the connection to the caller failed while the answer was written.
	notWritten incompleteReason = "not_written"
	// panicked means that the handler panicked after the head had been sent.
	panicked incompleteReason = "panicked"
)

// answerError ends a request with an error. If the caller already has part of an answer, the connection is
// closed, which prevents that part from looking complete.
func (q *request) answerError(f *fault.Error) {
	if q.headSent {
		q.status = 0
		if q.incomplete == "" {
			q.incomplete = answerCut
		}
		q.recordDone(f)
		panic(http.ErrAbortHandler)
	}
	q.sendError(f)
	q.answered = true
	q.recordDone(f)
}

// closeIfLeaving asks the caller to close its connection, between two requests, if this daemon is leaving.
func (q *request) closeIfLeaving() {
	if q.IsLeaving() {
		q.w.Header().Set("Connection", "close")
	}
}

// answerPanic is deferred by the handler. net/http would close the connection of a request whose handler
// panics without an answer.
func (q *request) answerPanic() {
	v := recover()
	switch {
	case v == nil:
		return
	case v == http.ErrAbortHandler:
		panic(v)
	}
	slog.Error("request.panicked", "request", q.headers.ID, "panic", v, "stack", string(debug.Stack()))
	if q.running != nil {
		q.running.end(inventory.OutcomeNone)
	}
	if q.answered {
		return
	}
	if q.headSent {
		q.incomplete = panicked
	}
	q.answerError(fault.New(fault.Internal, "internal error").WithRan(q.ran))
}

// cancelCause returns why the context of a caller's request was cancelled.
func cancelCause(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return errCallerLeft
}

// ErrStopping is the cause with which the contexts of requests are cancelled that a planned stop cannot
// wait for.
var ErrStopping = errors.New("this daemon stops before the answer")

var errCallerLeft = errors.New("the caller has left")
