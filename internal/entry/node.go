// Package entry is the daemon that serves plain HTTP callers on a platform that holds the
// operator's declarations. It follows the declarations and the list of upstream instances,
// exchanges state with its peers, serves the directory from which callers choose daemons, and
// takes part in moving services to new versions.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/endings"
	"github.com/hornbeamsill/hornbeamsill/internal/evacuation"
	"github.com/hornbeamsill/hornbeamsill/internal/forward"
	"github.com/hornbeamsill/hornbeamsill/internal/httplisten"
	"github.com/hornbeamsill/hornbeamsill/internal/ident"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

const (
	// ringTargets and randomTargets are how many peers get each heartbeat. With them every
	// daemon of a fleet of up to seven learns directly that another one is leaving.
	ringTargets   = 2
	randomTargets = 4
	// maxUpdatesPerHeartbeat limits the membership updates in one heartbeat.
	maxUpdatesPerHeartbeat = 64
	// retransmitFactor is two thirds of the value that reaches all daemons with high
	// probability. A daemon that missed an update notices it by the digest in its peers'
	// heartbeats. With a lower factor, daemons that start together know too few of each other
	// for some rounds and use more than their share of the retry budget.
	retransmitFactor = 2
	// forgetAfter is how long daemons that have left are remembered, so that late updates
	// about them do not count as new.
	forgetAfter = 60 * time.Second
	// bodyMemoryDivisor is the divisor of the memory that gives the budget for request bodies, and
	// heldMemoryDivisor for that of buffered answers, and where overload.Policy.SlowCallers applies that for
	// all bytes held for callers and instances.
	bodyMemoryDivisor = 3
	heldMemoryDivisor = 8
)

// Node is one daemon.
type Node struct {
	settings settings.Routes
	clock    clockwork.Clock
	store    *platform.Store
	// kv is the table with this product's own rows in the store.
	kv backing.Table

	registry *member.Registry
	table    *inventory.Table
	rollouts *shift.Tracker
	pool     *upconn.Pool
	retries  *limit.FleetRetryBudget
	metrics  *forward.Metrics
	// held is the budget of the bytes held for callers and instances.
	held    *limit.HeldBytes
	handler *forward.Handler
	peers   *peer.Client
	duties  *rolloutDuties
	// paths knows from which services this daemon is cut off, and gateway carries the tunnels of other
	// daemons that are.
	paths   *pathManager
	gateway *peer.Gateway
	// outbound bounds the calls of other daemons that need connections of this one.
	outbound *outboundCalls

	// current is the configuration in force, and manifest its encoded form.
	configMu sync.Mutex
	current  atomic.Pointer[catalog.Catalog]
	manifest []byte
	// decodeMu is held while a configuration from a peer is decoded and put in force. It is taken
	// before configMu.
	decodeMu       sync.Mutex
	newerConfig    newerConfig
	packed         packedConfig
	configTransfer configTransfer

	// seeds are the peer addresses from the settings, which can change at run time.
	seeds atomic.Pointer[[]string]
	// lastPeerSearch is when this daemon started or last searched the store for peers. Only
	// the heartbeat loop uses it.
	lastPeerSearch time.Time
	// startedAt is when this daemon started.
	startedAt time.Time
	// loggedLive is the number of live daemons that was logged last. Only cleanupLoop uses it.
	loggedLive int
	// callerAddress is the address of the listener for callers.
	callerAddress string
	// ready is closed once this daemon can serve requests.
	ready     chan struct{}
	readyOnce sync.Once
	// heartbeatNow triggers a round of heartbeats.
	heartbeatNow chan struct{}
	// leaving is set when a planned stop begins, at leavingSince.
	leaving      atomic.Bool
	leavingSince atomic.Pointer[time.Time]
	// workTotals adds up the outstanding work of daemons while this daemon is the first reader
	// of its group. prefixes tracks which upstream instances have which prompt prefixes cached.
	workTotals *workTotals
	prefixes   *inventory.PrefixIndex
	codec      platform.HeaderCodec
	// quarantine refuses requests that crash upstream instances.
	quarantine *quarantineManager
	endings    endingsLog
	// overload decides which parts of the handling of overload apply.
	overload *overload.Policy
	// meter counts the work of this daemon, and account holds that of all daemons, which usage
	// exchanges.
	meter   *capacity.Meter
	account *capacity.Account
	usage   *usageExchange
	// terms puts the terms of organisations in force.
	terms *termsManager
	// evacuations are the operator's orders to evacuate failure domains.
	evacuations *evacuation.Registry
	// freshness tracks how new this daemon's operator rows are, and operatorPoll is the long
	// poll for newer ones.
	freshness    freshness
	operatorPoll longPoll
	// behind is set when a peer has operator rows that this daemon lacks.
	behind atomic.Bool
	// wholeReadDue requests a read of all operator rows, which were last read in full at
	// lastWholeRead. Only watchOperator uses them.
	wholeReadDue  bool
	lastWholeRead time.Time
	// readerGrace tracks the grace periods of readers for entries missing from the list.
	readerGrace readerGrace
	// staleWindow is open after the store has been restored from an older backup.
	staleWindow staleWindow
	// storeHealth tracks when the store last answered and last failed.
	storeHealth storeHealth
	// startup is the state of a daemon that has just started. survey is what it learns from engines,
	// which engines asks.
	startup *startup
	survey  *survey
	engines *platform.Engines
	// directory is the state of the directory's answers by weight.
	directory directory
	// listTransfer is the list that is being fetched from peers.
	listTransfer listTransfer
	// relayQueue contains the updates to relay to the group, and readerCache the readers of
	// groups.
	relayQueue  chan peer.StoreUpdate
	readerCache readerCache
	// relayedConfig is the highest revision of the operator's rows that this daemon has relayed
	// together with a configuration.
	relayedConfig atomic.Int64

	// membersFetchedAt is when this daemon last fetched all daemons from a peer, in Unix
	// nanoseconds.
	membersFetchedAt atomic.Int64

	missedMu         sync.Mutex
	missedHeartbeats map[string]int
}

// NewNode builds a daemon that connects to upstream instances with dialer. It does nothing until Run
// is called.
func NewNode(s settings.Routes, clock clockwork.Clock, store *platform.Store, codec platform.HeaderCodec, dialer upconn.Dialer) *Node {
	n := &Node{
		settings: s, clock: clock, codec: codec, store: store, kv: platform.Table{Store: store},
		table: inventory.NewTable(clock), prefixes: inventory.NewPrefixIndex(clock), metrics: forward.NewMetrics(),
		evacuations: evacuation.NewRegistry(clock),
		startup:     newStartup(clock), survey: &survey{book: newSurveyBook()}, engines: platform.NewEngines(), relayQueue: make(chan peer.StoreUpdate, maxRelayQueue),
		lastPeerSearch: clock.Now(), startedAt: clock.Now(), workTotals: newWorkTotals(), peers: peer.NewClient(nil), heartbeatNow: make(chan struct{}, 1), ready: make(chan struct{}), missedHeartbeats: map[string]int{},
	}
	incarnation := ident.NewIncarnation()
	n.registry = member.NewRegistry(member.Daemon{
		Incarnation: incarnation, PeerAddress: s.PeerListen, FailureDomain: s.FailureDomain, Site: s.Site,
		LinkMbps: s.LinkMbps, CPUShare: s.CPUShare, MemoryMB: s.MemoryMB, Started: clock.Now().UnixMilli(),
	}, clock, member.Options{
		RingTargets: ringTargets, RandomTargets: randomTargets, MaxUpdates: maxUpdatesPerHeartbeat, RetransmitFactor: retransmitFactor, ForgetAfter: forgetAfter,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.rollouts = shift.NewTracker(clock, settings.Seconds(s.SessionS), exposureLimit(s), n.table.InFlight)
	n.seeds.Store(&s.Seeds)
	if len(s.Seeds) == 0 {
		n.startup.skipContact()
	}
	n.overload = overload.NewPolicy(s.Overload, platform.IsContended(s.Contracts), n.table)
	n.meter = capacity.NewMeter(clock, n.overload.CountsUsage)
	n.account = capacity.NewAccount(clock, n.meter, n.overload.FairShares)
	n.terms = newTermsManager(n)
	n.usage = newUsageExchange()
	n.retries = limit.NewFleetRetryBudget(retryPolicy(s), clock, n.senderCount)
	n.paths = newPathManager(n)
	n.pool = upconn.NewPool(dialer, n.paths)
	n.gateway = peer.NewGateway(tunnelLimit(s), n)
	n.outbound = newOutboundCalls(s.Descriptors)
	n.quarantine = newQuarantineManager(n)
	n.endings = endingsLog{Log: endings.NewLog(clock), node: n}
	bodyMemory, heldMemory := s.MemoryMB<<20/bodyMemoryDivisor, s.MemoryMB<<20/heldMemoryDivisor
	n.held = limit.NewHeldBytes(heldMemory)
	n.handler = forward.New(forward.Deps{
		Codec: codec, Catalog: n.servableConfig, IsCurrent: n.configIsCurrent, AwaitNewer: n.awaitNewerConfig, AwaitReady: n.awaitReady, ReadyIn: n.readyRetryAfter, Table: n.table, Prompts: n.prefixes, Pool: n.pool, Paths: n.paths, Versions: n.rollouts,
		Quarantine: n.quarantine, Endings: n.endings, CallerLeft: httplisten.ClientLeft, NotifyPeers: n.requestHeartbeat, RefusesLate: n.refusesLate, IsLeaving: n.leaving.Load, Retries: n.retries, FailureDomain: s.FailureDomain, DaemonCount: n.senderCount, Metrics: n.metrics, Overload: n.overload,
		Meter: n.meter, Account: n.account,
		BodyBytes: limit.NewByteBudget(bodyMemory), AnswerBytes: limit.NewByteBudget(heldMemory), Held: n.held,
	})
	n.table.SetRanks(func(instance string) (int, int) { return n.registry.RankAmongPresent("quota/" + instance) })
	n.duties = newRolloutDuties(n)
	store.OnRestore(n.onStoreRestored)
	return n
}

func exposureLimit(s settings.Routes) shift.ExposureLimit {
	return shift.ExposureLimit{Share: s.ExposureShare, Slack: s.ExposureSlack}
}

// senderCount returns the number of daemons that may send requests to upstream instances. This
// includes daemons that are leaving or suspected.
func (n *Node) senderCount() int { return max(n.registry.PresentCount(), 1) }

// Ready reports whether callers may be sent to this daemon.
func (n *Node) Ready() bool {
	return n.servableConfig() != nil && n.table.Revision() > 0 && !n.leaving.Load()
}

const (
	// startupTime is how long a daemon needs after its start to become ready if the store or
	// peers answer.
	startupTime = 300 * time.Millisecond
	// storeLostRetryAfter is the Retry-After of a daemon that cannot start because the store
	// does not answer. Callers retry only once or twice, and outages of the store last
	// seconds.
	storeLostRetryAfter = 2 * time.Second
)

// awaitReady waits until this daemon can serve requests, for at most startupTime. It returns
// at once if the store does not answer.
//
// After all daemons of a caller were killed, the first one that is back may get a request some
// milliseconds before it has read the configuration. If it refused the request, the caller
// would have used its last attempt.
func (n *Node) awaitReady(ctx context.Context) {
	if n.storeHealth.isLost() {
		return
	}
	select {
	case <-n.ready:
	case <-n.clock.After(startupTime):
	case <-ctx.Done():
	}
}

// readyRetryAfter returns the Retry-After of a daemon without a configuration: the time after
// which it will likely have one.
func (n *Node) readyRetryAfter() time.Duration {
	if n.storeHealth.isLost() {
		return storeLostRetryAfter
	}
	return startupTime
}

// installConfig puts a configuration in force unless it is not newer than the current one.
func (n *Node) installConfig(c *catalog.Catalog, manifest []byte, source string) {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	if old := n.current.Load(); old != nil && old.Version >= c.Version {
		return
	}
	n.manifest = manifest
	n.current.Store(c)
	n.table.SetWarmUps(c.WarmUps(), n.budgetShare)
	slog.Info("config.in_force", "version", c.Version, "routes", c.RouteCount(), "source", source)
}

// limits returns the declared limits for callers, all zero without a configuration.
func (n *Node) limits() catalog.Limits {
	if c := n.current.Load(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// configVersion returns the version in force, or 0 if there is none.
func (n *Node) configVersion() int64 {
	if c := n.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// publishCallerURL publishes the address for callers to the peers once this daemon is ready.
func (n *Node) publishCallerURL() {
	if n.registry.Self().CallerURL != "" || !n.Ready() {
		return
	}
	n.registry.SetSelf(func(d *member.Daemon) {
		d.CallerURL = n.callerAddress
		// The higher version makes the entry replace the one that peers have.
		d.Version++
	})
	n.readyOnce.Do(func() { close(n.ready) })
	slog.Info("daemon.offered", "address", n.callerAddress, "config", n.configVersion(), "list", n.table.Revision())
	n.requestHeartbeat()
}

// directoryAddresses returns the addresses for callers of the serving daemons, those in the
// caller's failure domain first: an answer cannot list all daemons of a large fleet.
func (n *Node) directoryAddresses(_, failureDomain string) []string {
	if n.overload.DirectoryWeights() {
		return n.weightedAddresses(failureDomain)
	}
	var near, far []string
	for _, d := range servingDaemons(n.registry.Live()) {
		if d.FailureDomain == failureDomain {
			near = append(near, d.CallerURL)
		} else {
			far = append(far, d.CallerURL)
		}
	}
	return append(near, far...)
}

// Run runs the loops until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.watchOperator, n.watchInstances, n.heartbeatLoop, n.duties.run, n.cleanupLoop, n.announce, n.workLoop, n.relayLoop, n.paths.loop, n.surveyLoop, n.latenessLoop,
		n.quarantine.reportLoop, n.quarantine.judgeLoop, n.quarantine.saveLoop, n.quarantine.loadLoop,
		n.terms.readLoop, n.terms.relayLoop,
	} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// cleanupInterval is the interval at which expired state is removed.
const cleanupInterval = 500 * time.Millisecond

// peerIdleTimeout is how long a connection to a peer is kept without a call. Heartbeats to a
// neighbour come more often.
const peerIdleTimeout = 5 * time.Second

// logMembership logs the number of live daemons if it has changed. The many changes that arrive
// while a large fleet starts share one line.
func (n *Node) logMembership() {
	if live := n.registry.LiveCount(); live != n.loggedLive {
		n.loggedLive = live
		slog.Info("daemons.changed", "live", live)
	}
}

// cleanupLoop removes expired state and closes unused connections.
func (n *Node) cleanupLoop(ctx context.Context) {
	for n.sleep(ctx, cleanupInterval) {
		n.table.Expire()
		n.rollouts.ExpireSessions()
		n.registry.RemoveExpired()
		n.quarantine.list.Expire()
		n.survey.book.expire(n.clock.Now())
		n.terms.refresh()
		n.pool.Sweep(n.table.HasAddress)
		n.peers.CloseIdle(peerIdleTimeout)
		n.logMembership()
	}
}

// sleep waits for d and returns false if ctx ends first.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
		return true
	}
}
