package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// Only two daemons, the store readers, read the store. They send store updates
// (peer.StoreUpdate) to all others. In a large fleet, which is split into groups, they send them
// to the readers of each group, who relay them to the group.
//
// A daemon that has not received an update for too long takes it from a peer that has, or else
// reads the store itself. The readers of a group do so first and send what they have read to
// their group. Daemons that crash, freeze or are rejected by the store thus delay no other
// daemon beyond the required times.
const (
	// maxFleetGroup is the number of daemons up to which the whole fleet is one reader group.
	// In a larger fleet each failure domain is a group. A reader thus sends updates to no more
	// daemons than a failure domain of a large fleet has.
	maxFleetGroup = 100
	// maxFleetWorkGroup is the same limit for the exchange of outstanding work at upstream
	// instances. These updates are sent ten times as often and take most of a reader's
	// bandwidth.
	maxFleetWorkGroup = 32
	// readerRankKey is the key of the rendezvous order in which readers are chosen.
	readerRankKey = "reader"
	// readersPerGroup is two, so that the failure of one reader has no effect.
	readersPerGroup = 2
	// fastLinkFraction is the fraction of the fastest link in a group that a reader's link
	// should have. Hosts come in a few kinds whose links differ by more than this factor.
	fastLinkFraction = 0.5
	// lateUpdateMargin is added to the interval between two reads of the list; a daemon that
	// gets no update for longer reads the store itself. In a group, the daemons that are not its
	// readers wait for another relayMargin, so that a failure of the store readers does not make
	// all daemons read the store.
	lateUpdateMargin = 400 * time.Millisecond
	relayMargin      = 400 * time.Millisecond
	// checkInterval is how often a daemon checks whether it must read the store.
	checkInterval = 150 * time.Millisecond
	// minSentManifest is the size, in bytes, up to which an encoded configuration is always sent,
	// and manifestSendTime the time that sending a longer one may take on this daemon's link.
	// Other daemons read a configuration that takes longer themselves: on a link of 10 Mbit/s,
	// 400 kB for a dozen peers take four seconds and delay all other updates.
	minSentManifest  = 32 << 10
	manifestSendTime = 300 * time.Millisecond
	// maxRelayQueue limits the updates that wait to be relayed. A daemon that misses one takes it
	// from a peer.
	maxRelayQueue = 16
)

// wholeFleet is the reader group of all daemons.
const wholeFleet = ""

// readerGroup returns this daemon's reader group: a failure domain, or wholeFleet.
func (n *Node) readerGroup() string { return n.groupUpTo(maxFleetGroup) }

// workGroup returns the group of the daemons with which this daemon exchanges the outstanding
// work at upstream instances.
func (n *Node) workGroup() string { return n.groupUpTo(maxFleetWorkGroup) }

// groupUpTo returns wholeFleet if there are at most the given number of daemons, or else this
// daemon's failure domain.
func (n *Node) groupUpTo(limit int) string {
	if max(n.registry.LiveCount(), n.startup.fleetHint()) <= limit {
		return wholeFleet
	}
	return n.settings.FailureDomain
}

// isSplit reports whether the fleet is split into several reader groups.
func (n *Node) isSplit() bool { return n.readerGroup() != wholeFleet }

// inGroup returns a filter for the daemons of a group.
func inGroup(group string) func(member.Daemon) bool {
	return func(d member.Daemon) bool { return group == wholeFleet || d.FailureDomain == group }
}

// isReader reports whether this daemon is one of the readers of its group and is not leaving.
func (n *Node) isReader() bool { return n.isReaderOf(n.readerGroup()) }

// isStoreReader reports whether this daemon reads the store for the whole fleet.
func (n *Node) isStoreReader() bool { return n.mayBeElected() && n.isReaderOf(wholeFleet) }

func (n *Node) isReaderOf(group string) bool {
	return !n.leaving.Load() && member.Contains(n.readers(readersPerGroup, group), n.registry.Self().Incarnation)
}

// listInterval returns the interval between two reads of the instance list.
func (n *Node) listInterval() time.Duration {
	share := time.Duration(listReadFraction * float64(n.settings.DrainMS) * float64(time.Millisecond))
	return min(share, maxListInterval)
}

// mustReadList reports whether this daemon has to read the list itself. A daemon that has just
// started and got no answer from the store does not read the list; its reads of the operator's
// rows show when the store is available again.
func (n *Node) mustReadList() bool {
	if n.storeHealth.isLost() && n.freshness.view().confirmedAt.IsZero() {
		return false
	}
	return n.isStoreReader() || n.listIsLate()
}

// listIsLate reports whether the list has not been confirmed for too long.
func (n *Node) listIsLate() bool { return n.table.Age() > n.maxUpdateAge() }

// maxUpdateAge is the age of the last update from which it counts as late.
func (n *Node) maxUpdateAge() time.Duration {
	age := n.listInterval() + lateUpdateMargin
	if n.isSplit() && !n.isReader() {
		age += relayMargin
	}
	return age
}

// mustReadOperator reports whether this daemon has to read the operator's rows itself. Daemons
// that have not read any or lack rows that a peer has always do. While the store is unavailable
// only readers do otherwise; another daemon notices through its reads of the list that the
// store is available again.
func (n *Node) mustReadOperator() bool {
	view := n.freshness.view()
	switch {
	case view.confirmedAt.IsZero() || n.behind.Load() || n.isStoreReader():
		return true
	case n.storeHealth.isLost():
		return false
	default:
		return n.clock.Since(view.confirmedAt) > n.maxUpdateAge()
	}
}

// sendListChanges sends the result of a read of the list. An update without changes confirms
// that the list is current.
func (n *Node) sendListChanges(ctx context.Context, update peer.StoreUpdate) {
	update.ListAge, update.Doubted = n.table.Age(), n.graceLeft()
	n.sendUpdate(ctx, update)
}

// sendOperatorRows sends the operator's changes.
//
// The update contains every change after revision base unless the configuration is too long.
// Daemons that have all rows up to base then need not read the store.
func (n *Node) sendOperatorRows(ctx context.Context, rows platform.OperatorUpdate, base int64, evacuated bool) {
	update := peer.StoreUpdate{Manifest: rows.Manifest, Orders: rows.Orders, List: noList, OperatorBase: base, OperatorWhole: true}
	if evacuated {
		update.Evacuations = n.evacuations.Orders()
	}
	n.sendUpdate(ctx, update)
}

// noList is the list revision of an update without a list.
const noList = -1

// withFreshness adds the sender and the age of its operator rows to an update.
func (n *Node) withFreshness(update peer.StoreUpdate) peer.StoreUpdate {
	update.From, update.Evacuated = n.registry.Self().PeerAddress, n.evacuations.Checksum()
	view := n.freshness.view()
	update.OperatorRead, update.OperatorChanged, update.OperatorAge = view.readRevision, view.changedRevision, n.clock.Since(view.confirmedAt)
	return update
}

// sendUpdate sends what this daemon has read from the store: to its group if it is a reader of
// the group, and to the readers of all other groups if it reads for the whole fleet.
func (n *Node) sendUpdate(ctx context.Context, update peer.StoreUpdate) {
	update = n.withFreshness(update)
	var sends sync.WaitGroup
	if n.isSplit() && n.isStoreReader() {
		relayed := update
		relayed.Relay = true
		sends.Go(func() { n.sendTo(ctx, n.relays(), relayed) })
	}
	if n.isReader() {
		sends.Go(func() { n.sendTo(ctx, n.otherDaemons(n.readerGroup()), update) })
	}
	sends.Wait()
}

// relays returns the readers of all other groups.
func (n *Node) relays() []member.Daemon {
	var out []member.Daemon
	for _, domain := range n.otherDomains() {
		out = append(out, n.readers(readersPerGroup, domain)...)
	}
	return out
}

// otherDomains returns the failure domains except this daemon's own.
func (n *Node) otherDomains() []string {
	var out []string
	for domain := range n.settings.FailureDomains {
		if domain != n.settings.FailureDomain {
			out = append(out, domain)
		}
	}
	return out
}

// sendTo sends an update to daemons.
func (n *Node) sendTo(ctx context.Context, daemons []member.Daemon, update peer.StoreUpdate) {
	n.fitManifest(&update, len(daemons))
	n.callEach(ctx, peerCallTimeout, daemons, func(call context.Context, address string) {
		if err := n.peers.SendStoreUpdate(call, address, update); err != nil {
			slog.Debug("update.not_sent", "peer", address, "error", err)
		}
	})
}

// maxSentManifest returns the size in bytes up to which an encoded configuration is sent to that
// many daemons.
func (n *Node) maxSentManifest(daemons int) int {
	const bytesPerMbit = 1e6 / 8
	budget := n.settings.LinkMbps * bytesPerMbit * manifestSendTime.Seconds()
	return max(int(budget)/max(daemons, 1), minSentManifest)
}

// relayLoop relays updates of the store readers to this daemon's group.
func (n *Node) relayLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-n.relayQueue:
			n.sendTo(ctx, n.otherDaemons(n.readerGroup()), update)
		}
	}
}

// queueRelay queues an update for this daemon's group. A configuration that has been relayed
// already, since both store readers send it, is left out.
func (n *Node) queueRelay(update peer.StoreUpdate) {
	update.Relay, update.Packed = false, nil
	if len(update.Manifest) > 0 && n.relayedConfig.Swap(max(update.OperatorChanged, n.relayedConfig.Load())) >= update.OperatorChanged {
		update.Manifest, update.OperatorWhole = nil, false
	}
	select {
	case n.relayQueue <- update:
	default:
		slog.Warn("update.not_relayed", "list", update.List, "queued", maxRelayQueue)
	}
}

// otherDaemons returns the live daemons of a group, except this one.
func (n *Node) otherDaemons(group string) []member.Daemon {
	own, matches := n.registry.Self().PeerAddress, inGroup(group)
	return slices.DeleteFunc(n.registry.Live(), func(d member.Daemon) bool {
		return d.PeerAddress == own || !matches(d)
	})
}

// lacksOperatorRows reports whether this daemon has to get the operator's rows from a peer or
// the store.
func (n *Node) lacksOperatorRows() bool {
	return (n.isSplit() || n.storeHealth.isLost()) && (n.freshness.view().confirmedAt.IsZero() || n.behind.Load())
}

// adoptFreshness records the operator's rows of a sync reply, which has been applied, as current
// when the peer confirmed its own.
func (n *Node) adoptFreshness(reply peer.SyncReply) {
	if !reply.OperatorKnown || !n.evacuations.Loaded() || reply.OperatorRead < n.freshness.view().readRevision {
		return
	}
	n.behind.Store(false)
	n.freshness.record(n.clock.Now().Add(-reply.OperatorAge), reply.OperatorRead, false)
	n.freshness.noteChanged(reply.OperatorChanged)
}

// applyFreshness records this daemon's operator rows as current when the reader confirmed its
// own, if this daemon has the same rows after applying the update. Otherwise it marks this
// daemon as behind, so that it reads the rows itself.
func (n *Node) applyFreshness(update peer.StoreUpdate) {
	view := n.freshness.view()
	if view.confirmedAt.IsZero() {
		return
	}
	// An update that begins after this daemon's revision shows that another one was missed.
	continues := update.OperatorWhole && view.readRevision >= update.OperatorBase
	complete := update.OperatorWhole && update.OperatorBase == allRows && len(update.Manifest) > 0
	upToDate := view.readRevision >= update.OperatorChanged || continues || complete
	if !upToDate || update.Evacuated != n.evacuations.Checksum() {
		n.behind.Store(true)
		return
	}
	n.freshness.record(n.clock.Now().Add(-update.OperatorAge), update.OperatorRead, view.readRevision < update.OperatorChanged)
}

// wholeListGraceEnd returns until when entries are kept that are missing from a reader's whole
// list: the later of the reader's grace period and this daemon's own.
func (n *Node) wholeListGraceEnd(remaining time.Duration) time.Time {
	now := n.clock.Now()
	until := n.readerGrace.adopt(now, remaining, n.listIsLate())
	if own := n.graceEnd(now); own.After(until) {
		return own
	}
	return until
}

// OnStoreUpdate implements peer.RoutesHandler.
func (n *Node) OnStoreUpdate(update peer.StoreUpdate) {
	n.unpackUpdate(&update)
	if update.Relay {
		n.queueRelay(update)
	}
	n.store.NoteRevision(max(update.List, update.OperatorRead))
	if len(update.Evacuations) > 0 {
		n.enforceEvacuations(n.evacuations.MergeAll(update.Evacuations), update.From)
	}
	n.applyManifest(update.Manifest, update.From)
	for _, o := range update.Orders {
		n.addOrder(o, update.From)
	}
	if len(update.Manifest) > 0 || len(update.Orders) > 0 || len(update.Evacuations) > 0 {
		n.requestHeartbeat()
	}
	n.applyFreshness(update)
	if update.List == noList {
		return
	}
	n.readerGrace.noteUpdate(n.clock.Now(), update.Doubted)
	revision := n.table.Revision()
	switch {
	case !n.table.Loaded() || revision < update.Base:
		// An update was missed. The list becomes late, and this daemon then reads it or takes
		// it from a peer.
	case revision >= update.List:
		n.table.Confirm(update.ListAge)
	default:
		graceEnd := n.readerGrace.adopt(n.clock.Now(), update.Doubted, n.listIsLate())
		if update.Reread {
			graceEnd = n.wholeListGraceEnd(update.Doubted)
		}
		n.table.Apply(update.Changes, update.List, graceEnd)
		n.table.Confirm(update.ListAge)
	}
}
