package httplisten

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

const (
	// quickDiscard is the longest body whose rest is read before the answer is sent, for at most
	// quickDiscardTime. Clients send a body of that length together with the head.
	quickDiscard     = 64 << 10
	quickDiscardTime = 500 * time.Millisecond
	// maxDiscard and discardTime limit how much of a longer body is read after the answer has been sent. Many
	// clients read an answer only when they have sent the whole body, and lose it if the connection is reset.
	maxDiscard  = 16 << 20
	discardTime = 2 * time.Second
	// headMemoryRetryAfter is the Retry-After of requests for whose head there is no memory.
	headMemoryRetryAfter = time.Second
)

type connKey struct{}

// Track makes server report to each connection when it is idle, and when a request and its body begin and end.
// requestID returns the ID of a request for logs.
func Track(server *http.Server, requestID func(http.Header) string) {
	handler := server.Handler
	server.MaxHeaderBytes = MaxHeaderBytes
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
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.serve(handler, w, r, requestID)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// serve serves a request on the connection.
func (c *conn) serve(handler http.Handler, w http.ResponseWriter, r *http.Request, requestID func(http.Header) string) {
	if !c.beginRequest(requestID(r.Header)) {
		c.listener.logNotBegun(c, requestID(r.Header))
		// Whoever closes the connection may still be writing to it.
		<-c.closed
		panic(http.ErrAbortHandler)
	}
	if c.listener.clientsWait.Load() {
		// A client that uses its connection without a pause would keep it from those that wait for one.
		w.Header().Set("Connection", "close")
	}
	endTurn := c.awaitTurn(r.Context())
	if endTurn == nil {
		panic(http.ErrAbortHandler)
	}
	defer endTurn()
	if !c.holdHead(headCost(r)) {
		c.listener.options.Metrics.HeadMemory.Add(1)
		c.listener.logs.Note("heads.refused", 1, "fields", len(r.Header))
		w.Header().Set("Connection", "close")
		fault.Write(w, fault.New(fault.NoCapacity, "the memory for request heads is used up").WithRetryAfter(headMemoryRetryAfter))
		return
	}
	if !r.ProtoAtLeast(1, 1) {
		c.resetOnClose(true)
	}
	if r.ContentLength == 0 {
		handler.ServeHTTP(w, r)
	} else {
		x := newExchange(c, w, r)
		handler.ServeHTTP(x, x.request)
		x.finish()
	}
	if !r.ProtoAtLeast(1, 1) {
		c.resetOnClose(false)
	}
}

// ClientLeft reports whether the client of a request has closed its connection. The HTTP server notices it
// only when it reads again, for which a daemon that is short of processor time may take long.
func ClientLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	n, err := dial.Peek(socketOf(c.Conn))
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}
