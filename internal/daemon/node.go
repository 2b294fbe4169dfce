// Package daemon assembles hornbeamsilld. It builds the tables and services of
// one daemon, runs the loops that update them, handles the requests of peers,
// and performs the planned stop.
package daemon

import (
	"context"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/dispatch"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ident"
	"github.com/hornbeamsill/hornbeamsill/internal/lease"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/rollout"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// Limits on the calls of all daemons together to the platform, in calls per
// second.
const (
	headReadsPerSecond   = 200
	listReadsPerSecond   = 100
	commitsPerSecond     = 150
	ratingReadsPerSecond = 50
	keyReadsPerSecond    = 20
)

// headListsPerSecond limits how often all daemons together list the heads of
// all ledger logs. A list gets longer with the number of daemons.
const headListsPerSecond = 100

// creditRequestsPerSecond limits the credit requests of all daemons together to
// the lease holder of a roll-out.
const creditRequestsPerSecond = 200

// Node is one daemon.
type Node struct {
	settings    settings.Settings
	clock       clockwork.Clock
	incarnation string
	platform    backing.Platform
	clients     clientMetrics

	registry       *member.Registry
	upstreams      *member.Upstreams
	reachability   *reachability
	freshness      *freshness
	follower       *config.Follower
	config         *config.Store
	keys           *session.Keyring
	signer         *session.Signer
	answers        *answer.Store
	claims         *claim.Table
	resolver       *claim.Resolver
	ledger         *ledger.Ledger
	replicas       *ledger.ReplicaStore
	limits         *limit.OrganisationLimiter
	allocator      *limit.Allocator
	ratings        *rating.Counter
	credits        *rollout.DaemonCredits
	controller     *rollout.Controller
	dispatcher     *dispatch.Dispatcher
	upstreamClient *upstream.Client
	peerClient     *peer.Client
	requests       *ident.Requests

	// heartbeatTrigger starts a heartbeat round without waiting for the interval.
	heartbeatTrigger chan struct{}
	// instances is the last list of instances. seeds are the peer addresses from
	// such lists and from the settings.
	instancesMu sync.Mutex
	instances   []backing.Instance
	seeds       map[string]bool
	// callerURL is announced to other daemons once this daemon is ready.
	callerURL string
	// upstreamsPolled is set after the first load reports were requested.
	upstreamsPolled atomic.Bool
	// missedHeartbeats counts consecutive unanswered heartbeats by incarnation.
	missedMu         sync.Mutex
	missedHeartbeats map[string]int

	// claimSweepCursor and changeSweepCursor are the keys after which the next
	// sweeps start. Only archiveAndSweep uses them.
	claimSweepCursor, changeSweepCursor string

	// lastSync is when this daemon last requested the whole membership table of a
	// peer.
	lastSyncMu sync.Mutex
	lastSync   time.Time

	// leaving is set when a planned stop begins, refusing when the daemon starts
	// to reject new work.
	leaving  atomic.Bool
	refusing atomic.Bool
	// base is the context of work that continues after the caller's connection is
	// closed. It is canceled when the daemon stops.
	base     context.Context
	baseStop context.CancelFunc
}

// NewNode returns a daemon. It is passive until Run is called.
func NewNode(s settings.Settings, p backing.Platform, clock clockwork.Clock) *Node {
	n := &Node{
		settings:         s,
		clock:            clock,
		incarnation:      ident.NewIncarnation(),
		platform:         p,
		heartbeatTrigger: make(chan struct{}, 1),
		seeds:            map[string]bool{},
		missedHeartbeats: map[string]int{},
	}
	n.base, n.baseStop = context.WithCancel(context.Background())
	for _, address := range s.Peers {
		n.seeds[address] = true
	}
	n.buildTables()
	n.buildServices()
	return n
}

// randomSeed returns a hash of the incarnation as seed for random sources.
func (n *Node) randomSeed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.incarnation))
	return h.Sum64()
}

func (n *Node) buildTables() {
	s := n.settings
	n.registry = member.NewRegistry(member.Daemon{
		Incarnation:   n.incarnation,
		FailureDomain: s.FailureDomain,
		Site:          s.Site,
	}, n.clock, member.Options{
		RingTargets: 2, RandomTargets: 2, MaxUpdates: 16, RetransmitFactor: 3, ForgetAfter: 2 * claim.Lifetime,
	}, rand.New(rand.NewPCG(n.randomSeed(), 1)))
	n.config = config.NewStore(n.platform, n.clock.Now)
	n.follower = config.NewFollower(s.Site, n.config, n.clock)
	n.upstreams = member.NewUpstreams(n.clock, n.upstreamPolicy)
	n.reachability = newReachability(n.clock)
	n.keys = session.NewKeyring(n.platform, n.clock)
	n.signer = session.NewSigner(n.keys, n.clock, settings.MS(s.Timing.SessionMS))
	n.answers = answer.NewStore(n.clock, answer.Limits{
		Retention: settings.MS(s.Timing.AnswerRetentionMS),
		Bytes:     s.Limits.AnswerBytes,
	})
	n.claims = claim.NewTable(n.incarnation, n.clock, s.Limits.MemoryMB<<20/keyDivisor)
	n.limits = limit.NewOrganisationLimiter(n.clock, n.siteDaemonCount)
	n.allocator = limit.NewAllocator(n.clock, n.siteDaemonCount)
	n.ratings = rating.NewCounter()
	n.credits = rollout.NewDaemonCredits(n.clock)
	n.requests = ident.NewRequests(n.incarnation)
}

// upstreamPolicy returns the policy of the active configuration, or the zero
// policy before there is one.
func (n *Node) upstreamPolicy() config.UpstreamPolicy {
	if snapshot := n.follower.Current(); snapshot != nil {
		return snapshot.Doc.Upstreams
	}
	return config.UpstreamPolicy{}
}

// siteDaemonCount returns the number of daemons of this site among which its
// limits are divided, at least 1. Leaving and suspect daemons count because
// they may still serve callers.
func (n *Node) siteDaemonCount() int {
	count := 0
	for _, d := range n.registry.All() {
		if d.Site == n.settings.Site && d.State != member.Left {
			count++
		}
	}
	return max(count, 1)
}

func (n *Node) buildServices() {
	t := n.settings.Timing
	n.upstreamClient = upstream.NewClient(time.Second)
	n.peerClient = peer.NewClient(nil)
	n.freshness = &freshness{
		follower:     n.follower,
		reachability: n.reachability,
		refresh:      n.follower.Refresh,
		anySuspect:   n.anySuspect,
		maxAge:       settings.MS(t.FreshMS),
		refuseAge:    settings.MS(t.RefuseMS),
	}
	n.resolver = claim.NewResolver(n.incarnation, n.claims, n.platform,
		&keyTaker{self: n.incarnation, registry: n.registry, client: n.peerClient, claims: n.claims}, n.clock)
	n.ledger = ledger.New(n.incarnation, n.platform, newReplicator(n.registry, n.peerClient), n.clock, ledger.Options{
		CommitInterval: func() time.Duration {
			return backing.CallInterval(len(n.registry.Live()), commitsPerSecond, settings.MS(t.CommitMS))
		},
		MaxPending:         n.settings.Limits.MaxPendingBills,
		ReplicationTimeout: settings.MS(t.HoldMS),
	})
	n.replicas = ledger.NewReplicaStore(n.incarnation, n.platform, n.upstreamClient, n.clock)
	n.dispatcher = dispatch.New(dispatch.Deps{
		Site:          n.settings.Site,
		FailureDomain: n.settings.FailureDomain,
		Clock:         n.clock,
		ConfigSource:  n.freshness,
		Upstreams:     n.upstreams,
		Engines:       n.upstreamClient,
		Services:      n.upstreamClient,
		Billing:       n.ledger,
		Judge:         n.platform,
		Signer:        n.signer,
		Ratings:       n.ratings,
		Credits:       n.credits,
		Policy:        n.upstreamPolicy,
		Seed:          n.randomSeed(),
		AbandonGrace:  settings.MS(t.AbandonMS),
	})
	n.controller = rollout.NewController(rollout.Deps{
		Writer:   n.config,
		Orders:   n.upstreamClient,
		Clock:    n.clock,
		Snapshot: n.follower.Current,
		Evidence: n.evidence,
		Engines:  n.engineList,
		NewLease: func(name string) rollout.Lease {
			return lease.New(name, n.incarnation, settings.MS(t.LeaseMS), n.platform, n.clock)
		},
		Eligible: n.registry.RanksFirst,
		Table:    n.platform,
	})
}

// anySuspect reports whether any daemon is suspect.
func (n *Node) anySuspect() bool {
	for _, d := range n.registry.All() {
		if d.State == member.Suspect {
			return true
		}
	}
	return false
}

// evidence returns the rating counts of a version for each kind that has a
// quality target.
func (n *Node) evidence(snapshot *config.Snapshot, ref config.VersionRef) []rollout.Evidence {
	var out []rollout.Evidence
	for kind, count := range n.ratings.ByKind(ref) {
		target := snapshot.Doc.Kinds[kind].QualityTarget
		if target > 0 {
			out = append(out, rollout.Evidence{Good: count.Good, Bad: count.Bad, Target: target})
		}
	}
	return out
}

// engineList returns the usable engines with the versions that each one serves.
func (n *Node) engineList() []rollout.Engine {
	var out []rollout.Engine
	for _, u := range n.upstreams.Usable(backing.RoleEngine) {
		e := rollout.Engine{ID: u.Instance.ID, Address: u.Instance.Address, Serves: map[config.VersionRef]bool{}}
		for _, v := range u.Report.Versions {
			e.Serves[config.VersionRef{Model: v.Model, Version: v.Version}] = true
		}
		out = append(out, e)
	}
	return out
}

// TriggerHeartbeat starts a heartbeat round without waiting for the interval.
// It does not block; triggers that are pending at the same time start one round.
func (n *Node) TriggerHeartbeat() {
	select {
	case n.heartbeatTrigger <- struct{}{}:
	default:
	}
}

// OnConfigAccepted activates an accepted change at this daemon and triggers a
// heartbeat, which announces the new generation to the peers.
func (n *Node) OnConfigAccepted(ctx context.Context) {
	if err := n.follower.Refresh(ctx); err != nil {
		slog.Warn("config.refresh_failed", "error", err)
	}
	n.TriggerHeartbeat()
}

// Entries implements caller.Directory.
func (n *Node) Entries() ([]caller.Entry, time.Duration) {
	now := n.clock.Now()
	var out []caller.Entry
	for _, d := range n.registry.Live() {
		if d.Site != n.settings.Site || d.CallerURL == "" {
			continue
		}
		if d.Incarnation == n.incarnation && (n.leaving.Load() || n.Ready() != nil) {
			continue
		}
		out = append(out, caller.Entry{
			URL:           d.CallerURL,
			Instance:      d.Incarnation,
			FailureDomain: d.FailureDomain,
			KeyPrefix:     claim.Prefix(d.Incarnation, now),
		})
	}
	// At a large site each answer has a new random sample of the daemons, so that
	// callers are distributed over all of them.
	if maxEntries := n.settings.Limits.EntriesListed; len(out) > maxEntries {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxEntries]
	}
	return out, settings.MS(n.settings.Timing.EntriesTTLMS)
}

// Ready implements caller.Directory.
func (n *Node) Ready() error {
	switch {
	case n.leaving.Load():
		return fault.New(fault.Stopping, "this daemon is stopping")
	case n.follower.Current() == nil:
		return fault.New(fault.NotReady, "no configuration yet")
	case len(n.keys.Keys()) == 0:
		return fault.New(fault.NotReady, "no signing key yet")
	case !n.upstreamsPolled.Load():
		// A daemon that is listed in discovery before it knows any upstream
		// rejects its first requests.
		return fault.New(fault.NotReady, "no upstream is known yet")
	}
	return nil
}

// advertise sets the caller URL in this daemon's membership entry once it is
// ready. Daemons list only peers with a caller URL in discovery.
//
// Peers know a daemon from its first heartbeat, before it knows any upstream.
// If they listed it in discovery at that time, it would reject its first
// requests, and callers would see errors at each planned restart.
func (n *Node) advertise() {
	if n.registry.Self().CallerURL != "" || n.Ready() != nil {
		return
	}
	n.registry.SetSelf(func(d *member.Daemon) {
		d.CallerURL = n.callerURL
		// Peers replace their entry only with one of a higher version.
		d.Version++
	})
}

// CheckAccepting implements caller.Directory.
func (n *Node) CheckAccepting() error {
	if n.refusing.Load() {
		return fault.New(fault.Stopping, "this daemon is stopping; use another one")
	}
	return nil
}
