package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// reportWorkers bounds the load reports asked for at once.
const reportWorkers = 16

// every runs f again and again until ctx ends, with a tenth of jitter so that
// daemons do not fall into step.
func (n *Node) every(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		d := interval()
		d += time.Duration(rand.Int64N(int64(d)/5+1)) - d/10
		select {
		case <-n.clock.After(d):
		case <-ctx.Done():
			return
		}
	}
}

func fixed(ms int64) func() time.Duration {
	return func() time.Duration { return settings.MS(ms) }
}

// scaled is an interval that keeps all daemons together under a rate.
func (n *Node) scaled(perSecond float64, floorMS int64) func() time.Duration {
	return func() time.Duration {
		return backing.Interval(len(n.registry.Live()), perSecond, settings.MS(floorMS))
	}
}

// Run runs the loops until ctx ends.
func (n *Node) Run(ctx context.Context) {
	t := n.settings.Timing
	loops := []func(){
		func() { n.heartbeatLoop(ctx) },
		func() { n.every(ctx, n.scaled(headReadsPerSecond, t.ConfigMS), n.pollConfig) },
		func() { n.every(ctx, n.scaled(listReadsPerSecond, t.ListMS), n.pollList) },
		func() { n.every(ctx, n.reportInterval, n.pollReports) },
		func() { n.every(ctx, n.scaled(keyReadsPerSecond, keyMS), n.refreshKeys) },
		func() { n.every(ctx, n.scaled(ratingReadsPerSecond, t.RatingMS), n.pollRatings) },
		func() { n.every(ctx, fixed(t.RolloutMS), n.stepRollouts) },
		func() { n.every(ctx, n.scaled(creditAsksPerSecond, creditMS), n.refillCredits) },
		func() { n.every(ctx, fixed(demandMS), n.reportDemand) },
		func() { n.every(ctx, fixed(housekeepingMS), n.housekeeping) },
		func() { n.every(ctx, fixed(sealMS), n.sealHeld) },
		func() { n.every(ctx, n.scaled(headListsPerSecond, sealMS), n.sealAbandoned) },
		func() { n.every(ctx, fixed(t.TidyMS), n.tidy) },
		func() { n.ledger.Run(ctx) },
		func() { n.dispatcher.PokeLoop(ctx) },
	}
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(loop)
	}
	running.Wait()
}

// Times of the loops that have no setting, in milliseconds.
const (
	creditMS       = 200
	demandMS       = 1000
	keyMS          = 5000
	housekeepingMS = 5000
	sealMS         = 1000
)

// pollConfig reads the configuration and the signing keys.
func (n *Node) pollConfig(ctx context.Context) {
	before := n.follower.Generation()
	if err := n.follower.Refresh(ctx); err != nil && n.follower.Current() == nil {
		n.fetchFromAnyPeer(ctx)
	}
	if len(n.keys.Keys()) == 0 {
		n.refreshKeys(ctx)
	}
	if n.follower.Generation() != before {
		n.configChanged()
	}
}

// fetchFromAnyPeer starts a daemon while the store is out: it asks every known
// peer and keeps the highest generation.
func (n *Node) fetchFromAnyPeer(ctx context.Context) {
	for _, d := range n.registry.Live() {
		if d.Incarnation != n.incarnation {
			n.fetchConfig(ctx, d.PeerAddress)
		}
	}
}

func (n *Node) fetchConfig(ctx context.Context, address string) {
	asked := n.clock.Now()
	before := n.follower.Generation()
	delta, err := n.peers.Config(ctx, address, peer.ConfigRequest{Site: n.settings.Site, Known: n.follower.Known()})
	if err != nil || !n.follower.Install(delta) || n.follower.Generation() == before {
		return
	}
	slog.Info("config.from_peer", "generation", n.follower.Generation(), "took", n.clock.Since(asked))
	n.configChanged()
}

// configChanged spreads a new generation: whoever learns it tells others at
// once, so that it reaches all daemons in a few round trips.
func (n *Node) configChanged() {
	slog.Info("config.in_force", "generation", n.follower.Generation())
	for _, ref := range n.exposure.Stopped() {
		if n.follower.Current().Rollouts[ref].State != "" {
			continue
		}
		n.exposure.Allow(ref)
	}
	n.Kick()
}

func (n *Node) refreshKeys(ctx context.Context) {
	if err := n.keys.Refresh(ctx); err == nil {
		return
	}
	for _, d := range n.registry.Live() {
		if keys, err := n.peers.Keys(ctx, d.PeerAddress); err == nil && len(keys) > 0 && len(n.keys.Keys()) == 0 {
			n.keys.Install(keys)
			return
		}
	}
}

// pollList reads the platform's list of instances. A daemon that starts while
// the platform is out takes the list of a peer.
func (n *Node) pollList(ctx context.Context) {
	list, err := n.platform.ListInstances(ctx)
	if err != nil && len(n.OnInstances()) == 0 {
		list, err = n.listFromPeers(ctx)
	}
	if err != nil {
		return
	}
	n.listMu.Lock()
	n.list = list
	for _, i := range list {
		if i.Role == backing.RoleEntry {
			n.seeds[i.Address] = true
		}
	}
	n.listMu.Unlock()
	n.upstreams.SetList(n.visible(list))
	if !n.reported.Load() {
		n.pollReports(ctx)
		n.reported.Store(true)
		n.Kick()
	}
}

func (n *Node) listFromPeers(ctx context.Context) ([]backing.Instance, error) {
	err := trace.ConnectionProblem(nil, "no peer has a list of instances")
	for _, d := range n.registry.Live() {
		if d.Incarnation == n.incarnation {
			continue
		}
		if list, callErr := n.peers.Instances(ctx, d.PeerAddress); callErr == nil && len(list) > 0 {
			return list, nil
		}
	}
	return nil, err
}

// visible bounds the upstreams that this daemon uses: those of its own failure
// domain first, in the order of rendezvous hashing, so that the subsets of all
// daemons cover the upstreams evenly.
func (n *Node) visible(list []backing.Instance) []backing.Instance {
	limit := n.settings.Limits.UpstreamsSeen
	byID := map[string]backing.Instance{}
	var near, far []string
	for _, i := range list {
		switch {
		case i.Role == backing.RoleEntry:
			continue
		case i.FailureDomain == n.settings.FailureDomain:
			near = append(near, i.ID)
		default:
			far = append(far, i.ID)
		}
		byID[i.ID] = i
	}
	ranked := append(member.Rank("see/"+n.incarnation, near), member.Rank("see/"+n.incarnation, far)...)
	var out []backing.Instance
	for _, id := range ranked[:min(limit, len(ranked))] {
		out = append(out, byID[id])
	}
	return out
}

// reportBytes is the size of a load report over HTTP, both ways.
const reportBytes = 430

// reportInterval keeps the load reports of all upstreams within the bytes a
// second allowed for them. The daemon's own work since a report, which the
// estimate adds, makes up for longer intervals.
func (n *Node) reportInterval() time.Duration {
	bytes := float64(len(n.upstreams.All()) * reportBytes)
	least := time.Duration(bytes / n.settings.Limits.ReportBytesPerSecond * float64(time.Second))
	return max(least, settings.MS(n.settings.Timing.ReportMS))
}

// pollReports asks the upstreams for their load.
func (n *Node) pollReports(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(reportWorkers)
	for _, u := range n.upstreams.All() {
		group.Go(func() error {
			asked := n.clock.Now()
			report, err := n.engines.Load(ctx, u.Instance.Address)
			switch {
			case err == nil:
				n.upstreams.SetReport(u.Instance.ID, report, asked)
			case ctx.Err() == nil:
				n.upstreams.Failed(u.Instance.ID)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// ratingReaders is how many daemons read the ratings feed; the others get
// summaries from their peers.
const ratingReaders = 2

// pollRatings reads the feed, if this daemon is one of its readers, and stops
// the exposure to versions that the ratings speak against.
func (n *Node) pollRatings(ctx context.Context) {
	ranked := member.Rank("duty/ratings", member.Incarnations(n.registry.Live()))
	at := slices.Index(ranked, n.incarnation)
	if at >= 0 && at < ratingReaders {
		n.readFeed(ctx)
	}
	n.judgeRollouts()
}

func (n *Node) readFeed(ctx context.Context) {
	if n.ratings.Seq() == 0 {
		if err := n.ratings.Restore(ctx, n.platform); err != nil {
			return
		}
	}
	if _, err := n.ratings.Read(ctx, n.platform); err != nil {
		return
	}
	if err := n.ratings.Checkpoint(ctx, n.platform); err != nil {
		slog.Warn("rating.checkpoint_failed", "error", err)
	}
}

// housekeeping drops what is not needed any more.
func (n *Node) housekeeping(context.Context) {
	n.answers.Sweep()
	n.claims.Expire()
	n.registry.RemoveExpired()
}
