package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/semaphore"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/eventlog"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/neterr"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
)

// Server accepts connections from other daemons and serves one net/rpc service on them.
//
// Lock order: no other lock of this package is taken while mu is held. Close holds mu while it
// closes the listener and the connections.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	traffic  *Traffic
	// gateway carries tunnels; nil if there are none.
	gateway *Gateway

	maxConns int
	// messages is the budget for calls that take much memory, and calls bounds those that are handled at once; nil means
	// no limit.
	messages *limit.HeldBytes
	calls    *semaphore.Weighted
	logs     *eventlog.Log
	// Evicted counts connections that were closed to make room for others, and Refused those for which there was
	// no room. MessagesRefused counts messages that were not decoded.
	Evicted, Refused, MessagesRefused atomic.Int64

	mu     sync.Mutex
	conns  map[*serverConn]bool
	closed bool
}

// Listen serves the Peer service on address. Without tlsConfig connections are plain TCP.
func Listen(address string, tlsConfig *tls.Config, handler Handler, limits Limits) (*Server, error) {
	return listen(address, tlsConfig, serviceName, &service{handler: handler}, nil, limits)
}

// ListenRoutes serves the Routes service and tunnels on address, for daemons that serve plain HTTP
// callers.
func ListenRoutes(address string, handler RoutesHandler, gateway *Gateway, limits Limits) (*Server, error) {
	return listen(address, nil, routesName, &routesService{handler: handler}, gateway, limits)
}

func listen(address string, tlsConfig *tls.Config, name string, receiver any, gateway *Gateway, limits Limits) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return serve(listener, name, receiver, gateway, limits)
}

// serve serves a net/rpc service on the connections of a listener, and tunnels if gateway is not nil.
func serve(listener net.Listener, name string, receiver any, gateway *Gateway, limits Limits) (*Server, error) {
	s := &Server{
		listener: listener, gateway: gateway, rpc: rpc.NewServer(), traffic: NewTraffic(), conns: map[*serverConn]bool{},
		maxConns: limits.MaxConns, logs: eventlog.New("listener", "peers"),
	}
	if limits.MessageBytes > 0 {
		s.messages = limit.NewHeldBytes(max(limits.MessageBytes, leastMessageBytes(name)))
		s.calls = semaphore.NewWeighted(int64(max(limits.MessageBytes/callBytes, maxCalls)))
	}
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return nil, trace.Wrap(err)
	}
	go s.accept()
	return s, nil
}

// Address returns the listening address as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Traffic returns the counters of the calls that this server receives.
func (s *Server) Traffic() *Traffic { return s.traffic }

const (
	// acceptRetryDelay is the pause after an error of Accept.
	acceptRetryDelay = 100 * time.Millisecond
	// evictionDelay is the pause after the eviction of a connection, whose descriptor is free once it is closed.
	evictionDelay = time.Millisecond
)

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.logs.Note("peer.not_accepted", 1, "error", err)
			time.Sleep(s.afterAcceptError(err))
			continue
		}
		c, ok := s.add(conn)
		if !ok {
			conn.Close()
			continue
		}
		go s.serve(c)
	}
}

// afterAcceptError evicts a connection if there are no descriptors left, and returns the pause before the next attempt.
func (s *Server) afterAcceptError(err error) time.Duration {
	if !neterr.IsDescriptorLimit(err) {
		return acceptRetryDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.evict(time.Now()) {
		return acceptRetryDelay
	}
	return evictionDelay
}

// add adds a connection, and closes another one if there are too many. It returns false if there is no room.
func (s *Server) add(conn net.Conn) (*serverConn, bool) {
	c := &serverConn{Conn: conn, server: s, acceptedAt: time.Now()}
	if s.messages != nil {
		// Close may wait for a TLS connection, and the budget is locked here.
		c.message = s.messages.Open(func() { go conn.Close() })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, false
	}
	if s.maxConns > 0 && len(s.conns) >= s.maxConns && !s.evict(c.acceptedAt) {
		s.Refused.Add(1)
		s.logs.Note("peer.refused", 1, "open", len(s.conns))
		return nil, false
	}
	s.conns[c] = true
	return c, true
}

// evict closes the connection that is worth least. It returns false if all are in use. The lock is held.
func (s *Server) evict(now time.Time) bool {
	evicted := worst(s.conns, now)
	if evicted == nil {
		return false
	}
	s.Evicted.Add(1)
	s.logs.Note("peer.evicted", 1, "open", len(s.conns), "proven", evicted.proven.Load())
	delete(s.conns, evicted)
	// The close of a TLS connection may wait.
	go evicted.Close()
	return true
}

// beginCall waits until another call may be handled.
func (s *Server) beginCall() {
	if s.calls != nil {
		// Calls end, whether or not their clients are there.
		_ = s.calls.Acquire(context.Background(), 1)
	}
}

func (s *Server) endCall() {
	if s.calls != nil {
		s.calls.Release(1)
	}
}

func (s *Server) serve(c *serverConn) {
	_ = c.SetReadDeadline(c.acceptedAt.Add(firstCallTimeout))
	s.serveConn(c)
	if c.message != nil {
		c.message.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) serveCalls(c *serverConn, conn net.Conn) {
	s.rpc.ServeCodec(newServerCodec(c, conn, s.traffic))
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
}

// service exposes a Handler with the method signatures that net/rpc requires.
type service struct{ handler Handler }

// Heartbeat receives a heartbeat and returns that of this daemon.
func (s *service) Heartbeat(in Heartbeat, out *Heartbeat) error {
	*out = s.handler.OnHeartbeat(in)
	return nil
}

// Config returns the configuration documents and roll-outs that the caller lacks.
func (s *service) Config(in ConfigRequest, out *config.Delta) error {
	*out = s.handler.OnConfig(in)
	return nil
}

// Members returns all daemons in the membership table.
func (s *service) Members(_ Empty, out *[]member.Daemon) error {
	*out = s.handler.OnMembers()
	return nil
}

// Hold stores replicas of bills.
func (s *service) Hold(in HoldRequest, _ *Empty) error {
	s.handler.OnHold(in)
	return nil
}

// Release deletes replicas of bills.
func (s *service) Release(in ReleaseRequest, _ *Empty) error {
	s.handler.OnRelease(in)
	return nil
}

// Take decides whether the caller gets the ownership of an idempotency key.
func (s *service) Take(in TakeRequest, out *claim.Result) error {
	*out = s.handler.OnTake(in)
	return nil
}

// Answer returns a part of a stored answer.
func (s *service) Answer(in AnswerRequest, out *AnswerReply) error {
	*out = s.handler.OnAnswer(in)
	return nil
}

// Credit grants exposure credits.
func (s *service) Credit(in CreditRequest, out *int) error {
	n, err := s.handler.OnCredit(in)
	*out = n
	return err
}

// Demand receives the demand of organisations and returns the shares of their limits.
func (s *service) Demand(in DemandRequest, out *map[string]limit.Share) error {
	*out = s.handler.OnDemand(in)
	return nil
}

// Ratings returns the rating summary.
func (s *service) Ratings(_ Empty, out *rating.Summary) error {
	*out = s.handler.OnRatings()
	return nil
}

// Keys returns the session signing keys.
func (s *service) Keys(_ Empty, out *[]session.Key) error {
	*out = s.handler.OnKeys()
	return nil
}

// Handover receives the idempotency keys and answers of a stopping daemon.
func (s *service) Handover(in HandoverRequest, _ *Empty) error {
	s.handler.OnHandover(in)
	return nil
}

// Instances returns the latest instance list that this daemon has.
func (s *service) Instances(_ Empty, out *[]backing.Instance) error {
	*out = s.handler.OnInstances()
	return nil
}
