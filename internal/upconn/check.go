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

// Liveness is what is known of the process of an instance.
type Liveness int

// Liveness of an instance.
const (
	// Unknown means that it could not be found out.
	Unknown Liveness = iota
	// Alive means that the instance itself has answered since it was asked.
	Alive
	// Ended means that its address refuses connections, or that another instance answers there.
	Ended
)

// String returns the name in the log.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Ended:
		return "ended"
	}
	return "unknown"
}

// StatusCheck is the request with which an instance is asked for a sign of life.
type StatusCheck struct {
	Path string
	// Headers returns the headers of a check that only the given instance accepts. If it is empty, any
	// instance rejects the check at once, without taking a slot.
	Headers func(instance string) http.Header
	// Sender returns the ID of the instance that has sent an answer; empty if the answer does not say.
	Sender func(answer http.Header) string
}

// ErrNoInstance means that a check does not say which instance it is about.
var ErrNoInstance = errors.New("upstream: check without an instance")

// Check asks an instance for a sign of life over a new direct connection, which is kept for the next
// request if possible. The error says why the instance is not known to be alive; it is nil if another
// instance has answered.
//
// An answer that does not say who sent it may be that of a successor or of something in between. The
// instance is then asked by name, which may cost it a slot.
func (p *Pool) Check(ctx context.Context, to Target, s StatusCheck) (Liveness, error) {
	if to.Instance == "" {
		return Unknown, ErrNoInstance
	}
	for _, name := range []string{"", to.Instance} {
		liveness, err := p.checkOnce(ctx, to, name, s)
		if liveness != Unknown || err != nil {
			return liveness, err
		}
	}
	return Unknown, errNoSender
}

// errNoSender means that the answers to a check do not say which instance has sent them.
var errNoSender = errors.New("upstream: answer of an unknown instance")

// checkOnce sends a check that only the instance with the given name accepts; none if it is empty.
func (p *Pool) checkOnce(ctx context.Context, to Target, name string, s StatusCheck) (Liveness, error) {
	c, err := p.openUncounted(ctx, to)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Ended, err
	}
	if err != nil {
		return Unknown, err
	}
	link := c.link()
	r := &Request{Method: http.MethodGet, Target: s.Path, Host: to.Address, Header: func() http.Header { return s.Headers(name) }}
	e, err := p.exchange(ctx, to, c, r, func(int, http.Header) bool { return true })
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.noteFailure(to, link)
		}
		return Unknown, err
	}
	liveness := senderLiveness(to.Instance, s.Sender(e.Header()), name != "" && e.Status() == http.StatusMisdirectedRequest)
	if liveness == Alive {
		e.ConfirmInstance()
		p.noteAnswer(to, link)
	}
	// If the rest of the answer cannot be read, the connection is not kept.
	_, _ = io.CopyN(io.Discard, e, maxSkippedBytes)
	e.Close()
	return liveness, nil
}

// senderLiveness returns what the answer of a sender says of an instance. rejected is set if the sender
// has rejected a request because it is for that instance only.
func senderLiveness(instance, sender string, rejected bool) Liveness {
	switch {
	case sender == instance && !rejected:
		return Alive
	case sender == instance:
		// The sender contradicts itself.
		return Unknown
	case sender != "" || rejected:
		return Ended
	}
	return Unknown
}

// ReachedSince reports whether an answer of an instance has arrived after a time, on an idle direct
// connection that is still open. This shows that the path to the instance works. The instance may have
// ended: its answer may have been held up on the way, or unread while this daemon stood still.
func (p *Pool) ReachedSince(to Target, after time.Time) bool {
	return p.hasIdle(to, func(c *conn) bool { return c.answeredAt.After(after) })
}

// AliveSince reports the same of the answer to a request that was sent after the time, so that the
// instance has lived since.
func (p *Pool) AliveSince(to Target, after time.Time) bool {
	return p.hasIdle(to, func(c *conn) bool { return c.askedAt.After(after) })
}

// hasIdle reports whether an idle direct connection on which an instance has answered is open and
// accepted.
func (p *Pool) hasIdle(to Target, accept func(c *conn) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[to.Address]
	return ok && slices.ContainsFunc(h.idle, func(c *conn) bool {
		return c.tunnel == nil && c.instance == to.Instance && accept(c) && c.isReusable()
	})
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
