package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

const (
	// maxBufferedAnswer is the longest answer that is read completely before any of it is sent to
	// the caller, so that an incomplete one can be replaced.
	maxBufferedAnswer = 256 << 10
	// bufferStep is by how much an answer is read at a time until it is that long. The first step
	// does not count in Deps.AnswerBytes.
	bufferStep = 16 << 10
	// objectiveTimeoutFactor is how many times the objective an idempotent request waits for one
	// instance before another is asked. The slowest answers of a healthy instance take five times
	// the mean, and the mean is a fifth of the objective.
	objectiveTimeoutFactor = 2
)

var (
	errUnverifiable = errors.New("the answer has no digest or not the server's bytes")
	errAnswerCut    = errors.New("the answer ended early")
)

// serverError is an error status with which the server itself answered.
type serverError struct{ status int }

func (e *serverError) Error() string { return fmt.Sprintf("the server answered %d", e.status) }

// answer is a complete answer of an instance.
type answer struct {
	status int
	header http.Header
	// body is the body in pieces.
	body [][]byte
}

// runPlain serves a request whose answer is a single body.
func (q *request) runPlain(ctx context.Context) error {
	headTimeout := time.Duration(0)
	if q.route.Kind == catalog.Safe {
		headTimeout = objectiveTimeoutFactor * q.route.Objective
	}
	var failed *answer
	for {
		a, err := q.startAttempt(ctx, headTimeout)
		if err == nil {
			failed, err = q.relay(a)
		}
		if err == nil {
			return nil
		}
		if !q.mayRetry(ctx, err) {
			return q.giveUp(failed, err)
		}
	}
}

// giveUp sends the server's own error answer to the caller if there is one, and otherwise
// returns err.
func (q *request) giveUp(failed *answer, err error) error {
	if failed == nil || q.headSent {
		return err
	}
	q.ran = fault.RanYes
	return q.sendAnswer(failed)
}

// relay reads the answer of an attempt and sends it to the caller. If it returns an error, the
// caller has received nothing unless q.headSent is set. If the server answered with an error,
// relay also returns that answer.
func (q *request) relay(a *attempt) (*answer, error) {
	if err := checkHead(a); err != nil {
		a.fail(err)
		return nil, err
	}
	body, err := q.readAnswer(a)
	switch {
	case err == nil && q.held != nil:
		return nil, q.relayChunks(a, body)
	case err == nil:
		return nil, q.relayLong(a, body[0])
	case errors.Is(err, errNoMemory):
		q.releaseAnswer(body)
		a.end(inventory.OutcomeNone)
		return nil, noMemoryFault()
	case err != io.EOF:
		q.releaseAnswer(body)
		err = fmt.Errorf("%w: %w", errAnswerCut, err)
		a.fail(err)
		return nil, err
	}
	if err := a.finish(); err != nil {
		q.releaseAnswer(body)
		a.fail(err)
		return nil, err
	}
	whole := &answer{status: a.exchange.Status(), header: a.exchange.Header(), body: body}
	if whole.status >= http.StatusInternalServerError {
		err := &serverError{status: whole.status}
		a.fail(err)
		return whole, err
	}
	if a.isRejection() {
		a.end(inventory.OutcomeNone)
		return nil, q.sendAnswer(whole)
	}
	a.end(inventory.OutcomeSuccess)
	q.ran = fault.RanYes
	return nil, q.sendAnswer(whole)
}

// readAnswer reads the body of an answer. The error is io.EOF if that is the whole body, and nil if it
// is longer than may be buffered.
func (q *request) readAnswer(a *attempt) (body [][]byte, err error) {
	if q.held != nil {
		return q.readPieces(a)
	}
	var buffer bytes.Buffer
	for err == nil && buffer.Len() < maxBufferedAnswer {
		if buffer.Len() > 0 && !q.takeAnswerBytes() {
			break
		}
		_, err = io.CopyN(&buffer, a, bufferStep)
	}
	return [][]byte{buffer.Bytes()}, err
}

// takeAnswerBytes counts another step of an answer, for which the buffer may grow by twice as much. It
// returns false if there is no memory for it.
func (q *request) takeAnswerBytes() bool {
	const n = 2 * bufferStep
	if !q.AnswerBytes.Take(n) {
		return false
	}
	q.answerBytes += n
	return true
}

func (q *request) releaseAnswerBytes() {
	if q.answerBytes > 0 {
		q.AnswerBytes.Release(q.answerBytes)
		q.answerBytes = 0
	}
}

// checkHead returns an error for answers that callers must not get as a success: those without
// the server's digest, and those with a content encoding, whose bytes are not the server's.
func checkHead(a *attempt) error {
	success := a.exchange.Status() < http.StatusMultipleChoices
	if success && (!a.answerHeaders.HasDigest || a.exchange.Header().Get("Content-Encoding") != "") {
		return errUnverifiable
	}
	return nil
}

// relayLong sends an answer that is too long to be buffered. start is what has been read of it.
func (q *request) relayLong(a *attempt, start []byte) error {
	q.sendHead(a.exchange.Status(), a.exchange.Header())
	source := &errorReader{Reader: a}
	_, err := q.w.Write(start)
	q.releaseAnswerBytes()
	if err == nil {
		_, err = io.Copy(q.w, source)
	}
	if err != nil {
		a.callerFailed = source.err == nil
		err = fmt.Errorf("%w: %w", errAnswerCut, err)
		a.fail(err)
		return err
	}
	if err := a.finish(); err != nil {
		a.fail(err)
		return err
	}
	a.end(inventory.OutcomeSuccess)
	q.ran = fault.RanYes
	return nil
}

// errorReader remembers the error of a reader, other than its end.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// sendHead sends the head of an answer to the caller.
func (q *request) sendHead(status int, from http.Header) {
	header := q.w.Header()
	for name, values := range q.Codec.CallerHeaders(from) {
		header[name] = values
	}
	q.closeIfLeaving()
	q.status = status
	q.headSent = true
	if q.running != nil {
		q.running.delivering.Store(q.route.Kind != catalog.Stream || !q.route.Resumable)
	}
	q.firstByte = time.Since(q.startedAt)
	q.w.WriteHeader(status)
}

// sendAnswer sends a complete answer to the caller. It returns an error if the caller was dropped
// with part of the answer, so that the connection is closed and the part does not look complete.
func (q *request) sendAnswer(a *answer) error {
	q.sendHead(a.status, a.header)
	for _, piece := range a.body {
		if q.held != nil {
			if err := q.write(piece, false); err != nil {
				return err
			}
		} else if _, err := q.w.Write(piece); err != nil {
			// The caller cannot receive an error either.
			q.incomplete = notWritten
			return nil
		}
	}
	return nil
}
