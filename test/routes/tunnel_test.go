package routes_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// cutBed is a testbed in which the first daemon is cut off from all servers, and the others are its
// gateways.
type cutBed struct {
	*testbed
	cutOff   *daemon
	gateways []*daemon
}

// newCutBed starts servers and daemons, and cuts the first daemon off. Each service has two servers;
// behave and delay apply to all of them, and streams have the given number of events.
func newCutBed(t *testing.T, daemons int, f faultdial.Fault, events int, delay time.Duration, behave func(platformtest.ReceivedRequest) platformtest.Behaviour) *cutBed {
	b := &cutBed{testbed: newTestbed(t)}
	for i := range 2 {
		b.startServer(platformtest.ServerOptions{ID: fmt.Sprint("cat-", i), Service: plainService, Delay: delay, Behave: behave})
		b.startServer(platformtest.ServerOptions{
			ID: fmt.Sprint("eng-", i), Service: engineService, Delay: delay, Events: events, Confidence: map[string]int{"small": 90}, Behave: behave,
		})
	}
	for range daemons {
		b.startFaultDaemon()
	}
	b.cutOff, b.gateways = b.daemons[0], b.daemons[1:]
	b.cut(f)
	return b
}

// addGateway starts another daemon, and waits until the daemon that is cut off knows it.
func (b *cutBed) addGateway() {
	b.t.Helper()
	b.gateways = append(b.gateways, b.startFaultDaemon())
	b.waitForLog(b.cutOff, "daemons.changed", fmt.Sprintf("live=%d", len(b.daemons)))
}

// cut cuts the first daemon off, and waits until it knows that.
func (b *cutBed) cut(f faultdial.Fault) {
	b.t.Helper()
	b.setFault(b.cutOff, f)
	for path, service := range map[string]string{pathSafe: plainService, pathStream: engineService} {
		b.eventually(func() error {
			r := b.send(b.newCall(path), b.cutOff)
			if r.Status != http.StatusOK || !b.cutOff.logsContain("service.cut_off", "service="+service) {
				return trace.Errorf("answered %d %s", r.Status, r.Body)
			}
			return nil
		})
	}
}

// requireTunneled requires that a call was answered by way of a gateway, and that both daemons logged
// its ID.
func (b *cutBed) requireTunneled(c platformtest.Call) {
	b.t.Helper()
	require.Contains(b.t, b.waitForLog(b.cutOff, "request.done", "request="+c.ID+" "), "gateway=")
	b.eventually(func() error {
		for _, g := range b.gateways {
			if g.logsContain("request.carried", "request="+c.ID+" ") {
				return nil
			}
		}
		return trace.Errorf("no gateway logged %s", c.ID)
	})
}

// Guards against a request that changes on its way over two daemons, and against more time for the
// server than the caller allows.
func TestTunneledRequestArrivesUnchanged(t *testing.T) {
	b := newCutBed(t, 3, faultdial.Reset, 8, 5*time.Millisecond, nil)
	for _, path := range []string{pathSafe, pathUnsafe, pathStream} {
		direct, tunneled := b.newCall(path), b.newCall(path)
		require.Equal(t, http.StatusOK, b.send(direct, b.gateways[0]).Status)
		r := b.send(tunneled, b.cutOff)
		require.Equal(t, http.StatusOK, r.Status)
		require.True(t, r.Sealed)
		if path == pathStream {
			require.Equal(t, eventStream(tunneled.ID, 8), r.Body)
		}
		b.requireTunneled(tunneled)
		received := map[string]platformtest.ReceivedRequest{}
		for _, server := range b.servers {
			for _, request := range server.Received() {
				received[request.ID] = request
			}
		}
		one, other := received[direct.ID], received[tunneled.ID]
		require.Equal(t, []string{one.Method, one.Target, one.Host, one.Organisation, one.Model, one.Body}, []string{other.Method, other.Target, other.Host, other.Organisation, other.Model, other.Body})
		require.Empty(t, other.Key)
		for name := range one.Header {
			require.Contains(t, other.Header, name)
		}
		require.Len(t, other.Header, len(one.Header))
		left, err := strconv.Atoi(other.Header.Get(wire.HeaderDeadline))
		require.NoError(t, err)
		require.LessOrEqual(t, int64(left), tunneled.Timeout.Milliseconds())
	}
}

// Guards against an answer that looks complete though the server has cut it off, and against one that
// is lost because only the end of the connection ends it.
func TestTunneledAnswersAreWholeOrFail(t *testing.T) {
	behave := func(r platformtest.ReceivedRequest) platformtest.Behaviour {
		n, _ := strconv.Atoi(r.Header.Get("X-Behaviour"))
		return platformtest.Behaviour(n)
	}
	b := newCutBed(t, 3, faultdial.Reset, 8, 5*time.Millisecond, behave)
	for behaviour, want := range map[platformtest.Behaviour]int{
		platformtest.NoLength: http.StatusOK, platformtest.DuplicateAnswer: http.StatusOK, platformtest.Fail: http.StatusInternalServerError,
		platformtest.Truncate: http.StatusBadGateway, platformtest.Reset: http.StatusBadGateway, platformtest.Unsealed: http.StatusBadGateway,
		platformtest.Refuse: http.StatusServiceUnavailable,
	} {
		c := b.newCall(pathUnsafe)
		c.ExtraHeaders = http.Header{"X-Behaviour": {strconv.Itoa(int(behaviour))}}
		r := b.send(c, b.cutOff)
		require.NoError(t, r.Err)
		require.Equal(t, want, r.Status, "behaviour %d: %s", behaviour, r.Body)
		runs := b.serversThatRan(c.ID)
		require.LessOrEqual(t, len(runs), 1)
		if want == http.StatusOK {
			b.requireWholeAnswer(c, r, runs[0])
		}
		if want == http.StatusServiceUnavailable {
			require.Empty(t, runs)
		}
	}
	c := b.newCall(pathStream)
	c.ExtraHeaders = http.Header{"X-Behaviour": {strconv.Itoa(int(platformtest.Answer))}}
	require.Equal(t, eventStream(c.ID, 8), b.send(c, b.cutOff).Body)
}

// Guards against a request that runs twice, or is said not to have run, because its gateway was
// killed while it ran.
func TestKilledGatewayLosesNoPromise(t *testing.T) {
	b := newCutBed(t, 2, faultdial.Reset, stopEvents, 50*time.Millisecond, nil)
	once, stream := b.newCall(pathUnsafe), b.newCall(pathStream)
	for _, server := range b.servers {
		server.SetDelay(4 * time.Second)
	}
	replies := make(chan platformtest.Reply, 1)
	go func() { replies <- b.send(once, b.cutOff) }()
	b.waitRuns(once.ID)
	for _, server := range b.servers {
		server.SetDelay(50 * time.Millisecond)
	}
	streams := make(chan platformtest.Reply, 1)
	go func() { streams <- b.send(stream, b.cutOff) }()
	b.waitRuns(stream.ID)
	b.addGateway()
	b.gateways[0].Kill()
	r := <-replies
	require.NoError(t, r.Err)
	require.Equal(t, http.StatusBadGateway, r.Status, r.Body)
	require.Len(t, b.serversThatRan(once.ID), 1)
	// The stream is resumed through the other daemon.
	require.Equal(t, eventStream(stream.ID, stopEvents), (<-streams).Body)
}

// waitRuns waits until a server runs a request.
func (s *testbed) waitRuns(id string) {
	s.t.Helper()
	s.eventually(func() error {
		if len(s.serversThatRan(id)) == 0 {
			return trace.Errorf("%s does not run", id)
		}
		return nil
	})
}

// stopEvents is the number of events, 50 ms apart, of streams that last longer than the time in which
// a stopping daemon accepts requests.
const stopEvents = 95

// Guards against streams that are cut by a planned stop of either daemon on their way.
func TestPlannedStopsCutNoTunneledStream(t *testing.T) {
	for _, stopsGateway := range []bool{true, false} {
		t.Run(fmt.Sprint("gateway=", stopsGateway), func(t *testing.T) {
			b := newCutBed(t, 2, faultdial.Hang, stopEvents, 50*time.Millisecond, nil)
			streams := make(chan platformtest.Reply, 4)
			var calls []platformtest.Call
			for range cap(streams) {
				c := b.newCall(pathStream)
				calls = append(calls, c)
				go func() { streams <- b.send(c, b.cutOff) }()
				b.waitRuns(c.ID)
			}
			b.addGateway()
			stopping := b.cutOff
			if stopsGateway {
				stopping = b.gateways[0]
			}
			stopping.terminate()
			if stopsGateway {
				// The gateway refuses new requests on open tunnels, too; they go another way.
				for range 20 {
					require.Equal(t, http.StatusOK, b.send(b.newCall(pathUnsafe), b.cutOff).Status)
				}
			}
			for range cap(streams) {
				r := <-streams
				require.NoError(t, r.Err)
				require.Equal(t, eventStream(r.ID, stopEvents), r.Body)
			}
			for _, c := range calls {
				require.Len(t, b.serversThatRan(c.ID), 1, "the stream was not resumed")
			}
			b.waitForLog(stopping, "daemon.stopped", "cut=0")
		})
	}
}

// Guards against servers that go on with work whose caller has left, and against events that are held
// back on the way.
func TestTunneledStreamIsEndedByItsCaller(t *testing.T) {
	b := newCutBed(t, 2, faultdial.Reset, 1000, 20*time.Millisecond, nil)
	before := b.cancelled()
	c := b.newCall(pathStream)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resp, err := c.Open(ctx, b.client, b.cutOff.callerAddress)
	require.NoError(t, err)
	defer resp.Body.Close()
	reader, at := bufio.NewReader(resp.Body), time.Now()
	for range 10 {
		_, err := reader.ReadString('\n')
		require.NoError(t, err)
	}
	require.Less(t, time.Since(at), time.Second, "events come as they are made")
	left := time.Now()
	cancel()
	b.eventually(func() error {
		if b.cancelled() == before {
			return trace.Errorf("the server still works")
		}
		return nil
	})
	require.Less(t, time.Since(left), 500*time.Millisecond)
}

func (b *cutBed) cancelled() int {
	n := 0
	for _, server := range b.servers {
		n += server.Cancelled()
	}
	return n
}

// Guards against a slow caller whose unread answer fills the memory of two daemons, or keeps the
// gateway from serving others.
func TestSlowCallerOfTunnelBlocksNobody(t *testing.T) {
	b := newCutBed(t, 2, faultdial.Reset, 20000, 0, nil)
	resp, err := b.newCall(pathStream).Open(t.Context(), b.client, b.cutOff.callerAddress)
	require.NoError(t, err)
	defer resp.Body.Close()
	for range 10 {
		require.Equal(t, http.StatusOK, b.send(b.newCall(pathUnsafe), b.cutOff).Status)
		require.Equal(t, http.StatusOK, b.send(b.newCall(pathUnsafe), b.gateways[0]).Status)
	}
	_, err = io.CopyN(io.Discard, resp.Body, 100<<10)
	require.NoError(t, err)
}

// Guards against daemons that pass requests to each other while nobody reaches the servers, and
// against callers that wait for a refusal.
func TestUnreachableServersAreRefusedAtOnce(t *testing.T) {
	s := newTestbed(t)
	for i := range 2 {
		s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("cat-", i), Service: plainService})
	}
	for range 4 {
		s.startFaultDaemon()
	}
	for _, d := range s.daemons {
		require.Equal(t, http.StatusOK, s.send(s.newCall(pathSafe), d).Status)
	}
	for _, server := range s.servers {
		server.Close()
	}
	for range 20 {
		for _, d := range s.daemons {
			at := time.Now()
			r := s.send(s.newCall(pathUnsafe), d)
			require.Equal(t, http.StatusServiceUnavailable, r.Status)
			require.NotEmpty(t, r.RetryAfter)
			require.Less(t, time.Since(at), time.Second)
		}
	}
	for _, d := range s.daemons {
		require.False(t, d.logsContain("service.cut_off"), d.Log())
		require.False(t, d.logsContain("request.carried"), d.Log())
	}
}

// callerPatience is the pause after which a caller abandons a stream.
const callerPatience = 2 * time.Second

// pacedStream is a stream as its caller received it.
type pacedStream struct {
	id, text     string
	longestPause time.Duration
	err          error
}

// readPaced sends a call for a stream, and reads it line by line.
func (s *testbed) readPaced(c platformtest.Call, d *daemon) pacedStream {
	r := pacedStream{id: c.ID}
	resp, err := c.Open(context.Background(), s.client, d.callerAddress)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	reader, last := bufio.NewReader(resp.Body), time.Now()
	for {
		line, err := reader.ReadString('\n')
		r.longestPause, last = max(r.longestPause, time.Since(last)), time.Now()
		r.text += line
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			return r
		}
	}
}

// Guards against streams that stand still until their connection times out, though they can be resumed
// through another daemon, and against streams that are resumed though their connection lives on.
func TestStreamsUnderWayAreResumedThroughGateways(t *testing.T) {
	for _, f := range []faultdial.Fault{faultdial.Hang, faultdial.Refuse, faultdial.HangAccepted} {
		t.Run(string(f), func(t *testing.T) {
			s := newTestbed(t)
			for i := range 2 {
				s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("eng-", i), Service: engineService, Events: 60, Delay: 50 * time.Millisecond, Confidence: map[string]int{"small": 90}})
			}
			for range 3 {
				s.startFaultDaemon()
			}
			d := s.daemons[0]
			streams := make(chan pacedStream)
			const count = 6
			for range count {
				go func() { streams <- s.readPaced(s.newCall(pathStream), d) }()
			}
			<-time.After(500 * time.Millisecond)
			s.setFault(d, f)
			go func() { s.send(s.newCall(pathStream), d) }()
			for range count {
				r := <-streams
				require.NoError(t, r.err)
				require.Equal(t, eventStream(r.id, 60), r.text)
				if f == faultdial.Refuse {
					require.Len(t, s.serversThatRan(r.id), 1)
				} else {
					require.Len(t, s.serversThatRan(r.id), 2)
				}
				require.Less(t, r.longestPause, callerPatience)
			}
		})
	}
}

// Guards against requests that circle between daemons all of which are cut off, one after the other.
func TestAllDaemonsCutOffRefuseAtOnce(t *testing.T) {
	b := newCutBed(t, 4, faultdial.Reset, 4, 0, nil)
	for _, d := range b.gateways {
		b.setFault(d, faultdial.Reset)
	}
	b.eventually(func() error {
		for _, d := range b.daemons {
			if r := b.send(b.newCall(pathSafe), d); r.Status != http.StatusServiceUnavailable {
				return trace.Errorf("%d", r.Status)
			}
		}
		return nil
	})
	var all []platformtest.Call
	for range 10 {
		for _, d := range b.daemons {
			c, at := b.newCall(pathUnsafe), time.Now()
			r := b.send(c, d)
			require.Equal(t, http.StatusServiceUnavailable, r.Status)
			require.NotEmpty(t, r.RetryAfter)
			require.Less(t, time.Since(at), time.Second)
			all = append(all, c)
		}
	}
	for _, c := range all {
		for _, d := range b.daemons {
			require.False(t, d.logsContain("request.carried", "request="+c.ID+" "))
		}
	}
	for _, d := range b.daemons {
		b.setFault(d, faultdial.None)
	}
	<-time.After(cutEndedAfter)
	for _, d := range b.daemons {
		c := b.newCall(pathUnsafe)
		require.Equal(t, http.StatusOK, b.send(c, d).Status)
	}
}

// Guards against a daemon that is cut off from one service and stops to use its own connections to
// another.
func TestCutOffFromOneServiceOnly(t *testing.T) {
	s := newTestbed(t)
	var addresses []string
	for i := range 2 {
		addresses = append(addresses, s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("cat-", i), Service: plainService}).Address())
		s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("eng-", i), Service: engineService, Events: 4, Confidence: map[string]int{"small": 90}})
	}
	for range 3 {
		s.startFaultDaemon()
	}
	d := s.daemons[0]
	s.setFault(d, faultdial.Hang, addresses...)
	s.eventually(func() error {
		if r := s.send(s.newCall(pathUnsafe), d); r.Status != http.StatusOK {
			return trace.Errorf("%d", r.Status)
		}
		return nil
	})
	c := s.newCall(pathStream)
	require.Equal(t, eventStream(c.ID, 4), s.send(c, d).Body)
	require.NotContains(t, s.waitForLog(d, "request.done", "request="+c.ID+" "), "gateway=")
	require.False(t, d.logsContain("service.cut_off", "service="+engineService))
}

// Guards against sound instances and innocent requests that a daemon condemns for all others because
// its own links reset its connections.
func TestCutCondemnsNobody(t *testing.T) {
	for _, f := range []faultdial.Fault{faultdial.Reset, faultdial.ResetAccepted} {
		t.Run(string(f), func(t *testing.T) { runCutThatCondemnsNobody(t, f) })
	}
}

func runCutThatCondemnsNobody(t *testing.T, f faultdial.Fault) {
	s := newTestbed(t)
	for i := range 4 {
		s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("cat-", i), Service: plainService, Delay: 200 * time.Millisecond})
	}
	for range 4 {
		s.startProcess(func(r *settings.Routes) { r.Overload.ProvenInstances = overload.On }, binaries.StartFaultDaemon)
	}
	for _, d := range s.daemons {
		s.waitReady(d)
	}
	load := s.startCallerLoad(s.daemons, pathSafe, pathUnsafe)
	for range 3 {
		<-time.After(time.Second)
		s.setFault(s.daemons[0], f)
		<-time.After(time.Second)
		s.setFault(s.daemons[0], faultdial.None)
	}
	load.stop()
	load.requireAtMostOnce()
	require.True(t, s.daemons[0].logsContain("service.cut_off"))
	for i, d := range s.daemons {
		require.False(t, d.logsContain("instance.ended"), d.Log())
		require.False(t, d.logsContain("quarantine.decided"), d.Log())
		if i > 0 {
			require.False(t, d.logsContain("instance.unproven"), d.logLine("instance.unproven"))
		}
	}
}

// Guards against callers that are led to a daemon that must pass each request on.
func TestDirectoryNamesNoCutOffDaemon(t *testing.T) {
	b := newCutBed(t, 4, faultdial.Hang, 4, 0, nil)
	named := func(d *daemon) bool {
		for _, g := range b.daemons {
			addresses, err := platformtest.ResolveDaemons(t.Context(), b.client, g.directoryAddress, host, "hall-a")
			require.NoError(t, err)
			if strings.Contains(strings.Join(addresses, " "), d.callerAddress) {
				return true
			}
		}
		return false
	}
	b.eventually(func() error {
		if named(b.cutOff) {
			return trace.Errorf("still named")
		}
		return nil
	})
	require.True(t, named(b.gateways[0]))
	b.setFault(b.cutOff, faultdial.None)
	at := time.Now()
	b.eventually(func() error {
		if !named(b.cutOff) {
			return trace.Errorf("not named again")
		}
		return nil
	})
	require.Less(t, time.Since(at), cutEndedAfter+time.Second)
}

// Guards against a sound version that is rolled back because one daemon's links break its answers.
func TestCutDoesNotRollBackAVersion(t *testing.T) {
	for _, f := range []faultdial.Fault{faultdial.Reset, faultdial.Hang} {
		t.Run(string(f), func(t *testing.T) {
			s := newTestbed(t)
			for i := range 2 {
				s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("old-", i), Service: engineService, Events: 10, Delay: 20 * time.Millisecond, Confidence: map[string]int{"small": 90}})
			}
			for range 3 {
				s.startFaultDaemon()
			}
			stop := s.startSessions(12)
			defer stop()
			for i := range 2 {
				s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("new-", i), Service: engineService, Version: "v2", Events: 10, Delay: 20 * time.Millisecond, Confidence: map[string]int{"small": 90}})
			}
			s.store.OrderRollout(engineService, "v2", rolloutTime)
			s.waitRolloutState(engineService, "running")
			flapped := make(chan struct{})
			go func() {
				defer close(flapped)
				for range 3 {
					s.setFault(s.daemons[0], f)
					<-time.After(cutKnownAfter + 100*time.Millisecond)
					s.setFault(s.daemons[0], faultdial.None)
					<-time.After(300 * time.Millisecond)
				}
			}()
			s.waitRolloutState(engineService, "completed")
			<-flapped
			require.True(t, s.daemons[0].logsContain("service.cut_off"))
		})
	}
}

// Guards against a daemon that loses requests with each change of a link that comes and goes.
func TestFlappingCutServesCallers(t *testing.T) {
	for _, f := range []faultdial.Fault{faultdial.Reset, faultdial.Refuse, faultdial.ResetAccepted} {
		t.Run(string(f), func(t *testing.T) {
			s := newTestbed(t)
			for i := range 4 {
				s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("cat-", i), Service: plainService, Delay: 20 * time.Millisecond})
			}
			for range 4 {
				s.startFaultDaemon()
			}
			load := s.startCallerLoad(s.daemons, pathSafe, pathUnsafe)
			<-time.After(500 * time.Millisecond)
			from := time.Now()
			for range 4 {
				s.setFault(s.daemons[0], f)
				<-time.After(time.Second)
				s.setFault(s.daemons[0], faultdial.None)
				<-time.After(time.Second)
			}
			to := time.Now()
			load.stop()
			load.requireAtMostOnce()
			served, sent := load.served(s.daemons[:1], from, to)
			othersServed, othersSent := load.served(s.daemons[1:], from, to)
			t.Logf("cut off: %d of %d served, others: %d of %d; %d cuts", served, sent, othersServed, othersSent, strings.Count(s.daemons[0].Log(), "service.cut_off"))
			require.Equal(t, othersSent, othersServed)
			require.GreaterOrEqual(t, float64(served)/float64(sent), cutServedShare)
		})
	}
}

// Guards against a request that crashes each server that runs it, and is not refused because it comes
// over a gateway.
func TestTunneledPoisonIsQuarantined(t *testing.T) {
	const size = 9
	s := newTestbed(t)
	p := s.newPool(engineService, 8, size)
	for range 3 {
		s.startFaultDaemon()
	}
	cutOff := s.daemons[0]
	s.setFault(cutOff, faultdial.Reset)
	s.eventually(func() error {
		if s.send(s.newCall(pathStream), cutOff).Status != http.StatusOK || !cutOff.logsContain("service.cut_off") {
			return trace.Errorf("not served")
		}
		return nil
	})
	p.crashUntilRefused(size, cutOff)
	require.LessOrEqual(t, p.endedServers(), 5)
	require.Contains(t, s.send(s.poisonCall(pathStream), s.daemons[1]).Body, "request_quarantined")
}
