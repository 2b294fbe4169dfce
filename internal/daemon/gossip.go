package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// heartbeatLoop runs a heartbeat round per interval, and one whenever
// TriggerHeartbeat is called, until ctx ends.
func (n *Node) heartbeatLoop(ctx context.Context) {
	for {
		n.heartbeatRound(ctx)
		select {
		case <-n.heartbeatTrigger:
		case <-n.clock.After(settings.MS(n.settings.Timing.HeartbeatMS)):
		case <-ctx.Done():
			return
		}
	}
}

// heartbeatRound sends one heartbeat to each target and to each seed address at
// which no daemon is known.
func (n *Node) heartbeatRound(ctx context.Context) {
	n.advertise()
	targets := n.registry.HeartbeatTargets()
	n.reachability.setTargets(member.Incarnations(targets))
	var round sync.WaitGroup
	for _, d := range targets {
		round.Go(func() { n.sendHeartbeat(ctx, d.PeerAddress, d.Incarnation) })
	}
	for _, address := range n.unknownSeeds() {
		round.Go(func() { n.sendHeartbeat(ctx, address, "") })
	}
	round.Wait()
}

// unknownSeeds returns the seed addresses at which no daemon is known that has
// not left.
func (n *Node) unknownSeeds() []string {
	known := map[string]bool{n.registry.Self().PeerAddress: true}
	for _, d := range n.registry.All() {
		if d.State != member.Left {
			known[d.PeerAddress] = true
		}
	}
	n.instancesMu.Lock()
	defer n.instancesMu.Unlock()
	var out []string
	for address := range n.seeds {
		if !known[address] {
			out = append(out, address)
		}
	}
	return out
}

// sendHeartbeat sends a heartbeat to a daemon and processes the reply.
// incarnation is the expected one; empty if it is not known.
func (n *Node) sendHeartbeat(ctx context.Context, address, incarnation string) {
	interval := settings.MS(n.settings.Timing.HeartbeatMS)
	callCtx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	sent := n.clock.Now()
	reply, err := n.peerClient.Heartbeat(callCtx, address, n.heartbeat())
	if err == nil && (incarnation == "" || reply.From.Incarnation == incarnation) {
		n.handleReply(ctx, reply, sent)
		return
	}
	if incarnation != "" && ctx.Err() == nil {
		n.heartbeatMissed(incarnation)
	}
	if err == nil {
		// The daemon at this address was restarted: it has another incarnation.
		n.handleReply(ctx, reply, sent)
	}
}

// heartbeatMissed records an unanswered heartbeat. It marks the daemon as suspect
// after Timing.SuspectAfter of them in a row.
func (n *Node) heartbeatMissed(incarnation string) {
	n.missedMu.Lock()
	n.missedHeartbeats[incarnation]++
	suspect := n.missedHeartbeats[incarnation] >= n.settings.Timing.SuspectAfter
	n.missedMu.Unlock()
	if suspect {
		n.registry.Suspect(incarnation)
	}
}

// handleReply processes the reply to a heartbeat that was sent at sent. It fetches
// the configuration and the ratings if the peer has newer ones, and the membership
// table if the peer's is different.
func (n *Node) handleReply(ctx context.Context, reply peer.Heartbeat, sent time.Time) {
	n.missedMu.Lock()
	delete(n.missedHeartbeats, reply.From.Incarnation)
	n.missedMu.Unlock()
	n.reachability.recordReply(reply.From.Incarnation, sent)
	n.mergeHeartbeat(reply)
	address := reply.From.PeerAddress
	if reply.Generation > n.follower.Generation() {
		n.fetchConfig(ctx, address)
	}
	if reply.ConfirmedMS >= 0 {
		n.follower.Confirm(reply.Generation, sent.Add(-settings.MS(reply.ConfirmedMS)))
	}
	if reply.RatingSeq > n.ratings.Seq() {
		if summary, err := n.peerClient.Ratings(ctx, address); err == nil {
			n.ratings.Install(summary)
		}
	}
	if reply.Digest != n.registry.Digest() && n.allowSync() {
		n.syncMembers(ctx, address)
	}
}

const (
	// memberBytes is the encoded size of one daemon in a membership table.
	memberBytes = 88
	// syncBytesPerSecond limits the rate at which this daemon fetches whole
	// membership tables. Digests differ whenever updates are still spreading by
	// heartbeats; the whole table is only needed for updates that were missed.
	syncBytesPerSecond = 250
)

// allowSync reports whether the rate limit permits fetching a whole membership
// table now. If so, it counts one fetch.
func (n *Node) allowSync() bool {
	size := float64(len(n.registry.All()) * memberBytes)
	interval := time.Duration(size / syncBytesPerSecond * float64(time.Second))
	n.lastSyncMu.Lock()
	defer n.lastSyncMu.Unlock()
	now := n.clock.Now()
	if !n.lastSync.IsZero() && now.Sub(n.lastSync) < interval {
		return false
	}
	n.lastSync = now
	return true
}

// syncMembers merges the whole membership table of a peer.
func (n *Node) syncMembers(ctx context.Context, address string) {
	if all, err := n.peerClient.Members(ctx, address); err == nil {
		n.registry.Merge(all)
	}
}
