package routes_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// Guards against requests that are answered by the wrong service, in part or changed. The
// server must see exactly what the caller sent, with the organisation in place of the key and
// without forged internal headers.
func TestRequestsAreForwarded(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 5, Confidence: map[string]int{"small": 90}})
	d := s.startReadyDaemon()

	once := s.newCall(pathUnsafe + "?a=1&b=%2F")
	once.ExtraHeaders = http.Header{wire.HeaderTenant: {"forged"}, wire.HeaderHold: {"forged"}, "Accept-Language": {"sv"}}
	s.requireWholeAnswer(once, s.send(once, d), "cat-1")
	received := s.servers["cat-1"].Received()[0]
	require.Equal(t, pathUnsafe+"?a=1&b=%2F", received.Target)
	require.Equal(t, "body of a request", received.Body)
	require.Equal(t, host, received.Host)
	require.Equal(t, "visrad", received.Organisation)
	require.Empty(t, received.Key)
	require.Empty(t, received.Header.Get(wire.HeaderHold))
	require.Equal(t, "sv", received.Header.Get("Accept-Language"))

	safe := s.newCall(pathSafe)
	s.requireWholeAnswer(safe, s.send(safe, d), "cat-1")

	stream := s.newCall(pathStream)
	reply := s.send(stream, d)
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(stream.ID, 5), reply.Body)
	require.Equal(t, "small", s.servers["eng-1"].Received()[0].Model)
}

// Guards against a status that misses routes or upstream instances in the output of
// "hornbeamsill entry show".
func TestEntryShowPrintsStatus(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	out, err := exec.Command(binaries.Path("hornbeamsill"), "--output", "json", "entry", "show", "--metrics", d.metricsAddress).Output()
	require.NoError(t, err)
	var status entry.DaemonStatus
	require.NoError(t, json.Unmarshal(out, &status))
	require.True(t, status.Ready)
	require.EqualValues(t, 3, status.Config.Version)
	require.Len(t, status.Config.Routes, 3)
	require.Equal(t, "cat-1", status.List.Instances[plainService][0].Instance.ID)
	text, err := exec.Command(binaries.Path("hornbeamsill"), "entry", "show", "--metrics", d.metricsAddress).Output()
	require.NoError(t, err)
	require.Contains(t, string(text), host+"/lookup/")
}

// Guards against events that are buffered until the stream ends.
func TestEventsAreStreamed(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 1 << 20, Delay: 5 * time.Millisecond})
	d := s.startReadyDaemon()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := s.newCall(pathStream).Open(ctx, s.client, d.callerAddress)
	require.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, 4)
	_, err = io.ReadFull(resp.Body, first)
	require.NoError(t, err)
	require.Equal(t, "id: ", string(first))
}

// Guards against invalid requests that reach a server or get the wrong status, and that affect
// valid requests.
func TestInvalidRequestsAreRefused(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	for name, test := range map[string]struct {
		change func(*platformtest.Call)
		status int
	}{
		"unknown host":     {func(c *platformtest.Call) { c.Host = "other.example" }, http.StatusNotFound},
		"unknown path":     {func(c *platformtest.Call) { c.Path = "/none/" }, http.StatusNotFound},
		"partial prefix":   {func(c *platformtest.Call) { c.Path = "/statementx" }, http.StatusNotFound},
		"unknown key":      {func(c *platformtest.Call) { c.Key = "none" }, http.StatusUnauthorized},
		"no key":           {func(c *platformtest.Call) { c.Key = "" }, http.StatusUnauthorized},
		"long body":        {func(c *platformtest.Call) { c.Body = strings.Repeat("x", 5000) }, http.StatusRequestEntityTooLarge},
		"long header":      {func(c *platformtest.Call) { c.ExtraHeaders = http.Header{"X-Long": {strings.Repeat("x", 40000)}} }, http.StatusRequestHeaderFieldsTooLarge},
		"invalid deadline": {func(c *platformtest.Call) { c.ExtraHeaders = http.Header{wire.HeaderDeadline: {"soon"}}; c.Timeout = 0 }, http.StatusBadRequest},
		"malformed prompt": {func(c *platformtest.Call) { c.Prompt = "aa" }, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			c := s.newCall(pathUnsafe)
			test.change(&c)
			reply := s.send(c, d)
			require.Equal(t, test.status, reply.Status)
			require.Empty(t, s.serversThatRan(c.ID))
		})
	}
	proper := s.newCall(pathUnsafe)
	s.requireWholeAnswer(proper, s.send(proper, d), "cat-1")
}

// Guards against request smuggling: a request hidden in the body of another one, or after one
// with two lengths, must not reach a server as a request of its own.
func TestSmuggledRequests(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	inner := "POST " + pathUnsafe + " HTTP/1.1\r\nHost: " + host + "\r\n" + wire.HeaderRequestID + ": inner\r\n" +
		wire.HeaderCredential + ": " + key + "\r\nContent-Length: 0\r\n\r\n"
	head := "POST " + pathUnsafe + " HTTP/1.1\r\nHost: " + host + "\r\n" + wire.HeaderRequestID + ": outer\r\n" +
		wire.HeaderCredential + ": " + key + "\r\nConnection: close\r\n"
	for name, raw := range map[string]string{
		"two lengths":        head + "Content-Length: 0\r\nContent-Length: 200\r\n\r\n" + inner,
		"length and chunked": head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"broken chunk":       head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + inner,
		"space before colon": head + "Content-Length : 200\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			reply := rawExchange(t, d.callerAddress, raw)
			require.NotContains(t, reply, "answer to inner")
			require.Empty(t, s.serversThatRan("inner"))
		})
	}
}

// Guards against requests that are held for ever when their caller stops in the middle of the
// body. The caller must get 408 at its deadline, and the request must not run.
func TestSlowSender(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	reply := rawExchange(t, d.callerAddress, "POST "+pathUnsafe+" HTTP/1.1\r\nHost: "+host+"\r\n"+wire.HeaderRequestID+": slow\r\n"+
		wire.HeaderCredential+": "+key+"\r\n"+wire.HeaderDeadline+": 300\r\nContent-Length: 100\r\n\r\nhalf")
	require.Contains(t, reply, "HTTP/1.1 408 ")
	require.Empty(t, s.serversThatRan("slow"))
}

// Guards against connections that keep the timeouts from the start of the daemon after the
// configuration has changed. A caller that does not finish its head must get 408, an unused
// connection must be closed, and one with a request in progress must be kept.
func TestConnectionTimeoutsFollowConfiguration(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Delay: 600 * time.Millisecond})
	d := s.startReadyDaemon()
	next := newManifest(4)
	next.Limits.HeaderTimeoutMS, next.Limits.IdleTimeoutMS = 300, 400
	s.store.PutManifest(next)
	s.waitForLog(d, "msg=config.in_force", "version=4")

	head := "POST " + pathUnsafe + " HTTP/1.1\r\nHost: " + host + "\r\n" + wire.HeaderCredential + ": " + key + "\r\n" + wire.HeaderRequestID
	reply := rawExchange(t, d.callerAddress, head)
	require.Contains(t, reply, "HTTP/1.1 408 ")
	require.NotContains(t, reply, "200 OK")

	reply = rawExchange(t, d.callerAddress, head+": whole\r\nContent-Length: 0\r\n\r\n")
	require.Contains(t, reply, "HTTP/1.1 200 ", "served although it takes longer than both timeouts, and then closed")
	require.Len(t, s.serversThatRan("whole"), 1)
	require.Empty(t, rawExchange(t, d.callerAddress, ""), "an unused connection must be closed")
}

// Guards against callers that fail when there are more connections than descriptors. A
// connection beyond the bound must wait until another one is closed.
func TestManyConnections(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startDaemon(func(r *settings.Routes) { r.Descriptors = 320 })
	s.eventually(func() error {
		if !platformtest.Ready(context.Background(), s.client, d.readyAddress) {
			return trace.Errorf("the daemon is not ready")
		}
		return nil
	})
	var idle []net.Conn
	for range 12 {
		conn, err := net.Dial("tcp", d.callerAddress)
		require.NoError(t, err)
		idle = append(idle, conn)
	}
	got := make(chan platformtest.Reply, 1)
	c := s.newCall(pathUnsafe)
	go func() { got <- s.send(c, d) }()
	for _, conn := range idle {
		conn.Close()
	}
	s.requireWholeAnswer(c, <-got, "cat-1")
}

// Guards against engines that go on generating a stream whose caller has disconnected. The
// connection to the engine must be closed.
func TestCancelledStreamEndsUpstreamRequest(t *testing.T) {
	s := newTestbed(t)
	engine := s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 1 << 20, Delay: 5 * time.Millisecond})
	d := s.startReadyDaemon()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := s.newCall(pathStream).Open(ctx, s.client, d.callerAddress)
	require.NoError(t, err)
	defer resp.Body.Close()
	cancel()
	s.eventually(func() error {
		if engine.Cancelled() != 1 {
			return trace.Errorf("the engine still runs the request")
		}
		return nil
	})
}

// Guards against an answer of the small model that reaches the caller, in whole or in part,
// although its confidence is low. The caller must get the whole answer of the large model.
func TestLowConfidenceEscalatesToLargeModel(t *testing.T) {
	s := newTestbed(t)
	engine := s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 4, Confidence: map[string]int{"small": 10, "large": 20}})
	d := s.startReadyDaemon()
	c := s.newCall(pathStream)
	reply := s.send(c, d)
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(c.ID, 4), reply.Body)
	var models []string
	for _, received := range engine.Received() {
		models = append(models, received.Model)
	}
	require.Equal(t, []string{"small", "large"}, models)
}
