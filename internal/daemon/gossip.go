package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// heartbeatLoop exchanges heartbeats, on time and when kicked.
func (n *Node) heartbeatLoop(ctx context.Context) {
	for {
		n.heartbeatRound(ctx)
		select {
		case <-n.kick:
		case <-n.clock.After(settings.MS(n.settings.Timing.HeartbeatMS)):
		case <-ctx.Done():
			return
		}
	}
}

// heartbeatRound sends one heartbeat to each target and to each address whose
// daemon is not known yet.
func (n *Node) heartbeatRound(ctx context.Context) {
	n.offer()
	targets := n.registry.HeartbeatTargets()
	n.contact.setTargets(member.Incarnations(targets))
	var round sync.WaitGroup
	for _, d := range targets {
		round.Go(func() { n.beat(ctx, d.PeerAddress, d.Incarnation) })
	}
	for _, address := range n.unknownSeeds() {
		round.Go(func() { n.beat(ctx, address, "") })
	}
	round.Wait()
}

// unknownSeeds returns the addresses at which no live daemon is known.
func (n *Node) unknownSeeds() []string {
	known := map[string]bool{n.registry.Self().PeerAddress: true}
	for _, d := range n.registry.All() {
		if d.State != member.Left {
			known[d.PeerAddress] = true
		}
	}
	n.listMu.Lock()
	defer n.listMu.Unlock()
	var out []string
	for address := range n.seeds {
		if !known[address] {
			out = append(out, address)
		}
	}
	return out
}

func (n *Node) beat(ctx context.Context, address, incarnation string) {
	interval := settings.MS(n.settings.Timing.HeartbeatMS)
	call, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	sent := n.clock.Now()
	reply, err := n.peers.Heartbeat(call, address, n.heartbeat())
	if err == nil && (incarnation == "" || reply.From.Incarnation == incarnation) {
		n.answeredBy(ctx, reply, sent)
		return
	}
	if incarnation != "" && ctx.Err() == nil {
		n.missed(incarnation)
	}
	if err == nil {
		// Another incarnation lives at this address now.
		n.answeredBy(ctx, reply, sent)
	}
}

// missed suspects a daemon that did not answer several times in a row.
func (n *Node) missed(incarnation string) {
	n.missesMu.Lock()
	n.misses[incarnation]++
	over := n.misses[incarnation] >= n.settings.Timing.SuspectAfter
	n.missesMu.Unlock()
	if over {
		n.registry.Suspect(incarnation)
	}
}

// answeredBy takes in an answer to a heartbeat sent at sent.
func (n *Node) answeredBy(ctx context.Context, reply peer.Heartbeat, sent time.Time) {
	n.missesMu.Lock()
	delete(n.misses, reply.From.Incarnation)
	n.missesMu.Unlock()
	n.contact.note(reply.From.Incarnation, sent)
	n.learn(reply)
	address := reply.From.PeerAddress
	if reply.Generation > n.follower.Generation() {
		n.fetchConfig(ctx, address)
	}
	if reply.ConfirmedMS >= 0 {
		n.follower.Confirm(reply.Generation, sent.Add(-settings.MS(reply.ConfirmedMS)))
	}
	if reply.RatingSeq > n.ratings.Seq() {
		if summary, err := n.peers.Ratings(ctx, address); err == nil {
			n.ratings.Install(summary)
		}
	}
	if reply.Digest != n.registry.Digest() && n.maySync() {
		n.syncMembers(ctx, address)
	}
}

const (
	// tableEntryBytes is the size of a daemon in a whole table.
	tableEntryBytes = 88
	// syncBytesPerSecond bounds the exchange of whole tables. Digests differ
	// whenever news is on its way, which reaches all daemons without it; the
	// whole table is for what was missed.
	syncBytesPerSecond = 250
)

// maySync reports whether it is time for a whole table, and notes it.
func (n *Node) maySync() bool {
	size := float64(len(n.registry.All()) * tableEntryBytes)
	interval := time.Duration(size / syncBytesPerSecond * float64(time.Second))
	n.syncedMu.Lock()
	defer n.syncedMu.Unlock()
	now := n.clock.Now()
	if !n.synced.IsZero() && now.Sub(n.synced) < interval {
		return false
	}
	n.synced = now
	return true
}

// syncMembers takes the whole table of a peer that knows something else.
func (n *Node) syncMembers(ctx context.Context, address string) {
	if all, err := n.peers.Members(ctx, address); err == nil {
		n.registry.Merge(all)
	}
}
