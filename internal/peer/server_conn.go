package peer

import (
	"cmp"
	"net"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

// Limits bound what the connections to a Server use; 0 means no limit.
type Limits struct {
	// MaxConns is the number of connections, those of tunnels included.
	MaxConns int
	// MessageBytes is the budget for calls that take much memory; one message of any length fits into it. The number
	// of calls that are handled at once is limited in proportion to it.
	MessageBytes int
}

const (
	// firstCallTimeout is the time in which a new connection must have sent a whole call.
	firstCallTimeout = 5 * time.Second
	// minPeerIdle is how long a connection must have been without calls to make room for another one.
	minPeerIdle = 1 * time.Second
	// maxBodyTime is how long the body of a call may be incomplete before its connection makes room for another one. A
	// link of 10 Mbit/s carries 64 KB in 50 ms; the few longer calls are repeated.
	maxBodyTime = 1 * time.Second
	// callBytes is what a small call takes while it is handled.
	callBytes = 8 << 10
	// smallMessage is what a message takes that does not count in the budget.
	smallMessage = 64 << 10
	// messageWait is how long a long message waits for memory, and messageWaitInterval the time between two attempts.
	messageWait         = 500 * time.Millisecond
	messageWaitInterval = 10 * time.Millisecond
)

// leastMessageBytes returns the size of a budget into which one message of any length of a service fits. HeldBytes keeps
// an eighth for small holdings.
func leastMessageBytes(service string) int { return int(maxBody(service+".")) * 8 / 7 }

// serverConn is a connection that a Server has accepted.
type serverConn struct {
	net.Conn
	server     *Server
	acceptedAt time.Time
	// proven is set once a whole call or a request for a tunnel has been read. usedAt is when the last call ended,
	// in Unix nanoseconds, and running the number of calls that are being read or handled, or 1 for a tunnel.
	proven  atomic.Bool
	usedAt  atomic.Int64
	running atomic.Int64
	// readingSince is when the header of the call was read whose body is being read, in Unix nanoseconds; 0 if there
	// is none.
	readingSince atomic.Int64
	// message is the connection's part of the budget for messages; nil if there is none. held is what the call that
	// is being read has of it.
	message *limit.Holding
	held    int
}

// prove marks the connection as one of a daemon, which may be idle.
func (c *serverConn) prove() {
	if !c.proven.Swap(true) {
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *serverConn) begin() {
	c.running.Add(1)
	c.readingSince.Store(time.Now().UnixNano())
}

func (c *serverConn) endReading() { c.readingSince.Store(0) }

func (c *serverConn) end() {
	c.usedAt.Store(time.Now().UnixNano())
	c.running.Add(-1)
}

// isIdle reports whether the connection has had no calls for a while.
func (c *serverConn) isIdle(now time.Time) bool {
	return c.running.Load() == 0 && now.UnixNano()-c.usedAt.Load() >= int64(minPeerIdle)
}

// isStalled reports whether the connection is used for nothing but a call whose body has been incomplete for a while.
func (c *serverConn) isStalled(now time.Time) bool {
	since := c.readingSince.Load()
	return c.running.Load() == 1 && since != 0 && now.UnixNano()-since >= int64(maxBodyTime)
}

// holdMessage makes a message that takes n bytes count in the budget. It returns false if there is no memory for it.
func (c *serverConn) holdMessage(n int) bool {
	if c.message == nil || n <= smallMessage {
		return true
	}
	if n > c.server.messages.Largest() {
		return false
	}
	for waited := time.Duration(0); !c.message.Grow(n, time.Now()); waited += messageWaitInterval {
		if waited >= messageWait || c.message.Aborted() {
			return false
		}
		time.Sleep(messageWaitInterval)
	}
	c.held += n
	return true
}

// takeHeld returns what the call that has been read holds. The caller releases it when the call has been answered.
func (c *serverConn) takeHeld() int {
	held := c.held
	c.held = 0
	return held
}

// release frees memory of a call.
func (c *serverConn) release(held int) {
	if held > 0 {
		c.message.Shrink(held)
	}
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.held == 0 {
		return c.Conn.Read(p)
	}
	c.message.BeginWait(time.Now())
	n, err := c.Conn.Read(p)
	c.message.EndWait(n, time.Now())
	return n, err
}

// worst returns the connection that makes room for another one: the oldest that has not sent a whole call, or else one
// that is stalled, or the one that has been idle for the longest time. It returns nil if all are in use.
func worst(conns map[*serverConn]bool, now time.Time) *serverConn {
	var unproven, stalled, idle *serverConn
	for c := range conns {
		switch {
		case !c.proven.Load():
			if unproven == nil || c.acceptedAt.Before(unproven.acceptedAt) {
				unproven = c
			}
		case c.isStalled(now):
			stalled = c
		case c.isIdle(now):
			if idle == nil || c.usedAt.Load() < idle.usedAt.Load() {
				idle = c
			}
		}
	}
	return cmp.Or(unproven, stalled, idle)
}
