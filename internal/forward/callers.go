package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

const (
	// writeBytes is the most that is written at once. A caller has progressTimeout for it, which is
	// the slowest pace, 8 KB/s, at which it gets an answer: 256 KB within 32 s, longer than callers
	// wait on any route. Servers cut off answers that stay unread for some seconds as well.
	writeBytes = 16 << 10
	// firstPiece is the size of the first piece of an answer in memory; most answers fit into it.
	firstPiece      = 4 << 10
	progressTimeout = 2 * time.Second
	// freeWrite is the time of a write that is not held against the caller. A daemon with a tenth of
	// a core may not run for that long.
	freeWrite = 200 * time.Millisecond
	// memoryWait is how long a body or an answer waits for memory. By then every caller that keeps this
	// daemon waiting may be aborted.
	memoryWait     = 500 * time.Millisecond
	memoryInterval = 10 * time.Millisecond
)

var (
	errNoMemory      = errors.New("the memory for bodies and answers is used up")
	errCallerAborted = errors.New("the caller was too slow for the memory that it used")
)

func noMemoryFault() error {
	return fault.New(fault.NoCapacity, "%v", errNoMemory).WithRetryAfter(defaultRetryAfter)
}

// callerMemory is the memory that a request holds, and the pace of its caller.
type callerMemory struct {
	// held is the request's part of Deps.Held; nil if only BodyBytes applies, of which bodyBytes are taken.
	held      *limit.Holding
	bodyBytes int
	// lag is by how much the caller has fallen behind the slowest pace.
	lag time.Duration
}

// holdBytes makes the bytes held for the request count in the daemon's budget, where that applies,
// until release is called.
func (q *request) holdBytes() (release func()) {
	if q.Held == nil || q.Overload == nil || !q.Overload.SlowCallers() {
		return func() {}
	}
	control := http.NewResponseController(q.w)
	q.held = q.Held.Open(func() {
		// Writers that do not support deadlines are those of tests, which do not block.
		_ = control.SetReadDeadline(time.Now())
		_ = control.SetWriteDeadline(time.Now())
	})
	return q.held.Close
}

// takeBody counts n bytes of a body before they are read, and waits briefly until they fit into the budget;
// meanwhile its sender waits, too. A bodyReader counts by itself.
func (q *request) takeBody(n int) error {
	if q.held != nil {
		return nil
	}
	if !q.pollMemoryBriefly(func() (taken, ended bool) { return q.BodyBytes.Take(n), false }) {
		return errNoMemory
	}
	q.bodyBytes += n
	return nil
}

func (q *request) releaseBody() {
	if q.bodyBytes > 0 {
		q.BodyBytes.Release(q.bodyBytes)
		q.bodyBytes = 0
	}
}

// bodyReader counts the bytes of a caller's body, and the time that the caller takes to send it.
type bodyReader struct {
	io.Reader
	request *request
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	held := b.request.held
	held.BeginWait(time.Now())
	n, err := b.Reader.Read(p)
	held.EndWait(n, time.Now())
	if n > 0 && !b.request.awaitMemoryBriefly(n) && !held.Aborted() {
		return n, errNoMemory
	}
	if held.Aborted() {
		_ = b.request.noteDropped(errCallerAborted, 0)
		// The caller still gets the answer that its request has not run.
		_ = http.NewResponseController(b.request.w).SetWriteDeadline(time.Now().Add(progressTimeout))
		return n, os.ErrDeadlineExceeded
	}
	return n, err
}

// countBody returns a reader that counts the body while it is read.
func (q *request) countBody(body io.Reader) io.Reader {
	if q.held == nil {
		return body
	}
	return &bodyReader{Reader: body, request: q}
}

// readPieces reads an answer of at most maxBufferedAnswer bytes, which count as held. The error is
// nil if the answer is longer. A buffer that grows would take up to three times the bytes counted.
func (q *request) readPieces(source io.Reader) (pieces [][]byte, err error) {
	size, total := firstPiece, 0
	for err == nil && total < maxBufferedAnswer {
		piece, n := make([]byte, min(size, maxBufferedAnswer-total)), 0
		for err == nil && n < len(piece) {
			var m int
			m, err = source.Read(piece[n:])
			n += m
		}
		if n > 0 && !q.awaitMemoryBriefly(n) {
			return pieces, errNoMemory
		}
		pieces, size, total = append(pieces, piece[:n]), writeBytes, total+n
	}
	return pieces, err
}

// releaseAnswer frees the bytes of an answer that is not sent to the caller.
func (q *request) releaseAnswer(pieces [][]byte) {
	if q.held == nil {
		q.releaseAnswerBytes()
		return
	}
	for _, piece := range pieces {
		q.held.Shrink(len(piece))
	}
}

// awaitMemoryBriefly is awaitMemory for at most memoryWait.
func (q *request) awaitMemoryBriefly(n int) bool {
	return q.pollMemoryBriefly(q.growHeld(n))
}

// awaitMemory counts n more bytes of the request, and waits until they fit into the budget. It
// returns false if the context ends before, or the request is aborted.
func (q *request) awaitMemory(ctx context.Context, n int) bool {
	take := q.growHeld(n)
	if taken, _ := take(); taken {
		return true
	}
	return pollMemory(ctx, take)
}

// growHeld returns a function that counts n more bytes of the request, for pollMemory.
func (q *request) growHeld(n int) func() (taken, ended bool) {
	return func() (taken, ended bool) { return q.held.Grow(n, time.Now()), q.held.Aborted() }
}

// pollMemoryBriefly takes memory at once, or else polls for at most memoryWait.
func (q *request) pollMemoryBriefly(take func() (taken, ended bool)) bool {
	if taken, _ := take(); taken {
		return true
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), memoryWait)
	defer cancel()
	return pollMemory(ctx, take)
}

// pollMemory calls take at intervals until it has taken memory. It returns false if the context or the
// request ends before.
func pollMemory(ctx context.Context, take func() (taken, ended bool)) bool {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if taken, ended := take(); taken || ended {
				return taken
			}
		}
	}
}

// write sends bytes to the caller, which must take them at least at the slowest pace. flush sends
// them at once instead of when the buffer is full.
func (q *request) write(p []byte, flush bool) error {
	control := http.NewResponseController(q.w)
	for sent := 0; sent < len(p); {
		n := min(len(p)-sent, writeBytes)
		began := time.Now()
		q.held.BeginWait(began)
		_ = control.SetWriteDeadline(q.writeDeadline(began))
		if q.held.Aborted() {
			// The abort may have come before the deadline was set.
			return q.noteDropped(errCallerAborted, sent)
		}
		_, err := q.w.Write(p[sent : sent+n])
		if err == nil && flush {
			err = control.Flush()
		}
		if err != nil {
			return q.noteDropped(err, sent)
		}
		now := time.Now()
		q.held.EndWait(n, now)
		// Writes of single events must not give a caller progressTimeout for each of them.
		q.lag = max(q.lag+max(now.Sub(began)-freeWrite, 0)-progressTimeout*time.Duration(n)/writeBytes, 0)
		sent += n
	}
	return nil
}

// writeDeadline returns the deadline for the next write. A stream ends with its request's time.
func (q *request) writeDeadline(now time.Time) time.Time {
	deadline := now.Add(max(progressTimeout-q.lag, freeWrite))
	if end := q.deadline.Add(time.Second); q.route.Kind == catalog.Stream && end.Before(deadline) {
		return end
	}
	return deadline
}

// noteDropped logs and counts a caller that was dropped because it was too slow, and returns the
// error of the request.
func (q *request) noteDropped(err error, sent int) error {
	reason := ""
	switch {
	case q.held.Aborted():
		reason = "memory"
		q.Metrics.AbortedCallers.Add(1)
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = "stalled"
		q.Metrics.StalledCallers.Add(1)
	}
	if reason != "" {
		slog.Warn("caller.dropped", "request", q.headers.ID, "reason", reason, "sent", sent, "held", q.Held.Used(),
			"after_ms", time.Since(q.startedAt).Milliseconds())
	}
	return fault.New(fault.Cancelled, "the caller cannot be written to: %v", err)
}
