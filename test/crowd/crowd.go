// Package crowd opens many connections of clients that misbehave, and measures what they cost the process that
// serves them.
package crowd

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// Client uses a connection. It returns when it has nothing more to send; the connection then stays open.
type Client func(ctx context.Context, conn net.Conn)

// reconnectDelay is the pause before a connection that was closed by the server is replaced.
const reconnectDelay = 100 * time.Millisecond

// Start has n clients use connections to address until stop is called. They read and ignore the answers. A
// connection that the server closes is replaced.
func Start(n int, address string, client Client) (stop func()) {
	return start(n, address, oneAddress, reading(client))
}

// StartFromMany is Start for clients each of which has an address of its own.
func StartFromMany(n int, address string, client Client) (stop func()) {
	return start(n, address, ownAddress, reading(client))
}

// StartTLS is Start for clients that use TLS.
func StartTLS(n int, address string, config *tls.Config, client Client) (stop func()) {
	return start(n, address, oneAddress, func(ctx context.Context, conn net.Conn) {
		reading(client)(ctx, tls.Client(conn, config))
	})
}

// StartWithoutReading is Start for clients that read no answers and keep their first connection.
func StartWithoutReading(n int, address string, client Client) (stop func()) {
	return start(n, address, oneAddress, func(ctx context.Context, conn net.Conn) {
		client(ctx, conn)
		<-ctx.Done()
	})
}

// reading adds to a client that it reads and ignores the answers.
func reading(client Client) Client {
	return func(ctx context.Context, conn net.Conn) {
		go client(ctx, conn)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// oneAddress leaves the address of a client to the kernel.
func oneAddress(int) net.Addr { return nil }

// ownAddress returns the loopback address of a client.
func ownAddress(client int) net.Addr {
	const second = 7
	return &net.TCPAddr{IP: net.IPv4(127, second, byte(client>>8), byte(client))}
}

func start(n int, address string, from func(client int) net.Addr, use Client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range n {
		clients.Go(func() {
			dialer := &net.Dialer{LocalAddr: from(i)}
			for ctx.Err() == nil {
				connect(ctx, dialer, address, use)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

func connect(ctx context.Context, dialer *net.Dialer, address string, use Client) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	use(ctx, conn)
}
