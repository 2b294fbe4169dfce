package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/telemetry"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// Module provides a Process and runs it between the start and stop of the app.
// Settings are supplied from outside.
var Module = fx.Module("entry",
	fx.Provide(
		clockwork.NewRealClock,
		func(f settings.RoutesFile) settings.Routes { return f.Routes },
		func(r settings.Routes) *platform.Store { return platform.NewStore(r.Platform) },
		func() platform.Headers { return platform.Headers{} },
		NewNode,
		NewProcess,
	),
	fx.Invoke(func(lc fx.Lifecycle, p *Process) {
		lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
	}),
)

const (
	// entriesTTL is how long callers keep an answer of the directory. It is
	// short, so that a daemon that stops is not used for long: callers keep
	// one up to three times as long.
	entriesTTL = 1 * time.Second
	// servePart is the part of the time for a stop in which new requests are
	// still taken: the three seconds for which callers may use an old answer
	// of the directory, of eight.
	acceptFraction = 0.41
	// finishPart is the part of the time for a stop after which the process
	// ends, whatever still runs.
	stopFraction = 0.93
	// memoryPart is the part of the memory at which the runtime collects
	// harder.
	memoryLimitFraction = 0.7
)

// Process is a running daemon with its listeners.
type Process struct {
	node     *Node
	settings settings.Routes
	clock    clockwork.Clock

	peers     *peer.Server
	callers   *http.Server
	auxiliary []*http.Server
	loops     sync.WaitGroup
	stopLoops context.CancelFunc
}

// NewProcess returns a process that has not started.
func NewProcess(n *Node, r settings.Routes, clock clockwork.Clock) *Process {
	return &Process{node: n, settings: r, clock: clock}
}

func (p *Process) start(context.Context) error {
	s := p.settings
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB<<20)))
	var err error
	if p.peers, err = peer.ListenRoutes(s.PeerListen, p.node); err != nil {
		return trace.Wrap(err)
	}
	p.node.registry.SetSelf(func(d *member.Daemon) { d.PeerAddress = p.peers.Address() })
	p.publishVars()
	p.callers = &http.Server{
		Handler: p.closeWhenLeaving(p.node.handler), MaxHeaderBytes: maxHeaderBytes,
	}
	if p.node.callerAddress, err = p.listenCallers(); err != nil {
		return err
	}
	ready, err := p.listenAuxiliary(s.ReadyListen, platform.ReadyHandler(p.node.Ready))
	if err != nil {
		return err
	}
	directory, err := p.listenAuxiliary(s.DirectoryListen, platform.DirectoryHandler(p.node.entries, entriesTTL))
	if err != nil {
		return err
	}
	metrics, err := p.listenAuxiliary(s.MetricsListen, p.node.debugHandler())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stopLoops = cancel
	p.loops.Go(func() { p.node.Run(ctx) })
	slog.Info("daemon.started", "instance", s.Instance, "failure_domain", s.FailureDomain, "callers", p.node.callerAddress,
		"ready", ready, "directory", directory, "metrics", metrics, "peers", p.peers.Address(),
		"incarnation", p.node.registry.Self().Incarnation, "pid", os.Getpid())
	return nil
}

// listenOther serves one of the small interfaces; no address is none.
func (p *Process) listenAuxiliary(address string, handler http.Handler) (string, error) {
	if address == "" {
		return "", nil
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	p.auxiliary = append(p.auxiliary, server)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return serve(server, l), nil
}

// listenCallers serves callers.
func (p *Process) listenCallers() (string, error) {
	l, err := net.Listen("tcp", p.settings.CallerListen)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if most := maxCallerConns(p.settings.Descriptors); most > 0 {
		l = netutil.LimitListener(l, most)
	}
	trackCallerConns(p.callers)
	return serve(p.callers, &callerListener{Listener: l, limits: p.node.limits}), nil
}

const (
	// reservedDescriptors are kept for files and for peers.
	reservedDescriptors = 300
	// callerPart is the part of the rest for callers; each of their requests
	// may need a connection to an upstream instance.
	callerFraction = 0.6
)

// callerConnections is how many connections callers may have open at once; 0 is
// no bound. Without it a flood of them would leave none for upstream instances
// and the store, and what is being served would fail.
func maxCallerConns(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(int(callerFraction*float64(descriptors-reservedDescriptors)), 1)
}

// serve serves what a listener accepts and returns its address with the port.
func serve(server *http.Server, l net.Listener) string {
	address := l.Addr().String()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("listener.failed", "address", address, "error", err)
		}
	}()
	return address
}

// closing asks callers to close their connections once this daemon is leaving,
// so that they do so between two requests instead of meeting our close.
func (p *Process) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.node.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop ends the daemon as planned: it leaves what callers are told, serves
// until they have noticed, takes nothing new, finishes what runs, and ends.
func (p *Process) stop(context.Context) error {
	began := p.clock.Now()
	total := settings.Seconds(p.settings.StopS)
	slog.Info("daemon.stopping", "open", p.node.metrics.Open.Load())
	p.node.leave(member.Leaving)
	p.clock.Sleep(time.Duration(acceptFraction * float64(total)))
	left := time.Duration(stopFraction*float64(total)) - p.clock.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := p.callers.Shutdown(ctx)
	cut := p.node.metrics.Open.Load()
	if err != nil {
		p.callers.Close()
	}
	p.node.leave(member.Left)
	p.stopLoops()
	p.loops.Wait()
	p.peers.Close()
	p.node.peers.Close()
	for _, server := range p.auxiliary {
		server.Close()
	}
	p.node.store.Close()
	slog.Info("daemon.stopped", "cut", cut, "after_ms", p.clock.Since(began).Milliseconds())
	return nil
}

// lateStream is the time after the beginning of a planned stop from which streams are
// refused: callers that go by the directory know by then, and what comes later may not end
// in the time for the stop.
const refuseStreamsAfter = 3*entriesTTL - 100*time.Millisecond

// refusesStreams reports whether a planned stop has gone on for lateStream.
func (n *Node) refusesStreams() bool {
	since := n.leavingSince.Load()
	return since != nil && n.clock.Since(*since) >= refuseStreamsAfter
}

// leave tells the peers that this daemon is on its way out.
func (n *Node) leave(state member.State) {
	now := n.clock.Now()
	n.leavingSince.CompareAndSwap(nil, &now)
	n.leaving.Store(true)
	n.registry.SetSelf(func(d *member.Daemon) {
		d.State = state
		d.Version++
	})
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	n.heartbeatRound(ctx)
	n.requestHeartbeat()
}

// figures are the numbers shown in /debug/vars.
type debugVars struct {
	Config int64 `json:"config_version"`
	// Operator is the store's revision up to which the operator's rows are known, and
	// OperatorAgeMS for how long nothing has shown that they are still the newest.
	Operator      int64 `json:"operator_revision"`
	OperatorAgeMS int64 `json:"operator_age_ms"`
	// Reader is true while this daemon reads the store for others.
	Reader     bool  `json:"reader"`
	List       int64 `json:"list_revision"`
	ListAgeMS  int64 `json:"list_age_ms"`
	Daemons    int   `json:"daemons_live"`
	StoreCalls int64 `json:"store_calls"`
	Dials      int64 `json:"upstream_connections"`
	Goroutines int   `json:"goroutines"`
	Requests   any   `json:"requests"`
	// PeerCalls is what this daemon tells its peers, PeerServed what it answers
	// them.
	PeerCalls  *peer.Traffic `json:"peer_calls"`
	PeerServed *peer.Traffic `json:"peer_served"`
	// Evacuated is the number of evacuated failure domains, and Withdrawn how often a
	// request was stopped because its instance was withdrawn when it was about to go out.
	Evacuated int   `json:"evacuated"`
	Withdrawn int64 `json:"withdrawn"`
	// Limited is the number of upstream instances that name a limit, and NoTurn how many
	// requests were refused because no turn at an instance that warms up or names a limit
	// came in time.
	Limited int   `json:"instances_limited"`
	NoTurn  int64 `json:"no_turn"`
	// Quarantine is about requests that crash upstream instances.
	Quarantine quarantineVars `json:"quarantine"`
}

func (p *Process) publishVars() {
	n := p.node
	telemetry.Publish("hornbeamsill", func() any {
		operator := n.freshness.view()
		limited, _ := n.table.LimitsInForce()
		return debugVars{
			Config: n.configVersion(), Operator: operator.readRevision, OperatorAgeMS: n.clock.Since(operator.confirmedAt).Milliseconds(), Reader: n.isReader(),
			List: n.table.Revision(), ListAgeMS: n.table.Age().Milliseconds(),
			Daemons: len(n.registry.Live()), StoreCalls: n.store.Calls(), Dials: n.pool.Dials(),
			Goroutines: runtime.NumGoroutine(), Requests: n.metrics,
			PeerCalls: n.peers.Traffic(), PeerServed: p.peers.Traffic(), Quarantine: n.quarantine.vars(),
			Evacuated: len(n.evacuations.InForce()), Withdrawn: n.metrics.Withdrawn.Load(),
			Limited: limited, NoTurn: n.metrics.NoTurn.Load(),
		}
	})
}
