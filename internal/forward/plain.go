package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

const (
	// bufferedAnswer is the longest answer that is read whole before the
	// caller gets any of it, so that a broken one can be replaced.
	maxBufferedAnswer = 256 << 10
	// silentFactor times the objective is how long an idempotent request waits
	// for one instance before another is asked: the slowest answers of a
	// sound one take five times the mean, which is a fifth of the objective.
	objectiveTimeoutFactor = 2
)

var (
	errUnverifiable = errors.New("the answer has no digest or not the server's bytes")
	errAnswerCut      = errors.New("the answer ended early")
)

// serverError is a failure that the server itself answered with.
type serverError struct{ status int }

func (e *serverError) Error() string { return fmt.Sprintf("the server answered %d", e.status) }

// answer is a whole answer of an instance.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// plain runs a request whose answer is one body.
func (q *request) runPlain(ctx context.Context) error {
	silent := time.Duration(0)
	if q.route.Kind == catalog.Safe {
		silent = objectiveTimeoutFactor * q.route.Objective
	}
	var failed *answer
	for {
		a, err := q.startAttempt(ctx, silent)
		if err == nil {
			failed, err = q.relay(a)
		}
		if err == nil {
			return nil
		}
		if q.headSent || !q.mayRetry(ctx, err) {
			return q.giveUp(failed, err)
		}
	}
}

// giveUp delivers the server's own failure where there is one.
func (q *request) giveUp(failed *answer, err error) error {
	if failed == nil || q.headSent {
		return err
	}
	q.ran = fault.RanYes
	q.sendAnswer(failed)
	return nil
}

// relay reads the answer of an attempt and passes it on. An error leaves the
// caller without any of it unless q.begun is set; with a server's own failure
// comes its answer.
func (q *request) relay(a *attempt) (*answer, error) {
	if err := checkHead(a); err != nil {
		a.fail(err)
		return nil, err
	}
	var body bytes.Buffer
	n, err := io.CopyN(&body, a.exchange, maxBufferedAnswer)
	switch {
	case err == nil && n == maxBufferedAnswer:
		return nil, q.relayLong(a, &body)
	case err != io.EOF:
		err = fmt.Errorf("%w: %w", errAnswerCut, err)
		a.fail(err)
		return nil, err
	}
	whole := &answer{status: a.exchange.Status(), header: a.exchange.Header(), body: body.Bytes()}
	if whole.status >= http.StatusInternalServerError {
		err := &serverError{status: whole.status}
		a.noteFinished()
		a.fail(err)
		return whole, err
	}
	a.noteFinished()
	a.end(inventory.OutcomeSuccess)
	q.ran = fault.RanYes
	q.sendAnswer(whole)
	return nil, nil
}

// checkHead looks for answers that no caller may get as a success: those
// without the server's digest or in another encoding than the server's bytes.
func checkHead(a *attempt) error {
	success := a.exchange.Status() < http.StatusMultipleChoices
	if success && (!a.answerHeaders.Sealed || a.exchange.Header().Get("Content-Encoding") != "") {
		return errUnverifiable
	}
	return nil
}

// relayLong passes on an answer that is too long to be kept.
func (q *request) relayLong(a *attempt, start io.Reader) error {
	q.sendHead(a.exchange.Status(), a.exchange.Header())
	if _, err := io.Copy(q.w, io.MultiReader(start, a.exchange)); err != nil {
		err = fmt.Errorf("%w: %w", errAnswerCut, err)
		a.fail(err)
		return err
	}
	a.noteFinished()
	a.end(inventory.OutcomeSuccess)
	q.ran = fault.RanYes
	return nil
}

// head sends the head of an answer to the caller.
func (q *request) sendHead(status int, from http.Header) {
	header := q.w.Header()
	for name, values := range q.Codec.Caller(from) {
		header[name] = values
	}
	q.status = status
	q.headSent = true
	q.firstByte = time.Since(q.startedAt)
	q.w.WriteHeader(status)
}

// deliver sends a whole answer to the caller.
func (q *request) sendAnswer(a *answer) {
	q.sendHead(a.status, a.header)
	if _, err := q.w.Write(a.body); err != nil {
		// The caller has left; there is nobody to tell.
		slog.Debug("request.not_delivered", "request", q.headers.ID, "error", err)
	}
}
