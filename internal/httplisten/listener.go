// Package httplisten listens for HTTP clients. It bounds the connections, applies timeouts that may change while the
// server runs, and tells a planned stop when all requests have ended.
package httplisten

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
)

const (
	// MaxHeaderBytes is the limit of the HTTP server on a request header. The declared limit,
	// which may change while the server runs, is checked afterwards.
	MaxHeaderBytes = 256 << 10
	// DefaultHeaderTimeout and DefaultIdleTimeout apply if none are declared. DefaultHeaderTimeout is several times what the slowest network
	// path to a caller needs, and DefaultIdleTimeout twice the usual declaration.
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 30 * time.Second
	// unreadGrace is how much longer a connection is kept if bytes have arrived that this daemon has not
	// read yet.
	unreadGrace = 200 * time.Millisecond
	// slowResponseTimeout limits the time for writing requestTimeoutResponse to a slow caller.
	slowResponseTimeout = 200 * time.Millisecond
	// firstRequestTime is how long a planned stop waits for the first request of a connection.
	firstRequestTime = 5 * time.Second
	// closePoll is the interval at which a planned stop looks for idle connections.
	closePoll = 20 * time.Millisecond
)

// requestTimeoutResponse is the response to a request whose header did not arrive in time.
// Status 408 means that the request did not run, so the caller may retry it.
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limits are the limits of a listener that may change while it serves.
type Limits struct {
	// HeaderTimeout and IdleTimeout are the longest times in which a head arrives and between two requests;
	// 0 means the defaults.
	HeaderTimeout, IdleTimeout time.Duration
}

// Options are the options of a Listener.
type Options struct {
	// MaxConns is the largest number of open connections; 0 means no limit.
	MaxConns int
	Limits   func() Limits
	Metrics  *Metrics
}

// Listener applies header and idle timeouts to the connections of clients. Each
// timeout is read when its timer starts. http.Server has one fixed setting for all
// connections: it would ignore a changed declaration and close connections that are allowed a
// longer timeout.
//
// Lock order: accept, then mu, then the mu of a conn.
type Listener struct {
	net.Listener
	options Options
	// slots bounds the open connections; nil means no limit. stopAccepting ends the wait for one.
	slots         *semaphore.Weighted
	accepting     context.Context
	stopAccepting context.CancelFunc

	// accept is held while a connection is accepted and added to conns.
	accept sync.Mutex

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Metrics counts the connections that this daemon closed.
type Metrics struct {
	// Idle, Slow and Stopped count those closed after the idle timeout, after the header timeout, and
	// by a planned stop. Unread counts closes that were put off since bytes had arrived, and NotBegun
	// requests that were read while their connection was being closed. NotWritten counts answers that
	// could not be written.
	Idle, Slow, Stopped, Unread, NotBegun, NotWritten atomic.Int64
}

// Vars are the counters of Metrics in /debug/vars.
type Vars struct {
	Idle     int64 `json:"idle"`
	Slow     int64 `json:"slow_header"`
	Stopped  int64 `json:"stopped"`
	Unread   int64 `json:"put_off"`
	NotBegun int64 `json:"requests_not_begun"`
	// NotWritten also counts callers that left.
	NotWritten int64 `json:"answers_not_written"`
}

// Vars returns the current values of the counters.
func (m *Metrics) Vars() Vars {
	return Vars{
		Idle: m.Idle.Load(), Slow: m.Slow.Load(), Stopped: m.Stopped.Load(), Unread: m.Unread.Load(), NotBegun: m.NotBegun.Load(),
		NotWritten: m.NotWritten.Load(),
	}
}

// New returns a listener for the connections of l.
func New(l net.Listener, o Options) *Listener {
	out := &Listener{Listener: l, options: o, conns: map[*conn]struct{}{}}
	out.accepting, out.stopAccepting = context.WithCancel(context.Background())
	if o.MaxConns > 0 {
		out.slots = semaphore.NewWeighted(int64(o.MaxConns))
	}
	return out
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if l.slots != nil && l.slots.Acquire(l.accepting, 1) != nil {
		return nil, net.ErrClosed
	}
	l.accept.Lock()
	defer l.accept.Unlock()
	raw, err := l.Listener.Accept()
	if err != nil {
		l.releaseSlot()
		return nil, err
	}
	c := &conn{Conn: raw, listener: l, acceptedAt: time.Now(), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. Open connections stay open.
func (l *Listener) Close() error {
	l.stopAccepting()
	return l.Listener.Close()
}

func (l *Listener) releaseSlot() {
	if l.slots != nil {
		l.slots.Release(1)
	}
}

// remove forgets a connection that was closed.
func (l *Listener) remove(c *conn) {
	l.releaseSlot()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// closeIdle closes the connections without a request, and returns the number of those that are left.
func (l *Listener) closeIdle() int {
	l.mu.Lock()
	var idle []*conn
	for c := range l.conns {
		if c.claimIdle() {
			idle = append(idle, c)
		}
	}
	left := len(l.conns) - len(idle)
	l.mu.Unlock()
	for _, c := range idle {
		l.options.Metrics.Stopped.Add(1)
		_ = c.Close()
	}
	return left
}

// Drain accepts no more connections, closes each one once it is idle, and returns when all are closed
// or ctx ends.
//
// http.Server.Shutdown is not used: it takes a connection for idle until the header of the next request
// has been read, and drops what has arrived of it.
func (l *Listener) Drain(ctx context.Context) error {
	_ = l.Close()
	// A connection that is just being accepted is counted before the lock is free.
	l.accept.Lock()
	//lint:ignore SA2001 Only the wait matters.
	l.accept.Unlock()
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	for l.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// CancelRequests ends the contexts of all requests with a cause. Their answers can still be written.
func (l *Listener) CancelRequests(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.cancel != nil {
			c.cancel(cause)
		}
	}
}

type connKey struct{}

// Track makes server report to each connection when it is idle and when a request begins.
// requestID returns the ID of a request.
func Track(server *http.Server, requestID func(http.Header) string) {
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, raw)
		if c, ok := raw.(*conn); ok {
			ctx = c.newContext(ctx)
		}
		return ctx
	}
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*conn); ok && (state == http.StateNew || state == http.StateIdle) {
			c.noteIdle()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && !c.beginRequest(requestID(r.Header)) {
			c.listener.options.Metrics.NotBegun.Add(1)
			slog.Info("request.not_begun", "request", requestID(r.Header), "address", c.RemoteAddr().String())
			// Whoever closes the connection may still be writing to it.
			<-c.closed
			panic(http.ErrAbortHandler)
		}
		if ok && !r.ProtoAtLeast(1, 1) {
			c.resetOnClose(true)
			handler.ServeHTTP(w, r)
			c.resetOnClose(false)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// ClientLeft reports whether the client of a request has closed its connection. The HTTP server notices it
// only when it reads again, for which a daemon that is short of processor time may take long.
func ClientLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	n, err := dial.Peek(c.Conn)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}
