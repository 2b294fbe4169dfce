// Package upconn keeps connections to upstream instances and runs one exchange at a time on
// each. An exchange knows whether any byte of its request was sent; telling a caller that its
// request has not run depends on this. The standard HTTP transport does not expose it and may
// repeat a request by itself.
package upconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
)

const (
	// DialTimeout bounds the time to establish a connection. It is many times the longest delay between failure domains (a few ms) and leaves
	// time for another instance within an objective of 300 ms.
	DialTimeout = 250 * time.Millisecond
	// maxIdleTime is how long an unused connection is kept if the server does not state a shorter
	// time.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the time that the server states, so that no request is sent
	// while the server closes the connection.
	idleMargin = 500 * time.Millisecond
	bufferSize = 4 << 10
)

// ErrNoConnection means that this daemon has as many connections to an instance as it may
// open.
var ErrNoConnection = errors.New("upstream: no connection is free")

type conn struct {
	net.Conn
	reader *bufio.Reader
	// usableUntil is until when an idle connection may be used again.
	usableUntil time.Time
}

type host struct {
	idle []*conn
	open int
}

// Pool holds the connections to all instances, by address.
//
// Lock order: no other lock is taken while mu is held. Sweep calls keep while mu is held,
// so keep must not call methods of Pool.
type Pool struct {
	dialer Dialer
	dials  atomic.Int64

	mu    sync.Mutex
	hosts map[string]*host
}

// Dialer opens connections. *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns the dialer for connections to upstream instances.
func NewDialer() Dialer { return dial.Dialer(DialTimeout) }

// NewPool returns an empty pool that opens connections with dialer.
func NewPool(dialer Dialer) *Pool { return &Pool{hosts: map[string]*host{}, dialer: dialer} }

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// get returns an idle connection, or a new one while fewer than limit are open.
func (p *Pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	for {
		c, dial := p.takeIdle(address, limit)
		switch {
		case c != nil && c.isReusable():
			return c, nil
		case c != nil:
			p.discard(address, c)
			continue
		case !dial:
			return nil, ErrNoConnection
		}
		raw, err := p.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			p.removeConn(address)
			return nil, err
		}
		p.dials.Add(1)
		return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize)}, nil
	}
}

// ProcessEnded reports whether the process that listened at address has certainly ended: no
// connection to it is alive, and a new one is refused. A server that only resets some
// connections, or does not answer, has not ended. If the check opens a connection, that is
// kept for the next request.
func (p *Pool) ProcessEnded(ctx context.Context, address string) bool {
	const unlimited = 0
	c, err := p.get(ctx, address, unlimited)
	if err == nil {
		p.putUnused(address, c)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// takeIdle takes an idle connection. If there is none, dial reports whether a new one may be
// opened, which is then already counted as open.
func (p *Pool) takeIdle(address string, limit int) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	// The connection that was returned last is the least likely to have been closed since.
	if n := len(h.idle); n > 0 {
		c = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, false
	}
	if limit > 0 && h.open >= limit {
		return nil, false
	}
	h.open++
	return nil, true
}

// removeConn removes a closed connection from the count of open ones.
func (p *Pool) removeConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

func (p *Pool) discard(address string, c *conn) {
	// An error of Close does not matter, since the connection is not used again.
	_ = c.Close()
	p.removeConn(address)
}

// putUnused returns a connection to the pool on which nothing was sent since get returned it.
func (p *Pool) putUnused(address string, c *conn) {
	if c.usableUntil.IsZero() {
		c.usableUntil = time.Now().Add(maxIdleTime)
	}
	p.put(address, c)
}

// put returns a connection to the pool for the next exchange.
func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.idle = append(h.idle, c)
}

// Sweep closes connections that have been idle for too long, and idle ones to addresses for
// which keep returns false.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := time.Now()
	expired := map[string][]*conn{}
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.usableUntil) && keep(address) {
				kept = append(kept, c)
			} else {
				expired[address] = append(expired[address], c)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for address, conns := range expired {
		for _, c := range conns {
			p.discard(address, c)
		}
	}
}

// isReusable reports whether an idle connection has not expired, is open and has no unread
// bytes. Unread bytes belong to a second answer to an earlier request and would be taken for
// the answer to the next request. If the server has closed the connection, a request sent now
// would be lost with an unknown outcome.
func (c *conn) isReusable() bool {
	if time.Now().After(c.usableUntil) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// idleTimeout returns how long a connection may be kept unused, given the headers of the last
// answer.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTime)
		}
	}
	return maxIdleTime
}
