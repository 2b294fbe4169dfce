package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
)

const gatewayIncarnation = "gateway"

// tunnelBed is a gateway before one instance, a TCP server.
type tunnelBed struct {
	t        *testing.T
	instance net.Listener
	server   *Server
	gateway  *Gateway
	// refusal is what MayPass returns; "" if unset.
	refusal atomic.Value
}

// ConnectTunnel implements GatewayHandler.
func (b *tunnelBed) ConnectTunnel(r TunnelRequest) (net.Conn, TunnelError) {
	if r.To != gatewayIncarnation || r.From != "user" {
		return nil, TunnelDenied
	}
	conn, err := net.Dial("tcp", b.instance.Addr().String())
	if err != nil {
		return nil, TunnelUnreachable
	}
	return conn, ""
}

// MayPass implements GatewayHandler.
func (b *tunnelBed) MayPass(TunnelRequest) TunnelError {
	refusal, _ := b.refusal.Load().(TunnelError)
	return refusal
}

// newTunnelBed starts a gateway, and an instance that serves each connection with serve.
func newTunnelBed(t *testing.T, limit int, serve func(c *net.TCPConn)) *tunnelBed {
	b := &tunnelBed{t: t}
	var err error
	b.instance, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { b.instance.Close() })
	go func() {
		for {
			c, err := b.instance.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	b.gateway = NewGateway(limit, b)
	b.server, err = ListenRoutes("127.0.0.1:0", echoHandler{}, b.gateway, Limits{})
	require.NoError(t, err)
	t.Cleanup(b.server.Close)
	return b
}

func (b *tunnelBed) open(from string) (*Tunnel, error) {
	return OpenTunnel(b.t.Context(), member.Daemon{PeerAddress: b.server.Address(), Incarnation: gatewayIncarnation}, TunnelRequest{From: from})
}

func (b *tunnelBed) mustOpen() *Tunnel {
	b.t.Helper()
	tunnel, err := b.open("user")
	require.NoError(b.t, err)
	b.t.Cleanup(func() { tunnel.Close() })
	return tunnel
}

// echo sends back all that it receives.
func echo(c *net.TCPConn) {
	_, _ = io.Copy(c, c)
	c.Close()
}

// Guards against bytes that are lost or changed on the way through a gateway, in frames of any size.
func TestTunnelCarriesAllBytes(t *testing.T) {
	b := newTunnelBed(t, 4, echo)
	tunnel := b.mustOpen()
	sent := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	go func() {
		_ = tunnel.BeginRequest("request")
		_, _ = tunnel.Write(sent)
	}()
	received := make([]byte, len(sent))
	_, err := io.ReadFull(tunnel, received)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, received))
	require.EqualValues(t, 1, b.gateway.Passed.Load())
	require.Equal(t, 1, b.gateway.Running())
	require.NoError(t, tunnel.EndRequest())
	require.Eventually(t, func() bool { return b.gateway.Running() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a gateway that dies, and against an instance that resets its connection: an answer
// without a length must not look complete then.
func TestEndOfTunnelIsNotTheEndOfTheAnswer(t *testing.T) {
	const part = "part of an answer"
	for _, c := range []struct {
		name string
		end  func(b *tunnelBed, c *net.TCPConn)
		want error
	}{
		{"instance closes", func(_ *tunnelBed, c *net.TCPConn) { c.Close() }, io.EOF},
		{"instance resets", func(_ *tunnelBed, c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }, syscall.ECONNRESET},
		{"gateway dies", func(b *tunnelBed, _ *net.TCPConn) { b.server.Close() }, ErrTunnelBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			received := make(chan *net.TCPConn, 1)
			b := newTunnelBed(t, 4, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, part)
				received <- c
			})
			tunnel := b.mustOpen()
			got := make([]byte, len(part))
			_, err := io.ReadFull(tunnel, got)
			require.NoError(t, err)
			c.end(b, <-received)
			_, err = tunnel.Read(got)
			require.ErrorIs(t, err, c.want)
			require.Equal(t, c.want == io.EOF, errors.Is(err, io.EOF))
		})
	}
}

// Guards against an instance that closes its connection and does not take the rest of the request: the end that the
// gateway has stated is not the end of the answer then.
func TestGatewayTellsOfWritesThatFailAfterTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(c *net.TCPConn)
		want error
	}{
		"read to its end":     {func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }, nil},
		"reset":               {func(c *net.TCPConn) { time.Sleep(50 * time.Millisecond); _ = c.SetLinger(0) }, syscall.ECONNRESET},
		"closed while unread": {func(*net.TCPConn) {}, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTunnelBed(t, 4, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				c.end(conn)
				_ = conn.Close()
			})
			tunnel := b.mustOpen()
			_, err := tunnel.Read(make([]byte, 1))
			require.Equal(t, io.EOF, err)
			_, err = tunnel.Write(make([]byte, 8<<20))
			require.NoError(t, err)
			err = tunnel.ConfirmEnd()
			if c.want == nil {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against callers that use the way between daemons: only daemons know the incarnations.
func TestGatewayDeniesStrangers(t *testing.T) {
	b := newTunnelBed(t, 4, echo)
	_, err := b.open("stranger")
	require.ErrorIs(t, err, TunnelDenied)
	_, err = OpenTunnel(t.Context(), member.Daemon{PeerAddress: b.server.Address(), Incarnation: "guess"}, TunnelRequest{From: "user"})
	require.ErrorIs(t, err, TunnelDenied)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00GET / HTTP/1.1\r\n\r\n", "\x00", strings.Repeat("\x00", 100), "\x00\xf8\xff\xff\xff\xff\xff\xff\xff\xff"} {
		conn, err := net.Dial("tcp", b.server.Address())
		require.NoError(t, err)
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(conn)
		require.NotContains(t, string(answer), "GET", "the instance has received it")
		conn.Close()
	}
	require.Zero(t, b.gateway.Opened.Load())
}

// Guards against a gateway that passes on a request that it has refused, and against a refusal that
// does not say that the request has not run.
func TestRefusedRequestIsNotPassedOn(t *testing.T) {
	var received atomic.Int64
	b := newTunnelBed(t, 4, func(c *net.TCPConn) {
		n, _ := io.Copy(io.Discard, c)
		received.Add(n)
	})
	tunnel := b.mustOpen()
	b.refusal.Store(TunnelWithdrawn)
	require.NoError(t, tunnel.BeginRequest("request"))
	// The gateway may have closed the tunnel by now.
	_, _ = tunnel.Write([]byte("a request"))
	_, err := tunnel.Read(make([]byte, 1))
	require.ErrorIs(t, err, TunnelWithdrawn)
	var refusal interface{ NotPassedOn() }
	require.ErrorAs(t, err, &refusal)
	tunnel.Close()
	require.Eventually(t, func() bool { return b.gateway.Open() == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, received.Load())
}

// Guards against instances that go on with the work of callers that have left.
func TestClosedTunnelClosesTheConnectionToTheInstance(t *testing.T) {
	closed := make(chan time.Time, 1)
	b := newTunnelBed(t, 4, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		closed <- time.Now()
	})
	tunnel := b.mustOpen()
	require.NoError(t, tunnel.BeginRequest("request"))
	at := time.Now()
	tunnel.Close()
	require.Less(t, (<-closed).Sub(at), 500*time.Millisecond)
}

// Guards against a gateway that is overloaded by daemons that are cut off.
func TestGatewayBoundsItsTunnels(t *testing.T) {
	b := newTunnelBed(t, 2, echo)
	first := b.mustOpen()
	b.mustOpen()
	_, err := b.open("user")
	require.ErrorIs(t, err, TunnelBusy)
	first.Close()
	require.Eventually(t, func() bool {
		tunnel, err := b.open("user")
		if err == nil {
			tunnel.Close()
		}
		return err == nil
	}, 5*time.Second, time.Millisecond)
}

// Guards against idle tunnels that keep others from being opened, and against a request that crosses
// the end of an idle tunnel and is not known not to have run.
func TestIdleTunnelsMakeRoom(t *testing.T) {
	var received atomic.Int64
	b := newTunnelBed(t, 1, func(c *net.TCPConn) {
		n, _ := io.Copy(io.Discard, c)
		received.Add(n)
	})
	idle := b.mustOpen()
	require.NoError(t, idle.BeginRequest("first"))
	require.Eventually(t, func() bool { return b.gateway.Running() == 1 }, 5*time.Second, time.Millisecond)
	_, err := b.open("user")
	require.ErrorIs(t, err, TunnelBusy)
	require.NoError(t, idle.EndRequest())
	require.Eventually(t, func() bool { return b.gateway.Running() == 0 }, 5*time.Second, time.Millisecond)
	b.mustOpen()
	require.Equal(t, 1, b.gateway.Open())
	// The gateway has dropped the tunnel by now. The user may not have noticed.
	_ = idle.BeginRequest("second")
	_, _ = idle.Write([]byte("a request"))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, TunnelBusy)
	idle.Close()
	require.Zero(t, received.Load())
}

// Guards against a gateway that keeps a daemon waiting that has lost its links after it was chosen.
func TestSilentGatewayIsGivenUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	at := time.Now()
	_, err = OpenTunnel(context.Background(), member.Daemon{PeerAddress: listener.Addr().String()}, TunnelRequest{})
	require.Error(t, err)
	require.Less(t, time.Since(at), 2*TunnelTimeout)
}

// Guards against a connection whose last answer left bytes: they would be taken for the next answer.
func TestTunnelWithUnreadBytesIsNotReused(t *testing.T) {
	b := newTunnelBed(t, 2, func(c *net.TCPConn) { _, _ = io.WriteString(c, "answer and more") })
	tunnel := b.mustOpen()
	_, err := io.ReadFull(tunnel, make([]byte, len("answer")))
	require.NoError(t, err)
	_, err = tunnel.SyscallConn()
	require.Error(t, err)
}
