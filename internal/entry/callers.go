package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
)

const (
	// maxHeaderBytes is the longest head of a request that is read at all. What
	// is declared is checked after that, since it may change at any time.
	maxHeaderBytes = 256 << 10
	// headerTimeout and idleTimeout hold where nothing is declared: several times
	// the slowest way of a caller, and twice what installations declare.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// slowNoticeTime bounds the writing of an answer to a caller that is slow.
	slowResponseTimeout = 200 * time.Millisecond
)

// slowNotice answers a request whose head did not come in time. It says "not
// run": the caller may send it again.
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// callerListener gives callers' connections the times that are declared when
// they begin to count. The HTTP server has one setting for all connections and
// for good, so that a change of the declaration was not in force, and callers
// that were allowed more time than the setting lost their connections.
type callerListener struct {
	net.Listener
	limits func() catalog.Limits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn closes itself when it lies unused, or when the head of a request
// takes too long.
//
// Lock order: mu is taken alone.
type callerConn struct {
	net.Conn
	limits func() catalog.Limits

	mu sync.Mutex
	// waiting is set while no byte of the next request has come.
	idle  bool
	timer *time.Timer
	// phase counts the changes, so that a timer that ran out just then does
	// nothing.
	phase int
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.startHeaderTimer()
	}
	return n, err
}

// rest begins the time that the connection may lie unused.
func (c *callerConn) startIdleTimer() {
	limit := c.limits().IdleTimeout
	if limit <= 0 {
		limit = idleTimeout
	}
	c.enterPhase(true, limit, func() { _ = c.Close() })
}

// arrived begins the time for the head of a request.
func (c *callerConn) startHeaderTimer() {
	c.mu.Lock()
	waiting := c.idle
	c.mu.Unlock()
	if !waiting {
		return
	}
	limit := c.limits().HeaderTimeout
	if limit <= 0 {
		limit = headerTimeout
	}
	c.enterPhase(false, limit, c.rejectSlow)
}

// served ends all waiting: the head of a request is there, or the connection is
// gone.
func (c *callerConn) stopTimer() { c.enterPhase(false, 0, nil) }

// change enters the next phase, which ends with timeout after limit; 0 is never.
func (c *callerConn) enterPhase(waiting bool, limit time.Duration, timeout func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.idle = waiting
	c.phase++
	if limit <= 0 {
		return
	}
	phase := c.phase
	c.timer = time.AfterFunc(limit, func() {
		if c.inPhase(phase) {
			timeout()
		}
	})
}

func (c *callerConn) inPhase(phase int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phase
}

// refuseSlow tells a caller whose request did not come in time.
func (c *callerConn) rejectSlow() {
	slog.Info("caller.slow", "address", c.RemoteAddr().String())
	// A caller that cannot be written to is not told; its connection ends.
	_ = c.SetWriteDeadline(time.Now().Add(slowResponseTimeout))
	_, _ = io.WriteString(c.Conn, requestTimeoutResponse)
	_ = c.Close()
}

type callerConnKey struct{}

// followCallers lets a server tell callers' connections what they are at.
func trackCallerConns(server *http.Server) {
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*callerConn)
		switch {
		case !ok:
		case state == http.StateNew || state == http.StateIdle:
			c.startIdleTimer()
		case state == http.StateClosed || state == http.StateHijacked:
			c.stopTimer()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
			c.stopTimer()
		}
		handler.ServeHTTP(w, r)
	})
}
