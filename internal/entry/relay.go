package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

const (
	// relayPeers is how many peers are asked in turn to make a call: where the
	// store turns a third of the daemons away, all three of them in 4 cases of
	// 100.
	maxRelayAttempts = 3
	// relayTime is how long the store is not tried directly after it failed this
	// daemon, unless it has answered another call since; a try at a silent one
	// takes a second and a half.
	directRetryDelay = 6 * time.Second
)

// relayedTable is the product's rows as the holder of a duty uses them: through a
// peer while the store turns this daemon away and serves others.
//
// Without it a holder that is turned away loses its lease, and another daemon can
// take the duty only some seven seconds after: a bad version stays in use for as
// long, a good one is completed too late. Relaying is safe, since each write
// names the revisions on which it is conditional, that of the lease among them,
// whoever sends it.
//
// Lock order: mu is taken alone.
type relayedTable struct {
	*Node

	mu sync.Mutex
	// failed is when the store last failed this daemon.
	failedAt time.Time
}

var _ backing.Table = (*relayedTable)(nil)

// Get implements backing.Table.
func (r *relayedTable) Get(ctx context.Context, key string) (backing.Row, error) {
	reply := r.do(ctx, peer.StoreCall{Get: key})
	return reply.Row, replyError(reply)
}

// List implements backing.Table. It is not relayed: duties read single rows.
func (r *relayedTable) List(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	return r.kv.List(ctx, prefix, after, limit)
}

// Commit implements backing.Table.
func (r *relayedTable) Commit(ctx context.Context, txn backing.Txn) (int64, error) {
	reply := r.do(ctx, peer.StoreCall{Commit: &txn})
	return reply.Revision, replyError(reply)
}

// publish tells the operator how a roll-out stands.
func (r *relayedTable) publishStatus(ctx context.Context, service, to string, phase shift.Phase, guard backing.Check) error {
	return replyError(r.do(ctx, peer.StoreCall{Publish: &peer.RolloutStatusWrite{Service: service, To: to, Phase: phase, Guard: guard}}))
}

// do makes a call, by itself or through a peer.
func (r *relayedTable) do(ctx context.Context, call peer.StoreCall) peer.StoreReply {
	why := "the store failed lately"
	if !r.failedRecently() {
		reply := r.storeCall(ctx, call)
		if reply.Outcome == peer.StoreNotDone || reply.Outcome == peer.StoreUnknown {
			r.recordFailure()
		}
		if reply.Outcome != peer.StoreNotDone {
			return reply
		}
		why = reply.Why
	}
	for _, helper := range r.relayCandidates() {
		reply, err := r.relayCall(ctx, helper.PeerAddress, call)
		switch {
		case err != nil && call.Get == "":
			return peer.StoreReply{Outcome: peer.StoreUnknown, Why: err.Error()}
		case err != nil:
			slog.Debug("store.not_relayed", "peer", helper.PeerAddress, "error", err)
		case reply.Outcome != peer.StoreNotDone:
			slog.Info("store.relayed", "peer", helper.PeerAddress, "outcome", int(reply.Outcome), "why", why)
			return reply
		}
	}
	return peer.StoreReply{Outcome: peer.StoreNotDone, Why: why}
}

func (r *relayedTable) relayCall(ctx context.Context, address string, call peer.StoreCall) (peer.StoreReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return r.peers.Store(ctx, address, call)
}

func (r *relayedTable) failedRecently() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failedAt.IsZero() && r.clock.Since(r.failedAt) < directRetryDelay && !r.storeHealth.answeredAfter(r.failedAt)
}

func (r *relayedTable) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = r.clock.Now()
}

// helpers are some peers in random order: which of them the store serves is not
// known.
func (r *relayedTable) relayCandidates() []member.Daemon {
	own := r.registry.Self().Incarnation
	peers := slices.DeleteFunc(r.registry.Live(), func(d member.Daemon) bool { return d.Incarnation == own })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(maxRelayAttempts, len(peers))]
}

// OnStoreCall implements peer.RoutesHandler.
func (n *Node) OnStoreCall(call peer.StoreCall) peer.StoreReply {
	if n.storeHealth.isLost() {
		return peer.StoreReply{Outcome: peer.StoreNotDone, Why: "the store does not answer here either"}
	}
	// The asker waits for a heartbeat's time. What takes longer is unknown to it.
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	return n.storeCall(ctx, call)
}

// storeCall makes a call to the store directly.
func (n *Node) storeCall(ctx context.Context, call peer.StoreCall) peer.StoreReply {
	var reply peer.StoreReply
	var err error
	switch {
	case call.Commit != nil:
		reply.Revision, err = n.kv.Commit(ctx, *call.Commit)
	case call.Publish != nil:
		p := call.Publish
		err = n.store.PublishRollout(ctx, p.Service, p.To, p.Phase, p.Guard)
	default:
		reply.Row, err = n.kv.Get(ctx, call.Get)
	}
	reply.Outcome = storeOutcome(err)
	if err != nil {
		reply.Why = err.Error()
	}
	return reply
}

// storeOutcome tells the errors of backing.Table apart.
func storeOutcome(err error) peer.StoreOutcome {
	switch {
	case err == nil:
		return peer.StoreDone
	case backing.IsUnknownOutcome(err):
		return peer.StoreUnknown
	case trace.IsNotFound(err):
		return peer.StoreNoRow
	case trace.IsCompareFailed(err):
		return peer.StoreCheckFailed
	default:
		return peer.StoreNotDone
	}
}

// replyError is the error of backing.Table for an outcome.
func replyError(r peer.StoreReply) error {
	switch r.Outcome {
	case peer.StoreDone:
		return nil
	case peer.StoreNoRow:
		return trace.NotFound("%s", r.Why)
	case peer.StoreCheckFailed:
		return trace.CompareFailed("%s", r.Why)
	case peer.StoreUnknown:
		return &backing.UnknownOutcomeError{Cause: trace.ConnectionProblem(nil, "%s", r.Why)}
	default:
		return trace.ConnectionProblem(nil, "%s", r.Why)
	}
}
