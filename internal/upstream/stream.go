package upstream

import (
	"encoding/json"
	"errors"
	"io"
	"iter"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"
)

// reorderWindow is how many events may wait for a missing one.
const reorderWindow = 64

// ErrCut says that the connection ended before the answer did.
var ErrIncomplete = errors.New("stream ended before the answer")

// maxEventBytes bounds one SSE event.
const maxEventBytes = 1 << 20

// Stream yields the events of one attempt in order.
//
// Connections can deliver events late, twice, out of order or for an attempt
// that was given up; a caller would see words repeated, swapped or from
// another answer. The assembler passes an event on only when its attempt
// matches and its offset is the next one, so what comes out is a prefix of
// the answer, and the end comes out only after everything before it.
type Stream struct {
	body io.Closer
	pull func() (sse.Event, error, bool)
	stop func()
	buffer  reorderBuffer
}

func newStream(body io.ReadCloser, attempt string, next int) *Stream {
	pull, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &Stream{
		body: body,
		pull: pull,
		stop: stop,
		buffer:  reorderBuffer{attempt: attempt, next: next, pending: map[int]Event{}},
	}
}

// Next returns the next event in order. It returns ErrCut when the connection
// ended first; the attempt can then be resumed after Offset events.
func (s *Stream) Next() (Event, error) {
	for {
		if e, ok := s.buffer.pop(); ok {
			return e, nil
		}
		raw, err, ok := s.pull()
		if !ok || err != nil {
			return Event{}, trace.Wrap(ErrIncomplete)
		}
		if raw.Data == "[DONE]" {
			continue
		}
		var e Event
		if err := json.Unmarshal([]byte(raw.Data), &e); err != nil {
			return Event{}, trace.Wrap(ErrIncomplete, "undecodable event")
		}
		if !s.buffer.push(e) {
			return Event{}, trace.Wrap(ErrIncomplete, "more than %d events out of order", reorderWindow)
		}
	}
}

// Offset is how many events have been returned, over all connections.
func (s *Stream) NextOffset() int { return s.buffer.next }

// Close ends the connection. It does not cancel the attempt.
func (s *Stream) Close() {
	s.body.Close()
	s.stop()
}

// assembler puts events of one attempt in order.
type reorderBuffer struct {
	attempt string
	next    int
	pending map[int]Event
}

// push takes an event in. It returns false when too many events wait for a
// missing one.
func (a *reorderBuffer) push(e Event) bool {
	if e.Attempt != a.attempt || e.Offset < a.next {
		return true
	}
	a.pending[e.Offset] = e
	return len(a.pending) <= reorderWindow
}

func (a *reorderBuffer) pop() (Event, bool) {
	e, ok := a.pending[a.next]
	if !ok {
		return Event{}, false
	}
	delete(a.pending, a.next)
	a.next++
	return e, true
}
