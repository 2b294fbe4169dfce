package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
)

const (
	// maxHeaderBytes is the limit of the HTTP server on a request header. The declared limit,
	// which may change while the server runs, is checked afterwards.
	maxHeaderBytes = 256 << 10
	// headerTimeout and idleTimeout apply to callers if the configuration declares none, and
	// always to the internal listeners. headerTimeout is several times what the slowest network
	// path to a caller needs, and idleTimeout twice the usual declaration.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
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

// callerListener applies the declared header and idle timeouts to callers' connections. Each
// timeout is read when its timer starts. http.Server has one fixed setting for all
// connections: it would ignore a changed declaration and close connections that are allowed a
// longer timeout.
//
// Lock order: accept, then mu, then the mu of a callerConn.
type callerListener struct {
	net.Listener
	limits  func() catalog.Limits
	metrics *callerMetrics
	// slots bounds the open connections; nil means no limit. stopAccepting ends the wait for one.
	slots         *semaphore.Weighted
	accepting     context.Context
	stopAccepting context.CancelFunc

	// accept is held while a connection is accepted and added to conns.
	accept sync.Mutex

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// callerMetrics counts the connections that this daemon closed.
type callerMetrics struct {
	// Idle, Slow and Stopped count those closed after the idle timeout, after the header timeout, and
	// by a planned stop. Unread counts closes that were put off since bytes had arrived, and NotBegun
	// requests that were read while their connection was being closed. NotWritten counts answers that
	// could not be written.
	Idle, Slow, Stopped, Unread, NotBegun, NotWritten atomic.Int64
}

// closedVars are the counters of callerMetrics in /debug/vars.
type closedVars struct {
	Idle     int64 `json:"idle"`
	Slow     int64 `json:"slow_header"`
	Stopped  int64 `json:"stopped"`
	Unread   int64 `json:"put_off"`
	NotBegun int64 `json:"requests_not_begun"`
	// NotWritten also counts callers that left.
	NotWritten int64 `json:"answers_not_written"`
}

func (m *callerMetrics) vars() closedVars {
	return closedVars{
		Idle: m.Idle.Load(), Slow: m.Slow.Load(), Stopped: m.Stopped.Load(), Unread: m.Unread.Load(), NotBegun: m.NotBegun.Load(),
		NotWritten: m.NotWritten.Load(),
	}
}

// newCallerListener returns a listener with at most maxConns open connections; 0 means no limit.
func newCallerListener(l net.Listener, maxConns int, limits func() catalog.Limits, m *callerMetrics) *callerListener {
	out := &callerListener{Listener: l, limits: limits, metrics: m, conns: map[*callerConn]struct{}{}}
	out.accepting, out.stopAccepting = context.WithCancel(context.Background())
	if maxConns > 0 {
		out.slots = semaphore.NewWeighted(int64(maxConns))
	}
	return out
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
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
	c := &callerConn{Conn: raw, listener: l, acceptedAt: time.Now(), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. Open connections stay open.
func (l *callerListener) Close() error {
	l.stopAccepting()
	return l.Listener.Close()
}

func (l *callerListener) releaseSlot() {
	if l.slots != nil {
		l.slots.Release(1)
	}
}

// remove forgets a connection that was closed.
func (l *callerListener) remove(c *callerConn) {
	l.releaseSlot()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// closeIdle closes the connections without a request, and returns the number of those that are left.
func (l *callerListener) closeIdle() int {
	l.mu.Lock()
	var idle []*callerConn
	for c := range l.conns {
		if c.claimIdle() {
			idle = append(idle, c)
		}
	}
	left := len(l.conns) - len(idle)
	l.mu.Unlock()
	for _, c := range idle {
		l.metrics.Stopped.Add(1)
		_ = c.Close()
	}
	return left
}

// drain accepts no more connections, closes each one once it is idle, and returns when all are closed
// or ctx ends.
//
// http.Server.Shutdown is not used: it takes a connection for idle until the header of the next request
// has been read, and drops what has arrived of it.
func (l *callerListener) drain(ctx context.Context) error {
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

// cancelRequests ends the contexts of all requests with a cause. Their answers can still be written.
func (l *callerListener) cancelRequests(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.cancel != nil {
			c.cancel(cause)
		}
	}
}

type callerConnKey struct{}

// trackCallerConns makes server report to each callerConn when it is idle and when a request begins.
// requestID returns the ID of a request.
func trackCallerConns(server *http.Server, requestID func(http.Header) string) {
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		ctx = context.WithValue(ctx, callerConnKey{}, conn)
		if c, ok := conn.(*callerConn); ok {
			ctx = c.newContext(ctx)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*callerConn); ok && (state == http.StateNew || state == http.StateIdle) {
			c.noteIdle()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
		if ok && !c.beginRequest(requestID(r.Header)) {
			c.listener.metrics.NotBegun.Add(1)
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
