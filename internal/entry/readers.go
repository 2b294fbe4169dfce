package entry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// Only a few daemons, the readers, read the store; they send store updates (peer.StoreUpdate)
// to the other daemons of their group. A daemon that has not received an update for too long
// reads the store itself, so that readers that crash, freeze or are rejected by the store delay
// no daemon beyond the required times.
const (
	// maxFleetGroup is the number of daemons up to which the whole fleet is one reader group.
	// In a larger fleet each failure domain is a group, and updates cross domains only through
	// the store. A reader thus sends updates to no more daemons than a failure domain of a
	// large fleet has.
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
	// gets no update for longer reads the store itself.
	lateUpdateMargin = 400 * time.Millisecond
	// checkInterval is how often a daemon checks whether it must read the store.
	checkInterval = 150 * time.Millisecond
	// maxSentManifest is the size of the longest encoded configuration that readers send, in
	// bytes. Each daemon reads a longer one itself: on a link of 10 Mbit/s, which some daemons
	// have, 400 kB for a dozen peers take four seconds and delay all other updates.
	maxSentManifest = 32 << 10
)

// readerGroup returns a filter for the daemons of this daemon's reader group.
func (n *Node) readerGroup() func(member.Daemon) bool { return n.groupUpTo(maxFleetGroup) }

// workGroup returns a filter for the daemons with which this daemon exchanges the outstanding
// work at upstream instances.
func (n *Node) workGroup() func(member.Daemon) bool { return n.groupUpTo(maxFleetWorkGroup) }

// groupUpTo returns a filter for the whole fleet if it has at most the given number of
// daemons, or else for this daemon's failure domain.
func (n *Node) groupUpTo(limit int) func(member.Daemon) bool {
	if len(n.registry.Live()) <= limit {
		return func(member.Daemon) bool { return true }
	}
	return func(d member.Daemon) bool { return d.FailureDomain == n.settings.FailureDomain }
}

// isReader reports whether this daemon is one of the readers of its group and is not leaving.
func (n *Node) isReader() bool {
	own := n.registry.Self().Incarnation
	return !n.leaving.Load() && slices.ContainsFunc(n.readers(readersPerGroup, n.readerGroup()),
		func(d member.Daemon) bool { return d.Incarnation == own })
}

// readers returns the first count readers of a group: daemons with fast links, and others only
// if there are too few of these.
//
// A reader sends updates to its whole group several times a second over the link that also
// carries its callers' answers. If few daemons have fast links, readers drawn from all daemons
// mostly have slow links, and the updates delay their callers' answers.
func (n *Node) readers(count int, inGroup func(member.Daemon) bool) []member.Daemon {
	fastest := 0.0
	for _, d := range n.registry.Live() {
		if inGroup(d) {
			fastest = max(fastest, d.LinkMbps)
		}
	}
	fast := func(d member.Daemon) bool { return d.LinkMbps >= fastLinkFraction*fastest }
	first := n.registry.TopRanked(readerRankKey, count, func(d member.Daemon) bool { return inGroup(d) && fast(d) })
	rest := n.registry.TopRanked(readerRankKey, count-len(first), func(d member.Daemon) bool { return inGroup(d) && !fast(d) })
	return append(first, rest...)
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
	return n.isReader() || n.listIsLate()
}

// listIsLate reports whether the list has not been confirmed for too long.
func (n *Node) listIsLate() bool { return n.table.Age() > n.maxUpdateAge() }

// maxUpdateAge is the age of the last update from which it counts as late.
func (n *Node) maxUpdateAge() time.Duration { return n.listInterval() + lateUpdateMargin }

// mustReadOperator reports whether this daemon has to read the operator's rows itself. Daemons
// that have not read any or lack rows that a peer has always do. While the store is unavailable
// only readers do otherwise; another daemon notices through its reads of the list that the
// store is available again.
func (n *Node) mustReadOperator() bool {
	view := n.freshness.view()
	switch {
	case view.confirmedAt.IsZero() || n.behind.Load() || n.isReader():
		return true
	case n.storeHealth.isLost():
		return false
	default:
		return n.clock.Since(view.confirmedAt) > n.maxUpdateAge()
	}
}

// sendListChanges sends the result of a read of the list to the group. An update without
// changes confirms that the list is current.
func (n *Node) sendListChanges(ctx context.Context, update peer.StoreUpdate) {
	if !n.isReader() {
		return
	}
	update.ListAge, update.Doubted = n.table.Age(), n.graceLeft()
	n.sendToGroup(ctx, update)
}

// maxSentInstances is the largest number of instances for which the whole list is sent.
const maxSentInstances = 300

// sendWholeList sends a list that was read in full to the group, so that not every daemon has
// to read it.
func (n *Node) sendWholeList(ctx context.Context) {
	whole := n.table.Snapshot()
	if !n.isReader() || len(whole.Instances) > maxSentInstances {
		return
	}
	n.sendToGroup(ctx, peer.StoreUpdate{Whole: &whole, List: whole.Revision, ListAge: n.table.Age(), Doubted: n.graceLeft()})
}

// sendOperatorRows sends the operator's changes to the group.
//
// The update contains every change after revision base unless the configuration is too long.
// Daemons that have all rows up to base then need not read the store.
func (n *Node) sendOperatorRows(ctx context.Context, rows platform.OperatorUpdate, base int64, evacuated bool) {
	if !n.isReader() {
		return
	}
	update := peer.StoreUpdate{Manifest: rows.Manifest, Orders: rows.Orders, List: noList, OperatorBase: base, OperatorWhole: true}
	if len(update.Manifest) > maxSentManifest {
		update.Manifest, update.OperatorWhole = nil, false
	}
	if evacuated {
		update.Evacuations = n.evacuations.Orders()
	}
	n.sendToGroup(ctx, update)
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

// sendToGroup sends an update to the other daemons of the reader group.
func (n *Node) sendToGroup(ctx context.Context, update peer.StoreUpdate) {
	update = n.withFreshness(update)
	n.callEach(ctx, peerCallTimeout, n.otherDaemons(n.readerGroup()), func(call context.Context, address string) {
		if err := n.peers.SendStoreUpdate(call, address, update); err != nil {
			slog.Debug("update.not_sent", "peer", address, "error", err)
		}
	})
}

// otherDaemons returns the live daemons that match the filter, except this one.
func (n *Node) otherDaemons(inGroup func(member.Daemon) bool) []member.Daemon {
	own := n.registry.Self().PeerAddress
	return slices.DeleteFunc(n.registry.Live(), func(d member.Daemon) bool {
		return d.PeerAddress == own || !inGroup(d)
	})
}

// applyFreshness records this daemon's operator rows as current when the reader confirmed its
// own, if this daemon has the same rows after applying the update. Otherwise it marks this
// daemon as behind, so that it reads the rows itself.
func (n *Node) applyFreshness(update peer.StoreUpdate) {
	view := n.freshness.view()
	if view.confirmedAt.IsZero() {
		return
	}
	continues := update.OperatorWhole && view.readRevision >= update.OperatorBase
	upToDate := view.readRevision >= update.OperatorChanged || continues || len(update.Manifest) > 0
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
	case update.Whole != nil && revision <= update.List:
		n.table.Replace(*update.Whole, n.wholeListGraceEnd(update.Doubted))
		n.table.Confirm(update.ListAge)
	case !n.table.Loaded() || revision < update.Base:
		// An update was missed. The list becomes late, and this daemon then reads it or takes
		// it from a peer.
	case revision >= update.List:
		n.table.Confirm(update.ListAge)
	default:
		graceEnd := n.readerGrace.adopt(n.clock.Now(), update.Doubted, n.listIsLate())
		n.table.Apply(update.Changes, update.List, graceEnd)
		n.table.Confirm(update.ListAge)
	}
}
