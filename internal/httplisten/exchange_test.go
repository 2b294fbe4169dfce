package httplisten

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveOn serves a handler on a listener for at most maxConns connections, 0 for any number, until the test ends.
func serveOn(t *testing.T, maxConns int, handler http.HandlerFunc) (*Listener, string) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, Options{MaxConns: maxConns, Limits: func() Limits { return Limits{} }, Metrics: &Metrics{}})
	server := &http.Server{Handler: handler}
	Track(server, func(http.Header) string { return "" })
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, raw.Addr().String()
}

// serveBodies starts a server whose handler reads the body of requests to /read only, and returns its address.
func serveBodies(t *testing.T, maxConns int) (*Listener, string) {
	t.Helper()
	return serveOn(t, maxConns, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/read" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
}

// Guards against a refusal that its caller never sees, since the connection is reset while the body is being sent.
func TestRefusalReachesACallerThatIsStillSending(t *testing.T) {
	_, address := serveBodies(t, 0)
	for _, length := range []int{1000, 200_000, 8_000_000} {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/refused", strings.NewReader(strings.Repeat("b", length)))
		require.NoError(t, err)
		r.Close = true
		answer, err := http.DefaultClient.Do(r)
		require.NoError(t, err, length)
		answer.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	}
}

// Guards against the rest of a refused body that is taken for the next request.
func TestRestOfABodyIsNoRequest(t *testing.T) {
	_, address := serveBodies(t, 0)
	for name, head := range map[string]string{"short": "Content-Length: 1000\r\n\r\n", "long": "Content-Length: 20000000\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "POST /refused HTTP/1.1\r\nHost: h\r\n"+head+"POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			answers, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(answers), "HTTP/1.1 "), string(answers))
			require.Contains(t, string(answers), "HTTP/1.1 503 ")
		})
	}
}

// Guards against an answer that is taken for delivered although its connection has ended: the error of a flush must
// reach the handler of a request with a body, too.
func TestFailedFlushIsReported(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failed := make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(-time.Second))
		_, _ = io.WriteString(w, "event")
		failed <- control.Flush()
	})}
	Track(server, func(http.Header) string { return "" })
	go func() {
		_ = server.Serve(New(raw, Options{Limits: func() Limits { return Limits{} }, Metrics: &Metrics{}}))
	}()
	defer server.Close()
	answer, err := http.Post("http://"+raw.Addr().String(), "", strings.NewReader("body"))
	if err == nil {
		answer.Body.Close()
	}
	require.ErrorIs(t, <-failed, os.ErrDeadlineExceeded)
}
