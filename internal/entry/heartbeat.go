package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

func (n *Node) requestHeartbeat() {
	select {
	case n.heartbeatNow <- struct{}{}:
	default:
	}
}

// heartbeatLoop sends heartbeats at the regular interval and when there are changes to spread.
func (n *Node) heartbeatLoop(ctx context.Context) {
	targets := n.heartbeatTargets
	for ctx.Err() == nil {
		n.heartbeatRound(ctx, targets())
		if n.startup.isContacting() {
			n.sleep(ctx, contactInterval)
			continue
		}
		select {
		case <-n.heartbeatNow:
			n.sleep(ctx, max(heartbeatBatchDelay, time.Duration(n.registry.LiveCount())*batchDelayPerDaemon))
			targets = n.heartbeatTargets
		case <-n.clock.After(heartbeatInterval):
			targets = n.registry.QuietTargets
		case <-ctx.Done():
		}
	}
}

// heartbeatRound sends heartbeats to the targets and to addresses at which no daemon is known.
func (n *Node) heartbeatRound(ctx context.Context, targets []member.Daemon) {
	var round sync.WaitGroup
	for _, d := range targets {
		round.Go(func() { _ = n.sendHeartbeat(ctx, d) })
	}
	round.Go(func() { n.contactPeers(ctx, n.findPeers(ctx)) })
	round.Wait()
}

// heartbeatTargets returns the daemons that get a heartbeat when there are changes to spread. In
// a fleet that is split into groups, readers also send one to the first reader of each other
// group, through which membership changes reach it.
func (n *Node) heartbeatTargets() []member.Daemon {
	targets := n.registry.HeartbeatTargets()
	if !n.isSplit() || !n.isReader() {
		return targets
	}
	for _, domain := range n.otherDomains() {
		for _, d := range n.readers(1, domain) {
			if !member.Contains(targets, d.Incarnation) {
				targets = append(targets, d)
			}
		}
	}
	return targets
}

// contactPeers sends heartbeats to addresses at which no daemon is known, in random order and
// with contactInterval between them, until one answers. When a large fleet starts, its daemons
// thus share the load between the seeds.
func (n *Node) contactPeers(ctx context.Context, addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	results := make(chan error, len(addresses))
	var all sync.WaitGroup
	defer all.Wait()
	for _, address := range addresses {
		all.Go(func() {
			err := n.sendHeartbeat(ctx, member.Daemon{PeerAddress: address})
			n.startup.noteContact(err)
			results <- err
		})
		select {
		case err := <-results:
			if err == nil {
				return
			}
		case <-n.clock.After(contactInterval):
		case <-ctx.Done():
			return
		}
	}
}

// carriesNews reports whether heartbeats exchanged with a daemon contain membership changes. In
// a fleet that is split into groups, only those inside a group and those of readers do: if each
// daemon exchanged them with daemons of other failure domains, every change would cross domains
// hundreds of times.
func (n *Node) carriesNews(d member.Daemon) bool {
	if !n.isSplit() || d.Incarnation == "" || d.FailureDomain == n.settings.FailureDomain || n.isReader() {
		return true
	}
	return member.Contains(n.readers(readersPerGroup, d.FailureDomain), d.Incarnation)
}

// callEach calls f for all daemons in parallel with a common timeout and waits for all calls.
func (n *Node) callEach(ctx context.Context, timeout time.Duration, daemons []member.Daemon, f func(ctx context.Context, address string)) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var all sync.WaitGroup
	for _, d := range daemons {
		all.Go(func() { f(call, d.PeerAddress) })
	}
	all.Wait()
}

// heartbeat returns a heartbeat with the current state of this daemon for another daemon, which
// may be known by its address only.
func (n *Node) heartbeat(to member.Daemon) peer.RoutesHeartbeat {
	h := peer.RoutesHeartbeat{
		From: n.registry.Self(), Digest: n.registry.Digest(),
		Config: n.configVersion(), List: n.table.Revision(), Quarantine: n.quarantine.list.Checksum(), Left: n.table.RecentlyLeaving(),
		Terms:     n.terms.book.Checksum(n.clock.Now()),
		Evacuated: n.evacuations.Checksum(), Limits: n.table.RecentLimits(), Live: n.registry.LiveCount(),
		Fragile: n.table.FragileNews(),
	}
	if n.carriesNews(to) {
		h.News = n.registry.NextUpdates()
	}
	_, h.Limited = n.table.LimitsInForce()
	_, states := n.rollouts.Orders()
	for _, s := range states {
		h.Shifts += max(s.Order, s.Restated) + int64(s.Step)
		if s.Stopped {
			h.Shifts += stoppedSteps
		}
	}
	return h
}

// sendHeartbeat sends a heartbeat to a daemon and applies the reply. Another incarnation in the
// reply counts as a miss, because that of the given daemon has then ended. The incarnation is
// empty for an address at which no daemon is known.
func (n *Node) sendHeartbeat(ctx context.Context, to member.Daemon) error {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	mine := n.heartbeat(to)
	reply, err := n.peers.RoutesHeartbeat(call, to.PeerAddress, mine)
	if to.Incarnation != "" && (err != nil || reply.From.Incarnation != to.Incarnation) && ctx.Err() == nil {
		n.recordMiss(to.Incarnation, err)
	}
	if err != nil {
		return err
	}
	n.applyHeartbeat(reply)
	if request, lacking := n.missingFrom(reply, mine); lacking {
		n.syncFromPeer(ctx, to.PeerAddress, request)
		if request.Instances {
			n.fetchList(ctx, to.PeerAddress)
		}
	}
	return nil
}

// applyHeartbeat applies a heartbeat or a reply to one.
func (n *Node) applyHeartbeat(h peer.RoutesHeartbeat) {
	n.missedMu.Lock()
	delete(n.missedHeartbeats, h.From.Incarnation)
	n.missedMu.Unlock()
	n.store.NoteRevision(h.List)
	n.newerConfig.note(h.Config, h.From.PeerAddress, n.clock.Now())
	n.startup.noteFleet(h.Live)
	n.mergeLeaving(h)
	n.mergeLimits(h.Limits, h.From.PeerAddress)
	for _, service := range n.table.MergeFragile(h.Fragile) {
		slog.Info("service.fragile", "service", service, "fragile", true, "source", h.From.PeerAddress)
	}
	before := n.registry.Epoch()
	n.registry.Merge(append(h.News, h.From))
	if n.registry.Epoch() != before {
		n.requestHeartbeat()
	}
}

// mergeLeaving merges the instances that a peer found to be leaving, and triggers heartbeats
// if there are new ones.
func (n *Node) mergeLeaving(h peer.RoutesHeartbeat) {
	changed := false
	for _, leaving := range h.Left {
		if n.table.NoteLeaving(leaving) {
			changed = true
			slog.Info("instance.leaving", "instance", leaving.ID, "source", h.From.PeerAddress)
		}
	}
	if changed {
		n.requestHeartbeat()
	}
}

// mergeLimits merges a peer's rate limits of instances, and triggers heartbeats if there are
// new ones.
func (n *Node) mergeLimits(limits []inventory.Limit, source string) {
	changed := n.table.MergeLimits(limits)
	for _, l := range changed {
		l.Log(source)
	}
	if len(changed) > 0 {
		n.requestHeartbeat()
	}
}
