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

// listShare is the part of the time allowed for a leaving instance after
// which the list is read again. Heartbeats of the instances change the
// list all the time, so a question that waits for news would be answered
// at once; reading at a pace costs a tenth of the calls.
const listReadFraction = 0.33

// maxListPace bounds the time between two reads of the list, which also tell whether the
// operator has written something: a question for that may be lost, and a configuration must
// be in force within seconds, however long leaving instances are allowed.
const maxListInterval = 1500 * time.Millisecond

// watchInstances follows the list of upstream instances.
func (n *Node) watchInstances(ctx context.Context) {
	var wait backoff
	whole := false
	for ctx.Err() == nil {
		if !n.mustReadList() {
			n.sleep(ctx, checkInterval)
			continue
		}
		whole = whole || n.staleWindow.takeListDue(n.clock.Now())
		err := n.readList(ctx, whole)
		lost := errors.Is(err, platform.ErrCompacted)
		whole = lost || whole && err != nil
		switch {
		case ctx.Err() != nil:
			return
		case lost:
			// A server may have left in what is gone: only the whole list
			// tells.
			slog.Warn("store.history_gone", "table", "instances", "revision", n.table.Revision())
		case err != nil:
			n.backOff(ctx, &wait)
		default:
			wait.failures = 0
			n.publishCallerURL()
			n.sleep(ctx, n.listInterval())
		}
	}
}

// readList reads the whole list, or what changed in it.
func (n *Node) readList(ctx context.Context, whole bool) error {
	base := n.table.Revision()
	first := !n.table.Loaded()
	whole = whole || first
	asked := n.clock.Now()
	var news platform.InstanceNews
	var err error
	if whole {
		news, err = n.store.Instances(ctx)
	} else {
		news, err = n.store.InstancesAfter(ctx, base, 0)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	n.storeHealth.record(asked, n.clock.Now(), err)
	if err != nil {
		return err
	}
	if n := len(news.Malformed); n > 0 {
		// One line a read, however many writers are at fault.
		slog.Error("instances.unreadable", "revision", news.Revision, "count", n, "first", news.Malformed[0])
	}
	doubted := n.graceEnd(n.clock.Now())
	if whole {
		taken := n.table.Replace(snapshot(news), doubted)
		slog.Info("instances.read", "count", len(news.Changes), "revision", news.Revision, "doubted", doubted.After(n.clock.Now()), "taken", taken)
		if taken && !first {
			// The first list of a daemon that has just started is no news to others.
			n.sendWholeList(ctx)
		}
		return nil
	}
	told, ok := n.applyChanges(news, doubted)
	// What is told of the list tells how new the operator's rows are, too.
	n.confirmOperator(ctx, news.Revision)
	if ok {
		n.sendListChanges(ctx, told)
	}
	return nil
}

// takeChanges takes in what changed in the list, and returns what is to be told
// of it; ok is false when this daemon knows a newer list already.
func (n *Node) applyChanges(news platform.InstanceNews, doubted time.Time) (told peer.StoreUpdate, ok bool) {
	changes, from, ok := n.table.Apply(news.Changes, news.Revision, doubted)
	return peer.StoreUpdate{Changes: changes, Base: from, List: news.Revision}, ok
}

func snapshot(news platform.InstanceNews) inventory.Snapshot {
	s := inventory.Snapshot{Revision: news.Revision, Warming: map[string]time.Duration{}}
	for _, c := range news.Changes {
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
