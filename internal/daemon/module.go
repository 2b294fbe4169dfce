package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/httplisten"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/telemetry"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// Module provides a Node and runs it from the start to the stop of the app. The
// app supplies the settings.
var Module = fx.Module("daemon",
	fx.Provide(
		clockwork.NewRealClock,
		newPlatform,
		NewNode,
		newCaller,
		newOperator,
		newProcess,
	),
	fx.Invoke(func(lc fx.Lifecycle, p *Process) {
		lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
	}),
)

// platformServices implements backing.Platform with the clients of the
// platform's store and of its other services.
type platformServices struct {
	platform.Table
	*backing.Client
}

func newPlatform(s settings.Settings) backing.Platform {
	return platformServices{Table: platform.Table{Store: platform.NewStore(s.Platform)}, Client: backing.NewClient(s.Platform)}
}

func newCaller(n *Node) *caller.Server {
	return caller.New(caller.Deps{
		Clock:      n.clock,
		Follower:   n.follower,
		Directory:  n,
		Dispatcher: n.dispatcher,
		Claims:     n.resolver,
		Limits:     n.limits,
		Store:      n.answers,
		Answers: &answerFinder{
			self: n.incarnation, store: n.answers, registry: n.registry,
			peerClient: n.peerClient, upstreamClient: n.upstreamClient, now: n.clock.Now,
		},
		Signer:      n.signer,
		Requests:    n.requests,
		Bodies:      n.callerBodies(),
		BaseContext: n.base,
	})
}

func newOperator(n *Node) *operator.Server {
	return operator.New(operator.Deps{
		Config:          n.config,
		Follower:        n.follower,
		Ledger:          n.platform,
		Ratings:         n.ratings,
		Keys:            n.keys,
		Directory:       n,
		Status:          n.Status,
		OnAccepted:      n.OnConfigAccepted,
		Token:           n.settings.OperatorToken,
		SessionLifetime: settings.MS(n.settings.Timing.SessionMS),
		Bodies:          n.operatorBodies(),
	})
}

// memoryLimitFraction is the fraction of the memory that is set as the soft limit of the Go runtime, above which
// garbage is collected more often.
const memoryLimitFraction = 0.7

// Process is a running daemon with its listeners.
type Process struct {
	node     *Node
	caller   *caller.Server
	operator *operator.Server

	peerServer    *peer.Server
	callerHTTP    *http.Server
	operatorHTTP  *http.Server
	callerAddress string
	operatorAddr  string
	loops         sync.WaitGroup
	stopLoops     context.CancelFunc
	flushTraces   func(context.Context) error
	// drainContext bounds Node.Drain; if nil, the context of the stop hook does.
	drainContext context.Context
	// CutRequests is the number of requests that the stop cut off.
	CutRequests int
}

func newProcess(n *Node, c *caller.Server, o *operator.Server) *Process {
	return &Process{node: n, caller: c, operator: o}
}

// CallerAddress returns host:port of the listener for callers.
func (p *Process) CallerAddress() string { return p.callerAddress }

// OperatorAddress returns host:port of the listener for operators.
func (p *Process) OperatorAddress() string { return p.operatorAddr }

// PeerAddress returns host:port of the listener for peers.
func (p *Process) PeerAddress() string { return p.peerServer.Address() }

func (p *Process) start(context.Context) error {
	gin.SetMode(gin.ReleaseMode)
	s := p.node.settings
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Limits.MemoryMB<<20)))
	var err error
	if p.flushTraces, err = telemetry.SetupTraces(s.Trace, p.node.incarnation); err != nil {
		return trace.Wrap(err)
	}
	tlsServer, tlsClient, err := loadTLS(s.TLS)
	if err != nil {
		return trace.Wrap(err)
	}
	p.node.peerClient.SetTLS(tlsClient)
	if p.peerServer, err = peer.Listen(s.PeerListen, tlsServer, p.node, peerLimits(s.Limits)); err != nil {
		return trace.Wrap(err)
	}
	options, buffers := p.node.callerListener()
	callerListener, err := listen(s.CallerListen, s.TLS, options, buffers)
	if err != nil {
		return trace.Wrap(err)
	}
	options, buffers = p.node.operatorListener()
	operatorListener, err := listen(s.OperatorListen, s.TLS, options, buffers)
	if err != nil {
		return trace.Wrap(err)
	}
	p.callerAddress = callerListener.Addr().String()
	p.operatorAddr = operatorListener.Addr().String()
	p.setAddresses(s)
	p.callerHTTP = serve(callerListener, p.caller.Handler())
	p.operatorHTTP = serve(operatorListener, p.operator.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	p.stopLoops = cancel
	p.loops.Go(func() { p.node.Run(ctx) })
	p.publishMetrics()
	slog.Info("daemon.started", "incarnation", p.node.incarnation, "site", s.Site, "failure_domain", s.FailureDomain,
		"caller", p.callerAddress, "operator", p.operatorAddr, "peer", p.peerServer.Address(), "pid", os.Getpid())
	return nil
}

// setAddresses sets the addresses that peers and callers use, from the settings
// or else from the listeners.
func (p *Process) setAddresses(s settings.Settings) {
	scheme := "http://"
	if s.TLS.Enabled() {
		scheme = "https://"
	}
	p.node.callerURL = s.CallerURL
	if p.node.callerURL == "" {
		p.node.callerURL = scheme + p.callerAddress
	}
	p.node.registry.SetSelf(func(d *member.Daemon) {
		d.PeerAddress = s.PeerAddress
		if d.PeerAddress == "" {
			d.PeerAddress = p.peerServer.Address()
		}
	})
}

func (p *Process) stop(ctx context.Context) error {
	drainCtx := p.drainContext
	if drainCtx == nil {
		drainCtx = ctx
	}
	p.CutRequests = p.node.Drain(drainCtx)
	uncanceled := context.WithoutCancel(ctx)
	const closeTimeout = 5 * time.Second
	httpCtx, cancel := context.WithTimeout(uncanceled, closeTimeout)
	defer cancel()
	if err := p.callerHTTP.Shutdown(httpCtx); err != nil {
		p.callerHTTP.Close()
	}
	p.operatorHTTP.Close()
	p.stopLoops()
	p.loops.Wait()
	p.node.baseStop()
	p.peerServer.Close()
	p.node.peerClient.Close()
	p.node.upstreamClient.Close()
	err := p.flushTraces(uncanceled)
	slog.Info("daemon.stopped", "incarnation", p.node.incarnation, "cut", p.CutRequests)
	return trace.Wrap(err)
}

// publishMetrics adds the daemon's metrics to /debug/vars.
func (p *Process) publishMetrics() {
	n := p.node
	telemetry.Publish("hornbeamsill", func() any { return n.Metrics() })
}

// Metrics are the daemon's values in /debug/vars.
type Metrics struct {
	Generation   int64          `json:"config_generation"`
	ConfirmedMS  int64          `json:"config_confirmed_ms"`
	Running      int            `json:"requests_running"`
	Waiting      map[string]int `json:"requests_waiting"`
	BillsPending int            `json:"bills_pending"`
	BillsHeld    int            `json:"bills_held"`
	Keys         int            `json:"idempotency_keys"`
	KeysRefused  int64          `json:"idempotency_keys_refused"`
	Daemons      int            `json:"daemons_live"`
	RatingSeq    int64          `json:"rating_seq"`
	Goroutines   int            `json:"goroutines"`
	// Closed and OperatorsClosed have the connections of callers and operators that this daemon closed, and
	// BodiesRefused is the number of bodies for which there was no memory.
	Closed          httplisten.Vars `json:"connections_closed"`
	OperatorsClosed httplisten.Vars `json:"operator_connections_closed"`
	BodiesRefused   int64           `json:"bodies_refused"`
}

// Metrics returns the current values for /debug/vars.
func (n *Node) Metrics() Metrics {
	return Metrics{
		Generation:   n.follower.Generation(),
		ConfirmedMS:  n.confirmedMS(),
		Running:      n.answers.Running(),
		Waiting:      n.dispatcher.QueueLengths(),
		BillsPending: n.ledger.Pending(),
		BillsHeld:    n.replicas.Len(),
		Keys:         n.claims.Len(),
		KeysRefused:  n.claims.Refused.Load(),
		Daemons:      len(n.registry.Live()),
		RatingSeq:    n.ratings.Seq(),
		Goroutines:   runtime.NumGoroutine(),

		Closed: n.clients.callers.Vars(), OperatorsClosed: n.clients.operators.Vars(), BodiesRefused: n.clients.bodies.Load(),
	}
}

var _ caller.Reader = (*answer.Answer)(nil)
