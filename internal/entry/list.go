package entry

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// listReadFraction is the interval between two reads of the instance list as a fraction of the
// time for which leaving instances still serve. A long poll would return at once, since
// heartbeats of the instances change the list all the time; reading at an interval takes a
// tenth of the calls.
const listReadFraction = 0.33

// maxListInterval limits the interval between two reads of the list, however long leaving
// instances serve. A read of the list also shows whether there are new operator rows: the long
// poll for these may be lost, and a configuration must be in force within seconds.
const maxListInterval = 1500 * time.Millisecond

// watchInstances keeps the list of upstream instances up to date.
func (n *Node) watchInstances(ctx context.Context) {
	var failed retries
	whole := false
	n.startup.awaitContact(ctx, n.peers.HasConnections)
	for ctx.Err() == nil {
		if !n.mustReadList() || !n.table.Loaded() && n.mustAwaitPeers() {
			n.sleep(ctx, checkInterval)
			continue
		}
		if n.catchesUp() && n.table.Loaded() && n.catchUpList(ctx) {
			continue
		}
		whole = whole || n.staleWindow.takeListDue(n.clock.Now())
		asked := n.clock.Now()
		err := n.readList(ctx, whole)
		compacted := errors.Is(err, platform.ErrCompacted)
		whole = compacted || whole && err != nil
		switch {
		case ctx.Err() != nil:
			return
		case compacted:
			// An instance may have left in the part of the history that the store has dropped;
			// only a read of the whole list shows it.
			slog.Warn("store.history_gone", "table", "instances", "revision", n.table.Revision())
		case err != nil:
			n.backOff(ctx, &failed, asked)
		default:
			failed.failures = 0
			n.publishCallerURL()
			n.sleep(ctx, n.listInterval())
		}
	}
}

// readList reads the whole list or all changes since the last read, applies them and sends them
// to the daemons of the group.
func (n *Node) readList(ctx context.Context, whole bool) error {
	if whole || !n.table.Loaded() {
		return n.readWholeList(ctx)
	}
	for {
		more, err := n.readListChanges(ctx)
		if !more || err != nil {
			return err
		}
	}
}

func (n *Node) readWholeList(ctx context.Context) error {
	base, first := n.table.Revision(), !n.table.Loaded()
	rows, err := n.readInstances(ctx, n.store.ReadInstances)
	if err != nil {
		return err
	}
	graceEnd := n.graceEnd(n.clock.Now())
	replaced := n.table.Replace(snapshot(rows), graceEnd)
	slog.Info("instances.read", "count", len(rows.Changes), "revision", rows.Revision, "doubted", graceEnd.After(n.clock.Now()), "taken", replaced)
	if replaced && !first {
		// The first list of a daemon that has just started is not new to the others.
		n.sendReread(ctx, base)
	}
	return nil
}

// readListChanges reads the next changes of the list. It reports whether there may be more: in a
// large fleet that starts, more instances register between two reads than the store returns at
// once.
func (n *Node) readListChanges(ctx context.Context) (more bool, err error) {
	base := n.table.Revision()
	rows, err := n.readInstances(ctx, func(ctx context.Context) (platform.InstanceUpdate, error) {
		return n.store.ReadInstancesAfter(ctx, base, 0)
	})
	if err != nil {
		return false, err
	}
	update, ok := n.applyChanges(rows, n.graceEnd(n.clock.Now()))
	// The revision of the list also shows whether the operator's rows are up to date. This is
	// done before the update is sent, since the update also contains how new these rows are.
	n.confirmOperator(ctx, rows.Revision)
	if ok {
		n.sendListChanges(ctx, update)
	}
	return rows.More, nil
}

// readInstances calls read and records whether the store answered.
func (n *Node) readInstances(ctx context.Context, read func(context.Context) (platform.InstanceUpdate, error)) (platform.InstanceUpdate, error) {
	asked := n.clock.Now()
	rows, err := read(ctx)
	if ctx.Err() != nil {
		return rows, ctx.Err()
	}
	n.storeHealth.record(asked, n.clock.Now(), err)
	if n.storeHealth.isLost() {
		// The long poll may have been lost with this call, and would hide that the store is back.
		n.operatorPoll.abortHeld(n.clock.Now())
	}
	if count := len(rows.Malformed); err == nil && count > 0 {
		// Logs one line per read, however many entries are malformed.
		slog.Error("instances.unreadable", "revision", rows.Revision, "count", count, "first", rows.Malformed[0])
	}
	return rows, err
}

// sendReread sends the changes that were found by reading the whole list, since a revision. If
// they are too many, the other daemons fetch the list.
func (n *Node) sendReread(ctx context.Context, base int64) {
	changes, revision, ok := n.table.ChangesSince(base)
	if ok {
		n.sendListChanges(ctx, peer.StoreUpdate{Changes: changes, Reread: true, Base: base, List: revision})
	}
}

// applyChanges applies the changes of a read and returns the update for the daemons of the
// group. ok is false if this daemon already has a newer list.
func (n *Node) applyChanges(rows platform.InstanceUpdate, graceEnd time.Time) (update peer.StoreUpdate, ok bool) {
	changes, from, ok := n.table.Apply(rows.Changes, rows.Revision, graceEnd)
	return peer.StoreUpdate{Changes: changes, Base: from, List: rows.Revision}, ok
}

func snapshot(rows platform.InstanceUpdate) inventory.Snapshot {
	s := inventory.Snapshot{Revision: rows.Revision, Warming: map[string]time.Duration{}}
	for _, c := range rows.Changes {
		switch {
		case c.Instance != nil:
			s.Instances = append(s.Instances, *c.Instance)
			if c.Warming > 0 {
				s.Warming[c.ID] = c.Warming
			}
		case c.Unreadable:
			s.Unreadable = append(s.Unreadable, c.ID)
		}
	}
	return s
}
