package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
)

const (
	// openTimeout bounds the wait for a TunnelRequest on a new connection.
	openTimeout = 1 * time.Second
	// tunnelWriteTimeout bounds each write to the user of a tunnel. It is longer than a slow caller may
	// keep an answer waiting, and ends tunnels of daemons that are gone.
	tunnelWriteTimeout = 30 * time.Second
	// closeTimeout bounds the wait for the user of a tunnel to close it after the instance has ended
	// the connection. Closing it earlier would discard the end of the answer.
	closeTimeout = 5 * time.Second
)

// GatewayHandler decides which tunnels a gateway opens.
type GatewayHandler interface {
	// ConnectTunnel connects to the instance of a tunnel, or returns the reason not to.
	ConnectTunnel(r TunnelRequest) (net.Conn, TunnelError)
	// MayPass returns the reason not to pass on another request of an open tunnel, or "".
	MayPass(r TunnelRequest) TunnelError
}

// Gateway carries the tunnels of other daemons.
//
// Lock order: no other lock is taken while mu is held.
type Gateway struct {
	handler GatewayHandler
	// limit is the number of tunnels that may be open at once.
	limit int

	mu sync.Mutex
	// open is the number of open tunnels, running that of tunnels with a request that has no whole
	// answer, and idle has the tunnels without one.
	open, running int
	idle          map[*carried]struct{}

	// Opened counts the tunnels that were opened, Passed the requests that were passed on, and Refused
	// the tunnels and requests that were refused.
	Opened, Passed, Refused atomic.Int64
}

// NewGateway returns a gateway for at most limit tunnels.
func NewGateway(limit int, handler GatewayHandler) *Gateway {
	return &Gateway{handler: handler, limit: limit, idle: map[*carried]struct{}{}}
}

// Open returns the number of open tunnels.
func (g *Gateway) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Running returns the number of requests in progress.
func (g *Gateway) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Limit returns the number of tunnels that may be open at once.
func (g *Gateway) Limit() int { return g.limit }

// take counts a new tunnel. If there are too many, an idle one is dropped; take returns false if none
// is idle.
func (g *Gateway) take() bool {
	g.mu.Lock()
	if g.open < g.limit {
		g.open++
		g.mu.Unlock()
		return true
	}
	var dropped *carried
	for c := range g.idle {
		dropped = c
		break
	}
	if dropped != nil {
		delete(g.idle, dropped)
		dropped.state = tunnelDropped
	}
	g.mu.Unlock()
	if dropped == nil {
		return false
	}
	// The new tunnel takes the place of the dropped one in open.
	_ = dropped.writeBack(frameRefused, []byte(TunnelBusy))
	return true
}

// release ends what take began.
func (g *Gateway) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
}

// serve serves a connection on which tunnelPreface has been read.
func (g *Gateway) serve(conn *serverConn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, maxFrame)
	_ = conn.SetReadDeadline(time.Now().Add(openTimeout))
	var r TunnelRequest
	if err := decodeTunnelMessage(reader, &r); err != nil {
		return
	}
	conn.prove()
	_ = conn.SetReadDeadline(time.Time{})
	var instance net.Conn
	refused := TunnelBusy
	taken := g.take()
	if taken {
		instance, refused = g.handler.ConnectTunnel(r)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(CallTimeout))
	buffer := bufio.NewWriter(conn)
	// Errors of a bufio.Writer are returned by Flush.
	_ = gob.NewEncoder(buffer).Encode(TunnelReply{Error: refused})
	err := buffer.Flush()
	if refused != "" {
		g.Refused.Add(1)
		if taken {
			g.release()
		}
		slog.Info("tunnel.refused", "service", r.Service, "instance", r.Instance, "from", conn.RemoteAddr().String(), "reason", string(refused))
		return
	}
	defer instance.Close()
	if err != nil {
		g.release()
		return
	}
	g.Opened.Add(1)
	c := &carried{Gateway: g, request: r, user: conn, instance: instance, frames: frameReader{reader: reader}, writer: frameWriter{conn: conn}}
	c.run()
}

// carried is a tunnel at its gateway.
type carried struct {
	*Gateway
	request        TunnelRequest
	user, instance net.Conn
	frames         frameReader
	writer         frameWriter
	// ended is set once the instance has closed the connection. writeFailed is set if a write to it failed; only passOn uses
	// it until it returns.
	ended       atomic.Bool
	writeFailed bool
	// state is guarded by the lock of the gateway.
	state tunnelState
}

// tunnelState is the state of a tunnel at its gateway. New tunnels have the zero value until their
// first request.
type tunnelState int

const (
	// tunnelIdle tunnels have no request, tunnelRunning ones have one without a whole answer.
	tunnelIdle tunnelState = iota + 1
	tunnelRunning
	// tunnelDropped tunnels pass no more requests on, and do not count.
	tunnelDropped
)

// setState changes the state of a tunnel. It returns false if the tunnel has been dropped.
func (c *carried) setState(state tunnelState) bool {
	g := c.Gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == tunnelDropped {
		return false
	}
	switch c.state {
	case tunnelIdle:
		delete(g.idle, c)
	case tunnelRunning:
		g.running--
	}
	c.state = state
	switch state {
	case tunnelIdle:
		g.idle[c] = struct{}{}
	case tunnelRunning:
		g.running++
	case tunnelDropped:
		g.open--
	}
	return true
}

// run passes bytes on until one side ends. If the user closes the tunnel, the connection to the
// instance is closed at once, which ends the work there.
func (c *carried) run() {
	var back sync.WaitGroup
	back.Go(c.passBack)
	c.passOn()
	// After a frameEnd, the user closes its direction of the tunnel to learn whether the instance has taken the request.
	failed := c.writeFailed || c.ended.Load() && dial.AwaitDelivery(c.instance, confirmTimeout) != nil
	c.instance.Close()
	back.Wait()
	if failed {
		_ = c.writeBack(frameReset, nil)
	}
}

// passOn passes requests on until the user closes the tunnel or a request is refused.
func (c *carried) passOn() {
	buffer := make([]byte, maxFrame)
	defer c.setState(tunnelDropped)
	for {
		kind, payload, err := c.frames.next()
		if err != nil {
			return
		}
		switch kind {
		case frameBegin:
			if refused := c.handler.MayPass(c.request); refused != "" {
				c.refuse(payload, refused)
				return
			}
			if !c.setState(tunnelRunning) {
				// The user has been told that the request is not passed on.
				c.awaitClose()
				return
			}
			c.Passed.Add(1)
			slog.Info("request.carried", "request", payload, "instance", c.request.Instance, "from", c.user.RemoteAddr().String())
		case frameData:
			if !c.passFrame(buffer) {
				return
			}
		case frameDone:
			c.setState(tunnelIdle)
		default:
			return
		}
	}
}

// passFrame passes the data frame being read on. An instance that takes no more bytes may still
// answer, so only the user ends the tunnel then.
func (c *carried) passFrame(buffer []byte) bool {
	for c.frames.left > 0 {
		n, err := c.frames.readData(buffer)
		if err != nil {
			return false
		}
		if _, err := c.instance.Write(buffer[:n]); err != nil {
			c.writeFailed = true
		}
	}
	return true
}

// refuse tells the user that no byte of a request is passed on, and waits until it has closed the
// tunnel.
func (c *carried) refuse(id string, reason TunnelError) {
	c.Refused.Add(1)
	slog.Info("request.not_carried", "request", id, "instance", c.request.Instance, "from", c.user.RemoteAddr().String(), "reason", string(reason))
	if c.writeBack(frameRefused, []byte(reason)) == nil {
		c.awaitClose()
	}
}

// awaitClose waits until the user has closed the tunnel.
func (c *carried) awaitClose() {
	_ = c.user.SetReadDeadline(time.Now().Add(closeTimeout))
	_, _ = io.Copy(io.Discard, c.frames.reader)
}

func (c *carried) writeBack(kind frameKind, payload []byte) error {
	_ = c.user.SetWriteDeadline(time.Now().Add(tunnelWriteTimeout))
	return c.writer.write(kind, payload)
}

// passBack passes answers back until the connection to the instance ends.
func (c *carried) passBack() {
	buffer := make([]byte, maxFrame)
	for {
		n, err := c.instance.Read(buffer)
		if n > 0 && c.writeBack(frameData, buffer[:n]) != nil {
			c.user.Close()
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		kind := frameReset
		if err == io.EOF {
			kind = frameEnd
			c.ended.Store(true)
		}
		_ = c.writeBack(kind, nil)
		// passOn goes on until the user has closed the tunnel, but not for long.
		_ = c.user.SetReadDeadline(time.Now().Add(closeTimeout))
		_ = c.instance.SetWriteDeadline(time.Now().Add(closeTimeout))
		return
	}
}

// serveConn serves net/rpc calls or a tunnel on a connection.
func (s *Server) serveConn(conn *serverConn) {
	if s.gateway == nil {
		s.serveCalls(conn, conn)
		return
	}
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		conn.Close()
		return
	}
	if first[0] == tunnelPreface {
		conn.begin()
		defer conn.end()
		s.gateway.serve(conn)
		return
	}
	s.serveCalls(conn, &prefixedConn{Conn: conn, prefix: first[:]})
}

// prefixedConn is a connection of which some bytes have been read already.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read implements net.Conn.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}

var _ syscall.Conn = (*Tunnel)(nil)
