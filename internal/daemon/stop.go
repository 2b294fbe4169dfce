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
	// stopPoll is how often a stop looks whether it can go on.
	stopPoll = 20 * time.Millisecond
	// handoverBytes bounds the answers handed to a successor.
	handoverBytes = 16 << 20
	// handoverTimeout bounds one try to hand over.
	handoverTimeout = 5 * time.Second
)

// Drain takes the daemon out of service without cutting off a request. It
// returns the number of requests that were cut because ctx ended first.
//
// Callers keep a discovery answer for a while and go on connecting here. If
// the daemon refused them as soon as it was told to stop, each planned restart
// would show as a burst of errors. So it first leaves discovery, serves what
// still arrives until every answer that names it has lapsed, and only then
// takes no new work.
func (n *Node) Drain(ctx context.Context) int {
	slog.Info("stop.begun", "running", n.answers.Running())
	n.leaving.Store(true)
	n.registry.SetSelf(func(d *member.Daemon) { d.State = member.Leaving })
	n.Kick()
	if len(n.registry.Live()) > 0 {
		n.wait(ctx, settings.MS(n.settings.Timing.EntriesTTLMS))
	}
	n.refusing.Store(true)
	n.waitUntil(ctx, func() bool { return n.answers.Running() == 0 })
	cut := n.answers.FailRunning(fault.New(fault.Stopping, "the daemon stopped before the answer was complete").WithRan(fault.RanUnknown))
	n.controller.ReleaseAll(context.WithoutCancel(ctx))
	n.returnShares(context.WithoutCancel(ctx))
	n.settleBills(ctx)
	n.handOver(ctx)
	slog.Info("stop.drained", "cut", cut, "bills_left", n.ledger.Pending())
	return cut
}

func (n *Node) wait(ctx context.Context, d time.Duration) {
	select {
	case <-n.clock.After(d):
	case <-ctx.Done():
	}
}

func (n *Node) waitUntil(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		n.wait(ctx, stopPoll)
	}
}

// returnShares gives the shares of limits back, so that the daemon's successors
// need not wait until they lapse.
func (n *Node) returnShares(ctx context.Context) {
	for _, d := range n.registry.Live() {
		if d.Site == n.settings.Site {
			_, _ = n.peers.ReportDemand(ctx, d.PeerAddress, peer.DemandRequest{From: n.incarnation, Leaving: true})
		}
	}
}

// settleBills commits what is left. Bills that cannot be committed because the
// store is out stay with the peers that hold copies, who close them.
func (n *Node) settleBills(ctx context.Context) {
	const patience = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	n.waitUntil(ctx, func() bool {
		if n.ledger.Pending() == 0 {
			return true
		}
		return n.ledger.Commit(ctx) == nil && n.ledger.Pending() == 0
	})
}

// handOver gives idempotency keys and kept answers to a successor and says so
// to everybody. Without it, repeats of keys of this daemon would be answered
// "unknown" for as long as their life.
func (n *Node) handOver(ctx context.Context) {
	homes, entries := n.claims.Export()
	request := peer.HandoverRequest{Homes: homes, Entries: entries, Answers: n.answers.Export(handoverBytes)}
	successor := ""
	for _, id := range member.Rank("successor/"+n.incarnation, member.Incarnations(n.registry.Live())) {
		d, _ := n.registry.Get(id)
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
		err := n.peers.Handover(call, d.PeerAddress, request)
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
