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
	// maxRelayAttempts is how many peers are tried in turn. If the store rejects a third of
	// the daemons, the probability that it rejects all three is 4%.
	maxRelayAttempts = 3
	// directRetryDelay is how long after a failed direct call further calls go straight to a
	// peer, unless the store has answered another call of this daemon since. A call to a store
	// that does not respond takes 1.5 s.
	directRetryDelay = 6 * time.Second
	// relayDoubt is how long a failed call keeps this daemon from relaying. One that gets its updates from
	// others makes no call of its own that could show that the store answers again.
	relayDoubt = 3 * time.Second
)

// relayedTable is access to this product's rows for the holder of a roll-out duty. If the
// store rejects this daemon but serves others, calls are relayed through a peer.
//
// Without it a rejected holder loses its lease and another daemon takes the duty only some
// seven seconds later: a bad version stays in use for that time, and a good one is completed
// late. Relaying is safe because each write is conditional on the revisions of the rows it
// depends on, including the lease, regardless of which daemon sends it.
//
// Lock order: mu is taken before the lock of storeHealth.
type relayedTable struct {
	*Node

	mu sync.Mutex
	// failedAt is when a direct call last failed.
	failedAt time.Time
}

var _ backing.Table = (*relayedTable)(nil)

// Get implements backing.Table.
func (r *relayedTable) Get(ctx context.Context, key string) (backing.Row, error) {
	reply := r.do(ctx, peer.StoreCall{Get: key})
	return reply.Row, replyError(reply)
}

// List implements backing.Table. It is not relayed: holders of duties only read single rows.
func (r *relayedTable) List(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	return r.kv.List(ctx, prefix, after, limit)
}

// Commit implements backing.Table.
func (r *relayedTable) Commit(ctx context.Context, txn backing.Txn) (int64, error) {
	reply := r.do(ctx, peer.StoreCall{Commit: &txn})
	return reply.Revision, replyError(reply)
}

// publishStatus writes the phase of a roll-out for the operator.
func (r *relayedTable) publishStatus(ctx context.Context, service, to string, phase shift.Phase, guard backing.Check) error {
	return replyError(r.do(ctx, peer.StoreCall{Publish: &peer.RolloutStatusWrite{Service: service, To: to, Phase: phase, Guard: guard}}))
}

// do makes a call to the store directly or through a peer. A write is not tried again after a
// call whose outcome is unknown, since it may have been applied.
func (r *relayedTable) do(ctx context.Context, call peer.StoreCall) peer.StoreReply {
	why := "a direct call to the store failed recently"
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
	for _, candidate := range r.relayCandidates() {
		reply, err := r.relayCall(ctx, candidate.PeerAddress, call)
		switch {
		case err != nil && call.Get == "":
			return peer.StoreReply{Outcome: peer.StoreUnknown, Why: err.Error()}
		case err != nil:
			slog.Debug("store.not_relayed", "peer", candidate.PeerAddress, "error", err)
		case reply.Outcome != peer.StoreNotDone:
			slog.Info("store.relayed", "peer", candidate.PeerAddress, "outcome", int(reply.Outcome), "why", why)
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

// relayCandidates returns some live peers in random order, since it is not known which of them
// the store serves.
func (r *relayedTable) relayCandidates() []member.Daemon {
	own := r.registry.Self().Incarnation
	peers := slices.DeleteFunc(r.registry.Live(), func(d member.Daemon) bool { return d.Incarnation == own })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(maxRelayAttempts, len(peers))]
}

// OnStoreCall implements peer.RoutesHandler.
func (n *Node) OnStoreCall(call peer.StoreCall) peer.StoreReply {
	if n.storeHealth.failedSince(n.clock.Now().Add(-relayDoubt)) {
		return peer.StoreReply{Outcome: peer.StoreNotDone, Why: "the store does not answer here either"}
	}
	if !n.outbound.begin("Store") {
		return peer.StoreReply{Outcome: peer.StoreNotDone, Why: "too many calls to the store for other daemons"}
	}
	defer n.outbound.end()
	// The calling peer waits no longer than this. The outcome of a slower call is unknown to
	// it.
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

// storeOutcome maps an error of backing.Table to an outcome.
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

// replyError maps the outcome of a reply to an error of backing.Table.
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
