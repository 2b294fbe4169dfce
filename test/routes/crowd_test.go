package routes_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
	"github.com/hornbeamsill/hornbeamsill/test/crowd"
)

// Limits of the daemon in the tests of crowds.
const (
	crowdMemoryMB    = 160
	crowdDescriptors = 1000
	crowdHeaderBytes = 16384
	crowdBodyBytes   = 4_000_000
	// crowdTimeoutMS is longer than a test: no connection of a crowd ends by a timeout.
	crowdTimeoutMS = 300_000
	pathNone       = "/no/route"
)

// startCrowdDaemon starts a daemon and a server for tests of crowds.
func startCrowdDaemon(t *testing.T) (*testbed, *daemon) {
	s := newCrowdBed(t, 0)
	return s, s.startCrowdDaemon(nil, binaries.StartRoutesDaemon)
}

// newCrowdBed returns a testbed with a server that adds padding to its answers.
func newCrowdBed(t *testing.T, padding int) *testbed {
	s := newTestbed(t)
	m := newManifest(4)
	for i := range m.Routes {
		m.Routes[i].TimeoutMS = crowdTimeoutMS
	}
	m.Limits = wire.Limits{MaxHeaderBytes: crowdHeaderBytes, MaxBodyBytes: crowdBodyBytes, HeaderTimeoutMS: crowdTimeoutMS, IdleTimeoutMS: crowdTimeoutMS}
	s.store.PutManifest(m)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Slots: 300, Padding: padding})
	return s
}

// startCrowdDaemon starts a daemon with the limits of the tests of crowds. change, if not nil, changes its settings.
func (s *testbed) startCrowdDaemon(change func(*settings.Routes), start func(name, settings string) (*cluster.Process, string, error)) *daemon {
	s.t.Helper()
	d := s.startProcess(func(r *settings.Routes) {
		r.MemoryMB, r.Descriptors = crowdMemoryMB, crowdDescriptors
		if change != nil {
			change(r)
		}
	}, start)
	s.waitForLog(d, "msg=config.in_force", "version=4")
	s.waitReady(d)
	return d
}

// faceCrowd runs a trial of the daemon with a crowd at one or more of its listeners.
func (s *testbed) faceCrowd(d *daemon, startCrowd func() (stop func())) {
	s.t.Helper()
	crowd.Trial{
		PID:       d.pid(),
		Addresses: []string{d.callerAddress, d.readyAddress, d.directoryAddress, d.metricsAddress, d.peerAddress},
		MemoryMB:  crowdMemoryMB, Descriptors: crowdDescriptors,
		RequireServed: func(when string) {
			s.requireServed(d, when)
			s.requirePeerServed(d)
		},
	}.Run(s.t, startCrowd)
}

// requireServed requires that an ordinary request is answered, and that the daemon says that it is ready.
func (s *testbed) requireServed(d *daemon, when string) {
	s.t.Helper()
	s.eventually(func() error {
		if r := s.send(s.newCall(pathSafe), d); r.Err != nil || r.Status != http.StatusOK {
			return trace.Errorf("%s: a request got %d, %v", when, r.Status, r.Err)
		}
		if !platformtest.Ready(s.t.Context(), s.client, d.readyAddress) {
			return trace.Errorf("%s: the daemon is not ready", when)
		}
		return nil
	})
}

func (d *daemon) pid() string { return cluster.LogField(d.logLine("msg=daemon.started"), "pid") }

// crowdHead returns the head of an ordinary request, without its end.
func crowdHead(path string) string {
	return crowd.Head(path, host, wire.HeaderRequestID+": of-a-crowd", wire.HeaderCredential+": "+key)
}

// crowdCase is a number of connections that clients use at the same time.
type crowdCase struct {
	conns  int
	client crowd.Client
}

// faceCrowds runs each case against a daemon of its own.
func faceCrowds(t *testing.T, listener func(*daemon) string, cases map[string]crowdCase) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, d := startCrowdDaemon(t)
			s.faceCrowd(d, func() func() { return crowd.Start(c.conns, listener(d), c.client) })
		})
	}
}

func callers(d *daemon) string { return d.callerAddress }

// Guards against bodies of many callers, read or not yet read, that together exceed the memory.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	const short = 1000
	head := crowdHead(pathSafe)
	faceCrowds(t, callers, map[string]crowdCase{
		"whole":               {300, crowd.SendWhole(head, crowdBodyBytes, crowdBodyBytes-short)},
		"pieces":              {300, crowd.SendBody(head, crowdBodyBytes, crowdBodyBytes-short, 500)},
		"chunks":              {300, crowd.SendChunks(head, crowdBodyBytes-short, 4000, "")},
		"chunks of one byte":  {300, crowd.SendChunks(head, crowdBodyBytes-short, 1, "")},
		"chunk extensions":    {300, crowd.SendChunks(head, 400_000, 100, ";a="+strings.Repeat("e", 1000))},
		"far over, in chunks": {300, crowd.SendChunks(head, 50_000_000, 4000, "")},
		"far over, declared":  {300, crowd.SendWhole(head, 2_000_000_000, 50_000_000)},
		"without a route":     {300, crowd.SendWhole(crowdHead(pathNone), crowdBodyBytes, crowdBodyBytes-short)},
	})
}

// Guards against heads of many short fields, which take many times their length once parsed.
func TestCrowdOfManyHeaderFields(t *testing.T) {
	long, legal := crowd.ShortFields(255_000), crowd.ShortFields(15_500)
	open := "Content-Length: 100\r\n\r\n"
	faceCrowds(t, callers, map[string]crowdCase{
		"far over":                {300, crowd.Send(crowdHead(pathSafe) + long + open)},
		"far over, without route": {300, crowd.Send(crowdHead(pathNone) + long + open)},
		"far over, in turn":       {300, crowd.SendAgain(crowdHead(pathSafe) + long + "Content-Length: 0\r\n\r\n")},
		"legal":                   {600, crowd.Send(crowdHead(pathSafe) + legal + open)},
		"legal, in turn":          {300, crowd.SendAgain(crowdHead(pathNone) + legal + "Content-Length: 0\r\n\r\n")},
		"legal, without an end":   {600, crowd.Send(crowdHead(pathSafe) + legal)},
		"trailers":                {300, crowd.Send(crowdHead(pathSafe) + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" + long)},
	})
}

// Guards against callers that have all connections in use, so that others wait until one of them ends.
func TestCrowdLargerThanTheConnectionLimit(t *testing.T) {
	head := crowdHead(pathSafe)
	faceCrowds(t, callers, map[string]crowdCase{
		"silent":            {1500, crowd.SendNothing},
		"bodies":            {600, crowd.SendWhole(head, 100_000, 99_000)},
		"a byte at a time":  {600, crowd.SendSlowly(head+strings.Repeat("a: b\r\n", 1000), 100*time.Millisecond)},
		"body, byte a time": {600, crowd.SendSlowly(head+"Content-Length: 9000\r\n\r\n"+strings.Repeat("b", 9000), 20*time.Millisecond)},
		"without a route":   {600, crowd.SendWhole(crowdHead(pathNone), 100_000, 99_000)},
		"expects 100":       {600, crowd.Send(head + "Expect: 100-continue\r\nContent-Length: 100\r\n\r\n")},
		"HTTP/1.0":          {600, crowd.Send(strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "Content-Length: 100\r\n\r\n")},
		"upgrade":           {600, crowd.Send(head + "Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 100\r\n\r\n")},
	})
}

// Guards against clients that do not read the answers to what they send ahead.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	for name, path := range map[string]string{"routed": pathSafe, "without a route": pathNone} {
		t.Run(name, func(t *testing.T) {
			s, d := startCrowdDaemon(t)
			client := crowd.SendAgain(crowdHead(path) + "Content-Length: 0\r\n\r\n")
			s.faceCrowd(d, func() func() { return crowd.StartWithoutReading(300, d.callerAddress, client) })
		})
	}
}

// Guards against clients of the internal listeners that use up the memory or the descriptors of the daemon.
func TestCrowdOnInternalListeners(t *testing.T) {
	get := "GET " + wire.PathReady + " HTTP/1.1\r\nHost: h\r\n"
	end := "Content-Length: 100\r\n\r\n"
	cases := map[string]crowdCase{
		"silent":            {1500, crowd.SendNothing},
		"legal heads":       {600, crowd.Send(get + crowd.ShortFields(15_500) + end)},
		"long heads":        {300, crowd.Send(get + crowd.ShortFields(255_000) + end)},
		"heads of 1 MB":     {100, crowd.Send(get + crowd.ShortFields(1_000_000) + end)},
		"bodies":            {300, crowd.SendWhole(crowd.Head("/", "h"), 200_000, 199_000)},
		"bodies, far over":  {300, crowd.SendChunks(crowd.Head("/", "h"), 50_000_000, 4000, "")},
		"queries":           {300, crowd.SendAgain("GET " + wire.PathResolve + "?" + strings.Repeat("a&", 7000) + " HTTP/1.1\r\nHost: h\r\n\r\n")},
		"queries, far over": {300, crowd.SendAgain("GET " + wire.PathResolve + "?" + strings.Repeat("a&", 400_000) + " HTTP/1.1\r\nHost: h\r\n\r\n")},
		"a byte at a time":  {1500, crowd.SendSlowly(get+crowd.ShortFields(10_000), 100*time.Millisecond)},
		"cookies":           {300, crowd.SendAgain(get + "Cookie: " + strings.Repeat("a=;", 4000) + "\r\n\r\n")},
	}
	for name, listener := range map[string]func(*daemon) string{
		"ready":     func(d *daemon) string { return d.readyAddress },
		"directory": func(d *daemon) string { return d.directoryAddress },
		"metrics":   func(d *daemon) string { return d.metricsAddress },
	} {
		t.Run(name, func(t *testing.T) { faceCrowds(t, listener, cases) })
	}
}

// Guards against an ordinary request of the greatest length that is refused for the limits against crowds.
func TestLongestRequestIsServed(t *testing.T) {
	s, d := startCrowdDaemon(t)
	c := s.newCall(pathUnsafe)
	c.Body = strings.Repeat("b", crowdBodyBytes)
	require.Equal(t, http.StatusOK, s.send(c, d).Status)
	r, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+pathUnsafe, strings.NewReader(c.Body))
	require.NoError(t, err)
	r.Host = host
	r.Header.Set(wire.HeaderRequestID, "with-many-fields")
	r.Header.Set(wire.HeaderCredential, key)
	for field := range strings.SplitSeq(strings.TrimSpace(crowd.ShortFields(crowdHeaderBytes-4000)), "\r\n") {
		r.Header.Set(strings.TrimSuffix(field, ":"), "")
	}
	resp, err := s.client.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
