package httplisten

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
)

// connPhase is what a caller's connection is used for.
type connPhase int

const (
	// phaseIdle lasts until the first byte of the next request has been read, and phaseHeader until the
	// end of its header.
	phaseIdle connPhase = iota
	phaseHeader
	// phaseRequest lasts until the answer has been written.
	phaseRequest
	// phaseClosing means that it was decided to close the connection. No request begins on it.
	phaseClosing
)

// conn closes itself when it has been idle for too long or when the header of a request
// takes too long to arrive. A request begins and a close is decided under the same lock, so that no
// connection is closed under a request that has begun.
//
// Lock order: no other lock is taken while mu is held.
type conn struct {
	net.Conn
	listener   *Listener
	acceptedAt time.Time
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
	// cancel ends the contexts of all requests on the connection. It is set before the first one.
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	phase connPhase
	// idleSince is when the current phaseIdle began. used is set once a request has begun.
	idleSince time.Time
	used      bool
	// request is the ID of the last request, and writeFailed is set once an answer to it could not be
	// written.
	request     string
	writeFailed bool
	timer       *time.Timer
	// timerID identifies the current timer. One that fires when it has been replaced has no effect.
	timerID int
}

// Read implements net.Conn. It drops what is read after it was decided to close the connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 || c.noteBytes() {
			return n, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.beginClose()
	c.mu.Unlock()
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.remove(c)
	})
	return err
}

// resetOnClose determines whether a close resets the connection, also that by the end of the process. An answer
// in HTTP/1.0 may have neither a length nor chunks, so that any other close would end it like a whole one.
func (c *conn) resetOnClose(reset bool) {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	// An error means that the connection is closed already.
	_ = tcp.SetLinger(linger)
}

// noteBytes starts the header timeout when the first bytes of a request arrive. It returns false if the
// connection is being closed.
func (c *conn) noteBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase = phaseHeader
		c.startTimer(orDefault(c.listener.options.Limits().HeaderTimeout, DefaultHeaderTimeout), c.rejectSlow)
	}
	return c.phase != phaseClosing
}

// noteIdle starts the idle timeout.
func (c *conn) noteIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosing {
		c.phase, c.idleSince = phaseIdle, time.Now()
		c.startTimer(orDefault(c.listener.options.Limits().IdleTimeout, DefaultIdleTimeout), c.closeIdle)
	}
}

// Write implements net.Conn. The HTTP server does not tell the handler of an answer that fails when its
// buffer is flushed.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.noteWriteFailed(err)
	}
	return n, err
}

func (c *conn) noteWriteFailed(err error) {
	c.mu.Lock()
	logged, request := c.writeFailed, c.request
	c.writeFailed = true
	c.mu.Unlock()
	if !logged {
		c.listener.options.Metrics.NotWritten.Add(1)
		slog.Info("answer.not_written", "request", request, "address", c.RemoteAddr().String(), "error", err)
	}
}

// beginRequest is called when the header of a request has been read. It returns false if the connection is
// being closed.
func (c *conn) beginRequest(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosing {
		return false
	}
	c.phase, c.used, c.request, c.writeFailed = phaseRequest, true, id, false
	c.stopTimer()
	return true
}

// claimIdle reports whether the connection has no request, and decides to close it if so.
func (c *conn) claimIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The HTTP server may have read the next request together with the one before.
	settled := time.Since(c.idleSince) >= closePoll
	if c.phase != phaseIdle || !settled || c.hasUnread() || !c.used && time.Since(c.acceptedAt) < firstRequestTime {
		return false
	}
	c.beginClose()
	return true
}

// beginClose records the decision to close the connection. The lock is held.
func (c *conn) beginClose() {
	c.phase = phaseClosing
	c.stopTimer()
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *conn) hasUnread() bool {
	n, _ := dial.Peek(c.Conn)
	return n > 0
}

// startTimer replaces the current timer by one that closes the connection with the given function. The
// lock is held.
func (c *conn) startTimer(d time.Duration, closeBy func()) { c.replaceTimer(d, closeBy, true) }

// replaceTimer is startTimer, with mayWait set if unread bytes put off the close. The lock is held.
func (c *conn) replaceTimer(d time.Duration, closeBy func(), mayWait bool) {
	c.stopTimer()
	id := c.timerID
	c.timer = time.AfterFunc(d, func() {
		if c.claimExpired(id, closeBy, mayWait) {
			closeBy()
		}
	})
}

// claimExpired decides to close the connection if the timer that expired is still the current one. Unread
// bytes put this off by unreadGrace, once: a daemon that did not run for a moment finds its timers
// expired before it has read them.
func (c *conn) claimExpired(id int, closeBy func(), mayWait bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timerID != id {
		return false
	}
	if mayWait && c.hasUnread() {
		c.listener.options.Metrics.Unread.Add(1)
		c.replaceTimer(unreadGrace, closeBy, false)
		return false
	}
	c.beginClose()
	return true
}

// stopTimer stops the current timer. The lock is held.
func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.timerID++
}

func (c *conn) closeIdle() {
	c.listener.options.Metrics.Idle.Add(1)
	_ = c.Close()
}

// rejectSlow responds to a caller whose request header did not arrive in time and closes the
// connection.
func (c *conn) rejectSlow() {
	c.listener.options.Metrics.Slow.Add(1)
	slog.Info("caller.slow", "address", c.RemoteAddr().String())
	// Errors are ignored: the connection is closed in any case.
	_ = c.SetWriteDeadline(time.Now().Add(slowResponseTimeout))
	_, _ = io.WriteString(c.Conn, requestTimeoutResponse)
	_ = c.Close()
}

func orDefault(d, byDefault time.Duration) time.Duration {
	if d <= 0 {
		return byDefault
	}
	return d
}

// newContext returns the context of the connection's requests.
func (c *conn) newContext(ctx context.Context) context.Context {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	ctx, c.cancel = context.WithCancelCause(ctx)
	return ctx
}
