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

// operatorWait is how long the store holds a question for news from the
// operator. News is answered at once; a dead connection is noticed by its
// keep-alive probes, and a question that is never answered by what the list
// tells of the store.
const longPollTime = 10 * time.Second

// confirmTime is how long the news of the list waits for the operator's rows: a hundred
// times the store's usual answer, and short enough that instances that leave are known
// everywhere in time. Daemons that are not told by then read by themselves.
const confirmTimeout = lateUpdateMargin

// watchOperator follows what the operator writes.
func (n *Node) watchOperator(ctx context.Context) {
	var wait backoff
	for ctx.Err() == nil {
		if !n.mustReadOperator() {
			n.sleep(ctx, checkInterval)
			continue
		}
		err := n.readOperator(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			n.backOff(ctx, &wait)
		default:
			wait.failures = 0
		}
	}
}

// readOperator reads what the operator wrote since the last time. A daemon that
// reads for others lets the store hold the question until there is something.
func (n *Node) readOperator(ctx context.Context) error {
	view := n.freshness.view()
	if n.staleWindow.takeOperatorDue(n.clock.Now()) {
		n.wholeReadDue = true
	}
	if n.wholeReadDue || view.confirmedAt.IsZero() {
		return n.readAllOperator(ctx)
	}
	hold := time.Duration(0)
	if n.isReader() {
		hold = longPollTime
	}
	call, done := n.operatorPoll.begin(ctx)
	defer done()
	_, err := n.readOperatorAfter(call, view.readRevision, hold)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case call.Err() != nil:
		// Its news came another way.
		return nil
	case errors.Is(err, platform.ErrCompacted):
		n.wholeReadDue = true
		if n.clock.Since(n.lastWholeRead) < n.listInterval() {
			// The store keeps no history; all rows are read at the pace of the list.
			n.sleep(ctx, n.listInterval())
		}
		return nil
	}
	return err
}

// readAllOperator reads all that the operator has written.
func (n *Node) readAllOperator(ctx context.Context) error {
	asked := n.clock.Now()
	news, err := n.store.Operator(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	n.storeHealth.record(asked, n.clock.Now(), err)
	if err != nil {
		n.logReadFailure(0, asked, err)
		return err
	}
	news = n.withoutStale(news)
	// An order without its state looks like one that has just begun, which
	// keeps everything on old instances: after a restart of all daemons
	// those may be gone, and every request would be refused until the duty
	// is taken.
	asked = n.clock.Now()
	if err := n.loadRolloutStates(ctx, news.Orders); err != nil {
		n.storeHealth.record(asked, n.clock.Now(), err)
		return err
	}
	n.wholeReadDue, n.lastWholeRead = false, n.clock.Now()
	// Orders that are not in force any more are not among the rows, so what is told leads
	// on from nothing.
	const fromNothing = math.MaxInt64
	n.applyRead(ctx, news, fromNothing)
	return nil
}

// readOperatorAfter reads what the operator wrote after a revision, and reports whether
// that is anything.
func (n *Node) readOperatorAfter(ctx context.Context, after int64, hold time.Duration) (changed bool, err error) {
	asked := n.clock.Now()
	news, err := n.store.OperatorAfter(ctx, after, hold)
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
	return n.applyRead(ctx, news, after), nil
}

// logNotRead tells of a question for the rows after a revision that got no answer.
func (n *Node) logReadFailure(after int64, asked time.Time, err error) {
	slog.Warn("operator.not_read", "revision", after, "reader", n.isReader(), "asked_ms", n.clock.Since(asked).Milliseconds(), "error", err)
}

// haveRead takes in what was read of the operator's rows after the revision base, and
// passes it on. It reports whether there was anything.
func (n *Node) applyRead(ctx context.Context, news platform.OperatorNews, base int64) (changed bool) {
	n.behind.Store(false)
	evacuated := n.applyEvacuations(news)
	changed = evacuated || news.Catalog != nil || len(news.Orders) > 0
	n.freshness.record(n.clock.Now(), news.Revision, changed)
	n.applyOperator(news)
	if changed {
		n.sendOperatorRows(ctx, news, base, evacuated)
	}
	return changed
}

// confirmOperator compares the operator's rows as they are known here with the store's
// newest revision, which each answer about the list tells.
//
// The store may never answer a question that it holds: it was asked during an outage, or
// its answer was lost. Its connection stays open, and its silence looks like that of a
// store without news. Taken for news that nothing had changed, it kept all daemons from
// asking: callers got 404 on routes accepted up to eleven seconds before. One count of
// revisions serves all tables of the store, so rows known up to the newest revision have
// not changed, and where others are newer the rows are asked for at once. A lost question
// so delays a configuration by one read of the list.
func (n *Node) confirmOperator(ctx context.Context, newest int64) {
	view := n.freshness.view()
	switch {
	case view.confirmedAt.IsZero():
		// All rows are being read.
	case view.readRevision >= newest:
		n.freshness.record(n.clock.Now(), view.readRevision, false)
	case n.isReader():
		call, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		changed, err := n.readOperatorAfter(call, view.readRevision, 0)
		if changed || errors.Is(err, platform.ErrCompacted) {
			// The held question should have told this.
			n.operatorPoll.abort()
		}
	}
}

func (n *Node) applyOperator(news platform.OperatorNews) {
	for _, err := range news.Malformed {
		slog.Error("operator.unreadable", "revision", news.Revision, "error", err)
	}
	if news.Catalog != nil {
		n.installConfig(news.Catalog, news.Manifest, "store")
		n.publishCallerURL()
		n.requestHeartbeat()
	}
	for _, o := range news.Orders {
		n.addOrder(o, "store")
	}
}

// readStates takes in orders with their stored states.
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

// heldQuestion is the question for the operator's news that the store holds.
//
// Lock order: mu is taken alone.
type longPoll struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// ask returns the context of a question, which ends when the question is abandoned; done is
// to be called after its answer.
func (q *longPoll) begin(ctx context.Context) (call context.Context, done func()) {
	call, cancel := context.WithCancel(ctx)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cancel = cancel
	return call, cancel
}

// abandon ends the question that is held, so that it is asked anew.
func (q *longPoll) abort() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cancel != nil {
		q.cancel()
	}
}

// freshness is when this daemon's knowledge of the operator's rows was known to
// be the newest.
//
// Lock order: mu is taken alone.
type freshness struct {
	mu sync.Mutex
	operatorView
}

// operatorView is a state of the operator's rows.
type operatorView struct {
	// at is when it was known to be the newest; zero before the first read. A
	// store without rows has the revision 0, so that does not tell.
	confirmedAt time.Time
	// read is the store's revision up to which the rows were read, and changed
	// the one at which they last changed.
	readRevision, changedRevision int64
}

// note takes in that the rows were read at a time up to a revision.
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

func (f *freshness) view() operatorView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.operatorView
}
