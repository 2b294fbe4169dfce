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

// Few daemons read the store; they tell the others of their group. A daemon
// that has heard nothing fresh for too long reads by itself, so that readers
// that die, freeze or are turned away by the store delay nobody beyond the
// bounds.
const (
	// wholeFleet is the number of daemons up to which they are one group of readers;
	// above, each failure domain is a group of its own, so that news crosses
	// domains only through the store. A reader tells no more daemons then than in
	// a failure domain of a large fleet.
	maxFleetGroup = 100
	// wholeWork is the same for what waits at upstream instances, which is told ten times
	// as often and takes most of a reader's link.
	maxFleetWorkGroup = 32
	// readerDuty names the order in which daemons are chosen.
	readerRankKey = "reader"
	// readersPerGroup is two, so that one that fails is not even noticed.
	readersPerGroup = 2
	// wideLink is the part of the widest link of a group that a reader's should have:
	// instances are of a few kinds, whose links differ by more than that.
	wideLinkFraction = 0.5
	// lateNews is how much later than the readers' pace news may come before a
	// daemon reads by itself.
	lateUpdateMargin = 400 * time.Millisecond
	// checkInterval is how often a daemon looks whether it must read.
	checkInterval = 150 * time.Millisecond
	// toldManifest is the longest encoded configuration that readers pass on.
	// A longer one is read by each daemon itself: some have links of 10 Mbit/s,
	// on which one of 400 kB for a dozen peers takes four seconds and delays
	// all other news.
	maxSentManifest = 32 << 10
)

// group reports whether a daemon is in this one's group of readers.
func (n *Node) readerGroup() func(member.Daemon) bool { return n.groupUpTo(maxFleetGroup) }

// workGroup reports whether a daemon is in the group that tells each other what waits at
// upstream instances.
func (n *Node) workGroup() func(member.Daemon) bool { return n.groupUpTo(maxFleetWorkGroup) }

// groupOf is the whole fleet, up to a number of daemons, or else this failure domain.
func (n *Node) groupUpTo(most int) func(member.Daemon) bool {
	if len(n.registry.Live()) <= most {
		return func(member.Daemon) bool { return true }
	}
	return func(d member.Daemon) bool { return d.FailureDomain == n.settings.FailureDomain }
}

// reader reports whether this daemon is one of those that read the store.
func (n *Node) isReader() bool {
	own := n.registry.Self().Incarnation
	return !n.leaving.Load() && slices.ContainsFunc(n.readers(readersPerGroup, n.readerGroup()),
		func(d member.Daemon) bool { return d.Incarnation == own })
}

// readers returns the first daemons of a group that read the store for it: those with
// wide links, and others only where there are too few of these.
//
// A reader sends news to all of its group several times a second, beside its callers'
// answers. Where few instances have wide links, nearly all readers drawn from all alike
// have narrow ones, and the answers of their callers come late.
func (n *Node) readers(count int, inGroup func(member.Daemon) bool) []member.Daemon {
	widest := 0.0
	for _, d := range n.registry.Live() {
		if inGroup(d) {
			widest = max(widest, d.LinkMbps)
		}
	}
	wide := func(d member.Daemon) bool { return d.LinkMbps >= wideLinkFraction*widest }
	first := n.registry.TopRanked(readerRankKey, count, func(d member.Daemon) bool { return inGroup(d) && wide(d) })
	rest := n.registry.TopRanked(readerRankKey, count-len(first), func(d member.Daemon) bool { return inGroup(d) && !wide(d) })
	return append(first, rest...)
}

// listPace is the time between two reads of the list.
func (n *Node) listInterval() time.Duration {
	share := time.Duration(listReadFraction * float64(n.settings.DrainMS) * float64(time.Millisecond))
	return min(share, maxListInterval)
}

// mustReadList reports whether this daemon has to read the list itself. One that
// has just started and got no answer from the store leaves it to the operator's
// rows to find out when the store is back.
func (n *Node) mustReadList() bool {
	if n.storeHealth.isLost() && n.freshness.view().confirmedAt.IsZero() {
		return false
	}
	return n.isReader() || n.listIsLate()
}

// listIsLate reports whether no reader has told of the list for too long.
func (n *Node) listIsLate() bool { return n.table.Age() > n.maxUpdateAge() }

// newsTime is how old what readers tell may be before it is late.
func (n *Node) maxUpdateAge() time.Duration { return n.listInterval() + lateUpdateMargin }

// mustReadOperator reports whether this daemon has to read the operator's rows
// itself. While the store is away only readers do; another daemon finds out by
// reading the list that it is back.
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

// tellList passes on what a read of the list brought; without changes it tells
// that the list is as it was.
func (n *Node) sendListChanges(ctx context.Context, told peer.StoreUpdate) {
	if !n.isReader() {
		return
	}
	told.ListAge, told.Doubted = n.table.Age(), n.graceLeft()
	n.sendToGroup(ctx, told)
}

// toldInstances is the largest number of instances of which a whole list is passed on.
const maxSentInstances = 300

// tellWholeList passes a list on that was read whole, so that the daemons of the group do not
// all read it.
func (n *Node) sendWholeList(ctx context.Context) {
	whole := n.table.Snapshot()
	if !n.isReader() || len(whole.Instances) > maxSentInstances {
		return
	}
	n.sendToGroup(ctx, peer.StoreUpdate{Whole: &whole, List: whole.Revision, ListAge: n.table.Age(), Doubted: n.graceLeft()})
}

// tellOperator passes on what the operator wrote.
//
// Told whole, news leads on from the revision base, so that daemons which know all up to
// there need not ask the store themselves.
func (n *Node) sendOperatorRows(ctx context.Context, news platform.OperatorNews, base int64, evacuated bool) {
	if !n.isReader() {
		return
	}
	told := peer.StoreUpdate{Manifest: news.Manifest, Orders: news.Orders, List: noList, OperatorBase: base, OperatorWhole: true}
	if len(told.Manifest) > maxSentManifest {
		told.Manifest, told.OperatorWhole = nil, false
	}
	if evacuated {
		told.Evacuations = n.evacuations.Orders()
	}
	n.sendToGroup(ctx, told)
}

// noList stands for the revision of a list in news that has none.
const noList = -1

// dated adds to news who tells it and how new the operator's rows are here.
func (n *Node) withFreshness(news peer.StoreUpdate) peer.StoreUpdate {
	news.From, news.Evacuated = n.registry.Self().PeerAddress, n.evacuations.Checksum()
	view := n.freshness.view()
	news.OperatorRead, news.OperatorChanged, news.OperatorAge = view.readRevision, view.changedRevision, n.clock.Since(view.confirmedAt)
	return news
}

// tell sends news to the daemons of the group.
func (n *Node) sendToGroup(ctx context.Context, news peer.StoreUpdate) {
	news = n.withFreshness(news)
	n.callEach(ctx, peerCallTimeout, n.otherDaemons(n.readerGroup()), func(call context.Context, address string) {
		if err := n.peers.SendStoreUpdate(call, address, news); err != nil {
			slog.Debug("news.not_told", "peer", address, "error", err)
		}
	})
}

// others are the other daemons of a group.
func (n *Node) otherDaemons(inGroup func(member.Daemon) bool) []member.Daemon {
	own := n.registry.Self().PeerAddress
	return slices.DeleteFunc(n.registry.Live(), func(d member.Daemon) bool {
		return d.PeerAddress == own || !inGroup(d)
	})
}

// takeFreshness takes in how new the operator's rows are at a reader, if this daemon knows
// them as well.
func (n *Node) applyFreshness(news peer.StoreUpdate) {
	view := n.freshness.view()
	if view.confirmedAt.IsZero() {
		return
	}
	follows := news.OperatorWhole && view.readRevision >= news.OperatorBase
	known := view.readRevision >= news.OperatorChanged || follows || len(news.Manifest) > 0
	if !known || news.Evacuated != n.evacuations.Checksum() {
		n.behind.Store(true)
		return
	}
	n.freshness.record(n.clock.Now().Add(-news.OperatorAge), news.OperatorRead, view.readRevision < news.OperatorChanged)
}

// keptUntil is until when entries are kept that a reader's whole list lacks: as long as the
// reader doubts it, or this daemon would if it had read it.
func (n *Node) wholeListGraceEnd(told time.Duration) time.Time {
	now := n.clock.Now()
	until := n.readerGrace.extend(now, told, n.listIsLate())
	if own := n.graceEnd(now); own.After(until) {
		return own
	}
	return until
}

// OnNews implements peer.RoutesHandler.
func (n *Node) OnStoreUpdate(news peer.StoreUpdate) {
	n.store.NoteRevision(max(news.List, news.OperatorRead))
	if len(news.Evacuations) > 0 {
		n.enforceEvacuations(n.evacuations.MergeAll(news.Evacuations), news.From)
	}
	n.applyManifest(news.Manifest, news.From)
	for _, o := range news.Orders {
		n.addOrder(o, news.From)
	}
	if len(news.Manifest) > 0 || len(news.Orders) > 0 || len(news.Evacuations) > 0 {
		n.requestHeartbeat()
	}
	n.applyFreshness(news)
	if news.List == noList {
		return
	}
	n.readerGrace.noteUpdate(n.clock.Now(), news.Doubted)
	revision := n.table.Revision()
	switch {
	case news.Whole != nil && revision <= news.List:
		n.table.Replace(*news.Whole, n.wholeListGraceEnd(news.Doubted))
		n.table.Confirm(news.ListAge)
	case !n.table.Loaded() || revision < news.Base:
		// Something was missed; this daemon reads, or asks, for all of it.
	case revision >= news.List:
		n.table.Confirm(news.ListAge)
	default:
		doubted := n.readerGrace.extend(n.clock.Now(), news.Doubted, n.listIsLate())
		n.table.Apply(news.Changes, news.List, doubted)
		n.table.Confirm(news.ListAge)
	}
}
