// Package httplisten listens for HTTP clients that may misbehave. It bounds the connections, the heads of requests
// and the bytes in the kernel's buffers, applies timeouts that may change while the server runs, and tells a
// planned stop when all requests have ended.
package httplisten

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/hornbeamsill/hornbeamsill/internal/eventlog"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/neterr"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if none are declared. defaultHeaderTimeout is several
	// times what the slowest network path to a caller needs, and defaultIdleTimeout twice the usual declaration.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// unreadGrace is how much longer a connection is kept if bytes have arrived that this daemon has not
	// read yet.
	unreadGrace = 200 * time.Millisecond
	// rawResponseTimeout limits the time for a response that is written without the HTTP server.
	rawResponseTimeout = 200 * time.Millisecond
	// firstRequestTime is how long a planned stop waits for the first request of a connection.
	firstRequestTime = 5 * time.Second
	// closePoll is the interval at which a planned stop looks for idle connections.
	closePoll = 20 * time.Millisecond
)

// Limits are the limits of a listener that may change while it serves.
type Limits struct {
	// HeaderBytes is the longest head of a request; 0 means MaxHeaderBytes.
	HeaderBytes int
	// HeaderTimeout and IdleTimeout are the longest times in which a head arrives and between two requests;
	// 0 means the defaults.
	HeaderTimeout, IdleTimeout time.Duration
}

// Options are the options of a Listener.
type Options struct {
	// Name is the name of the listener in logs.
	Name string
	// MaxConns is the largest number of open connections; 0 means no limit.
	MaxConns int
	Limits   func() Limits
	// HeadMemory is the budget for the heads of requests beyond freeHeadCost each; nil means no limit.
	HeadMemory *limit.HeldBytes
	Metrics    *Metrics
}

// Listener accepts connections of HTTP clients. Its timeouts are read when their timers start. http.Server has
// one fixed setting for all connections: it would ignore a changed declaration and close connections that are
// allowed a longer timeout.
//
// Lock order: accept, then mu, then the mu of a conn. The lock of HeadMemory comes before the mu of a conn.
type Listener struct {
	net.Listener
	options Options
	// slots bounds the open connections; nil means no limit. stopAccepting ends the wait for one.
	slots         *semaphore.Weighted
	accepting     context.Context
	stopAccepting context.CancelFunc
	// turns bounds the requests that run although they were sent before the answer to the one before; nil means no
	// limit.
	turns *semaphore.Weighted
	// clientsWait is set while a client waits for a slot, although connections have been evicted.
	clientsWait atomic.Bool
	logs        *eventlog.Log

	// accept is held while a connection is accepted and added to conns.
	accept sync.Mutex

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a listener for the connections of l.
func New(l net.Listener, o Options) *Listener {
	out := &Listener{Listener: l, options: o, logs: eventlog.New("listener", o.Name), conns: map[*conn]struct{}{}}
	out.accepting, out.stopAccepting = context.WithCancel(context.Background())
	if o.MaxConns > 0 {
		out.slots = semaphore.NewWeighted(int64(o.MaxConns))
		out.turns = semaphore.NewWeighted(int64(max(o.MaxConns/aheadDivisor, 1)))
	}
	return out
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.accept.Lock()
	defer l.accept.Unlock()
	raw, err := l.Listener.Accept()
	if err != nil {
		if neterr.IsDescriptorLimit(err) {
			// The HTTP server calls Accept again after a pause.
			l.evict(evictDescriptors)
		}
		return nil, err
	}
	if !l.acquireSlot() {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	c := &conn{Conn: raw, listener: l, acceptedAt: time.Now(), address: clientAddress(raw), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// clientAddress returns the IP address of the client of a connection.
func clientAddress(c net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

// acquireSlot waits for a slot, and evicts connections until there is one. It returns false if the listener is
// closed before.
func (l *Listener) acquireSlot() bool {
	if l.slots == nil || l.slots.TryAcquire(1) {
		return true
	}
	defer l.clientsWait.Store(false)
	for l.accepting.Err() == nil {
		l.evict(evictConnections)
		ctx, cancel := context.WithTimeout(l.accepting, evictInterval)
		err := l.slots.Acquire(ctx, 1)
		cancel()
		if err == nil {
			return true
		}
		l.clientsWait.Store(true)
	}
	return false
}

// Close implements net.Listener. Open connections stay open.
func (l *Listener) Close() error {
	l.stopAccepting()
	return l.Listener.Close()
}

// releaseSlot makes room for another connection.
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

// logNotBegun logs a request that was read while its connection was being closed.
func (l *Listener) logNotBegun(c *conn, request string) {
	l.options.Metrics.NotBegun.Add(1)
	slog.Info("request.not_begun", "request", request, "address", c.RemoteAddr().String())
}
