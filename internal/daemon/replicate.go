package daemon

import (
	"context"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// copiesWanted is how many peers hold each uncommitted bill.
const copiesWanted = 2

// replicator copies bills to peers, in other failure domains if there are any.
type replicator struct {
	registry *member.Registry
	client   *peer.Client

	mu sync.Mutex
	// past are the peers that were sent copies, so that a release reaches
	// earlier holders, too.
	past map[string]bool
	// seen is the set of holders of the last call, and epoch its number.
	seen  []string
	epoch uint64
	// ranked are the holders in order as of the registry's epoch rankedAt. To
	// rank all daemons for each bill would cost more than the bill.
	ranked   []member.Daemon
	rankedAt uint64
}

func newReplicator(registry *member.Registry, client *peer.Client) *replicator {
	return &replicator{registry: registry, client: client, past: map[string]bool{}}
}

// holders returns the live daemons in the order in which they hold this
// daemon's bills: other failure domains first.
func (r *replicator) holders() []member.Daemon {
	epoch := r.registry.Epoch()
	r.mu.Lock()
	ranked, current := r.ranked, r.rankedAt == epoch
	r.mu.Unlock()
	if current {
		return ranked
	}
	ranked = r.rank()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranked, r.rankedAt = ranked, epoch
	return ranked
}

func (r *replicator) rank() []member.Daemon {
	self := r.registry.Self()
	byID := map[string]member.Daemon{}
	var far, near []string
	for _, d := range r.registry.Live() {
		switch {
		case d.Incarnation == self.Incarnation:
			continue
		case d.FailureDomain != self.FailureDomain:
			far = append(far, d.Incarnation)
		default:
			near = append(near, d.Incarnation)
		}
		byID[d.Incarnation] = d
	}
	ranked := append(member.Rank("hold/"+self.Incarnation, far), member.Rank("hold/"+self.Incarnation, near)...)
	out := make([]member.Daemon, len(ranked))
	for i, id := range ranked {
		out[i] = byID[id]
	}
	return out
}

// Hold implements ledger.Replicator. It asks the first holders at once and the
// next ones where a holder does not answer.
func (r *replicator) Replicate(ctx context.Context, owner string, after int64, bills []ledger.Bill) error {
	holders := r.holders()
	if len(holders) == 0 {
		return trace.NotFound("no peer to hold bills")
	}
	wanted := min(copiesWanted, len(holders))
	request := peer.HoldRequest{Owner: owner, After: after, Bills: bills}
	answers := make(chan error, len(holders))
	ask := func(d member.Daemon) {
		r.notePast(d.PeerAddress)
		answers <- r.client.HoldBills(ctx, d.PeerAddress, request)
	}
	for _, d := range holders[:wanted] {
		go ask(d)
	}
	next, acks, open := wanted, 0, wanted
	for open > 0 {
		err := <-answers
		open--
		if err == nil {
			if acks++; acks == wanted {
				return nil
			}
			continue
		}
		if next < len(holders) && ctx.Err() == nil {
			go ask(holders[next])
			next++
			open++
		}
	}
	return trace.ConnectionProblem(ctx.Err(), "%d of %d peers hold the bills", acks, wanted)
}

func (r *replicator) notePast(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.past[address] = true
}

// Release implements ledger.Replicator. A peer that misses it keeps copies
// until it finds the bills committed.
func (r *replicator) Release(ctx context.Context, owner string, ids []string) {
	r.mu.Lock()
	addresses := make([]string, 0, len(r.past))
	for a := range r.past {
		addresses = append(addresses, a)
	}
	r.mu.Unlock()
	live := r.registry.All()
	for _, address := range addresses {
		known := slices.ContainsFunc(live, func(d member.Daemon) bool {
			return d.PeerAddress == address && d.State != member.Left
		})
		if !known {
			r.mu.Lock()
			delete(r.past, address)
			r.mu.Unlock()
			continue
		}
		go func() {
			_ = r.client.ReleaseBills(context.WithoutCancel(ctx), address, peer.ReleaseRequest{Owner: owner, IDs: ids})
		}()
	}
}

// Epoch implements ledger.Replicator: it changes with the first holders.
func (r *replicator) Epoch() uint64 {
	holders := r.holders()
	ids := member.Incarnations(holders[:min(copiesWanted, len(holders))])
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(ids, r.seen) {
		r.seen = ids
		r.epoch++
	}
	return r.epoch
}
