package upconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
)

// Check opens a direct connection to an instance and sends it a request that any answer will do for.
// It returns an error if none begins before the context ends. The connection is kept for the next
// request if possible.
func (p *Pool) Check(ctx context.Context, to Target, r *Request) error {
	c, err := p.openUncounted(ctx, to)
	if err != nil {
		return err
	}
	e, err := p.exchange(ctx, to, c, r, func(int, http.Header) bool { return true })
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.noteFailure(to, c.link())
		}
		return err
	}
	// If the rest of the answer cannot be read, the connection is not kept.
	_, _ = io.CopyN(io.Discard, e, maxSkippedBytes)
	e.Close()
	return nil
}

// ProcessEnded reports whether the process that listened at an address refuses connections: no
// direct connection to it is alive, and a new one is refused. A server that only resets some
// connections, or does not answer, has not ended. A connection that it opens is kept for the next
// request.
func (p *Pool) ProcessEnded(ctx context.Context, to Target) bool {
	for {
		c, _ := p.takeIdle(to.Address, noDial)
		if c == nil {
			opened, err := p.openUncounted(ctx, to)
			if err != nil {
				return errors.Is(err, syscall.ECONNREFUSED)
			}
			p.putUnused(to.Address, opened)
			return false
		}
		if c.tunnel == nil && c.isReusable() {
			p.put(to.Address, c)
			return false
		}
		p.discard(to.Address, c)
	}
}

// ReachedSince reports whether an idle direct connection to an address has given an answer after a
// time, and is still open.
func (p *Pool) ReachedSince(address string, after time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	return ok && slices.ContainsFunc(h.idle, func(c *conn) bool { return c.tunnel == nil && c.answeredAt.After(after) && c.isReusable() })
}

// DialDirect opens a direct connection to an instance for requests of another daemon. It does not
// belong to the pool.
func (p *Pool) DialDirect(ctx context.Context, to Target) (net.Conn, error) {
	c, err := p.open(ctx, to, false)
	if err != nil {
		return nil, err
	}
	_ = dial.SetBusy(c.Conn, true)
	return c.Conn, nil
}
