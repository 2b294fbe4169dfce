package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/httplisten"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// Guards against sending on what callers have already given up: a daemon that is behind with reading
// finds the request and the end of its connection at the same time.
func TestRequestOfACallerThatHasLeftIsNotSent(t *testing.T) {
	const callers = 200
	s := &lateServers{t: t, runs: map[string]int{}, used: map[string]bool{}}
	n := newLateNode(t, s, false)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	for i := range callers {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST /one HTTP/1.1\r\nHost: h\r\n%s: left-%d\r\nContent-Length: 3\r\n\r\npay", wire.HeaderRequestID, i)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	server := &http.Server{Handler: n.handler}
	httplisten.Track(server, n.codec.RequestID)
	go func() {
		_ = server.Serve(httplisten.New(listener, httplisten.Options{
			MaxConns: 2 * callers, Limits: func() httplisten.Limits { return httplisten.Limits{} }, Metrics: &httplisten.Metrics{},
		}))
	}()
	defer server.Close()

	// Connections are accepted in order, so that all the others have been read by the time of the answer.
	r, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/one", http.NoBody)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set(wire.HeaderRequestID, "stays")
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "answer to stays", string(body))
	require.Eventually(t, func() bool { return n.metrics.Open.Load() == 0 }, 5*time.Second, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, map[string]int{"stays": 1}, s.runs)
}
