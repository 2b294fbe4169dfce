package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
)

// A tunnel is a connection to an upstream instance by way of another daemon, its gateway. It is used
// by a daemon that is cut off from instances which the gateway reaches. Requests, answers and all
// decisions about them stay with the daemon that uses the tunnel; the gateway passes bytes on.
//
// A tunnel uses the gateway's listener for peers. It begins with the byte tunnelPreface, with which
// no net/rpc connection begins, a TunnelRequest and a TunnelReply. Frames follow in both directions:
// a frameKind, a length of two bytes and the payload. The frames tell an answer that the instance
// ended from one that was cut off because the gateway died or lost a link.
const tunnelPreface = 0

// frameKind is the kind of a frame of a tunnel.
type frameKind byte

const (
	// frameData carries bytes of the connection.
	frameData frameKind = iota + 1
	// frameBegin announces a request, whose ID is the payload.
	frameBegin
	// frameDone states that the whole answer to that request has been received.
	frameDone
	// frameEnd states that the instance has closed the connection, and frameReset that the connection
	// to it failed. The connection may fail after its end: the instance takes nothing more.
	frameEnd
	frameReset
	// frameRefused states that no byte of the request that was announced last is passed on.
	frameRefused
)

const (
	frameHeaderBytes = 3
	// maxFrame is the largest payload of a frame. Gateways keep a buffer of that size for each
	// direction.
	maxFrame = 4 << 10
	// TunnelTimeout bounds the time to open a tunnel: the connection to the gateway, and its own to
	// the instance.
	TunnelTimeout = 450 * time.Millisecond
	// confirmTimeout bounds the time in which a gateway passes on what is left of a request. A sound instance may be
	// silent for one and a half seconds.
	confirmTimeout = 2 * time.Second
	// gatewayDialTimeout bounds the connection to the gateway.
	gatewayDialTimeout = 150 * time.Millisecond
)

// TunnelRequest asks a gateway for a tunnel to an instance.
type TunnelRequest struct {
	// From and To are the incarnations of the asking daemon and of the gateway. Only daemons know
	// them, so that callers cannot open tunnels.
	From, To string
	// Service and Instance name the instance. The gateway knows its address.
	Service, Instance string
}

// TunnelError is why a gateway opens no tunnel, or does not pass a request on.
type TunnelError string

// Errors of gateways.
const (
	// TunnelDenied means that the request does not come from a daemon that the gateway knows.
	TunnelDenied TunnelError = "denied"
	// TunnelBusy means that the gateway has as many tunnels as it can carry.
	TunnelBusy TunnelError = "busy"
	// TunnelStopping means that the gateway is about to stop.
	TunnelStopping TunnelError = "stopping"
	// TunnelCutOff means that the gateway is cut off from the service, too. Tunnels never lead over
	// two gateways.
	TunnelCutOff TunnelError = "cut_off"
	// TunnelWithdrawn means that the instance may not get requests, as far as the gateway knows.
	TunnelWithdrawn TunnelError = "withdrawn"
	// TunnelUnreachable means that the gateway could not connect to the instance.
	TunnelUnreachable TunnelError = "unreachable"
)

// Error implements error.
func (e TunnelError) Error() string { return "gateway: " + string(e) }

// NotPassedOn states that no byte of a request was passed on.
func (e TunnelError) NotPassedOn() {}

// IsOfInstance reports whether the reason is the state of the instance, not that of the gateway.
func (e TunnelError) IsOfInstance() bool { return e == TunnelWithdrawn || e == TunnelUnreachable }

// TunnelReply is the answer to a TunnelRequest. Error is empty if the tunnel is open.
type TunnelReply struct{ Error TunnelError }

// ErrTunnelBroken means that a tunnel ended without a word of its gateway, which may have died or
// lost its link. It says nothing about the instance.
var ErrTunnelBroken = errors.New("tunnel broken")

// frameWriter writes frames.
type frameWriter struct {
	conn net.Conn
	// mu is held while a frame is written. No other lock is taken while it is held.
	mu     sync.Mutex
	buffer [frameHeaderBytes + maxFrame]byte
}

// write writes a frame with a payload of at most maxFrame bytes.
func (f *frameWriter) write(kind frameKind, payload []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.buffer[0] = byte(kind)
	binary.BigEndian.PutUint16(f.buffer[1:], uint16(len(payload)))
	n := copy(f.buffer[frameHeaderBytes:], payload)
	_, err := f.conn.Write(f.buffer[:frameHeaderBytes+n])
	return err
}

// frameReader reads frames.
type frameReader struct {
	reader *bufio.Reader
	// left is the number of bytes of the data frame being read that are still to be read.
	left int
}

// next reads the header of the next frame, and its payload unless it is data.
func (f *frameReader) next() (kind frameKind, payload string, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return 0, "", err
	}
	kind = frameKind(header[0])
	length := int(binary.BigEndian.Uint16(header[1:]))
	if length > maxFrame {
		return 0, "", fmt.Errorf("a frame of %d bytes", length)
	}
	if kind == frameData {
		f.left = length
		return kind, "", nil
	}
	text := make([]byte, length)
	_, err = io.ReadFull(f.reader, text)
	return kind, string(text), err
}

// readData reads bytes of the data frame being read.
func (f *frameReader) readData(p []byte) (int, error) {
	n, err := f.reader.Read(p[:min(len(p), f.left)])
	f.left -= n
	return n, err
}

// Tunnel is an open tunnel at the daemon that uses it. It implements net.Conn.
type Tunnel struct {
	net.Conn
	gateway string
	frames  frameReader
	writer  frameWriter
	// end is the error of all reads after the end; only the reader uses it.
	end error
}

// OpenTunnel opens a tunnel through a gateway. The error is a TunnelError if the gateway gave one,
// and otherwise a trace.ConnectionProblem. No request has been passed on then.
func OpenTunnel(ctx context.Context, gateway member.Daemon, r TunnelRequest) (*Tunnel, error) {
	ctx, cancel := context.WithTimeout(ctx, TunnelTimeout)
	defer cancel()
	conn, err := dial.New(gatewayDialTimeout).DialContext(ctx, "tcp", gateway.PeerAddress)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "cannot connect to gateway %v", gateway.PeerAddress)
	}
	r.To = gateway.Incarnation
	t := &Tunnel{Conn: conn, gateway: gateway.PeerAddress, frames: frameReader{reader: bufio.NewReaderSize(conn, maxFrame)}, writer: frameWriter{conn: conn}}
	reply, err := t.ask(ctx, r)
	if err == nil && reply.Error != "" {
		err = reply.Error
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return t, nil
}

func (t *Tunnel) ask(ctx context.Context, r TunnelRequest) (reply TunnelReply, err error) {
	stop := context.AfterFunc(ctx, func() { _ = t.Conn.SetDeadline(time.Now()) })
	buffer := bufio.NewWriter(t.Conn)
	// Errors of a bufio.Writer are returned by Flush.
	_ = buffer.WriteByte(tunnelPreface)
	err = gob.NewEncoder(buffer).Encode(r)
	if err == nil {
		err = buffer.Flush()
	}
	if err == nil {
		err = decodeTunnelMessage(t.frames.reader, &reply)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return reply, trace.ConnectionProblem(err, "gateway %v did not open a tunnel", t.gateway)
	}
	return reply, nil
}

// Gateway returns the address of the gateway.
func (t *Tunnel) Gateway() string { return t.gateway }

// BeginRequest announces the request that is written next.
func (t *Tunnel) BeginRequest(id string) error {
	return t.writer.write(frameBegin, []byte(id[:min(len(id), maxFrame)]))
}

// ConfirmEnd implements upconn.Tunnel. It closes one direction of the tunnel, which makes the gateway close the other one
// once it has passed all on. A frameReset before that says that the instance did not take it.
func (t *Tunnel) ConfirmEnd() error {
	_ = t.Conn.SetReadDeadline(time.Now().Add(confirmTimeout))
	err := t.Conn.(dial.Conn).CloseWrite()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTunnelBroken, hideEOF(err))
	}
	kind, _, err := t.frames.next()
	switch {
	case err == io.EOF:
		return nil
	case err != nil:
		return fmt.Errorf("%w: %w", ErrTunnelBroken, hideEOF(err))
	case kind == frameReset:
		return syscall.ECONNRESET
	}
	return fmt.Errorf("%w: frame of kind %d after the end", ErrTunnelBroken, kind)
}

// EndRequest states that the whole answer to the last request has been received.
func (t *Tunnel) EndRequest() error { return t.writer.write(frameDone, nil) }

// Read implements net.Conn. The error is io.EOF only if the instance closed the connection, and a
// TunnelError if the gateway has passed no byte of the last request on.
func (t *Tunnel) Read(p []byte) (int, error) {
	for t.end == nil && t.frames.left == 0 {
		kind, payload, err := t.frames.next()
		switch {
		case err != nil:
			t.end = fmt.Errorf("%w: %w", ErrTunnelBroken, hideEOF(err))
		case kind == frameEnd:
			t.end = io.EOF
		case kind == frameReset:
			t.end = syscall.ECONNRESET
		case kind == frameRefused:
			t.end = TunnelError(payload)
		case kind != frameData:
			t.end = fmt.Errorf("%w: frame of kind %d", ErrTunnelBroken, kind)
		}
	}
	if t.end != nil {
		return 0, t.end
	}
	n, err := t.frames.readData(p)
	if err != nil {
		t.end = fmt.Errorf("%w: %w", ErrTunnelBroken, hideEOF(err))
		err = t.end
	}
	return n, err
}

// hideEOF replaces the errors with which the end of a connection is reported, so that the end of a
// tunnel is not taken for that of the instance's connection.
func hideEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return errors.New(err.Error())
	}
	return err
}

// Write implements net.Conn.
func (t *Tunnel) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		n := min(len(p)-sent, maxFrame)
		if err := t.writer.write(frameData, p[sent:sent+n]); err != nil {
			return sent, fmt.Errorf("%w: %w", ErrTunnelBroken, hideEOF(err))
		}
		sent += n
	}
	return len(p), nil
}

// SyscallConn implements syscall.Conn. It fails if there are unread bytes, which the connection
// itself does not show.
func (t *Tunnel) SyscallConn() (syscall.RawConn, error) {
	if t.end != nil || t.frames.left > 0 || t.frames.reader.Buffered() > 0 {
		return nil, ErrTunnelBroken
	}
	return t.Conn.(syscall.Conn).SyscallConn()
}
