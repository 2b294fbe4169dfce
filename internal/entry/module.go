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

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/forward"
	"github.com/hornbeamsill/hornbeamsill/internal/httplisten"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/telemetry"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// Module provides a Process and runs it from the start to the stop of the app. The settings
// are supplied by the app.
var Module = fx.Module("entry",
	fx.Provide(
		clockwork.NewRealClock,
		func(f settings.RoutesFile) settings.Routes { return f.Routes },
		func(r settings.Routes) *platform.Store { return platform.NewStore(r.Platform) },
		func() platform.HeaderCodec { return platform.HeaderCodec{} },
		upconn.NewDialer,
		NewNode,
		NewProcess,
	),
	fx.Invoke(func(lc fx.Lifecycle, p *Process) {
		lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
	}),
)

const (
	// directoryTTL is the TTL of an answer of the directory. Callers use an answer for up to
	// three times as long, so a short TTL keeps a stopped daemon from being used for long.
	directoryTTL = 1 * time.Second
	// acceptFraction is the fraction of the stop time in which new requests are still
	// accepted. Of a stop time of eight seconds that is just over three, the time for which
	// callers may use an old directory answer.
	acceptFraction = 0.41
	// stopFraction is the fraction of the stop time after which the process ends even if
	// requests are still running.
	stopFraction = 0.93
	// memoryLimitFraction is the fraction of the memory that is set as the soft limit of the
	// Go runtime, above which garbage is collected more often.
	memoryLimitFraction = 0.7
	// gcPercent is the garbage that the heap may hold, in percent of what is in use. Most of the
	// heap is the list of instances, and requests allocate little beside it.
	gcPercent = 50
)

// Process is a running daemon with its listeners.
type Process struct {
	node     *Node
	settings settings.Routes
	clock    clockwork.Clock

	peers          *peer.Server
	callers        *http.Server
	callerListener *httplisten.Listener
	// callerMetrics are those of the listener for callers, and auxiliaryMetrics those of the internal listeners.
	callerMetrics, auxiliaryMetrics httplisten.Metrics
	// auxiliaryHeads is the budget for heads of all internal listeners.
	auxiliaryHeads *limit.HeldBytes
	auxiliary      []*http.Server
	loops          sync.WaitGroup
	stopLoops      context.CancelFunc
}

// NewProcess returns a process that has not started.
func NewProcess(n *Node, r settings.Routes, clock clockwork.Clock) *Process {
	return &Process{
		node: n, settings: r, clock: clock,
		auxiliaryHeads: limit.NewHeldBytes(r.MemoryMB << 20 / auxiliaryHeadDivisor),
	}
}

func (p *Process) start(context.Context) error {
	s := p.settings
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB<<20)))
	debug.SetGCPercent(gcPercent)
	var err error
	if p.peers, err = peer.ListenRoutes(s.PeerListen, p.node, p.node.gateway, peerLimits(s)); err != nil {
		return trace.Wrap(err)
	}
	p.node.registry.SetSelf(func(d *member.Daemon) { d.PeerAddress = p.peers.Address() })
	p.publishVars()
	p.callers = &http.Server{Handler: p.node.handler}
	if p.node.callerAddress, err = p.listenCallers(); err != nil {
		return err
	}
	ready, err := p.listenAuxiliary("ready", s.ReadyListen, platform.ReadyHandler(p.node.Ready))
	if err != nil {
		return err
	}
	directory, err := p.listenAuxiliary("directory", s.DirectoryListen, platform.DirectoryHandler(p.node.directoryAddresses, directoryTTL))
	if err != nil {
		return err
	}
	metrics, err := p.listenAuxiliary("metrics", s.MetricsListen, p.node.debugHandler())
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

// serve starts to serve connections of a listener and returns its address with the port.
func serve(server *http.Server, l net.Listener) string {
	address := l.Addr().String()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			slog.Error("listener.failed", "address", address, "error", err)
		}
	}()
	return address
}

// stop performs a planned stop: it removes this daemon from the directory, serves requests
// until callers have noticed, refuses new ones, finishes the running ones and ends.
func (p *Process) stop(context.Context) error {
	started := p.clock.Now()
	total := settings.Seconds(p.settings.StopS)
	slog.Info("daemon.stopping", "open", p.node.metrics.Open.Load())
	p.node.leave(member.Leaving)
	p.clock.Sleep(time.Duration(acceptFraction * float64(total)))
	left := stopTime(p.settings) - p.clock.Since(started)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	cut := int64(0)
	if p.callerListener.Drain(ctx) != nil {
		cut = p.node.metrics.Open.Load()
		p.refuseWaiting()
	}
	p.callers.Close()
	cut += p.awaitCarried(ctx)
	p.node.leave(member.Left)
	p.stopLoops()
	p.loops.Wait()
	p.peers.Close()
	p.node.peers.Close()
	for _, server := range p.auxiliary {
		server.Close()
	}
	p.node.store.Close()
	slog.Info("daemon.stopped", "cut", cut, "after_ms", p.clock.Since(started).Milliseconds())
	return nil
}

// lastAnswersTime is the time in which requests that a planned stop no longer waits for can still be
// answered that they have not run.
const lastAnswersTime = 200 * time.Millisecond

// refuseWaiting ends the requests that are still open and waits for their answers. Those that no instance
// has begun are refused, so that their callers repeat them.
func (p *Process) refuseWaiting() {
	p.callerListener.CancelRequests(forward.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancel()
	// Connections that are still open after that are closed with the server.
	_ = p.callerListener.Drain(ctx)
}

// carriedPoll is the interval at which a stopping daemon looks whether it still carries requests.
const carriedPoll = 50 * time.Millisecond

// awaitCarried waits until this daemon carries no requests of other daemons, and returns the number
// of those that are left when ctx ends.
func (p *Process) awaitCarried(ctx context.Context) int64 {
	for p.node.gateway.Running() > 0 {
		select {
		case <-ctx.Done():
			return int64(p.node.gateway.Running())
		case <-p.clock.After(carriedPoll):
		}
	}
	return 0
}

// refuseStreamsAfter is how long after the start of a planned stop new streams are refused. By
// then callers that use the directory have switched, and a later stream might not finish in
// the stop time.
const refuseStreamsAfter = 3*directoryTTL - 100*time.Millisecond

// refusesStreams reports whether a planned stop began at least refuseStreamsAfter ago.
func (n *Node) refusesStreams() bool {
	since := n.leavingSince.Load()
	return since != nil && n.clock.Since(*since) >= refuseStreamsAfter
}

// refusesLate reports whether the end of a planned stop may cut a new request that takes as long as its
// timeout. Until refuseStreamsAfter callers may not know of another daemon.
func (n *Node) refusesLate(kind catalog.RouteKind, timeout time.Duration) bool {
	if !n.refusesStreams() {
		return false
	}
	return kind == catalog.Stream || n.clock.Since(*n.leavingSince.Load())+timeout > stopTime(n.settings)
}

// stopTime is the time from the start of a planned stop after which requests that are still running are
// ended.
func stopTime(s settings.Routes) time.Duration {
	return time.Duration(stopFraction*float64(settings.Seconds(s.StopS))) - lastAnswersTime
}

// leave informs the peers that this daemon is leaving or has left.
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
	n.heartbeatRound(ctx, n.heartbeatTargets())
	n.requestHeartbeat()
}

// debugVars are the variables in /debug/vars.
type debugVars struct {
	Config int64 `json:"config_version"`
	// Operator is the store revision up to which the operator's rows are known, and
	// OperatorAgeMS the time since they were last known to be the newest.
	Operator      int64 `json:"operator_revision"`
	OperatorAgeMS int64 `json:"operator_age_ms"`
	// Reader is set while this daemon reads the store on behalf of its group.
	Reader     bool  `json:"reader"`
	List       int64 `json:"list_revision"`
	ListAgeMS  int64 `json:"list_age_ms"`
	Daemons    int   `json:"daemons_live"`
	StoreCalls int64 `json:"store_calls"`
	Dials      int64 `json:"upstream_connections"`
	Goroutines int   `json:"goroutines"`
	Requests   any   `json:"requests"`
	// PeerCalls is the traffic of this daemon's calls to its peers, and PeerServed that of the
	// calls it serves.
	PeerCalls  *peer.Traffic `json:"peer_calls"`
	PeerServed *peer.Traffic `json:"peer_served"`
	// PeerConnsEvicted and PeerConnsRefused count connections to the listener for other daemons that were closed to
	// make room, and those for which there was none. PeerMessagesRefused counts messages that were not decoded.
	PeerConnsEvicted    int64 `json:"peer_connections_evicted"`
	PeerConnsRefused    int64 `json:"peer_connections_refused"`
	PeerMessagesRefused int64 `json:"peer_messages_refused"`
	// PeerCallsRefused counts calls of other daemons that needed a connection of this one while there were too many.
	PeerCallsRefused int64 `json:"peer_calls_refused"`
	// Evacuated is the number of evacuated failure domains, and Withdrawn the number of times
	// a request was stopped because its instance was withdrawn just before it was sent.
	Evacuated int   `json:"evacuated"`
	Withdrawn int64 `json:"withdrawn"`
	// Limited is the number of upstream instances with a rate limit, and NoTurn the number of
	// requests refused because their turn at an instance that is warming up or rate-limited
	// would have come too late.
	Limited int   `json:"instances_limited"`
	NoTurn  int64 `json:"no_turn"`
	// NoEscalation is the number of answers of a small model that were kept only because no
	// retry was left to run the largest model.
	NoEscalation int64 `json:"no_escalation"`
	// Capacity has the counters of the capacity accounting.
	Capacity capacityVars `json:"capacity"`
	// LostAnswers is the number of answers that instances lost or corrupted, and UnprovenRuns the
	// number of attempts that must not run twice and went to an instance that is not proven.
	LostAnswers  int64 `json:"lost_answers"`
	UnprovenRuns int64 `json:"unproven_runs"`
	// ErrorAnswers is the number of answers with an error status of the instance itself, where these
	// count as evidence.
	ErrorAnswers int64 `json:"error_answers"`
	// ForeignAnswers is the number of answers that did not belong to the request that was open.
	ForeignAnswers int64 `json:"foreign_answers"`
	// OutOfOrder is the number of runs of streams that were ended because their events did not follow those
	// before.
	OutOfOrder int64 `json:"events_out_of_order"`
	// EndsConfirmed is the number of answers without framing that were taken for whole because their instance
	// gave a sign of life, EndsPlanned because its end was planned, and EndsUnconfirmed that of those that
	// were not.
	EndsConfirmed   int64 `json:"ends_confirmed"`
	EndsPlanned     int64 `json:"ends_planned"`
	EndsUnconfirmed int64 `json:"ends_unconfirmed"`
	// HeldBytes is the number of bytes held for callers and instances, StalledCallers the number of
	// callers dropped because they did not take their answer, and AbortedCallers the number of those
	// dropped to free memory.
	HeldBytes      int   `json:"held_bytes"`
	StalledCallers int64 `json:"callers_stalled"`
	AbortedCallers int64 `json:"callers_aborted"`
	// Closed has the connections of callers that this daemon closed.
	Closed httplisten.Vars `json:"connections_closed"`
	// ClosedInternal has those of the clients of the internal listeners.
	ClosedInternal httplisten.Vars `json:"internal_connections_closed"`
	// Quarantine has the counters of the quarantine.
	Quarantine quarantineVars `json:"quarantine"`
	// Survey has the counters of what this daemon learned from engines when it started.
	Survey surveyVars `json:"survey"`
	// Paths has the counters of the paths to upstream instances.
	Paths pathVars `json:"paths"`
	// Directory has the counters of the directory's answers by weight.
	Directory directoryVars `json:"directory"`
	// Terms has the counters of the terms of organisations.
	Terms termsVars `json:"terms"`
}

func (p *Process) publishVars() {
	n := p.node
	telemetry.Publish("hornbeamsill", func() any {
		operator := n.freshness.view()
		limited, _ := n.table.LimitsInForce()
		return debugVars{
			Config: n.configVersion(), Operator: operator.readRevision, OperatorAgeMS: n.clock.Since(operator.confirmedAt).Milliseconds(), Reader: n.isReader(),
			List: n.table.Revision(), ListAgeMS: n.table.Age().Milliseconds(),
			Daemons: n.registry.LiveCount(), StoreCalls: n.store.Calls(), Dials: n.pool.Dials(),
			Goroutines: runtime.NumGoroutine(), Requests: n.metrics,
			PeerCalls: n.peers.Traffic(), PeerServed: p.peers.Traffic(),
			PeerConnsEvicted: p.peers.Evicted.Load(), PeerConnsRefused: p.peers.Refused.Load(), PeerMessagesRefused: p.peers.MessagesRefused.Load(),
			PeerCallsRefused: n.outbound.refused.Load(),
			Quarantine:       n.quarantine.vars(),
			Evacuated:        len(n.evacuations.InForce()), Withdrawn: n.metrics.Withdrawn.Load(),
			Limited: limited, NoTurn: n.metrics.NoTurn.Load(), NoEscalation: n.metrics.NoEscalation.Load(),
			Capacity:    n.capacityVars(),
			LostAnswers: n.metrics.LostAnswers.Load(), UnprovenRuns: n.metrics.UnprovenRuns.Load(), ErrorAnswers: n.metrics.ErrorAnswers.Load(), ForeignAnswers: n.metrics.ForeignAnswers.Load(),
			OutOfOrder: n.metrics.OutOfOrder.Load(), EndsConfirmed: n.metrics.EndsConfirmed.Load(), EndsPlanned: n.metrics.EndsPlanned.Load(), EndsUnconfirmed: n.metrics.EndsUnconfirmed.Load(),
			HeldBytes: n.held.Used(), StalledCallers: n.metrics.StalledCallers.Load(), AbortedCallers: n.metrics.AbortedCallers.Load(),
			Closed: p.callerMetrics.Vars(), ClosedInternal: p.auxiliaryMetrics.Vars(),
			Survey: n.survey.vars(), Paths: n.paths.vars(), Directory: n.directory.vars(),
			Terms: n.terms.vars(),
		}
	})
}
