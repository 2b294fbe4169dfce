// Package faultdial is a dialer of connections to upstream instances that cuts one daemon off from
// them, as a network does that loses its packets or resets its connections. A proxy in front of the
// instances cannot do that: all daemons use the same addresses, and a proxy acknowledges what it
// then drops.
package faultdial

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// Fault is what happens to connections. The text of the control file is a Fault, optionally
// followed by the addresses that it affects; without addresses it affects all.
type Fault string

// Faults.
const (
	None Fault = ""
	// Reset resets open connections and refuses new ones.
	Reset Fault = "reset"
	// Refuse refuses new connections. Open ones live on.
	Refuse Fault = "refuse"
	// Hang loses all packets.
	Hang Fault = "hang"
	// ResetAccepted resets open connections, and new ones after they have been accepted, as a load
	// balancer does that does not reach the instances. ResetNew does so with new ones only.
	ResetAccepted Fault = "reset-accepted"
	ResetNew      Fault = "reset-new"
	// HangAccepted accepts new connections and passes nothing on, on these and open ones.
	HangAccepted Fault = "hang-accepted"
)

// pollInterval is the interval at which the control file is read and faulty connections are checked.
const pollInterval = 5 * time.Millisecond

// control is the fault in force.
type control struct {
	fault     Fault
	addresses map[string]bool
}

func (c *control) affects(address string, faults ...Fault) bool {
	if len(c.addresses) > 0 && !c.addresses[address] {
		return false
	}
	for _, f := range faults {
		if c.fault == f {
			return true
		}
	}
	return false
}

// Dialer opens connections that are subject to the fault in a control file.
type Dialer struct {
	upconn.Dialer
	current atomic.Pointer[control]
}

// New returns a dialer that follows the control file at path until the process ends.
func New(under upconn.Dialer, path string) *Dialer {
	d := &Dialer{Dialer: under}
	d.current.Store(&control{})
	go func() {
		for ; ; time.Sleep(pollInterval) {
			if text, err := os.ReadFile(path); err == nil {
				d.current.Store(parse(string(text)))
			}
		}
	}()
	return d
}

func parse(text string) *control {
	c := &control{addresses: map[string]bool{}}
	for i, word := range strings.Fields(text) {
		if i == 0 {
			c.fault = Fault(word)
			continue
		}
		c.addresses[word] = true
	}
	return c
}

// Write puts a fault in force in the daemons that follow the control file at path.
func Write(path string, f Fault, addresses ...string) error {
	text := strings.Join(append([]string{string(f)}, addresses...), " ")
	// A daemon must not read a part of the text, and several goroutines may write.
	next, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path))
	if err != nil {
		return trace.Wrap(err)
	}
	_, writeErr := next.WriteString(text)
	if err := errors.Join(writeErr, next.Close()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.Rename(next.Name(), path))
}

// DialContext implements upconn.Dialer.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c := d.current.Load()
	switch {
	case c.affects(address, Reset, Refuse):
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case c.affects(address, Hang):
		wait, cancel := context.WithTimeout(ctx, upconn.DialTimeout)
		defer cancel()
		<-wait.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	under, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &conn{Conn: under, dialer: d, address: address, closed: make(chan struct{})}
	if c.affects(address, ResetAccepted, ResetNew) {
		conn.fail(syscall.ECONNRESET)
		return conn, nil
	}
	go conn.watch()
	return conn, nil
}

// conn is a connection to an upstream instance.
type conn struct {
	net.Conn
	dialer  *Dialer
	address string
	closed  chan struct{}
	closing sync.Once

	mu sync.Mutex
	// err is set once the fault has ended the connection.
	err error
	// held are the bytes written while packets are lost, the first of them at heldSince.
	held      []byte
	heldSince time.Time
	// lostSince is since when packets are lost; zero while they are not.
	lostSince time.Time
}

func (c *conn) has(faults ...Fault) bool {
	return c.dialer.current.Load().affects(c.address, faults...)
}

// watch applies the fault to the connection until it is closed.
func (c *conn) watch() {
	for {
		select {
		case <-c.closed:
			return
		case <-time.After(pollInterval):
		}
		switch {
		case c.has(Reset, ResetAccepted):
			c.fail(syscall.ECONNRESET)
			return
		case c.has(Hang):
			if c.noteLost() {
				c.fail(syscall.ETIMEDOUT)
				return
			}
		case c.has(HangAccepted):
			// What accepts the bytes acknowledges them, so that the kernel never gives up.
		default:
			c.resend()
		}
	}
}

// noteLost reports whether the kernel would have given the connection up by now.
func (c *conn) noteLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostSince.IsZero() {
		c.lostSince = time.Now()
	}
	since := c.lostSince
	if len(c.held) > 0 {
		since = c.heldSince
	}
	return time.Since(since) > c.userTimeout()
}

// userTimeout returns the TCP_USER_TIMEOUT of the connection.
func (c *conn) userTimeout() time.Duration {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	ms := 0
	if err := raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// fail ends the connection with an error. The peer notices nothing while packets are lost.
func (c *conn) fail(err error) {
	c.mu.Lock()
	c.err = &net.OpError{Op: "read", Net: "tcp", Err: err}
	c.mu.Unlock()
	if err == syscall.ECONNRESET {
		_ = c.Conn.(interface{ SetLinger(sec int) error }).SetLinger(0)
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now())
	go func() {
		for c.has(Hang) {
			time.Sleep(pollInterval)
		}
		_ = c.Conn.Close()
	}()
}

// resend sends the bytes that were held while packets were lost.
func (c *conn) resend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostSince = time.Time{}
	if len(c.held) == 0 {
		return
	}
	_, _ = c.Conn.Write(c.held)
	c.held = nil
}

// failure returns the error with which the fault has ended the connection.
func (c *conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.has(Hang, HangAccepted) && c.failure() == nil {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(pollInterval):
		}
	}
	if failure := c.failure(); failure != nil {
		return 0, failure
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.has(Hang, HangAccepted) && len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	if len(c.held) == 0 {
		c.heldSince = time.Now()
	}
	c.held = append(c.held, p...)
	return len(p), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	if c.failure() != nil {
		return nil
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if err := c.failure(); err != nil {
		return nil, err
	}
	return c.Conn.(syscall.Conn).SyscallConn()
}
