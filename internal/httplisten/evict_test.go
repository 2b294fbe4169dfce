package httplisten

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against evictions of clients that make progress, or that are alone at their address, before others like
// them in a crowd.
func TestLeastProgressIsEvictedFirst(t *testing.T) {
	crowd, single := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	conns := map[*conn]string{}
	named := func(name string, address netip.Addr, waited time.Duration, received int) candidate {
		c := &conn{}
		conns[c] = name
		return candidate{conn: c, address: address, waited: waited, received: received}
	}
	all := []candidate{
		named("upload", crowd, 2*time.Second, 1<<20), named("trickle", crowd, 2*time.Second, 20),
		named("silent", crowd, 3*time.Second, 0), named("alone", single, 3*time.Second, 0),
	}
	var order []string
	for _, c := range leastWorth(all, map[netip.Addr]int{crowd: 400, single: 1}, 4) {
		order = append(order, conns[c.conn])
	}
	require.Equal(t, []string{"silent", "trickle", "alone", "upload"}, order)
	require.Len(t, leastWorth(all, nil, 2), 2)
}

// Guards against a full listener that lets newcomers wait for clients that have stopped in the middle of a request,
// and against evicted ones that are not told that theirs has not run.
func TestNewcomersDisplaceUnfinishedRequests(t *testing.T) {
	l, address := serveBodies(t, 2)
	var stopped []net.Conn
	for _, text := range []string{"POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\npart", "POST /read HTTP/1.1\r\nHos"} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		stopped = append(stopped, c)
	}
	require.Eventually(t, func() bool { _, _, open := l.candidates(time.Now()); return open == 2 }, time.Second, time.Millisecond)
	for range stopped {
		answer, err := http.Post("http://"+address+"/read", "", strings.NewReader("whole"))
		require.NoError(t, err)
		answer.Body.Close()
		require.Equal(t, http.StatusOK, answer.StatusCode)
		http.DefaultClient.CloseIdleConnections()
	}
	told := 0
	for _, c := range stopped {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if answer, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			require.Equal(t, http.StatusRequestTimeout, answer.StatusCode)
			told++
		}
	}
	require.EqualValues(t, l.options.Metrics.Evicted.Load(), told)
	require.Positive(t, told)
}

// exhaustedListener fails to accept once it is told to, as if the process had no descriptors left.
type exhaustedListener struct {
	net.Listener
	exhausted chan struct{}
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	select {
	case <-l.exhausted:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	default:
		return l.Listener.Accept()
	}
}

// Guards against a process without descriptors that accepts nobody until its clients leave.
func TestListenerWithoutDescriptorsEvicts(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer raw.Close()
	gate := &exhaustedListener{Listener: raw, exhausted: make(chan struct{})}
	l := New(gate, Options{Limits: func() Limits { return Limits{} }, Metrics: &Metrics{}})
	silent, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer silent.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	accepted.(*conn).noteIdle()
	close(gate.exhausted)
	require.Eventually(t, func() bool {
		_, err := l.Accept()
		require.ErrorIs(t, err, syscall.EMFILE)
		return l.options.Metrics.Evicted.Load() == 1
	}, time.Second, 5*time.Millisecond)
	_ = silent.SetReadDeadline(time.Now().Add(time.Second))
	_, err = silent.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against clients that do not read their answers and are spared because they have sent more requests.
func TestNewcomersDisplaceUnreadAnswers(t *testing.T) {
	const conns = 2
	answer := make([]byte, 16<<20)
	l, address := serveOn(t, conns, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, _ = w.Write(answer)
		}
	})
	for range conns {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, strings.Repeat("GET /long HTTP/1.1\r\nHost: h\r\n\r\n", 1000))
		require.NoError(t, err)
	}
	client := &http.Client{Timeout: 10 * time.Second}
	short, err := client.Get("http://" + address + "/short")
	require.NoError(t, err)
	short.Body.Close()
	require.Positive(t, l.options.Metrics.Evicted.Load())
}
