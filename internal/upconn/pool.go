// Package upconn keeps connections to upstream instances and runs one exchange at a time on
// each. An exchange knows whether any byte of its request was sent; telling a caller that its
// request has not run depends on this. The standard HTTP transport does not expose it and may
// repeat a request by itself.
package upconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
)

const (
	// DialTimeout bounds the time to establish a connection. It is many times the longest delay
	// between failure domains (a few ms) and leaves time for another instance within an objective of
	// 300 ms.
	DialTimeout = 250 * time.Millisecond
	// maxIdleTime is how long an unused connection is kept if the server does not state a shorter
	// time.
	maxIdleTime = 4 * time.Second
	// maxTunnelIdleTime is the same for tunnels, of which the gateways carry few.
	maxTunnelIdleTime = 1 * time.Second
	// idleMargin is subtracted from the time that the server states, so that no request is sent
	// while the server closes the connection.
	idleMargin = 500 * time.Millisecond
	bufferSize = 4 << 10
)

// ErrNoConnection means that this daemon has as many connections to an instance as it may
// open.
var ErrNoConnection = errors.New("upstream: no connection is free")

// Target is the instance that a connection leads to.
type Target struct {
	// Address is host:port.
	Address           string
	Service, Instance string
}

// Errors of OpenTunnel. Both say nothing about the instance.
var (
	// ErrNoGateway means that no other daemon is known that opens a tunnel.
	ErrNoGateway = errors.New("upstream: cut off, and no other daemon opens a tunnel")
	// ErrGatewaysBusy means that all gateways have as many tunnels as they can carry.
	ErrGatewaysBusy = errors.New("upstream: cut off, and no gateway has free capacity")
)

// Paths chooses between direct connections to instances and tunnels through other daemons.
type Paths interface {
	// Tunneled reports whether the instances of a service are reached through other daemons, and
	// since when.
	Tunneled(service string) (since time.Time, ok bool)
	// OpenTunnel opens a tunnel to an instance.
	OpenTunnel(ctx context.Context, to Target) (Tunnel, error)
	// NoteFailure records that a direct connection could not be opened, or broke before an answer began.
	// NoteAnswer records that an answer of the instance began. That a connection is established says
	// nothing of the instance: it may have been accepted by something in between.
	NoteFailure(to Target, l Link)
	NoteAnswer(to Target, l Link)
}

// Tunnel is a connection to an instance through another daemon.
type Tunnel interface {
	net.Conn
	// BeginRequest announces the request that is written next, and EndRequest states that its whole
	// answer has been received.
	BeginRequest(id string) error
	EndRequest() error
	// ConfirmEnd is called after Read has returned io.EOF, and ends the tunnel. It returns an error if not all
	// that was written has reached the instance.
	ConfirmEnd() error
	// Gateway returns the address of the other daemon.
	Gateway() string
}

// refusal is an error with which a tunnel states that it has passed no byte of a request on.
type refusal interface {
	error
	NotPassedOn()
	// IsOfInstance reports whether the reason is the state of the instance, not that of the gateway.
	IsOfInstance() bool
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
	paths  Paths
	dials  atomic.Int64

	mu    sync.Mutex
	hosts map[string]*host
}

// Dialer opens connections. *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns the dialer for connections to upstream instances.
func NewDialer() Dialer { return dial.New(DialTimeout) }

// NewPool returns an empty pool that opens direct connections with dialer. paths may be nil if there
// are only direct ones.
func NewPool(dialer Dialer, paths Paths) *Pool {
	return &Pool{hosts: map[string]*host{}, dialer: dialer, paths: paths}
}

// Dials returns the number of direct connections opened so far.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// get returns an idle connection, or a new one while fewer than limit are open. id is the ID of the
// request that it is for.
func (p *Pool) get(ctx context.Context, to Target, limit int, id string) (*conn, error) {
	tunneledSince, tunneled := p.tunneled(to)
	for {
		c, dial := p.takeIdle(to.Address, limit)
		switch {
		case c != nil && c.isReusable() && c.isOnPath(tunneledSince, tunneled) && c.isFreeOf(id):
			return c, nil
		case c != nil:
			p.discard(to.Address, c)
			continue
		case !dial:
			return nil, ErrNoConnection
		}
		c, err := p.open(ctx, to, tunneled)
		if err != nil {
			p.removeConn(to.Address)
			return nil, err
		}
		return c, nil
	}
}

func (p *Pool) tunneled(to Target) (since time.Time, ok bool) {
	if p.paths == nil {
		return time.Time{}, false
	}
	return p.paths.Tunneled(to.Service)
}

// open opens a tunnel or a direct connection.
func (p *Pool) open(ctx context.Context, to Target, tunneled bool) (*conn, error) {
	openedAt := time.Now()
	if tunneled {
		raw, err := p.paths.OpenTunnel(ctx, to)
		if err != nil {
			return nil, err
		}
		return newConn(raw, openedAt), nil
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		if ctx.Err() == nil {
			p.noteFailure(to, Link{OpenedAt: openedAt})
		}
		return nil, err
	}
	p.dials.Add(1)
	return newConn(raw, openedAt), nil
}

func (p *Pool) noteFailure(to Target, l Link) {
	if p.paths != nil {
		p.paths.NoteFailure(to, l)
	}
}

func (p *Pool) noteAnswer(to Target, l Link) {
	if p.paths != nil {
		p.paths.NoteAnswer(to, l)
	}
}

// openUncounted opens a direct connection beyond the limit.
func (p *Pool) openUncounted(ctx context.Context, to Target) (*conn, error) {
	p.mu.Lock()
	p.hostOf(to.Address).open++
	p.mu.Unlock()
	c, err := p.open(ctx, to, false)
	if err != nil {
		p.removeConn(to.Address)
	}
	return c, err
}

// hostOf returns the entry of an address, which it adds if there is none. The lock is held.
func (p *Pool) hostOf(address string) *host {
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// noDial is a limit that allows no new connection.
const noDial = -1

// takeIdle takes an idle connection. If there is none, dial reports whether a new one may be
// opened, which is then already counted as open.
func (p *Pool) takeIdle(address string, limit int) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostOf(address)
	// The connection that was returned last is the least likely to have been closed since.
	if n := len(h.idle); n > 0 {
		c = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, false
	}
	if limit == noDial || limit > 0 && h.open >= limit {
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
