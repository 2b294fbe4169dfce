// Package routes_test runs real daemons as processes against stand-ins for the store of the
// platform and for upstream servers. It tests what plain HTTP callers observe while parts of
// the system fail.
package routes_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

var binaries cluster.Binaries

func TestMain(m *testing.M) { os.Exit(cluster.RunTests(m, &binaries)) }

// Names in the manifest of the tests.
const (
	host          = "shop.example"
	key           = "key-of-visrad"
	otherKey      = "key-of-mtkvari"
	plainService  = "catalogue"
	engineService = "clearance"
	pathSafe      = "/lookup/one"
	pathUnsafe    = "/statement/one"
	pathStream    = "/notes/one"
)

// addressOfItsOwn is a free port of an address that no client uses and where nothing listens by default: the kernel gives
// the port to nobody else until a daemon that was killed starts again.
const addressOfItsOwn = "127.0.0.2:0"

// newManifest returns the configuration that most tests start with.
func newManifest(version int64) wire.Manifest {
	return wire.Manifest{
		Version: version,
		Routes: []wire.Route{
			{Name: "safe", Host: host, Prefix: "/lookup/", RouteType: wire.KindSafe, TimeoutMS: 8000, TargetLatencyMS: 2000, Service: plainService, MaxAttempts: 2},
			{Name: "once", Host: host, Prefix: "/statement/", RouteType: wire.KindUnsafe, TimeoutMS: 8000, TargetLatencyMS: 2000, Service: plainService, MaxAttempts: 1},
			{Name: "turns", Host: host, Prefix: "/notes/", RouteType: wire.KindStream, TimeoutMS: 20000, TargetLatencyMS: 8000, GapTargetMS: 4000,
				Service: engineService, MaxAttempts: 3, Resumable: true, Sizes: []string{"small", "large"}},
		},
		Services: []wire.Service{
			{Name: plainService, HealthPath: "/health", MaxConnections: 60},
			{Name: engineService, HealthPath: "/health", MaxConnections: 60, Engine: &wire.Engine{Models: []wire.Model{{Name: "small", Cost: 1}, {Name: "large", Cost: 9}}}},
		},
		Limits:  wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4096, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []wire.Tenant{{Name: "visrad", APIKeys: []string{key}}, {Name: "mtkvari", APIKeys: []string{otherKey}}},
	}
}

// daemon is a running daemon with its listen addresses.
type daemon struct {
	*cluster.Process
	callerAddress, readyAddress, directoryAddress, metricsAddress, peerAddress string
	// faultFile is the control file of a daemon that can be cut off from instances.
	faultFile string
}

// testbed is a store, servers and daemons.
type testbed struct {
	t            *testing.T
	store        *platformtest.Store
	storeAddress string
	servers      map[string]*platformtest.Server
	daemons      []*daemon
	client       *http.Client
	lastID       atomic.Int64
}

func newTestbed(t *testing.T) *testbed {
	s := &testbed{t: t, store: platformtest.NewStore(), servers: map[string]*platformtest.Server{}}
	address, stop := s.store.Serve()
	s.storeAddress = address
	t.Cleanup(stop)
	s.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: cluster.WaitTimeout}
	s.store.PutManifest(newManifest(3))
	t.Cleanup(s.keepLogs)
	return s
}

// keepLogs writes the logs of the daemons to the directory in ROUTES_LOGS if the test failed.
func (s *testbed) keepLogs() {
	dir := os.Getenv("ROUTES_LOGS")
	if dir == "" || !s.t.Failed() {
		return
	}
	test := strings.ReplaceAll(s.t.Name(), "/", "-")
	for _, d := range s.daemons {
		path := filepath.Join(dir, fmt.Sprintf("%s-%s.log", test, d.Name))
		if err := os.WriteFile(path, []byte(d.Log()), 0o600); err != nil {
			s.t.Log(err)
		}
	}
}

// startServer starts an upstream server, registers it in the store and adds it to s.servers.
func (s *testbed) startServer(o platformtest.ServerOptions) *platformtest.Server {
	server := s.newServer(o)
	s.servers[o.ID] = server
	return server
}

// newServer starts and registers a server without adding it to s.servers.
func (s *testbed) newServer(o platformtest.ServerOptions) *platformtest.Server {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Version == "" {
		o.Version = "v1"
	}
	server := platformtest.NewServer(o)
	s.t.Cleanup(server.Close)
	server.Register(s.store, wire.StateReady)
	return server
}

// startDaemon starts a daemon whose seeds are the daemons started before. change, if not nil,
// changes its settings.
func (s *testbed) startDaemon(change func(*settings.Routes)) *daemon {
	s.t.Helper()
	return s.startProcess(change, binaries.StartRoutesDaemon)
}

// startProcess starts a daemon with the given function, which gets its name and the path of its
// settings.
func (s *testbed) startProcess(change func(*settings.Routes), start func(name, settings string) (*cluster.Process, string, error)) *daemon {
	s.t.Helper()
	name := fmt.Sprintf("entry-%d", len(s.daemons)+1)
	r := settings.Routes{
		Instance: name, FailureDomain: "hall-a", Site: "gothenburg", Platform: s.storeAddress,
		CallerListen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", DirectoryListen: "127.0.0.1:0",
		PeerListen: "127.0.0.1:0", MetricsListen: "127.0.0.1:0",
		MemoryMB: 256, Descriptors: 1000, SessionS: 2, StopS: 8, DrainMS: 1000, ExposureShare: 0.15,
		RetryRatio: 0.9, RetrySlack: 50, RetryWindowS: 10, Seeds: []string{},
		Overload: overload.DefaultSettings(),
	}
	for _, d := range s.daemons {
		r.Seeds = append(r.Seeds, d.peerAddress)
	}
	if change != nil {
		change(&r)
	}
	text, err := json.Marshal(settings.RoutesFile{Routes: r, LogLevel: "info", Trace: settings.Trace{Exporter: "none"}})
	require.NoError(s.t, err)
	path := filepath.Join(s.t.TempDir(), name+".jsonc")
	require.NoError(s.t, os.WriteFile(path, text, 0o600))
	p, line, err := start(name, path)
	require.NoError(s.t, err)
	s.t.Cleanup(p.Kill)
	d := &daemon{
		Process: p, callerAddress: cluster.LogField(line, "callers"), readyAddress: cluster.LogField(line, "ready"),
		directoryAddress: cluster.LogField(line, "directory"), metricsAddress: cluster.LogField(line, "metrics"), peerAddress: cluster.LogField(line, "peers"),
		faultFile: cluster.FaultFile(path),
	}
	s.daemons = append(s.daemons, d)
	return d
}

// startReadyDaemon starts a daemon and waits until it is ready.
func (s *testbed) startReadyDaemon() *daemon {
	s.t.Helper()
	d := s.startDaemon(nil)
	s.waitReady(d)
	return d
}

// waitReady waits until a daemon is ready.
func (s *testbed) waitReady(d *daemon) {
	s.t.Helper()
	s.eventually(func() error {
		if !platformtest.Ready(context.Background(), s.client, d.readyAddress) {
			return trace.Errorf("%s is not ready\n%s", d.Name, d.Log())
		}
		return nil
	})
}

func (s *testbed) eventually(f func() error) {
	s.t.Helper()
	require.NoError(s.t, cluster.Eventually(f))
}

// logsContain reports whether one line of the log contains all parts.
func (d *daemon) logsContain(parts ...string) bool { return d.logLine(parts...) != "" }

// logLine returns the first line of the log that contains all parts, or "".
func (d *daemon) logLine(parts ...string) string {
	for line := range strings.SplitSeq(d.Log(), "\n") {
		all := line != ""
		for _, part := range parts {
			all = all && strings.Contains(line, part)
		}
		if all {
			return line
		}
	}
	return ""
}

// readVars reads the daemon's part of /debug/vars.
func (s *testbed) readVars(d *daemon, vars any) {
	s.t.Helper()
	resp, err := s.client.Get("http://" + d.metricsAddress + "/debug/vars")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&struct {
		Hornbeamsill any `json:"hornbeamsill"`
	}{vars}))
}

// waitForLog waits for a line of the log of a daemon that contains all parts, and returns it.
func (s *testbed) waitForLog(d *daemon, parts ...string) string {
	s.t.Helper()
	var found string
	s.eventually(func() error {
		if found = d.logLine(parts...); found == "" {
			return trace.Errorf("%s has not logged %q\n%s", d.Name, parts, d.Log())
		}
		return nil
	})
	return found
}

// newCall returns a call with a new request ID.
func (s *testbed) newCall(path string) platformtest.Call {
	c := platformtest.Call{
		Host: host, Path: path, Key: key, ID: fmt.Sprintf("request-%d", s.lastID.Add(1)),
		Timeout: 6 * time.Second, Body: "body of a request",
	}
	if path == pathSafe {
		c.Method = http.MethodGet
	}
	if path == pathStream {
		c.Model, c.Prompt, c.Timeout = "*", "aa:100,bb:200,cc:50", 15*time.Second
		c.Session = c.ID
	}
	return c
}

// send sends a call to a daemon.
func (s *testbed) send(c platformtest.Call, d *daemon) platformtest.Reply {
	return c.Send(context.Background(), s.client, d.callerAddress)
}

// serversThatRan returns the IDs of the servers that ran a request, one for each run.
func (s *testbed) serversThatRan(id string) []string {
	var out []string
	for name, server := range s.servers {
		for _, received := range server.Received() {
			if received.ID == id && received.Behaviour.Runs() {
				out = append(out, name)
			}
		}
	}
	return out
}

// eventStream returns the whole stream of n events that answers a call.
func eventStream(id string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(platformtest.Event(id, i+1))
	}
	return b.String()
}

// requireWholeAnswer requires that r is the whole answer of the given server to c.
func (s *testbed) requireWholeAnswer(c platformtest.Call, r platformtest.Reply, by string) {
	s.t.Helper()
	require.NoError(s.t, r.Err)
	require.Equal(s.t, http.StatusOK, r.Status, r.Body)
	require.True(s.t, r.Sealed)
	require.Equal(s.t, c.ID, r.ID)
	require.Equal(s.t, s.servers[by].Body(c.ID), r.Body)
}

// runWorkers calls do repeatedly in each worker until stop is called. stop waits for the
// workers.
func runWorkers(workers int, do func(worker int)) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for worker := range workers {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					do(worker)
				}
			}
		})
	}
	return func() {
		close(done)
		all.Wait()
	}
}

// terminate sends SIGTERM.
func (d *daemon) terminate() { d.Signal(syscall.SIGTERM) }
