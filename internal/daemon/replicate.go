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

// replicasPerBill is the number of peers that hold a replica of each uncommitted
// bill.
const replicasPerBill = 2

// replicator replicates bills to peers, preferably in other failure domains. It
// implements ledger.Replicator.
type replicator struct {
	registry *member.Registry
	client   *peer.Client

	mu sync.Mutex
	// sentTo has the addresses of all peers that were sent replicas. Release also
	// has to reach peers that are no longer among the first holders.
	sentTo map[string]bool
	// epochHolders are the first holders at the last call of Epoch, and epoch is
	// the number that it returned.
	epochHolders []string
	epoch        uint64
	// ranked caches the result of rank for the registry's epoch rankedEpoch.
	// Ranking all daemons costs more than the rest of the work for a bill.
	ranked      []member.Daemon
	rankedEpoch uint64
}

func newReplicator(registry *member.Registry, client *peer.Client) *replicator {
	return &replicator{registry: registry, client: client, sentTo: map[string]bool{}}
}

// holders returns the other live daemons in the order in which they are asked to
// hold replicas of this daemon's bills. Other failure domains come first.
func (r *replicator) holders() []member.Daemon {
	epoch := r.registry.Epoch()
	r.mu.Lock()
	ranked, current := r.ranked, r.rankedEpoch == epoch
	r.mu.Unlock()
	if current {
		return ranked
	}
	ranked = r.rank()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranked, r.rankedEpoch = ranked, epoch
	return ranked
}

// rank computes the result of holders, by rendezvous hashing within the other
// failure domains and then within the own one.
func (r *replicator) rank() []member.Daemon {
	self := r.registry.Self()
	byID := map[string]member.Daemon{}
	var remote, local []string
	for _, d := range r.registry.Live() {
		switch {
		case d.Incarnation == self.Incarnation:
			continue
		case d.FailureDomain != self.FailureDomain:
			remote = append(remote, d.Incarnation)
		default:
			local = append(local, d.Incarnation)
		}
		byID[d.Incarnation] = d
	}
	ranked := append(member.Rank("hold/"+self.Incarnation, remote), member.Rank("hold/"+self.Incarnation, local)...)
	out := make([]member.Daemon, len(ranked))
	for i, id := range ranked {
		out[i] = byID[id]
	}
	return out
}

// Replicate implements ledger.Replicator. It sends the bills to the first holders
// concurrently, and to the next holder whenever one fails.
func (r *replicator) Replicate(ctx context.Context, owner string, after int64, bills []ledger.Bill) error {
	holders := r.holders()
	if len(holders) == 0 {
		return trace.NotFound("no peer to hold bills")
	}
	wanted := min(replicasPerBill, len(holders))
	request := peer.HoldRequest{Owner: owner, After: after, Bills: bills}
	results := make(chan error, len(holders))
	send := func(d member.Daemon) {
		r.recordSent(d.PeerAddress)
		results <- r.client.HoldBills(ctx, d.PeerAddress, request)
	}
	for _, d := range holders[:wanted] {
		go send(d)
	}
	next, acks, open := wanted, 0, wanted
	for open > 0 {
		err := <-results
		open--
		if err == nil {
			if acks++; acks == wanted {
				return nil
			}
			continue
		}
		if next < len(holders) && ctx.Err() == nil {
			go send(holders[next])
			next++
			open++
		}
	}
	return trace.ConnectionProblem(ctx.Err(), "%d of %d peers hold the bills", acks, wanted)
}

// recordSent adds an address to sentTo.
func (r *replicator) recordSent(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentTo[address] = true
}

// Release implements ledger.Replicator. A peer that does not get it keeps its
// replicas until it finds the bills committed.
func (r *replicator) Release(ctx context.Context, owner string, ids []string) {
	r.mu.Lock()
	addresses := make([]string, 0, len(r.sentTo))
	for a := range r.sentTo {
		addresses = append(addresses, a)
	}
	r.mu.Unlock()
	daemons := r.registry.All()
	for _, address := range addresses {
		known := slices.ContainsFunc(daemons, func(d member.Daemon) bool {
			return d.PeerAddress == address && d.State != member.Left
		})
		if !known {
			r.mu.Lock()
			delete(r.sentTo, address)
			r.mu.Unlock()
			continue
		}
		go func() {
			_ = r.client.ReleaseBills(context.WithoutCancel(ctx), address, peer.ReleaseRequest{Owner: owner, IDs: ids})
		}()
	}
}

// Epoch implements ledger.Replicator. The number changes when the first
// replicasPerBill holders change.
func (r *replicator) Epoch() uint64 {
	holders := r.holders()
	ids := member.Incarnations(holders[:min(replicasPerBill, len(holders))])
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(ids, r.epochHolders) {
		r.epochHolders = ids
		r.epoch++
	}
	return r.epoch
}
