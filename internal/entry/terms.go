package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
)

const (
	// termsInterval is how often a daemon checks whether it has to read the overrides.
	termsInterval = 500 * time.Millisecond
	// termsReadInterval is how often a store reader reads the overrides again. Daemons send each
	// other what they store; a read finds only what a daemon has stored just before it ended.
	termsReadInterval = time.Minute
	// maxTermsRelays limits the updates that wait to be relayed. A daemon that misses one gets the
	// overrides after a heartbeat.
	maxTermsRelays = 16
)

// termsManager keeps the terms of organisations that are in force, and changes them for operators.
//
// Lock order: refreshMu is taken before the locks of terms.Book and capacity.Account. No other lock
// is taken while mu is held.
type termsManager struct {
	*Node
	book *terms.Book
	// refreshMu is held while terms are put in force, so that older ones do not replace newer ones.
	refreshMu sync.Mutex
	relayed   chan peer.TermsUpdate

	mu sync.Mutex
	// triedAt is when this daemon, as a store reader, last began to read and tidy up the rows, and
	// tidiedAt when it last succeeded, in the store's era tidiedEra. readAt is when the rows were
	// last read for any purpose.
	triedAt, tidiedAt, readAt time.Time
	tidiedEra                 int64

	counters termsCounters
}

// termsCounters are counters of overrides.
type termsCounters struct {
	// reads are reads of the store, stored and refused the operators' changes, and transitions the
	// times that terms have come into force or ended.
	reads, stored, refused, transitions atomic.Int64
}

func newTermsManager(n *Node) *termsManager {
	t := &termsManager{Node: n, book: terms.NewBook(n.settings.Overload.Organisations), relayed: make(chan peer.TermsUpdate, maxTermsRelays)}
	n.account.SetTerms(terms.ForAccount(n.settings.Overload.Organisations.Values()))
	return t
}

// readLoop reads the overrides when due.
func (t *termsManager) readLoop(ctx context.Context) {
	for t.sleep(ctx, termsInterval) {
		if t.readDue() {
			t.readAndTidy(ctx)
		}
	}
}

// refresh puts the present terms in force. It is called at every change and, since overrides end by
// themselves, every cleanupInterval.
func (t *termsManager) refresh() {
	t.refreshMu.Lock()
	defer t.refreshMu.Unlock()
	now := t.clock.Now()
	changes := t.book.Transitions(now, t.overload.FairSharesAnywhere())
	if len(changes) == 0 {
		return
	}
	t.account.SetTerms(terms.ForAccount(terms.ValuesOf(t.book.InForce(now))))
	t.counters.transitions.Add(int64(len(changes)))
	for _, c := range changes {
		logTransition(c)
	}
}

func logTransition(c terms.Transition) {
	event, by := "terms.in_force", c.Override
	args := []any{"organisation", c.Organisation, "weight", c.Weight, "minimum", c.Minimum, "cap", c.Cap}
	if c.Ended != "" {
		event = "terms.ended"
		args = append(args, "cause", string(c.Ended))
		if c.By != nil {
			by = c.By
		}
	}
	if by == nil {
		args = append(args, "source", sourceSettings)
	} else {
		args = append(args, "source", sourceOverride, "version", by.Version, "who", by.Who, "reason", by.Reason)
	}
	if c.Ended == "" && c.Override != nil {
		args = append(args, "left_ms", c.Override.Left.Milliseconds())
	}
	slog.Info(event, args...)
}

// apply merges overrides of a peer or the store, and returns those that are new.
func (t *termsManager) apply(overrides []terms.Override) []terms.Override {
	changed := t.book.Merge(overrides, t.clock.Now())
	if len(changed) > 0 {
		t.refresh()
		t.requestHeartbeat()
	}
	return changed
}

// send sends overrides to all daemons. In a fleet that is split into groups, the readers of the
// other groups relay them. A daemon that misses them gets them after a heartbeat.
func (t *termsManager) send(ctx context.Context, overrides []terms.Override) {
	if len(overrides) == 0 {
		return
	}
	update := peer.TermsUpdate{From: t.registry.Self().PeerAddress, Overrides: overrides}
	var sends sync.WaitGroup
	if t.isSplit() {
		relayed := update
		relayed.Relay = true
		sends.Go(func() {
			t.callEach(ctx, peerCallTimeout, t.relays(), func(call context.Context, address string) { t.sendTo(call, address, relayed) })
		})
	}
	t.sendToGroup(ctx, update)
	sends.Wait()
}

func (t *termsManager) sendToGroup(ctx context.Context, update peer.TermsUpdate) {
	t.callEach(ctx, peerCallTimeout, t.otherDaemons(t.readerGroup()), func(call context.Context, address string) { t.sendTo(call, address, update) })
}

func (t *termsManager) sendTo(ctx context.Context, address string, update peer.TermsUpdate) {
	if err := t.peers.SendTermsUpdate(ctx, address, update); err != nil {
		// Daemons of an older build do not have the call.
		slog.Debug("terms.not_sent", "peer", address, "error", err)
	}
}

// relayLoop relays updates to this daemon's group.
func (t *termsManager) relayLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-t.relayed:
			t.sendToGroup(ctx, update)
		}
	}
}

// OnTermsUpdate implements peer.RoutesHandler.
func (n *Node) OnTermsUpdate(update peer.TermsUpdate) {
	n.terms.apply(update.Overrides)
	if !update.Relay {
		return
	}
	update.Relay = false
	select {
	case n.terms.relayed <- update:
	default:
		slog.Warn("terms.not_relayed", "count", len(update.Overrides))
	}
}

// termsVars are the counters of the terms of organisations in /debug/vars.
type termsVars struct {
	// Overrides is the number of overrides in force.
	Overrides int `json:"overrides"`
	// Reads counts reads of the store, Stored and Refused the operators' changes at this daemon, and
	// Transitions the times that terms have come into force or ended.
	Reads       int64 `json:"reads"`
	Stored      int64 `json:"stored"`
	Refused     int64 `json:"refused"`
	Transitions int64 `json:"transitions"`
}

func (t *termsManager) vars() termsVars {
	c := &t.counters
	out := termsVars{Reads: c.reads.Load(), Stored: c.stored.Load(), Refused: c.refused.Load(), Transitions: c.transitions.Load()}
	for _, e := range t.book.InForce(t.clock.Now()) {
		if e.Override != nil {
			out.Overrides++
		}
	}
	return out
}
