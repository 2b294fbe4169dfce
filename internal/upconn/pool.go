// Package upconn keeps connections to upstream instances and runs one exchange
// at a time on each. An exchange knows whether any byte of its request went
// out, which is what a caller's "not run" rests on; a stock HTTP transport
// hides that and may repeat a request by itself.
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
	// dialTimeout is many times the longest way between failure domains (a few
	// ms) and leaves time for another instance within an objective of 300 ms.
	dialTimeout = 250 * time.Millisecond
	// idleLimit is how long an unused connection is kept where the server
	// names no time of its own.
	maxIdleTime = 4 * time.Second
	// idleMargin is kept from the time that a server names, so that a request
	// does not cross the server's close.
	idleMargin = 500 * time.Millisecond
	bufferSize = 4 << 10
)

// ErrNoConnection says that an instance has as many connections as this daemon
// may open to it.
var ErrNoConnection = errors.New("upstream: no connection is free")

type conn struct {
	net.Conn
	reader *bufio.Reader
	// usable is until when the connection may be used again.
	usableUntil time.Time
}

type host struct {
	idle []*conn
	open int
}

// Pool keeps the connections to all instances, by address.
//
// Lock order: mu is taken alone.
type Pool struct {
	dialer *net.Dialer
	dials  atomic.Int64

	mu    sync.Mutex
	hosts map[string]*host
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{hosts: map[string]*host{}, dialer: dial.Dialer(dialTimeout)}
}

// Dials is the number of connections opened.
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

// Ended reports whether the process that listened at address has certainly ended: no
// connection to it is alive, and a new one is refused. A server that resets some
// connections, or answers nothing, has not. A connection that was made to find out is
// kept for the next request.
func (p *Pool) Ended(ctx context.Context, address string) bool {
	const unlimited = 0
	c, err := p.get(ctx, address, unlimited)
	if err == nil {
		p.putUnused(address, c)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// takeIdle returns an idle connection or, with dial, counts a new one.
func (p *Pool) takeIdle(address string, limit int) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	// The last one put back is the least likely to have been closed since.
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

// closed counts a connection that is gone.
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
	// The connection is given up on whatever closing it says.
	_ = c.Close()
	p.removeConn(address)
}

// giveBack keeps a connection on which nothing was sent since get returned it.
func (p *Pool) putUnused(address string, c *conn) {
	if c.usableUntil.IsZero() {
		c.usableUntil = time.Now().Add(maxIdleTime)
	}
	p.put(address, c)
}

// put keeps a connection for the next exchange.
func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.idle = append(h.idle, c)
}

// Sweep closes connections that lay unused for their time, and those to
// addresses that keep reports gone.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := time.Now()
	old := map[string][]*conn{}
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.usableUntil) && keep(address) {
				kept = append(kept, c)
			} else {
				old[address] = append(old[address], c)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for address, conns := range old {
		for _, c := range conns {
			p.discard(address, c)
		}
	}
}

// quiet reports whether an idle connection is as it was left. Bytes that came
// meanwhile belong to no request of ours: a second answer, which would be taken
// for the answer to the next request. An end of the stream means that the
// server closed it, and what is sent now would be lost with an unknown outcome.
func (c *conn) isReusable() bool {
	if time.Now().After(c.usableUntil) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// idleTime reads how long the server keeps an unused connection.
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
