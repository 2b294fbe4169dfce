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

// The whole path on a calm day: three kinds of requests are answered whole, by
// the services that their routes name, and the server sees exactly what the
// caller sent, with the organisation in place of the key.
func TestRequestsAreForwarded(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 5, Confidence: map[string]int{"small": 90}})
	d := s.startReadyDaemon()

	once := s.newCall(pathUnsafe + "?a=1&b=%2F")
	once.Extra = http.Header{wire.HeaderTenant: {"forged"}, wire.HeaderHold: {"forged"}, "Accept-Language": {"sv"}}
	s.requireWholeAnswer(once, s.send(once, d), "cat-1")
	seen := s.servers["cat-1"].Seen()[0]
	require.Equal(t, pathUnsafe+"?a=1&b=%2F", seen.Target)
	require.Equal(t, "body of a request", seen.Body)
	require.Equal(t, host, seen.Host)
	require.Equal(t, "visrad", seen.Organisation)
	require.Empty(t, seen.Key)
	require.Empty(t, seen.Header.Get(wire.HeaderHold))
	require.Equal(t, "sv", seen.Header.Get("Accept-Language"))

	safe := s.newCall(pathSafe)
	s.requireWholeAnswer(safe, s.send(safe, d), "cat-1")

	stream := s.newCall(pathStream)
	reply := s.send(stream, d)
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(stream.ID, 5), reply.Body)
	require.Equal(t, "small", s.servers["eng-1"].Seen()[0].Model)
}

// An operator asks a daemon what it believes and sees routes, upstream instances
// and daemons with their age.
func TestEntryShowPrintsStatus(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	out, err := exec.Command(binaries.Path("hornbeamsill"), "--output", "json", "entry", "show", "--metrics", d.metricsAddress).Output()
	require.NoError(t, err)
	var b entry.Beliefs
	require.NoError(t, json.Unmarshal(out, &b))
	require.True(t, b.Ready)
	require.EqualValues(t, 3, b.Config.Version)
	require.Len(t, b.Config.Routes, 3)
	require.Equal(t, "cat-1", b.List.Instances[plainService][0].Instance.ID)
	text, err := exec.Command(binaries.Path("hornbeamsill"), "entry", "show", "--metrics", d.metricsAddress).Output()
	require.NoError(t, err)
	require.Contains(t, string(text), host+"/lookup/")
}

// Events reach the caller as they are made: a clerk sees the first words of a
// note while the engine still writes.
func TestEventsAreStreamed(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 1 << 20, Work: 5 * time.Millisecond})
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

// What is not proper is refused with its own status and runs nowhere, while
// proper requests beside it are served.
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
		"prefix in part":   {func(c *platformtest.Call) { c.Path = "/statementx" }, http.StatusNotFound},
		"unknown key":      {func(c *platformtest.Call) { c.Key = "none" }, http.StatusUnauthorized},
		"no key":           {func(c *platformtest.Call) { c.Key = "" }, http.StatusUnauthorized},
		"long body":        {func(c *platformtest.Call) { c.Body = strings.Repeat("x", 5000) }, http.StatusRequestEntityTooLarge},
		"long header":      {func(c *platformtest.Call) { c.Extra = http.Header{"X-Long": {strings.Repeat("x", 40000)}} }, http.StatusRequestHeaderFieldsTooLarge},
		"no time":          {func(c *platformtest.Call) { c.Extra = http.Header{wire.HeaderDeadline: {"soon"}}; c.Patience = 0 }, http.StatusBadRequest},
		"prompt not parts": {func(c *platformtest.Call) { c.Prompt = "aa" }, http.StatusBadRequest},
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

// A request hidden in the body of another, or with two lengths, must not reach
// a server as a request of its own.
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

// A caller stops in the middle of its body. It is told so at its deadline, and
// nothing ran; the daemon does not hold the request for ever.
func TestSlowSender(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startReadyDaemon()
	reply := rawExchange(t, d.callerAddress, "POST "+pathUnsafe+" HTTP/1.1\r\nHost: "+host+"\r\n"+wire.HeaderRequestID+": slow\r\n"+
		wire.HeaderCredential+": "+key+"\r\n"+wire.HeaderDeadline+": 300\r\nContent-Length: 100\r\n\r\nhalf")
	require.Contains(t, reply, "HTTP/1.1 408 ")
	require.Empty(t, s.serversThatRan("slow"))
}

// A caller's connection hangs in the head of a request, and another one lies
// unused. Both get the times that are declared now, not those from the start of
// the daemon: the slow caller is told that nothing ran, the unused connection is
// closed, and one with a request under way is left alone.
func TestConnectionTimeoutsFollowConfiguration(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Work: 600 * time.Millisecond})
	d := s.startReadyDaemon()
	next := newManifest(4)
	next.Limits.HeaderTimeoutMS, next.Limits.IdleTimeoutMS = 300, 400
	s.store.Declare(next)
	s.waitForLog(d, "msg=config.in_force", "version=4")

	head := "POST " + pathUnsafe + " HTTP/1.1\r\nHost: " + host + "\r\n" + wire.HeaderCredential + ": " + key + "\r\n" + wire.HeaderRequestID
	reply := rawExchange(t, d.callerAddress, head)
	require.Contains(t, reply, "HTTP/1.1 408 ")
	require.NotContains(t, reply, "200 OK")

	reply = rawExchange(t, d.callerAddress, head+": whole\r\nContent-Length: 0\r\n\r\n")
	require.Contains(t, reply, "HTTP/1.1 200 ", "served, though longer than either time, and closed after")
	require.Len(t, s.serversThatRan("whole"), 1)
	require.Empty(t, rawExchange(t, d.callerAddress, ""), "never used")
}

// More callers connect than there are descriptors for. Those beyond the bound
// wait for a place; those inside are served.
func TestManyConnections(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	d := s.startDaemon(func(r *settings.Routes) { r.Descriptors = 320 })
	s.eventually(func() error {
		if !platformtest.Ready(context.Background(), s.client, d.readyAddress) {
			return trace.Errorf("not ready")
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

// A stream's caller leaves in the middle of an answer. The engine must not go
// on working for nobody: the connection to it is closed at once.
func TestCancelledStreamEndsUpstreamRequest(t *testing.T) {
	s := newTestbed(t)
	engine := s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 1 << 20, Work: 5 * time.Millisecond})
	d := s.startReadyDaemon()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := s.newCall(pathStream).Open(ctx, s.client, d.callerAddress)
	require.NoError(t, err)
	defer resp.Body.Close()
	cancel()
	s.eventually(func() error {
		if engine.Cancelled() != 1 {
			return trace.Errorf("the engine still works")
		}
		return nil
	})
}

// The small model is not sure of its answer. The caller gets the large model's
// answer, whole, and nothing of the small one's.
func TestLowConfidenceEscalatesToLargeModel(t *testing.T) {
	s := newTestbed(t)
	engine := s.startServer(platformtest.ServerOptions{ID: "eng-1", Service: engineService, Events: 4, Confidence: map[string]int{"small": 10, "large": 20}})
	d := s.startReadyDaemon()
	c := s.newCall(pathStream)
	reply := s.send(c, d)
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(c.ID, 4), reply.Body)
	var models []string
	for _, seen := range engine.Seen() {
		models = append(models, seen.Model)
	}
	require.Equal(t, []string{"small", "large"}, models)
}
