package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

const (
	// stallFactor is how many times the route's MaxGap a stream may pause before it is resumed at
	// another instance. By then the answer is late, and a healthy engine under load pauses for
	// less.
	stallFactor = 2
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
)

// lowConfidenceError means that the model's answer is probably not good enough.
type lowConfidenceError struct{ confidence int }

func (e *lowConfidenceError) Error() string {
	return fmt.Sprintf("confidence %d is too low", e.confidence)
}

// runStream serves a request whose answer is a stream of events.
func (q *request) runStream(ctx context.Context) error {
	if q.headers.Model == AnyModel && len(q.route.Models) > 0 {
		q.model = q.firstModel()
	}
	// An instance that exceeds both the objective and the time expected for its work is probably
	// stuck. startAttempt determines the expected time.
	headTimeout := time.Duration(0)
	if q.route.Idempotent() {
		headTimeout = q.route.Objective
	}
	var failed *answer
	for {
		a, err := q.startAttempt(ctx, headTimeout)
		if err == nil {
			failed, err = q.relayStream(a)
		}
		var lowConfidence *lowConfidenceError
		switch {
		case err == nil:
			return nil
		case q.held != nil && fault.Is(err, fault.Cancelled):
			// A dropped caller must not cost another attempt.
			return err
		case errors.As(err, &lowConfidence):
			q.model = q.route.Models[len(q.route.Models)-1]
			delete(q.tried, q.lastInstance.ID)
		case !q.mayRetry(ctx, err):
			return q.giveUp(failed, err)
		}
	}
}

// relayStream sends the events of an attempt to the caller as they arrive. After an error, the
// stream can be resumed after q.lastEventID. If the server answered with an error, relayStream
// also returns that answer.
func (q *request) relayStream(a *attempt) (*answer, error) {
	if !q.headSent && a.exchange.Status() >= http.StatusMultipleChoices {
		return q.relay(a)
	}
	err := checkHead(a)
	if err == nil {
		err = q.checkContinuation(a)
	}
	if err != nil {
		a.fail(err)
		return nil, err
	}
	if q.shouldEscalate(a) {
		err := &lowConfidenceError{confidence: a.answerHeaders.Confidence}
		a.dropped = true
		a.end(inventory.OutcomeSuccess)
		return nil, err
	}
	if q.held != nil {
		return nil, q.relayEvents(a)
	}
	stall := time.AfterFunc(q.stallTimeout(), a.cancel)
	defer stall.Stop()
	events := q.readEvents(a)
	defer events.close()
	for {
		e, err := q.nextEvent(events)
		if err == io.EOF {
			return nil, q.endStream(a)
		}
		if err != nil {
			return nil, q.failStream(a, err)
		}
		stall.Reset(q.stallTimeout())
		a.noteEvent(e.id)
		if !q.headSent {
			q.sendHead(a.exchange.Status(), a.exchange.Header())
			q.setWriteDeadline()
		}
		if err := q.sendEvent(e); err != nil {
			a.end(inventory.OutcomeNone)
			return nil, fault.New(fault.Cancelled, "the caller cannot be written to: %v", err)
		}
	}
}

// errOtherContent means that the answer to a resumed request is not of the type of the stream that has begun.
var errOtherContent = errors.New("the answer is not of the type of the stream")

// checkContinuation returns an error if part of the stream has been sent and the answer does not continue it.
func (q *request) checkContinuation(a *attempt) error {
	switch {
	case !q.headSent:
		return nil
	case a.exchange.Status() != q.status:
		return &serverError{status: a.exchange.Status()}
	case mediaType(a.exchange.Header()) != mediaType(q.w.Header()):
		return errOtherContent
	}
	return nil
}

// mediaType returns the type of a body without its parameters; empty if it is not stated.
func mediaType(h http.Header) string {
	text, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(text))
}

func (q *request) endStream(a *attempt) error {
	if err := a.finish(); err != nil {
		return q.failStream(a, err)
	}
	a.end(inventory.OutcomeSuccess)
	q.ran = fault.RanYes
	if !q.headSent {
		q.sendHead(a.exchange.Status(), a.exchange.Header())
	}
	return nil
}

// failStream ends an attempt whose stream broke off or paused for too long.
func (q *request) failStream(a *attempt, err error) error {
	if !errors.Is(err, errAnswerCut) {
		err = fmt.Errorf("%w: %w", errAnswerCut, err)
	}
	a.fail(err)
	return err
}

func (q *request) stallTimeout() time.Duration {
	if q.route.MaxGap <= 0 || !q.route.Resumable {
		return time.Until(q.deadline)
	}
	return stallFactor * q.route.MaxGap
}

// setWriteDeadline prevents a caller that does not read from holding the request beyond its
// deadline.
func (q *request) setWriteDeadline() {
	// Some writers do not support deadlines. The request then lasts until the caller closes the
	// connection.
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(time.Second))
}

// sendEvent sends one event to the caller.
func (q *request) sendEvent(e event) error {
	if _, err := q.w.Write(e.bytes); err != nil {
		return err
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return err
	}
	if e.id != "" {
		q.lastEventID = e.id
	}
	return nil
}

// event is one event of a stream, including the blank line that ends it.
type event struct {
	bytes []byte
	id    string
	// hasData is set if the event has data, and is not only a comment, say.
	hasData bool
}

// eventReader splits a stream into events. Bytes after the last blank line are not an event: a
// server that crashes may stop in the middle of one, and a caller that received part of an
// event could not resume.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	// budget bounds the memory of the long events of all requests; nil means no limit. counted is what
	// is counted there for buffer.
	budget  *limit.ByteBudget
	counted int
}

// nextEvent returns the next event of an attempt if it follows those before.
func (q *request) nextEvent(events *eventReader) (event, error) {
	e, err := events.next()
	if err == nil {
		err = q.sequence.add(e)
	}
	if errors.Is(err, errOutOfOrder) {
		q.Metrics.OutOfOrder.Add(1)
	}
	return e, err
}

// readEvents returns a reader of the events of an attempt, which the caller closes.
func (q *request) readEvents(a *attempt) *eventReader {
	events := newEventReader(a.exchange)
	events.budget = q.AnswerBytes
	q.sequence.beginRun()
	return events
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 4<<10)}
}

var (
	errPartialEvent = errors.New("the stream ended inside an event")
	errEventTooLong = &readlimit.Error{Limit: maxEventBytes, What: "bytes in an event"}
	errEventMemory  = &readlimit.Error{Limit: bufferStep, What: "bytes in an event, and no memory for it"}
)

// append adds bytes to the event. Beyond the first bufferStep they count in the budget, twice, since
// the buffer may be twice as large.
func (s *eventReader) append(line []byte) error {
	n := len(s.buffer) + len(line)
	if n > maxEventBytes {
		return errEventTooLong
	}
	for s.budget != nil && n > bufferStep+s.counted/2 {
		if !s.budget.Take(2 * bufferStep) {
			return errEventMemory
		}
		s.counted += 2 * bufferStep
	}
	s.buffer = append(s.buffer, line...)
	return nil
}

// reset discards the last event, and the buffer if it counts.
func (s *eventReader) reset() {
	s.buffer = s.buffer[:0]
	if s.counted > 0 {
		s.budget.Release(s.counted)
		s.buffer, s.counted = nil, 0
	}
}

// close ends the use of the reader and of its last event.
func (s *eventReader) close() { s.reset() }

var idField, dataField = []byte("id:"), []byte("data")

// next returns the next event, or io.EOF at the proper end of the stream. The bytes of the
// event are valid until the next call.
func (s *eventReader) next() (event, error) {
	s.reset()
	var e event
	lineStart := 0
	for {
		part, err := s.reader.ReadSlice('\n')
		if tooLong := s.append(part); tooLong != nil {
			return e, tooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(s.buffer) > 0:
			return e, errPartialEvent
		case err != nil:
			return e, err
		}
		trimmed := bytes.TrimRight(s.buffer[lineStart:], "\r\n")
		lineStart = len(s.buffer)
		if id, ok := bytes.CutPrefix(trimmed, idField); ok {
			e.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
		if bytes.HasPrefix(trimmed, dataField) {
			e.hasData = true
		}
		if len(trimmed) == 0 {
			e.bytes = s.buffer
			return e, nil
		}
	}
}
