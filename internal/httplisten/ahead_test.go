package httplisten

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clients that send requests ahead and so take all instances from those that send one at a time.
func TestRequestsSentAheadTakeTurns(t *testing.T) {
	const conns, each = 8, 5
	var running, most, done atomic.Int64
	l, address := serveOn(t, 2*conns, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			return
		}
		n := running.Add(1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		done.Add(1)
	})
	for range conns {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("GET /ahead HTTP/1.1\r\nHost: h\r\n\r\n", each))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return done.Load() == conns*each }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, most.Load(), "one sixteenth of 16 connections")
	require.Positive(t, l.options.Metrics.Ahead.Load())
}
