package httplisten

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gatedListener holds up the calls of its connections.
type gatedListener struct {
	net.Listener
	// closing gets a value when a connection is about to be closed, which waits until mayClose is closed.
	closing  chan struct{}
	mayClose chan struct{}
	// mayRead, unless nil, is waited for before each read.
	mayRead atomic.Pointer[chan struct{}]
	// mayAccept, unless nil, is waited for before an accepted connection is returned. accepting counts
	// the connections that have come so far.
	mayAccept atomic.Pointer[chan struct{}]
	accepting atomic.Int64
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if gate := l.mayAccept.Load(); gate != nil {
		l.accepting.Add(1)
		<-*gate
	}
	return &gatedConn{TCPConn: c.(*net.TCPConn), gate: l}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *gatedListener
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p[:1])
	if gate := c.gate.mayRead.Load(); gate != nil && n > 0 {
		<-*gate
	}
	return n, err
}

func (c *gatedConn) Close() error {
	select {
	case c.gate.closing <- struct{}{}:
	default:
	}
	<-c.gate.mayClose
	return c.TCPConn.Close()
}

// callerServer is a server for callers whose connections are held up by gate.
type callerServer struct {
	gate     *gatedListener
	listener *Listener
	metrics  Metrics
	// begun counts the requests that the handler got, which wait for the end of their context if
	// awaitsCancel is set.
	begun        atomic.Int64
	awaitsCancel atomic.Bool
}

func newCallerServer(t *testing.T, limits Limits) *callerServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &callerServer{gate: &gatedListener{Listener: raw, closing: make(chan struct{}, 1), mayClose: make(chan struct{})}}
	s.listener = New(s.gate, Options{Limits: func() Limits { return limits }, Metrics: &s.metrics})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.begun.Add(1)
		if s.awaitsCancel.Load() {
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, "done")
	})}
	Track(server, func(http.Header) string { return "" })
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

const getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// send writes to a connection and returns the number of whole answers read until it is quiet.
func send(t *testing.T, c net.Conn, text string) (answers int) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	return countAnswers(c)
}

func countAnswers(c net.Conn) (answers int) {
	buffer := make([]byte, 0, 1024)
	for {
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := c.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if len(buffer) >= len("done") && string(buffer[len(buffer)-len("done"):]) == "done" {
			answers++
			buffer = buffer[:0]
		}
		if err != nil {
			return answers
		}
	}
}

// Guards against a request that is sent to an instance although its connection is already being closed.
func TestNoRequestBeginsOnAClosingConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits Limits
		// first and second are sent before and after it was decided to close the connection.
		first, second string
		drain         bool
	}{
		{name: "idle timeout", limits: Limits{IdleTimeout: 50 * time.Millisecond}, second: getRequest},
		{name: "header timeout", limits: Limits{HeaderTimeout: 50 * time.Millisecond}, first: getRequest[:10], second: getRequest[10:]},
		{name: "planned stop", second: getRequest, drain: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCallerServer(t, c.limits)
			conn, err := net.Dial("tcp", s.listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			answers := send(t, conn, getRequest+c.first)
			if c.drain {
				go func() { _ = s.listener.Drain(t.Context()) }()
			}
			<-s.gate.closing
			answers += send(t, conn, c.second)
			close(s.gate.mayClose)
			answers += countAnswers(conn)
			require.EqualValues(t, answers, s.begun.Load(), "each request that begins is answered")
			require.Equal(t, 1, answers)
		})
	}
}

// Guards against a connection that is closed as idle although a request on it has arrived and this daemon
// only had no time to read it.
func TestIdleTimeoutSparesRequestsThatHaveArrived(t *testing.T) {
	s := newCallerServer(t, Limits{IdleTimeout: 100 * time.Millisecond})
	close(s.gate.mayClose)
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	paused := make(chan struct{})
	s.gate.mayRead.Store(&paused)
	time.AfterFunc(200*time.Millisecond, func() { close(paused) })
	require.Equal(t, 1, send(t, conn, getRequest))
	require.EqualValues(t, 1, s.metrics.Unread.Load())
}

// Guards against a planned stop that cuts a request whose header has only come in part.
func TestPlannedStopAwaitsRequestsThatHaveBegunToArrive(t *testing.T) {
	s := newCallerServer(t, Limits{})
	close(s.gate.mayClose)
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.Equal(t, 1, send(t, conn, getRequest+getRequest[:10]))
	stopped := make(chan error, 1)
	go func() { stopped <- s.listener.Drain(context.Background()) }()
	<-s.listener.accepting.Done()
	require.Equal(t, 1, s.listener.closeIdle(), "the stop looks for idle connections")
	require.Equal(t, 1, send(t, conn, getRequest[10:]))
	select {
	case err := <-stopped:
		require.NoError(t, err)
	case <-time.After(time.Second):
		t.Fatal("the stop does not end")
	}
}

// Guards against a planned stop that ends while a connection is being accepted, whose request is then cut.
func TestPlannedStopAwaitsConnectionsThatAreBeingAccepted(t *testing.T) {
	s := newCallerServer(t, Limits{})
	close(s.gate.mayClose)
	accepting := make(chan struct{})
	s.gate.mayAccept.Store(&accepting)
	for range 2 { // The first one was being awaited already.
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, getRequest[:10])
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.gate.accepting.Load() == 1 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	time.AfterFunc(100*time.Millisecond, func() { close(accepting) })
	require.ErrorIs(t, s.listener.Drain(ctx), context.DeadlineExceeded, "the connections are open")
}

// Guards against the end of a planned stop that closes the connections of requests before they are refused.
func TestRequestsAreAnsweredAfterTheyAreCancelled(t *testing.T) {
	s := newCallerServer(t, Limits{})
	close(s.gate.mayClose)
	s.awaitsCancel.Store(true)
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.Zero(t, send(t, conn, getRequest))
	s.listener.CancelRequests(context.Canceled)
	require.Equal(t, 1, countAnswers(conn))
}
