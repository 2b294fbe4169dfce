// Package crowd opens many connections of clients that misbehave, and measures what they cost the process that
// serves them.
package crowd

import (
	"context"
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
	return start(n, address, func(ctx context.Context, conn net.Conn) {
		go client(ctx, conn)
		_, _ = io.Copy(io.Discard, conn)
	})
}

// StartWithoutReading is Start for clients that read no answers and keep their first connection.
func StartWithoutReading(n int, address string, client Client) (stop func()) {
	return start(n, address, func(ctx context.Context, conn net.Conn) {
		client(ctx, conn)
		<-ctx.Done()
	})
}

func start(n int, address string, use Client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			for ctx.Err() == nil {
				connect(ctx, address, use)
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

func connect(ctx context.Context, address string, use Client) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	use(ctx, conn)
}
