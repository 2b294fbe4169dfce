package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

const (
	// drainPollInterval is the time between two checks of a condition that Drain
	// waits for.
	drainPollInterval = 20 * time.Millisecond
	// handoverBytes bounds the size of the answers sent to a successor.
	handoverBytes = 16 << 20
	// handoverTimeout bounds one handover request.
	handoverTimeout = 5 * time.Second
)

// Drain takes the daemon out of service and waits for its running requests. It
// returns the number of requests that it cut off because ctx ended first.
//
// Callers cache a discovery answer for its TTL and continue to connect to this
// daemon. If it rejected them from the beginning of the stop, each planned
// restart would cause a burst of errors. So it first leaves discovery, then
// serves new requests until all discovery answers that name it have expired, and
// only then rejects new requests.
func (n *Node) Drain(ctx context.Context) int {
	slog.Info("stop.begun", "running", n.answers.Running())
	n.leaving.Store(true)
	n.registry.SetSelf(func(d *member.Daemon) { d.State = member.Leaving })
	n.TriggerHeartbeat()
	if len(n.registry.Live()) > 0 {
		n.sleep(ctx, settings.MS(n.settings.Timing.EntriesTTLMS))
	}
	n.refusing.Store(true)
	n.waitUntil(ctx, func() bool { return n.answers.Running() == 0 })
	cut := n.answers.FailRunning(fault.New(fault.Stopping, "the daemon stopped before the answer was complete").WithRan(fault.RanUnknown))
	n.controller.ReleaseAll(context.WithoutCancel(ctx))
	n.releaseShares(context.WithoutCancel(ctx))
	n.commitBills(ctx)
	n.handOver(ctx)
	slog.Info("stop.drained", "cut", cut, "bills_left", n.ledger.Pending())
	return cut
}

// sleep waits for d, or until ctx ends.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-n.clock.After(d):
	case <-ctx.Done():
	}
}

// waitUntil polls done until it returns true or ctx ends.
func (n *Node) waitUntil(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		n.sleep(ctx, drainPollInterval)
	}
}

// releaseShares releases this daemon's shares of the organisations' limits, so
// that other daemons can get them before they expire.
func (n *Node) releaseShares(ctx context.Context) {
	for _, d := range n.registry.Live() {
		if d.Site == n.settings.Site {
			_, _ = n.peerClient.ReportDemand(ctx, d.PeerAddress, peer.DemandRequest{From: n.incarnation, Leaving: true})
		}
	}
}

// commitBills commits the pending bills. Bills that cannot be committed because
// the store is unavailable are closed by the peers that hold replicas of them.
func (n *Node) commitBills(ctx context.Context) {
	const commitTimeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool {
		if n.ledger.Pending() == 0 {
			return true
		}
		return n.ledger.Commit(ctx) == nil && n.ledger.Pending() == 0
	})
}

// handOver sends the idempotency keys and kept answers to a successor, and
// announces the successor to the peers. Without it, requests that repeat a key of
// this daemon would get the outcome "unknown" for the lifetime of the key.
func (n *Node) handOver(ctx context.Context) {
	homes, entries := n.claims.Export()
	request := peer.HandoverRequest{Homes: homes, Entries: entries, Answers: n.answers.Export(handoverBytes)}
	successor := ""
	for _, id := range member.Rank("successor/"+n.incarnation, member.Incarnations(n.registry.Live())) {
		d, _ := n.registry.Get(id)
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
		err := n.peerClient.Handover(callCtx, d.PeerAddress, request)
		cancel()
		if err == nil {
			successor = id
			break
		}
		slog.Warn("stop.handover_failed", "to", id, "error", err)
	}
	n.registry.SetSelf(func(d *member.Daemon) {
		d.State = member.Left
		d.Successor = successor
	})
	n.heartbeatRound(context.WithoutCancel(ctx))
}
