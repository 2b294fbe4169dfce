package daemon

import (
	"context"
	"log/slog"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/rollout"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// stepRollouts advances the roll-outs whose leases this daemon holds, and
// activates the resulting configuration.
func (n *Node) stepRollouts(ctx context.Context) {
	before := n.follower.Generation()
	if !n.controller.Step(ctx) {
		return
	}
	if err := n.follower.Refresh(ctx); err == nil && n.follower.Generation() != before {
		n.configChanged()
	}
}

// stopRegressedRollouts stops new sessions at this daemon for versions that the
// ratings show to be below their quality target. It does not wait for the lease
// holder of the roll-out or for the store, which may be unavailable.
func (n *Node) stopRegressedRollouts() {
	snapshot := n.follower.Current()
	if snapshot == nil {
		return
	}
	test := rollout.NewTest(snapshot.Doc.Rollouts)
	for ref, r := range snapshot.Rollouts {
		if r.State != config.RollingOut {
			continue
		}
		if test.Verdict(n.evidence(snapshot, ref)) == rollout.Bad {
			slog.Warn("rollout.stopped_here", "version", ref)
			n.stopVersion(ref)
		}
	}
}

// refillCredits requests credits for each roll-out from its lease holder, and
// returns expired ones. It assumes that the live daemon that ranks first for the
// lease holds it; any other daemon refuses the request.
func (n *Node) refillCredits(ctx context.Context) {
	snapshot := n.follower.Current()
	if snapshot == nil {
		return
	}
	live := member.Incarnations(n.registry.Live())
	for ref, r := range snapshot.Rollouts {
		if r.State != config.RollingOut {
			continue
		}
		want, lapsed := n.credits.Want(ref)
		if want == 0 && lapsed == 0 {
			continue
		}
		requestedAt := n.clock.Now()
		holder := member.Best("duty/"+rollout.LeaseName(ref), live)
		granted, err := n.requestCredits(ctx, holder, peer.CreditRequest{Version: ref, Want: want, Lapsed: lapsed})
		if err != nil {
			slog.Debug("rollout.no_credits", "version", ref, "error", err)
			continue
		}
		n.credits.Refill(ref, granted, lapsed, requestedAt)
	}
}

func (n *Node) requestCredits(ctx context.Context, holder string, r peer.CreditRequest) (int, error) {
	if holder == n.incarnation {
		return n.controller.Grant(ctx, r.Version, r.Want, r.Lapsed)
	}
	d, ok := n.registry.Get(holder)
	if !ok {
		return 0, trace.NotFound("the daemon that grants credits for %v is not known", r.Version)
	}
	return n.peerClient.RequestCredits(ctx, d.PeerAddress, r)
}

// reportDemand reports the demand of each organisation to the daemon that
// allocates its limits, and stores the granted shares.
func (n *Node) reportDemand(ctx context.Context) {
	var live []string
	for _, d := range n.registry.Live() {
		if d.Site == n.settings.Site {
			live = append(live, d.Incarnation)
		}
	}
	byAllocator := map[string][]limit.Demand{}
	snapshot := n.follower.Current()
	if snapshot == nil {
		return
	}
	limits := func(organisation string) config.Limits { return snapshot.Doc.Organisations[organisation].Limits }
	for _, demand := range n.limits.TakeDemand(limits) {
		allocator := member.Best("limits/"+demand.Organisation, live)
		byAllocator[allocator] = append(byAllocator[allocator], demand)
	}
	for allocator, demands := range byAllocator {
		shares, err := n.requestShares(ctx, allocator, demands)
		if err != nil {
			continue
		}
		for organisation, share := range shares {
			n.limits.SetShare(organisation, share)
		}
	}
}

func (n *Node) requestShares(ctx context.Context, allocator string, demands []limit.Demand) (map[string]limit.Share, error) {
	if allocator == n.incarnation {
		return n.allocator.Report(n.incarnation, demands), nil
	}
	d, ok := n.registry.Get(allocator)
	if !ok {
		return nil, nil
	}
	requestedAt := n.clock.Now()
	shares, err := n.peerClient.ReportDemand(ctx, d.PeerAddress, peer.DemandRequest{From: n.incarnation, Demands: demands})
	for organisation, share := range shares {
		// The received Until is a time of the other daemon's clock. Counted from the
		// time of the request on the own clock, the share expires here no later than
		// there.
		share.Until = requestedAt.Add(limit.ShareTTL)
		shares[organisation] = share
	}
	return shares, err
}

// deadDaemons returns the daemons whose bills other daemons have to close.
func (n *Node) deadDaemons() map[string]bool {
	out := map[string]bool{}
	for _, id := range n.registry.Dead(settings.MS(n.settings.Timing.SealAfterMS)) {
		out[id] = true
	}
	return out
}

// sealReplicated closes the bills of dead or unknown daemons of which this
// daemon holds replicas.
func (n *Node) sealReplicated(ctx context.Context) {
	dead := n.deadDaemons()
	for _, owner := range n.replicas.Owners() {
		if _, known := n.registry.Get(owner); dead[owner] || !known {
			n.sealLog(ctx, owner)
		}
	}
}

// sealUnsealedLogs closes the bills of dead daemons that are open in the ledger
// logs in the store. It finds bills that sealReplicated misses because no live
// daemon has replicas of them. Only the daemon that ranks first for this duty
// does so.
func (n *Node) sealUnsealedLogs(ctx context.Context) {
	if !n.registry.RanksFirst("ledger-sweep") {
		return
	}
	dead := n.deadDaemons()
	live := map[string]bool{}
	for _, d := range n.registry.All() {
		live[d.Incarnation] = !dead[d.Incarnation]
	}
	abandoned, err := ledger.UnsealedLogs(ctx, n.platform, live)
	if err != nil {
		return
	}
	for _, owner := range abandoned {
		n.sealLog(ctx, owner)
	}
}

// sealLog tries to seal the log of one daemon. A later round repeats what failed.
func (n *Node) sealLog(ctx context.Context, owner string) {
	if _, err := n.replicas.Seal(ctx, owner); err != nil {
		slog.Debug("ledger.seal_failed", "incarnation", owner, "error", err)
	}
}

// archiveAndSweep moves old bills to the object store and deletes expired rows.
// Only the daemon that ranks first for this duty does so. It is safe if two
// daemons do it at once, because every write is conditional on the rows that
// were read.
func (n *Node) archiveAndSweep(ctx context.Context) {
	if !n.registry.RanksFirst("tidy") {
		return
	}
	moved, err := ledger.ArchiveDue(ctx, n.platform)
	if err != nil {
		slog.Debug("ledger.archive_failed", "error", err)
	}
	if moved > 0 {
		slog.Info("ledger.archived", "batches", moved)
	}
	if n.claimSweepCursor, _, err = claim.SweepRows(ctx, n.platform, n.claimSweepCursor, n.clock.Now()); err != nil {
		slog.Debug("claim.sweep_failed", "error", err)
	}
	if n.changeSweepCursor, _, err = n.config.SweepChanges(ctx, n.changeSweepCursor); err != nil {
		slog.Debug("config.sweep_failed", "error", err)
	}
}
