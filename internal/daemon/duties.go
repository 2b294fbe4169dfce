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

// stepRollouts does this daemon's share of the roll-outs.
func (n *Node) stepRollouts(ctx context.Context) {
	before := n.follower.Generation()
	if !n.controller.Step(ctx) {
		return
	}
	if err := n.follower.Refresh(ctx); err == nil && n.follower.Generation() != before {
		n.configChanged()
	}
}

// judgeRollouts stops the exposure here to versions that the ratings speak
// against, without waiting for the duty holder or the store.
func (n *Node) judgeRollouts() {
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

// refillCredits asks the duty holders for exposure credits.
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
		want, lapsed := n.exposure.Want(ref)
		if want == 0 && lapsed == 0 {
			continue
		}
		asked := n.clock.Now()
		holder := member.Best("duty/"+rollout.LeaseName(ref), live)
		granted, err := n.askCredits(ctx, holder, peer.CreditRequest{Version: ref, Want: want, Lapsed: lapsed})
		if err != nil {
			slog.Debug("rollout.no_credits", "version", ref, "error", err)
			continue
		}
		n.exposure.Refill(ref, granted, lapsed, asked)
	}
}

func (n *Node) askCredits(ctx context.Context, holder string, r peer.CreditRequest) (int, error) {
	if holder == n.incarnation {
		return n.controller.Grant(ctx, r.Version, r.Want, r.Lapsed)
	}
	d, ok := n.registry.Get(holder)
	if !ok {
		return 0, trace.NotFound("no daemon has the duty for %v", r.Version)
	}
	return n.peers.RequestCredits(ctx, d.PeerAddress, r)
}

// reportDemand reports the demand of each organisation to the daemon that
// allots its shares.
func (n *Node) reportDemand(ctx context.Context) {
	var live []string
	for _, d := range n.registry.Live() {
		if d.Site == n.settings.Site {
			live = append(live, d.Incarnation)
		}
	}
	byAllotter := map[string][]limit.Demand{}
	snapshot := n.follower.Current()
	if snapshot == nil {
		return
	}
	limits := func(organisation string) config.Limits { return snapshot.Doc.Organisations[organisation].Limits }
	for _, demand := range n.limits.TakeDemand(limits) {
		at := member.Best("limits/"+demand.Organisation, live)
		byAllotter[at] = append(byAllotter[at], demand)
	}
	for at, demands := range byAllotter {
		shares, err := n.askShares(ctx, at, demands)
		if err != nil {
			continue
		}
		for organisation, share := range shares {
			n.limits.SetShare(organisation, share)
		}
	}
}

func (n *Node) askShares(ctx context.Context, at string, demands []limit.Demand) (map[string]limit.Share, error) {
	if at == n.incarnation {
		return n.allocator.Report(n.incarnation, demands), nil
	}
	d, ok := n.registry.Get(at)
	if !ok {
		return nil, nil
	}
	asked := n.clock.Now()
	shares, err := n.peers.ReportDemand(ctx, d.PeerAddress, peer.DemandRequest{From: n.incarnation, Demands: demands})
	for organisation, share := range shares {
		// Clocks differ; the share lapses here no later than there.
		share.Until = asked.Add(limit.ShareTTL)
		shares[organisation] = share
	}
	return shares, err
}

// dead returns the daemons whose bills others have to close.
func (n *Node) dead() map[string]bool {
	out := map[string]bool{}
	for _, id := range n.registry.Dead(settings.MS(n.settings.Timing.SealAfterMS)) {
		out[id] = true
	}
	return out
}

// sealHeld closes the bills of dead daemons that this daemon holds copies of.
func (n *Node) sealHeld(ctx context.Context) {
	dead := n.dead()
	for _, owner := range n.holdings.Owners() {
		if _, known := n.registry.Get(owner); dead[owner] || !known {
			n.seal(ctx, owner)
		}
	}
}

// sealAbandoned closes the bills of dead daemons that only the table knows, as
// a duty of one daemon.
func (n *Node) sealAbandoned(ctx context.Context) {
	if !n.registry.RanksFirst("ledger-sweep") {
		return
	}
	dead := n.dead()
	live := map[string]bool{}
	for _, d := range n.registry.All() {
		live[d.Incarnation] = !dead[d.Incarnation]
	}
	abandoned, err := ledger.UnsealedLogs(ctx, n.platform, live)
	if err != nil {
		return
	}
	for _, owner := range abandoned {
		n.seal(ctx, owner)
	}
}

func (n *Node) seal(ctx context.Context, owner string) {
	if _, err := n.holdings.Seal(ctx, owner); err != nil {
		slog.Debug("ledger.seal_failed", "incarnation", owner, "error", err)
	}
}

// tidy moves old bills to the object store and deletes rows that have expired,
// as a duty of one daemon. Two daemons that both believe to have the duty do
// no harm: every step is conditional on the rows it saw.
func (n *Node) tidy(ctx context.Context) {
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
	if n.claimCursor, _, err = claim.SweepRows(ctx, n.platform, n.claimCursor, n.clock.Now()); err != nil {
		slog.Debug("claim.sweep_failed", "error", err)
	}
	if n.changeCursor, _, err = n.config.SweepChanges(ctx, n.changeCursor); err != nil {
		slog.Debug("config.sweep_failed", "error", err)
	}
}
