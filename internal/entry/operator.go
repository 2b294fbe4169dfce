package entry

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// longPollTime is how long the store may hold a long poll for operator rows. New rows are
// returned at once. Keep-alive probes detect a broken connection, and reads of the instance
// list detect a long poll that is never answered.
const longPollTime = 10 * time.Second

// confirmTimeout limits how long an update of the instance list waits for a read of the
// operator's rows. It is a hundred times the store's usual response time and short enough that
// leaving instances become known to all daemons in time. Daemons without an update by then
// read the store themselves.
const confirmTimeout = lateUpdateMargin

// watchOperator keeps the operator's rows up to date.
func (n *Node) watchOperator(ctx context.Context) {
	var failed retries
	n.startup.awaitContact(ctx, n.peers.HasConnections)
	for ctx.Err() == nil {
		if !n.mustReadOperator() || n.freshness.view().confirmedAt.IsZero() && n.mustAwaitPeers() {
			n.sleep(ctx, checkInterval)
			continue
		}
		if n.catchesUp() && n.catchUpOperator(ctx) {
			continue
		}
		asked := n.clock.Now()
		err := n.readOperator(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			n.backOff(ctx, &failed, asked)
		default:
			failed.failures = 0
		}
	}
}

// readOperator reads the changes of the operator's rows since the last read. A reader uses a
// long poll.
func (n *Node) readOperator(ctx context.Context) error {
	view := n.freshness.view()
	if n.staleWindow.takeOperatorDue(n.clock.Now()) {
		n.wholeReadDue = true
	}
	if n.wholeReadDue || view.confirmedAt.IsZero() {
		return n.readAllOperator(ctx)
	}
	hold := time.Duration(0)
	if n.isStoreReader() && !n.storeHealth.isLost() {
		hold = longPollTime
	}
	asked := n.clock.Now()
	call, done := n.operatorPoll.begin(ctx, asked, hold)
	defer done()
	_, err := n.readOperatorAfter(call, view.readRevision, hold)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case call.Err() != nil:
		// The poll was aborted because it may be lost, or its rows were read by another call.
		slog.Info("operator.poll_aborted", "revision", view.readRevision, "reader", n.isReader(), "asked_ms", n.clock.Since(asked).Milliseconds())
		return nil
	case errors.Is(err, platform.ErrCompacted):
		n.wholeReadDue = true
		if n.clock.Since(n.lastWholeRead) < n.listInterval() {
			// The store keeps no history; all rows are read at the interval of the list.
			n.sleep(ctx, n.listInterval())
		}
		return nil
	}
	return err
}

// allRows is the base of an update with all rows of the operator. These lack orders that are no
// longer in force, so the update does not contain every change after some revision.
const allRows = math.MaxInt64

// readAllOperator reads all rows of the operator.
func (n *Node) readAllOperator(ctx context.Context) error {
	asked := n.clock.Now()
	rows, err := n.store.ReadOperator(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	n.storeHealth.record(asked, n.clock.Now(), err)
	if err != nil {
		n.logReadFailure(0, asked, err)
		return err
	}
	rows = n.withoutStale(rows)
	// The states are read before the orders are applied. An order without its state looks like
	// a roll-out that has just begun, which keeps everything on old instances. After a restart
	// of all daemons these may be gone, and every request would be refused until a daemon
	// holds the duty.
	asked = n.clock.Now()
	if err := n.loadRolloutStates(ctx, rows.Orders); err != nil {
		n.storeHealth.record(asked, n.clock.Now(), err)
		return err
	}
	n.wholeReadDue, n.lastWholeRead = false, n.clock.Now()
	n.applyRead(ctx, rows, allRows)
	return nil
}

// readOperatorAfter reads and applies the operator's changes after a revision and reports
// whether there are any.
func (n *Node) readOperatorAfter(ctx context.Context, after int64, hold time.Duration) (changed bool, err error) {
	asked := n.clock.Now()
	rows, err := n.store.ReadOperatorAfter(ctx, after, hold)
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	n.storeHealth.record(asked, n.clock.Now(), err)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		slog.Warn("store.history_gone", "table", "operator", "revision", after)
		return false, err
	case err != nil:
		n.logReadFailure(after, asked, err)
		return false, err
	}
	return n.applyRead(ctx, rows, after), nil
}

// logReadFailure logs a failed read of the rows after a revision.
func (n *Node) logReadFailure(after int64, asked time.Time, err error) {
	slog.Warn("operator.not_read", "revision", after, "reader", n.isReader(), "asked_ms", n.clock.Since(asked).Milliseconds(), "error", err)
}

// applyRead applies operator rows read after revision base and sends them to the group. It
// reports whether there were changes.
func (n *Node) applyRead(ctx context.Context, rows platform.OperatorUpdate, base int64) (changed bool) {
	n.behind.Store(false)
	evacuated := n.applyEvacuations(rows)
	changed = evacuated || rows.Catalog != nil || len(rows.Orders) > 0
	n.freshness.record(n.clock.Now(), rows.Revision, changed)
	n.applyOperator(rows)
	if changed {
		n.sendOperatorRows(ctx, rows, base, evacuated)
	}
	return changed
}

// confirmOperator compares the revision of the known operator rows with the newest revision of
// the store, which every read of the list returns.
//
// The store may never answer a long poll, because it was received during an outage or because
// its answer was lost. The connection stays open and looks like that of a store without
// changes. If that silence counted as confirmation, no daemon would read the rows: callers
// would get 404 on routes that were accepted up to eleven seconds before. All tables of the
// store share one revision counter. Rows known up to the newest revision are therefore
// current; otherwise a reader reads them at once. A lost long poll thus delays a configuration
// by one read of the list. That of a daemon that was a reader when it began is aborted, since
// it keeps the daemon from reading rows that are late.
func (n *Node) confirmOperator(ctx context.Context, newest int64) {
	view := n.freshness.view()
	switch {
	case view.confirmedAt.IsZero():
		// A read of all rows is in progress.
	case view.readRevision >= newest:
		n.freshness.record(n.clock.Now(), view.readRevision, false)
	case n.isReader():
		call, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		changed, err := n.readOperatorAfter(call, view.readRevision, 0)
		switch {
		case changed || errors.Is(err, platform.ErrCompacted):
			// The long poll should have returned these rows, so it is lost.
			n.operatorPoll.abort()
		case err != nil:
			n.operatorPoll.abortHeld(n.clock.Now().Add(-platform.CallTimeout))
		}
	default:
		n.operatorPoll.abortHeld(n.clock.Now().Add(-platform.CallTimeout))
	}
}

func (n *Node) applyOperator(rows platform.OperatorUpdate) {
	for _, err := range rows.Malformed {
		slog.Error("operator.unreadable", "revision", rows.Revision, "error", err)
	}
	if rows.Catalog != nil {
		n.installConfig(rows.Catalog, rows.Manifest, "store")
		n.publishCallerURL()
		n.requestHeartbeat()
	}
	for _, o := range rows.Orders {
		n.addOrder(o, "store")
	}
}

// loadRolloutStates applies orders together with their stored states.
func (n *Node) loadRolloutStates(ctx context.Context, orders []shift.Order) error {
	if len(orders) == 0 {
		return nil
	}
	rows, err := n.kv.List(ctx, rolloutStatePrefix, "", len(orders))
	if err != nil {
		return err
	}
	for _, o := range orders {
		n.addOrder(o, "store")
	}
	for _, row := range rows {
		var s shift.State
		if err := unmarshal(row, &s); err != nil {
			slog.Error("rollout.state_unreadable", "key", row.Key, "error", err)
			continue
		}
		n.applyRolloutState(s, "store")
	}
	return nil
}

func (n *Node) addOrder(o shift.Order, source string) {
	if n.rollouts.AddOrder(o) {
		slog.Info("rollout.ordered", "service", o.Service, "to", o.To, "order", o.ID, "allowed_ms", o.Allowed.Milliseconds(), "source", source)
	}
}

// longPoll is the read of operator rows in progress, which the store may hold.
//
// Lock order: no other lock is taken while mu is held.
type longPoll struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	// heldSince is when the read began if the store may hold it; zero if it may not.
	heldSince time.Time
}

// begin returns the context of a read, which ends when the read is aborted. The caller calls
// done after the answer.
func (p *longPoll) begin(ctx context.Context, now time.Time, hold time.Duration) (call context.Context, done func()) {
	call, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel, p.heldSince = cancel, time.Time{}
	if hold > 0 {
		p.heldSince = now
	}
	return call, cancel
}

// abort cancels the current read, so that a new one starts.
func (p *longPoll) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
	}
}

// abortHeld cancels the current read if the store may hold it and it began by the given time.
func (p *longPoll) abortHeld(begunBy time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.heldSince.IsZero() && !p.heldSince.After(begunBy) {
		p.cancel()
	}
}

// freshness tracks up to which revision, and at what time, this daemon's operator rows were
// known to be the newest.
//
// Lock order: no other lock is taken while mu is held.
type freshness struct {
	mu sync.Mutex
	operatorView
}

// operatorView is the freshness of the operator's rows at one time.
type operatorView struct {
	// confirmedAt is when the rows were last known to be the newest; zero before the first
	// read. The revision cannot show that, since it is 0 in a store without rows.
	confirmedAt time.Time
	// readRevision is the store revision up to which the rows were read, and changedRevision
	// the one at which they last changed.
	readRevision, changedRevision int64
}

// record records that the rows were current up to revision read at the given time.
func (f *freshness) record(at time.Time, read int64, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	f.readRevision = max(f.readRevision, read)
	if changed {
		f.changedRevision = max(f.changedRevision, read)
	}
}

// noteChanged records the revision at which the rows have changed.
func (f *freshness) noteChanged(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changedRevision = max(f.changedRevision, revision)
}

func (f *freshness) view() operatorView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.operatorView
}
