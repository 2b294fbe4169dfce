// Package daemon puts the parts of hornbeamsilld together: the tables, the
// loops that feed them, what peers ask of each other, and the planned stop.
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

// Budgets of the platform shared by all daemons, in calls per second.
const (
	headReadsPerSecond   = 200
	listReadsPerSecond   = 100
	commitsPerSecond     = 150
	ratingReadsPerSecond = 50
	keyReadsPerSecond    = 20
)

// headListsPerSecond, divided by the number of daemons, is how often one of them
// lists the heads of all logs, whose number grows with the daemons.
const headListsPerSecond = 100

// creditAsksPerSecond bounds the questions to the duty holder of a roll-out by
// all daemons together.
const creditAsksPerSecond = 200

// Node is one daemon.
type Node struct {
	settings    settings.Settings
	clock       clockwork.Clock
	incarnation string
	platform    backing.Platform

	registry   *member.Registry
	upstreams  *member.Upstreams
	contact    *contact
	fresh      *freshness
	follower   *config.Follower
	config     *config.Store
	keys       *session.Keyring
	signer     *session.Signer
	answers    *answer.Store
	claims     *claim.Table
	resolver   *claim.Resolver
	ledger     *ledger.Ledger
	holdings   *ledger.ReplicaStore
	limits     *limit.OrganisationLimiter
	allocator  *limit.Allocator
	ratings    *rating.Counter
	exposure   *rollout.DaemonCredits
	controller *rollout.Controller
	dispatcher *dispatch.Dispatcher
	engines    *upstream.Client
	peers      *peer.Client
	requests   *ident.Requests

	// kick asks for a heartbeat round at once.
	kick chan struct{}
	// list is the last list of instances, and seeds the peer addresses in it
	// and in the settings.
	listMu sync.Mutex
	list   []backing.Instance
	seeds  map[string]bool
	// callerURL is told to others once this daemon is ready.
	callerURL string
	// reported is set once the upstreams have been asked for their load.
	reported atomic.Bool
	// misses counts unanswered heartbeats by incarnation.
	missesMu sync.Mutex
	misses   map[string]int

	// claimCursor and changeCursor are where the sweeps of the table go on.
	// Only the tidy loop uses them.
	claimCursor, changeCursor string

	// synced is when whole tables of daemons were last exchanged.
	syncedMu sync.Mutex
	synced   time.Time

	// leaving is set when a planned stop begins, and refusing when new work
	// is no longer taken.
	leaving  atomic.Bool
	refusing atomic.Bool
	// base outlives connections; it ends when the daemon stops.
	base     context.Context
	baseStop context.CancelFunc
}

// NewNode builds a daemon. It does nothing until its loops run.
func NewNode(s settings.Settings, p backing.Platform, clock clockwork.Clock) *Node {
	n := &Node{
		settings:    s,
		clock:       clock,
		incarnation: ident.NewIncarnation(),
		platform:    p,
		kick:        make(chan struct{}, 1),
		seeds:       map[string]bool{},
		misses:      map[string]int{},
	}
	n.base, n.baseStop = context.WithCancel(context.Background())
	for _, address := range s.Peers {
		n.seeds[address] = true
	}
	n.buildTables()
	n.buildServices()
	return n
}

// seed derives a number for random sources from the incarnation.
func (n *Node) seed() uint64 {
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
	}, rand.New(rand.NewPCG(n.seed(), 1)))
	n.config = config.NewStore(n.platform, n.clock.Now)
	n.follower = config.NewFollower(s.Site, n.config, n.clock)
	n.upstreams = member.NewUpstreams(n.clock, n.upstreamPolicy)
	n.contact = newContact(n.clock)
	n.keys = session.NewKeyring(n.platform, n.clock)
	n.signer = session.NewSigner(n.keys, n.clock, settings.MS(s.Timing.SessionMS))
	n.answers = answer.NewStore(n.clock, answer.Limits{
		Retention: settings.MS(s.Timing.AnswerRetentionMS),
		Bytes:     s.Limits.AnswerBytes,
	})
	n.claims = claim.NewTable(n.incarnation, n.clock)
	n.limits = limit.NewOrganisationLimiter(n.clock, n.sharers)
	n.allocator = limit.NewAllocator(n.clock, n.sharers)
	n.ratings = rating.NewCounter()
	n.exposure = rollout.NewDaemonCredits(n.clock)
	n.requests = ident.NewRequests(n.incarnation)
}

// upstreamPolicy returns the policy in force.
func (n *Node) upstreamPolicy() config.UpstreamPolicy {
	if snapshot := n.follower.Current(); snapshot != nil {
		return snapshot.Doc.Upstreams
	}
	return config.UpstreamPolicy{}
}

// sharers is the number of daemons of this site that may serve callers, which
// share its limits: those that are leaving or suspect still do.
func (n *Node) sharers() int {
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
	n.engines = upstream.NewClient(time.Second)
	n.peers = peer.NewClient(nil)
	n.fresh = &freshness{
		follower: n.follower,
		contact:  n.contact,
		refresh:  n.follower.Refresh,
		suspects: n.suspects,
		fresh:    settings.MS(t.FreshMS),
		refuse:   settings.MS(t.RefuseMS),
	}
	n.resolver = claim.NewResolver(n.incarnation, n.claims, n.platform,
		&asker{self: n.incarnation, registry: n.registry, client: n.peers, claims: n.claims}, n.clock)
	n.ledger = ledger.New(n.incarnation, n.platform, newReplicator(n.registry, n.peers), n.clock, ledger.Options{
		CommitInterval: func() time.Duration {
			return backing.Interval(len(n.registry.Live()), commitsPerSecond, settings.MS(t.CommitMS))
		},
		MaxPending:         n.settings.Limits.MaxPendingBills,
		ReplicationTimeout: settings.MS(t.HoldMS),
	})
	n.holdings = ledger.NewReplicaStore(n.incarnation, n.platform, n.engines, n.clock)
	n.dispatcher = dispatch.New(dispatch.Deps{
		Site:          n.settings.Site,
		FailureDomain: n.settings.FailureDomain,
		Clock:         n.clock,
		Fresh:         n.fresh,
		Upstreams:     n.upstreams,
		Engines:       n.engines,
		Services:      n.engines,
		Billing:       n.ledger,
		Judge:         n.platform,
		Signer:        n.signer,
		Ratings:       n.ratings,
		Exposure:      n.exposure,
		Policy:        n.upstreamPolicy,
		Seed:          n.seed(),
		AbandonGrace:  settings.MS(t.AbandonMS),
	})
	n.controller = rollout.NewController(rollout.Deps{
		Writer:   n.config,
		Orders:   n.engines,
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

func (n *Node) suspects() bool {
	for _, d := range n.registry.All() {
		if d.State == member.Suspect {
			return true
		}
	}
	return false
}

// evidence returns the ratings of a version, by kind.
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

// engineList returns the engines for the roll-out duty.
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

// Kick asks for a heartbeat round at once.
func (n *Node) Kick() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// Accepted brings an accepted change into force here and tells the peers.
func (n *Node) Accepted(ctx context.Context) {
	if err := n.follower.Refresh(ctx); err != nil {
		slog.Warn("config.refresh_failed", "error", err)
	}
	n.Kick()
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
	// At a large site each answer names a few daemons, drawn anew, so that
	// callers spread over all of them.
	if most := n.settings.Limits.EntriesListed; len(out) > most {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:most]
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
	case !n.reported.Load():
		// Offered to callers before it knows any upstream, a daemon would
		// refuse its first requests.
		return fault.New(fault.NotReady, "no upstream is known yet")
	}
	return nil
}

// offer lets others name this daemon to callers once it is ready.
//
// Others know a daemon as soon as it sends heartbeats. If they offered it to
// callers at once, its first requests would be refused, since it knows no
// upstream yet; callers would see errors at every planned restart.
func (n *Node) offer() {
	if n.registry.Self().CallerURL != "" || n.Ready() != nil {
		return
	}
	n.registry.SetSelf(func(d *member.Daemon) {
		d.CallerURL = n.callerURL
		// A higher version makes the news replace what others know.
		d.Version++
	})
}

// Refusing implements caller.Directory.
func (n *Node) Refusing() error {
	if n.refusing.Load() {
		return fault.New(fault.Stopping, "this daemon is stopping; use another one")
	}
	return nil
}
