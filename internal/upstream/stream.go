package upstream

import (
	"encoding/json"
	"errors"
	"io"
	"iter"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"
)

// reorderWindow limits the events that are buffered while an earlier one is missing.
const reorderWindow = 64

// ErrIncomplete is returned if a connection ended before the answer was complete.
var ErrIncomplete = errors.New("stream ended before the answer")

// maxEventBytes limits the size of one SSE event.
const maxEventBytes = 1 << 20

// Stream yields the events of one attempt in order.
//
// Connections can deliver events late, twice, out of order, or from an abandoned
// attempt. A caller would receive words repeated, swapped or from another answer.
// So events of other attempts are dropped, and the others are yielded by
// increasing offset without gaps: the output is always a prefix of the answer,
// and its last event comes only after all others.
type Stream struct {
	body   io.Closer
	pull   func() (sse.Event, error, bool)
	stop   func()
	buffer reorderBuffer
}

func newStream(body io.ReadCloser, attempt string, next int) *Stream {
	pull, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &Stream{
		body:   body,
		pull:   pull,
		stop:   stop,
		buffer: reorderBuffer{attempt: attempt, next: next, pending: map[int]Event{}},
	}
}

// Next returns the next event in order. If the connection ends before the answer
// is complete, it returns ErrIncomplete; the attempt can then be resumed at
// NextOffset.
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

// NextOffset returns the offset of the next event. It counts the events returned
// over all connections of the attempt.
func (s *Stream) NextOffset() int { return s.buffer.next }

// Close closes the connection. It does not cancel the attempt.
func (s *Stream) Close() {
	s.body.Close()
	s.stop()
}

// reorderBuffer puts the events of one attempt in order.
type reorderBuffer struct {
	attempt string
	next    int
	pending map[int]Event
}

// push adds an event. It drops duplicates and events of other attempts. It returns
// false if more than reorderWindow events are buffered.
func (b *reorderBuffer) push(e Event) bool {
	if e.Attempt != b.attempt || e.Offset < b.next {
		return true
	}
	b.pending[e.Offset] = e
	return len(b.pending) <= reorderWindow
}

// pop removes and returns the next event in order. It returns false if that event
// has not arrived yet.
func (b *reorderBuffer) pop() (Event, bool) {
	e, ok := b.pending[b.next]
	if !ok {
		return Event{}, false
	}
	delete(b.pending, b.next)
	b.next++
	return e, true
}
