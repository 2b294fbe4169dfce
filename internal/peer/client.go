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

// CallTimeout bounds the calls that have no deadline of their own.
const CallTimeout = time.Second

// Client calls the peers, with one connection for each address.
//
// Lock order: mu is taken alone; connections are made outside it.
type Client struct {
	tls     *tls.Config
	traffic *Traffic

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient returns a client. tlsConfig may be nil.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tls: tlsConfig, traffic: NewTraffic(), conns: map[string]*rpc.Client{}}
}

// Traffic returns the counters of what this client sends and is answered.
func (c *Client) Traffic() *Traffic { return c.traffic }

// SetTLS sets how connections are secured. It is called before the first call.
func (c *Client) SetTLS(config *tls.Config) { c.tls = config }

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "peer %v", address)
	}
	made := rpc.NewClientWithCodec(&clientCodec{frames: newFrames(raw, c.traffic)})
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		made.Close()
		return conn, nil
	}
	c.conns[address] = made
	return made, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.tls != nil {
		return (&tls.Dialer{Config: c.tls}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// drop closes a connection that failed or does not answer, so that the next
// call makes a new one.
func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.Close()
}

// call makes one call. The error is a trace.ConnectionProblem unless the peer
// itself answered with one.
func (c *Client) call(ctx context.Context, address, service, method string, in, out any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	if oteltrace.SpanContextFromContext(ctx).IsValid() {
		// Only calls made for a request get a span, not the daemon's own.
		_, span := tracer.Start(ctx, "peer "+method)
		defer span.End()
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	began := time.Now()
	call := conn.Go(service+"."+method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.traffic.answered(call.ServiceMethod, time.Since(began))
	case <-ctx.Done():
		// A call that was cancelled says nothing about the peer, and others
		// use the connection.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.drop(address, conn)
		}
		return trace.ConnectionProblem(ctx.Err(), "peer %v %v", address, method)
	}
	if call.Error == nil {
		return nil
	}
	if _, answered := call.Error.(rpc.ServerError); answered {
		return trace.Errorf("peer %v %v: %v", address, method, call.Error)
	}
	c.drop(address, conn)
	return trace.ConnectionProblem(call.Error, "peer %v %v", address, method)
}

// fetch makes a call whose answer is a T. The answer is decoded into a value
// of its own, since a call given up on may still be answered later.
func fetch[T any](ctx context.Context, c *Client, address, method string, in any) (T, error) {
	return fetchFrom[T](ctx, c, address, serviceName, method, in)
}

// fetchFrom is fetch for a service by name.
func fetchFrom[T any](ctx context.Context, c *Client, address, service, method string, in any) (T, error) {
	out := new(T)
	if err := c.call(ctx, address, service, method, in, out); err != nil {
		var zero T
		return zero, err
	}
	return *out, nil
}

// Heartbeat exchanges news with a peer.
func (c *Client) Heartbeat(ctx context.Context, address string, h Heartbeat) (Heartbeat, error) {
	return fetch[Heartbeat](ctx, c, address, "Heartbeat", h)
}

// Config fetches what this daemon lacks of the configuration.
func (c *Client) Config(ctx context.Context, address string, r ConfigRequest) (config.Delta, error) {
	return fetch[config.Delta](ctx, c, address, "Config", r)
}

// Members fetches every daemon the peer knows.
func (c *Client) Members(ctx context.Context, address string) ([]member.Daemon, error) {
	return fetch[[]member.Daemon](ctx, c, address, "Members", Empty{})
}

// Hold hands copies of bills to a peer.
func (c *Client) Hold(ctx context.Context, address string, r HoldRequest) error {
	_, err := fetch[Empty](ctx, c, address, "Hold", r)
	return err
}

// Release tells a peer to drop copies.
func (c *Client) Release(ctx context.Context, address string, r ReleaseRequest) error {
	_, err := fetch[Empty](ctx, c, address, "Release", r)
	return err
}

// Take asks a peer for an idempotency key.
func (c *Client) Take(ctx context.Context, address string, r TakeRequest) (claim.Result, error) {
	return fetch[claim.Result](ctx, c, address, "Take", r)
}

// Answer fetches a part of an answer.
func (c *Client) Answer(ctx context.Context, address string, r AnswerRequest) (AnswerReply, error) {
	return fetch[AnswerReply](ctx, c, address, "Answer", r)
}

// Credit asks the duty holder of a roll-out for credits.
func (c *Client) Credit(ctx context.Context, address string, r CreditRequest) (int, error) {
	return fetch[int](ctx, c, address, "Credit", r)
}

// Demand reports demand and returns the shares allotted.
func (c *Client) Demand(ctx context.Context, address string, r DemandRequest) (map[string]limit.Share, error) {
	return fetch[map[string]limit.Share](ctx, c, address, "Demand", r)
}

// Ratings fetches a peer's rating summary.
func (c *Client) Ratings(ctx context.Context, address string) (rating.Summary, error) {
	return fetch[rating.Summary](ctx, c, address, "Ratings", Empty{})
}

// Keys fetches the signing keys.
func (c *Client) Keys(ctx context.Context, address string) ([]session.Key, error) {
	return fetch[[]session.Key](ctx, c, address, "Keys", Empty{})
}

// Handover passes on what this daemon remembers.
func (c *Client) Handover(ctx context.Context, address string, r HandoverRequest) error {
	_, err := fetch[Empty](ctx, c, address, "Handover", r)
	return err
}

// Instances fetches the last list of instances that a peer has.
func (c *Client) Instances(ctx context.Context, address string) ([]backing.Instance, error) {
	return fetch[[]backing.Instance](ctx, c, address, "Instances", Empty{})
}
