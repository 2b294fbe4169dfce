package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against running a call twice. A server reads a call on a reused connection,
// runs it, and closes the connection without an answer. net/http would repeat such a
// call if it has an Idempotency-Key header, and a reply draft would be sent twice.
func TestTransportDoesNotRepeatCalls(t *testing.T) {
	for _, body := range []string{"", "draft"} {
		var calls atomic.Int32
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		go serveOnceThenClose(listener, &calls)
		c := NewClient(time.Second)
		call := func(path string) error {
			var in io.Reader
			if body != "" {
				in = strings.NewReader(body)
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+path, in)
			require.NoError(t, err)
			req.Header.Set("Idempotency-Key", "k")
			resp, err := c.Do(req, false)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			return err
		}
		require.NoError(t, call("/first"))
		err = call("/second")
		require.Error(t, err)
		require.False(t, NotRun(err), "the server ran the call")
		require.Equal(t, int32(1), calls.Load())
	}
}

// serveOnceThenClose answers the first request on each connection. It counts the
// second one and closes the connection without an answer.
func serveOnceThenClose(l net.Listener, second *atomic.Int32) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			buffer := make([]byte, 64<<10)
			for {
				n, err := conn.Read(buffer)
				if err != nil {
					return
				}
				if strings.Contains(string(buffer[:n]), "/second") {
					second.Add(1)
					return
				}
				if n > 0 && strings.Contains(string(buffer[:n]), "/first") {
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}
		}()
	}
}

// An attempt that could not be sent, because nothing listens at the address, must be
// reported as not run, so that it can be retried at another upstream.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	c := NewClient(time.Second)
	_, err := c.Start(context.Background(), "127.0.0.1:1", Attempt{ID: "a"})
	require.True(t, NotRun(err))
}

// Events arrive in any order within the window, more than once, and mixed with
// those of another attempt. The buffer must yield the events of its own attempt,
// each once and in order.
func TestReorderBufferYieldsAnswerInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, reorderWindow).Draw(t, "events")
		var sent []Event
		for i := range n {
			for range rapid.IntRange(1, 2).Draw(t, "copies") {
				sent = append(sent, Event{Attempt: "a", Offset: i})
			}
			if rapid.Bool().Draw(t, "foreign") {
				sent = append(sent, Event{Attempt: "b", Offset: i})
			}
		}
		a := reorderBuffer{attempt: "a", pending: map[int]Event{}}
		var out []Event
		for _, e := range rapid.Permutation(sent).Draw(t, "order") {
			if !a.push(e) {
				t.Fatal("more events buffered than the window allows")
			}
			for {
				e, ok := a.pop()
				if !ok {
					break
				}
				out = append(out, e)
			}
		}
		if len(out) != n {
			t.Fatalf("%d events of %d", len(out), n)
		}
		for i, e := range out {
			if e.Offset != i || e.Attempt != "a" {
				t.Fatalf("event %d is %+v", i, e)
			}
		}
	})
}
