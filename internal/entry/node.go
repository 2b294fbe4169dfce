// Package entry is the daemon that serves plain HTTP callers on a platform that
// holds the operator's declarations: it follows the declarations and the list
// of upstream instances, knows its peers, tells callers which daemons to use,
// and takes its turn at moving services to new versions.
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
	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/evacuation"
	"github.com/hornbeamsill/hornbeamsill/internal/forward"
	"github.com/hornbeamsill/hornbeamsill/internal/ident"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

const (
	// watchedPeers and randomPeers are how many peers get each heartbeat. In a
	// fleet of up to seven every daemon hears of a leaving one directly.
	ringTargets   = 2
	randomTargets = 4
	// newsPerBeat bounds the news of daemons in one heartbeat.
	maxUpdatesPerHeartbeat = 16
	// newsRepeats is two thirds of what reaches all daemons with high
	// probability: one that missed something sees it by the digest in its peers'
	// heartbeats. With fewer, daemons that start at once know too few of each other
	// for some rounds, and take more than their share of the budget of repeats.
	retransmitFactor = 2
	// forgetDaemons is how long daemons that are gone are remembered, so that
	// late news of them is not taken for new.
	forgetAfter = 60 * time.Second
	// bodyShare is the part of the memory for request bodies.
	bodyMemoryDivisor = 8
)

// Node is one daemon.
type Node struct {
	settings settings.Routes
	clock    clockwork.Clock
	store    *platform.Store
	// kv has this product's own rows of the store.
	kv backing.Table

	registry *member.Registry
	table    *inventory.Table
	rollouts *shift.Tracker
	pool     *upconn.Pool
	retries  *limit.FleetRetryBudget
	metrics  *forward.Metrics
	handler  *forward.Handler
	peers    *peer.Client
	duties   *rolloutDuties

	// current is the configuration in force; manifest is its encoded form.
	configMu sync.Mutex
	current  atomic.Pointer[catalog.Catalog]
	manifest []byte

	// seeds are peer addresses from the settings.
	seeds atomic.Pointer[[]string]
	// started is when this daemon began to look for peers. Only the heartbeat
	// loop uses it.
	lastPeerSearch time.Time
	// startedAt is when this daemon started.
	startedAt time.Time
	// callerAddress is where callers reach this daemon.
	callerAddress string
	// ready is closed once this daemon can serve.
	ready     chan struct{}
	readyOnce sync.Once
	// kick asks for a heartbeat round at once.
	heartbeatNow chan struct{}
	// leaving is set when a planned stop begins, at leavingSince.
	leaving      atomic.Bool
	leavingSince atomic.Pointer[time.Time]
	// work is what this daemon, as a reader, knows of the work of others, and
	// prompts which upstream instances hold which parts of prompts.
	workTotals *workTotals
	prefixes   *inventory.PrefixIndex
	// quarantine refuses the requests that crash upstream instances.
	quarantine *quarantineManager
	// evacuations are the operator's orders about failure domains.
	evacuations *evacuation.Registry
	// fresh is how new the operator's rows are, and question the one for newer ones
	// that the store holds.
	freshness    freshness
	operatorPoll longPoll
	// behind is set when a peer told of operator's rows that this daemon has
	// not got.
	behind atomic.Bool
	// lostHistory asks for all of the operator's rows, which were last read at
	// readWholeAt. Only watchOperator uses them.
	wholeReadDue  bool
	lastWholeRead time.Time
	// doubts are those that readers told of the list.
	readerGrace readerGrace
	// settling is on after the store has come back from an older copy.
	staleWindow staleWindow
	// contact is when the store last answered and when it last did not.
	storeHealth storeHealth

	missedMu         sync.Mutex
	missedHeartbeats map[string]int
}

// NewNode builds a daemon. It does nothing until its loops run.
func NewNode(s settings.Routes, clock clockwork.Clock, store *platform.Store, codec platform.Headers) *Node {
	n := &Node{
		settings: s, clock: clock, store: store, kv: platform.Table{Store: store},
		table: inventory.NewTable(clock), prefixes: inventory.NewPrefixIndex(clock), pool: upconn.NewPool(), metrics: forward.NewMetrics(),
		evacuations:    evacuation.NewRegistry(clock),
		lastPeerSearch: clock.Now(), startedAt: clock.Now(), workTotals: newWorkTotals(), peers: peer.NewClient(nil), heartbeatNow: make(chan struct{}, 1), ready: make(chan struct{}), missedHeartbeats: map[string]int{},
	}
	incarnation := ident.NewIncarnation()
	n.registry = member.NewRegistry(member.Daemon{
		Incarnation: incarnation, PeerAddress: s.PeerListen, FailureDomain: s.FailureDomain, Site: s.Site,
		LinkMbps: s.LinkMbps,
	}, clock, member.Options{
		RingTargets: ringTargets, RandomTargets: randomTargets, MaxUpdates: maxUpdatesPerHeartbeat, RetransmitFactor: retransmitFactor, ForgetAfter: forgetAfter,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.rollouts = shift.NewTracker(clock, settings.Seconds(s.SessionS), shift.ExposureLimit(s.ExposureShare), n.table.InFlight)
	n.seeds.Store(&s.Seeds)
	n.retries = limit.NewFleetRetryBudget(retryPolicy(s), clock, n.senderCount)
	n.quarantine = newQuarantineManager(n)
	n.handler = forward.New(forward.Deps{
		Codec: codec, Catalog: n.servableConfig, AwaitReady: n.awaitReady, ReadyIn: n.readyRetryAfter, Table: n.table, Prompts: n.prefixes, Pool: n.pool, Versions: n.rollouts,
		Quarantine: n.quarantine, SpreadNews: n.requestHeartbeat, RefusesStreams: n.refusesStreams, Retries: n.retries, FailureDomain: s.FailureDomain, Sharers: n.senderCount, Metrics: n.metrics,
		BodyBytes: limit.NewByteBudget(s.MemoryMB << 20 / bodyMemoryDivisor),
	})
	n.duties = newRolloutDuties(n)
	store.OnRestore(n.onStoreRestored)
	return n
}

// sharers is the number of daemons that may send to upstream instances. Those
// that are leaving or not heard of lately may still do so.
func (n *Node) senderCount() int {
	count := 0
	for _, d := range n.registry.All() {
		if d.State != member.Left {
			count++
		}
	}
	return max(count, 1)
}

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool {
	return n.servableConfig() != nil && n.table.Revision() > 0 && !n.leaving.Load()
}

const (
	// startTime is how long a daemon takes from its start until it can serve,
	// when store or peers answer.
	startupTime = 300 * time.Millisecond
	// awayTime is when callers return to a daemon that has nothing to start from
	// because the store does not answer. Callers come back once or twice only,
	// and outages of the store last seconds.
	storeLostRetryAfter = 2 * time.Second
)

// awaitReady waits until this daemon can serve, at most for the time that it takes
// after a start when the store answers.
//
// A caller whose daemons were all killed finds the first one that is back some
// milliseconds before it has read the configuration. Told to come back it had used its
// last try; held for these milliseconds it is served.
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

// readyIn is when a daemon that knows no configuration likely has one.
func (n *Node) readyRetryAfter() time.Duration {
	if n.storeHealth.isLost() {
		return storeLostRetryAfter
	}
	return startupTime
}

// install puts a configuration in force unless a newer one is.
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

// limits are the declared bounds on callers; none are zero.
func (n *Node) limits() catalog.Limits {
	if c := n.current.Load(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// configVersion is the version in force, 0 before the first.
func (n *Node) configVersion() int64 {
	if c := n.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// offer tells the peers where callers reach this daemon, once it is ready.
func (n *Node) publishCallerURL() {
	if n.registry.Self().CallerURL != "" || !n.Ready() {
		return
	}
	n.registry.SetSelf(func(d *member.Daemon) {
		d.CallerURL = n.callerAddress
		// A higher version makes the news replace what others know.
		d.Version++
	})
	n.readyOnce.Do(func() { close(n.ready) })
	slog.Info("daemon.offered", "address", n.callerAddress, "config", n.configVersion(), "list", n.table.Revision())
	n.requestHeartbeat()
}

// entries returns the daemons for a caller, those of its failure domain first:
// of a large fleet an answer has no room for all.
func (n *Node) entries(_, failureDomain string) []string {
	var near, far []string
	for _, d := range n.registry.Live() {
		switch {
		case d.CallerURL == "":
		case d.FailureDomain == failureDomain:
			near = append(near, d.CallerURL)
		default:
			far = append(far, d.CallerURL)
		}
	}
	return append(near, far...)
}

// Run runs the loops until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.watchOperator, n.watchInstances, n.heartbeatLoop, n.duties.run, n.cleanupLoop, n.announce, n.workLoop,
		n.quarantine.reportLoop, n.quarantine.judgeLoop, n.quarantine.saveLoop, n.quarantine.loadLoop,
	} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// tidyInterval is the time between two rounds of forgetting.
const cleanupInterval = 500 * time.Millisecond

// tidyLoop forgets what has lapsed and closes what is not needed.
func (n *Node) cleanupLoop(ctx context.Context) {
	for n.sleep(ctx, cleanupInterval) {
		n.table.Expire()
		n.rollouts.ExpireSessions()
		n.registry.RemoveExpired()
		n.quarantine.list.Expire()
		addresses := n.table.Addresses()
		n.pool.Sweep(func(address string) bool { return addresses[address] })
	}
}

// pause waits, and reports whether ctx still runs.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
		return true
	}
}
