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
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, Options{MaxConns: 2 * conns, Limits: func() Limits { return Limits{} }, Metrics: &Metrics{}})
	var running, most, done atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			return
		}
		n := running.Add(1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		done.Add(1)
	})}
	Track(server, func(http.Header) string { return "" })
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	for range conns {
		c, err := net.Dial("tcp", raw.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("GET /ahead HTTP/1.1\r\nHost: h\r\n\r\n", each))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return done.Load() == conns*each }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, most.Load(), "one sixteenth of 16 connections")
	require.Positive(t, l.options.Metrics.Ahead.Load())
}
