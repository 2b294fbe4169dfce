package forward

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// maxAhead bounds the bytes of an answer that are read before the caller takes them. Nearly all
// streams are shorter, so that the instance is free when it has generated the last event.
const maxAhead = maxBufferedAnswer

// ahead is the part of an answer that was read from the instance and not yet sent to the caller.
//
// Lock order: mu is taken alone.
type ahead struct {
	// more is signalled when there is something to send, and room when more may be read.
	more, room chan struct{}
	// stopped is set when the caller gets no more.
	stopped atomic.Bool

	mu     sync.Mutex
	pieces []event
	bytes  int
	ended  bool
}

// eventOverhead is the memory for an event in the buffer beside its bytes.
const eventOverhead = 64

// held returns the memory that an event takes in the buffer.
func (e event) held() int { return len(e.bytes) + eventOverhead }

func newAhead() *ahead {
	return &ahead{more: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// push adds a piece.
func (b *ahead) push(e event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pieces = append(b.pieces, e)
	b.bytes += e.held()
	signal(b.more)
}

// hasRoom reports whether the next piece may be read.
func (b *ahead) hasRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes < maxAhead
}

// end marks the end of the answer.
func (b *ahead) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	signal(b.more)
}

// pop waits for pieces and returns all that there are. It returns none at the end of the answer.
func (b *ahead) pop() []event {
	for {
		b.mu.Lock()
		pieces, ended := b.pieces, b.ended
		b.pieces = nil
		b.mu.Unlock()
		if len(pieces) > 0 || ended {
			return pieces
		}
		<-b.more
	}
}

// sent records that the caller has taken an event with the given memory.
func (b *ahead) sent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= n
	signal(b.room)
}

// relayAhead sends an answer to the caller while it reads ahead of it, so that a slow caller does
// not hold the instance's slot. next returns the next piece, which is valid until the next call,
// io.EOF at the proper end, or an error. It may not use fields of the request that change. The
// attempt ends as soon as the answer has been read. After an error, the caller has everything up to
// q.lastEventID.
func (q *request) relayAhead(a *attempt, next func() (event, error)) error {
	buffer := newAhead()
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	var readErr error
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer buffer.end()
		readErr = q.readAhead(ctx, a, buffer, next)
	}()
	var writeErr error
	for writeErr == nil {
		pieces := buffer.pop()
		if len(pieces) == 0 {
			break
		}
		writeErr = q.sendPieces(a, buffer, pieces)
	}
	if writeErr != nil {
		buffer.stopped.Store(true)
		cancel()
		a.cancel()
	}
	// The goroutine uses the attempt and must have ended before the request does.
	<-done
	if writeErr != nil {
		return writeErr
	}
	return readErr
}

// sendPieces sends pieces of an answer to the caller.
func (q *request) sendPieces(a *attempt, buffer *ahead, pieces []event) error {
	if !q.headSent {
		q.sendHead(a.exchange.Status(), a.exchange.Header())
	}
	for _, e := range pieces {
		if err := q.write(e.bytes, true); err != nil {
			return err
		}
		q.held.Shrink(e.held())
		buffer.sent(e.held())
		if e.id != "" {
			q.lastEventID = e.id
		}
	}
	return nil
}

// readAhead reads an answer into the buffer and ends the attempt.
func (q *request) readAhead(ctx context.Context, a *attempt, buffer *ahead, next func() (event, error)) error {
	stall := time.AfterFunc(q.stallTimeout(), a.cancel)
	defer stall.Stop()
	for {
		e, err := next()
		switch {
		case err == io.EOF:
			if err := a.finish(); err != nil {
				return q.failStream(a, err)
			}
			a.end(inventory.OutcomeSuccess)
			return nil
		case err != nil && buffer.stopped.Load():
			a.end(inventory.OutcomeNone)
			return nil
		case err != nil:
			return q.failStream(a, err)
		}
		// While the caller is waited for, the instance has not stalled.
		stall.Stop()
		if !q.admitPiece(ctx, buffer, e) {
			a.end(inventory.OutcomeNone)
			return noMemoryFault()
		}
		stall.Reset(q.stallTimeout())
	}
}

// admitPiece adds a piece to the buffer, and waits until there is room for another one. It returns
// false if the context ends before.
func (q *request) admitPiece(ctx context.Context, buffer *ahead, e event) bool {
	if !q.awaitMemory(ctx, e.held()) {
		return false
	}
	buffer.push(event{bytes: append([]byte(nil), e.bytes...), id: e.id})
	for !buffer.hasRoom() {
		select {
		case <-buffer.room:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// relayEvents is relayStream for a caller that is read ahead of.
func (q *request) relayEvents(a *attempt) error {
	events := q.readEvents(a)
	defer events.close()
	err := q.relayAhead(a, func() (event, error) {
		e, err := q.nextEvent(events)
		if err == nil {
			a.noteEvent(e.id)
		}
		return e, err
	})
	return q.finishAhead(a, err)
}

// relayChunks is relayLong for a caller that is read ahead of. It takes over the pieces that were
// read, which are already counted.
func (q *request) relayChunks(a *attempt, start [][]byte) error {
	q.releaseAnswer(start)
	chunk := make([]byte, writeBytes)
	var last error
	err := q.relayAhead(a, func() (event, error) {
		if len(start) > 0 {
			e := event{bytes: start[0]}
			start = start[1:]
			return e, nil
		}
		if last != nil {
			return event{}, last
		}
		n, err := a.Read(chunk)
		if n > 0 {
			// The error is kept: after a truncated answer, another read would return io.EOF.
			last, err = err, nil
		}
		return event{bytes: chunk[:n]}, err
	})
	return q.finishAhead(a, err)
}

// finishAhead records the end of an answer that was read ahead.
func (q *request) finishAhead(a *attempt, err error) error {
	if err != nil {
		return err
	}
	q.ran = fault.RanYes
	if !q.headSent {
		q.sendHead(a.exchange.Status(), a.exchange.Header())
	}
	return nil
}
