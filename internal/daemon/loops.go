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

// loadReportWorkers bounds the concurrent requests for load reports.
const loadReportWorkers = 16

// runEvery runs f repeatedly until ctx ends, and waits interval between the runs.
// The wait varies randomly by a tenth, so that the daemons' calls are not
// synchronised.
func (n *Node) runEvery(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
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

// fixedInterval returns a constant interval for runEvery.
func fixedInterval(ms int64) func() time.Duration {
	return func() time.Duration { return settings.MS(ms) }
}

// sharedRateInterval returns an interval for runEvery that keeps the calls of all
// daemons together under perSecond, and is never shorter than floorMS.
func (n *Node) sharedRateInterval(perSecond float64, floorMS int64) func() time.Duration {
	return func() time.Duration {
		return backing.CallInterval(len(n.registry.Live()), perSecond, settings.MS(floorMS))
	}
}

// Run runs the loops until ctx ends.
func (n *Node) Run(ctx context.Context) {
	t := n.settings.Timing
	loops := []func(){
		func() { n.heartbeatLoop(ctx) },
		func() { n.runEvery(ctx, n.sharedRateInterval(headReadsPerSecond, t.ConfigMS), n.pollConfig) },
		func() { n.runEvery(ctx, n.sharedRateInterval(listReadsPerSecond, t.ListMS), n.pollInstances) },
		func() { n.runEvery(ctx, n.loadReportInterval, n.pollLoadReports) },
		func() { n.runEvery(ctx, n.sharedRateInterval(keyReadsPerSecond, keyIntervalMS), n.refreshKeys) },
		func() { n.runEvery(ctx, n.sharedRateInterval(ratingReadsPerSecond, t.RatingMS), n.pollRatings) },
		func() { n.runEvery(ctx, fixedInterval(t.RolloutMS), n.stepRollouts) },
		func() {
			n.runEvery(ctx, n.sharedRateInterval(creditRequestsPerSecond, creditIntervalMS), n.refillCredits)
		},
		func() { n.runEvery(ctx, fixedInterval(demandIntervalMS), n.reportDemand) },
		func() { n.runEvery(ctx, fixedInterval(expiryIntervalMS), n.removeExpired) },
		func() { n.runEvery(ctx, fixedInterval(sealIntervalMS), n.sealReplicated) },
		func() { n.runEvery(ctx, n.sharedRateInterval(headListsPerSecond, sealIntervalMS), n.sealUnsealedLogs) },
		func() { n.runEvery(ctx, fixedInterval(t.TidyMS), n.archiveAndSweep) },
		func() { n.ledger.Run(ctx) },
		func() { n.dispatcher.GrantLoop(ctx) },
	}
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(loop)
	}
	running.Wait()
}

// Intervals of the loops that have no setting, in milliseconds.
const (
	creditIntervalMS = 200
	demandIntervalMS = 1000
	keyIntervalMS    = 5000
	expiryIntervalMS = 5000
	sealIntervalMS   = 1000
)

// pollConfig reads the configuration, and the signing keys while there are none.
// While the store is unavailable, a daemon without configuration asks its peers.
func (n *Node) pollConfig(ctx context.Context) {
	before := n.follower.Generation()
	if err := n.follower.Refresh(ctx); err != nil && n.follower.Current() == nil {
		n.fetchConfigFromPeers(ctx)
	}
	if len(n.keys.Keys()) == 0 {
		n.refreshKeys(ctx)
	}
	if n.follower.Generation() != before {
		n.configChanged()
	}
}

// fetchConfigFromPeers requests the configuration from each live peer and
// activates the highest generation. It lets a daemon start while the store is
// unavailable.
func (n *Node) fetchConfigFromPeers(ctx context.Context) {
	for _, d := range n.registry.Live() {
		if d.Incarnation != n.incarnation {
			n.fetchConfig(ctx, d.PeerAddress)
		}
	}
}

// fetchConfig requests from a peer the changes since this daemon's configuration,
// and activates them.
func (n *Node) fetchConfig(ctx context.Context, address string) {
	requestedAt := n.clock.Now()
	before := n.follower.Generation()
	delta, err := n.peerClient.Config(ctx, address, peer.ConfigRequest{Site: n.settings.Site, Known: n.follower.Head()})
	if err != nil || !n.follower.Install(delta) || n.follower.Generation() == before {
		return
	}
	slog.Info("config.from_peer", "generation", n.follower.Generation(), "took", n.clock.Since(requestedAt))
	n.configChanged()
}

// configChanged runs after a new generation was activated. It triggers a
// heartbeat: since each daemon does so, a generation reaches all daemons in a few
// round trips. Versions that were stopped at this daemon and have no Rollout row
// in the new generation may get new sessions again.
func (n *Node) configChanged() {
	slog.Info("config.in_force", "generation", n.follower.Generation())
	for _, ref := range n.credits.Stopped() {
		if n.follower.Current().Rollouts[ref].State != "" {
			continue
		}
		n.credits.Resume(ref)
	}
	n.TriggerHeartbeat()
}

// refreshKeys reads the signing keys from the store. If that fails and the daemon
// has none yet, it takes those of a peer.
func (n *Node) refreshKeys(ctx context.Context) {
	if err := n.keys.Refresh(ctx); err == nil {
		return
	}
	for _, d := range n.registry.Live() {
		if keys, err := n.peerClient.Keys(ctx, d.PeerAddress); err == nil && len(keys) > 0 && len(n.keys.Keys()) == 0 {
			n.keys.Install(keys)
			return
		}
	}
}

// pollInstances reads the platform's list of instances. While the platform is
// unavailable, a daemon that has no list yet takes the list of a peer.
func (n *Node) pollInstances(ctx context.Context) {
	list, err := n.platform.ListInstances(ctx)
	if err != nil && len(n.OnInstances()) == 0 {
		list, err = n.instancesFromPeers(ctx)
	}
	if err != nil {
		return
	}
	n.instancesMu.Lock()
	n.instances = list
	for _, i := range list {
		if i.Role == backing.RoleEntry {
			n.seeds[i.Address] = true
		}
	}
	n.instancesMu.Unlock()
	n.upstreams.SetList(n.selectUpstreams(list))
	if !n.upstreamsPolled.Load() {
		n.pollLoadReports(ctx)
		n.upstreamsPolled.Store(true)
		n.TriggerHeartbeat()
	}
}

// instancesFromPeers returns the first list of instances that a peer has.
func (n *Node) instancesFromPeers(ctx context.Context) ([]backing.Instance, error) {
	err := trace.ConnectionProblem(nil, "no peer has a list of instances")
	for _, d := range n.registry.Live() {
		if d.Incarnation == n.incarnation {
			continue
		}
		if list, callErr := n.peerClient.Instances(ctx, d.PeerAddress); callErr == nil && len(list) > 0 {
			return list, nil
		}
	}
	return nil, err
}

// selectUpstreams returns the upstreams that this daemon uses, at most
// Limits.UpstreamsSeen. Those of its own failure domain come first. Within a
// domain it takes them in the order of rendezvous hashing, so that the subsets of
// all daemons cover the upstreams evenly.
func (n *Node) selectUpstreams(list []backing.Instance) []backing.Instance {
	limit := n.settings.Limits.UpstreamsSeen
	byID := map[string]backing.Instance{}
	var local, remote []string
	for _, i := range list {
		switch {
		case i.Role == backing.RoleEntry:
			continue
		case i.FailureDomain == n.settings.FailureDomain:
			local = append(local, i.ID)
		default:
			remote = append(remote, i.ID)
		}
		byID[i.ID] = i
	}
	ranked := append(member.Rank("see/"+n.incarnation, local), member.Rank("see/"+n.incarnation, remote)...)
	var out []backing.Instance
	for _, id := range ranked[:min(limit, len(ranked))] {
		out = append(out, byID[id])
	}
	return out
}

// loadReportBytes is the size of a load report over HTTP, request and response
// together.
const loadReportBytes = 430

// loadReportInterval returns the shortest interval, at least Timing.ReportMS, at
// which the load reports of all upstreams stay within
// Limits.ReportBytesPerSecond. A longer interval is acceptable because the load
// estimate adds the work that this daemon has sent since the report.
func (n *Node) loadReportInterval() time.Duration {
	bytes := float64(len(n.upstreams.All()) * loadReportBytes)
	minInterval := time.Duration(bytes / n.settings.Limits.ReportBytesPerSecond * float64(time.Second))
	return max(minInterval, settings.MS(n.settings.Timing.ReportMS))
}

// pollLoadReports requests load reports from the upstreams, and counts a failure
// of each upstream that does not answer.
func (n *Node) pollLoadReports(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(loadReportWorkers)
	for _, u := range n.upstreams.All() {
		group.Go(func() error {
			requestedAt := n.clock.Now()
			report, err := n.upstreamClient.LoadReport(ctx, u.Instance.Address)
			switch {
			case err == nil:
				n.upstreams.SetReport(u.Instance.ID, report, requestedAt)
			case ctx.Err() == nil:
				n.upstreams.Failed(u.Instance.ID)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// ratingReaders is the number of daemons that read the ratings feed. The others
// get summaries from their peers.
const ratingReaders = 2

// pollRatings reads the ratings feed if this daemon is one of its readers, and
// stops new sessions of versions whose ratings are too low.
func (n *Node) pollRatings(ctx context.Context) {
	ranked := member.Rank("duty/ratings", member.Incarnations(n.registry.Live()))
	rank := slices.Index(ranked, n.incarnation)
	if rank >= 0 && rank < ratingReaders {
		n.readRatings(ctx)
	}
	n.stopRegressedRollouts()
}

// readRatings counts the new ratings of the feed and stores the counts. Before
// the first rating it restores the stored counts.
func (n *Node) readRatings(ctx context.Context) {
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

// removeExpired removes expired answers, idempotency keys and membership entries
// from memory.
func (n *Node) removeExpired(context.Context) {
	n.answers.Sweep()
	n.claims.Expire()
	n.registry.RemoveExpired()
}
