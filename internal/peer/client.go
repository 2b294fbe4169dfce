package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
)

var tracer = otel.Tracer("github.com/hornbeamsill/hornbeamsill/internal/peer")

// CallTimeout bounds calls whose context has no deadline, and the write of one frame.
const CallTimeout = time.Second

// ErrNoReply is the cause of a call that a peer accepted but did not answer in time: it is busy,
// frozen, or cut off after the connection was established.
var ErrNoReply = errors.New("no reply in time")

// Client calls other daemons. It keeps one connection per address.
//
// Lock order: no other lock of this package is taken while mu is held. mu is held while a
// connection is closed, but not while one is dialed.
type Client struct {
	tls     *tls.Config
	traffic *Traffic

	mu    sync.Mutex
	conns map[string]*clientConn
}

// clientConn is a connection to a peer.
type clientConn struct {
	*rpc.Client
	frames *frameConn
	// calls is the number of calls in progress, and usedAt when the last one began or ended.
	calls  int
	usedAt time.Time
}

// NewClient returns a client without connections. Without tlsConfig they are plain TCP.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tls: tlsConfig, traffic: NewTraffic(), conns: map[string]*clientConn{}}
}

// Traffic returns the counters of the calls that this client makes.
func (c *Client) Traffic() *Traffic { return c.traffic }

// SetTLS sets the TLS configuration of connections. It must be called before the first call.
func (c *Client) SetTLS(config *tls.Config) { c.tls = config }

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

// HasConnections reports whether there are connections to peers.
func (c *Client) HasConnections() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) > 0
}

// CloseIdle closes the connections that have not been used for the given time.
func (c *Client) CloseIdle(unused time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if conn.calls == 0 && now.Sub(conn.usedAt) > unused {
			conn.Close()
			delete(c.conns, address)
		}
	}
}

// connect returns the connection to address and dials it if there is none. If two calls dial
// at the same time, the connection established later is closed. The caller calls release after
// the call.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	if conn := c.acquire(address, nil); conn != nil {
		return conn, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "cannot connect to peer %v", address)
	}
	frames := newFrameConn(raw, c.traffic)
	created := &clientConn{Client: rpc.NewClientWithCodec(&clientCodec{frameConn: frames}), frames: frames}
	conn := c.acquire(address, created)
	if conn != created {
		created.Close()
	}
	return conn, nil
}

// acquire returns the connection to address for a call, or else stores and returns created.
func (c *Client) acquire(address string, created *clientConn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil && created != nil {
		conn, c.conns[address] = created, created
	}
	if conn != nil {
		conn.calls++
		conn.usedAt = time.Now()
	}
	return conn
}

// release ends the use of a connection by a call.
func (c *Client) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	conn.usedAt = time.Now()
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.tls != nil {
		return (&tls.Dialer{Config: c.tls}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// closeConn closes a connection that failed or timed out, so that the next call dials a new
// one.
func (c *Client) closeConn(address string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.Close()
}

// call makes one call. The error is a trace.ConnectionProblem unless the peer executed the
// call and returned an error.
func (c *Client) call(ctx context.Context, address, service, method string, in, out any) error {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	if oteltrace.SpanContextFromContext(ctx).IsValid() {
		// Calls that belong to a request get a span; periodic calls of the daemon have no
		// parent span and get none.
		_, span := tracer.Start(ctx, "peer "+method)
		defer span.End()
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	defer c.release(conn)
	start := time.Now()
	call := conn.Go(service+"."+method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.traffic.addLatency(call.ServiceMethod, time.Since(start))
	case <-ctx.Done():
		// Only a timeout closes the connection. A cancelled call shows no fault of the peer,
		// and other calls share the connection.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.closeConn(address, conn)
		}
		return trace.ConnectionProblem(errors.Join(ErrNoReply, ctx.Err()), "peer %v: no reply to the call %v", address, method)
	}
	if call.Error == nil {
		return nil
	}
	if _, fromPeer := call.Error.(rpc.ServerError); fromPeer {
		return trace.Errorf("peer %v returned an error from the call %v: %v", address, method, call.Error)
	}
	c.closeConn(address, conn)
	if limited := conn.frames.limited.Load(); limited != nil {
		return trace.ConnectionProblem(limited, "peer %v: reply to the call %v: %v", address, method, limited)
	}
	return trace.ConnectionProblem(call.Error, "connection to peer %v failed in the call %v", address, method)
}

// callPeer calls a method of the Peer service whose reply is a T.
func callPeer[T any](ctx context.Context, c *Client, address, method string, in any) (T, error) {
	return callService[T](ctx, c, address, serviceName, method, in)
}

// callService calls a method of the named service whose reply is a T. The reply is decoded
// into a new value, because net/rpc may still write to it after the call has timed out.
func callService[T any](ctx context.Context, c *Client, address, service, method string, in any) (T, error) {
	out := new(T)
	if err := c.call(ctx, address, service, method, in, out); err != nil {
		var zero T
		return zero, err
	}
	return *out, nil
}

// Heartbeat sends a heartbeat and returns the heartbeat of the peer.
func (c *Client) Heartbeat(ctx context.Context, address string, h Heartbeat) (Heartbeat, error) {
	return callPeer[Heartbeat](ctx, c, address, "Heartbeat", h)
}

// Config fetches the configuration documents and roll-outs that differ from those known here.
func (c *Client) Config(ctx context.Context, address string, r ConfigRequest) (config.Delta, error) {
	return callPeer[config.Delta](ctx, c, address, "Config", r)
}

// Members fetches all daemons in the peer's membership table.
func (c *Client) Members(ctx context.Context, address string) ([]member.Daemon, error) {
	return callPeer[[]member.Daemon](ctx, c, address, "Members", Empty{})
}

// HoldBills sends replicas of bills for the peer to hold.
func (c *Client) HoldBills(ctx context.Context, address string, r HoldRequest) error {
	_, err := callPeer[Empty](ctx, c, address, "Hold", r)
	return err
}

// ReleaseBills asks the peer to delete replicas of bills.
func (c *Client) ReleaseBills(ctx context.Context, address string, r ReleaseRequest) error {
	_, err := callPeer[Empty](ctx, c, address, "Release", r)
	return err
}

// TakeKey asks the peer for the ownership of an idempotency key.
func (c *Client) TakeKey(ctx context.Context, address string, r TakeRequest) (claim.Result, error) {
	return callPeer[claim.Result](ctx, c, address, "Take", r)
}

// Answer fetches a part of a stored answer.
func (c *Client) Answer(ctx context.Context, address string, r AnswerRequest) (AnswerReply, error) {
	return callPeer[AnswerReply](ctx, c, address, "Answer", r)
}

// RequestCredits asks the daemon that holds the lease of a roll-out for exposure credits and
// returns the number granted.
func (c *Client) RequestCredits(ctx context.Context, address string, r CreditRequest) (int, error) {
	return callPeer[int](ctx, c, address, "Credit", r)
}

// ReportDemand reports the demand of organisations and returns the shares of their limits that
// this daemon may use.
func (c *Client) ReportDemand(ctx context.Context, address string, r DemandRequest) (map[string]limit.Share, error) {
	return callPeer[map[string]limit.Share](ctx, c, address, "Demand", r)
}

// Ratings fetches the rating summary of a peer.
func (c *Client) Ratings(ctx context.Context, address string) (rating.Summary, error) {
	return callPeer[rating.Summary](ctx, c, address, "Ratings", Empty{})
}

// Keys fetches the session signing keys.
func (c *Client) Keys(ctx context.Context, address string) ([]session.Key, error) {
	return callPeer[[]session.Key](ctx, c, address, "Keys", Empty{})
}

// Handover sends the idempotency keys and answers of this daemon, which is stopping, to its
// successor.
func (c *Client) Handover(ctx context.Context, address string, r HandoverRequest) error {
	_, err := callPeer[Empty](ctx, c, address, "Handover", r)
	return err
}

// Instances fetches the latest instance list that the peer has.
func (c *Client) Instances(ctx context.Context, address string) ([]backing.Instance, error) {
	return callPeer[[]backing.Instance](ctx, c, address, "Instances", Empty{})
}
