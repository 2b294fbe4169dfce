package dial

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the end of a reset connection that looks like a proper one, since a write got the error.
func TestReadFailsAfterAWriteThatWasReset(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(server *net.TCPConn)
		client func(t *testing.T, client *conn)
		want   error
	}{
		"reset during a write": {
			func(server *net.TCPConn) {
				_, _ = server.Read(make([]byte, 1))
				_ = server.SetLinger(0)
				_ = server.Close()
			},
			func(t *testing.T, client *conn) { require.Error(t, writeAll(client)) }, syscall.ECONNRESET,
		},
		"close": {
			func(server *net.TCPConn) { _ = server.Close() },
			func(*testing.T, *conn) {}, nil,
		},
		"close after the client": {
			func(server *net.TCPConn) { _, _ = io.Copy(io.Discard, server); _ = server.Close() },
			func(t *testing.T, client *conn) { require.NoError(t, client.CloseWrite()) }, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				if server, err := listener.Accept(); err == nil {
					_, _ = io.WriteString(server, "part")
					c.end(server.(*net.TCPConn))
				}
			}()
			client, err := New(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			c.client(t, client.(*conn))
			for range 2 {
				if _, err = io.Copy(io.Discard, client); c.want == nil {
					require.NoError(t, err)
				} else {
					require.ErrorIs(t, err, c.want)
				}
			}
		})
	}
}

// writeAll writes until an error.
func writeAll(c net.Conn) error {
	block := strings.Repeat("a", 64<<10)
	for {
		if _, err := io.WriteString(c, block); err != nil {
			return err
		}
	}
}
