package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

const (
	// operatorWait is how long the store holds a question for news from the
	// operator. News is answered at once; a dead connection is noticed by its
	// keep-alive probes.
	operatorWait = 10 * time.Second
	// listShare is the part of the time allowed for a leaving instance after
	// which the list is read again. Heartbeats of the instances change the
	// list all the time, so a question that waits for news would be answered
	// at once; reading at a pace costs a tenth of the calls.
	listShare = 0.33
	// retryPause is the first pause after the store did not answer; it doubles
	// up to maxRetryPause, which is well inside the two seconds in which an
	// accepted configuration must be in force once the store is back.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 900 * time.Millisecond
	// followerPause and maxFollowerPause are those of a daemon that reads only
	// because news is late: once the store is back its readers tell it. While
	// the store was away for seven seconds, 88 daemons made 1,700 calls for
	// nothing. The first retry comes soon all the same, since one call may fail
	// by itself while a server leaves of which no reader tells.
	followerPause    = 2 * time.Second
	maxFollowerPause = 4 * time.Second
	// doubtTime is how long after the store's return a missing entry of the
	// list is doubted: those of live servers are back within two seconds.
	doubtTime = 2 * time.Second
)

// storeContact remembers how the store answers.
//
// Lock order: mu is taken alone.
type storeContact struct {
	mu     sync.Mutex
	answer time.Time
	// lost is set from the first call without an answer to the next answer,
	// at regained.
	lost     bool
	lostAt   time.Time
	regained time.Time
}

// lostSince is when the store last began not to answer.
func (c *storeContact) lostSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostAt
}

func (c *storeContact) note(now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := err == nil || errors.Is(err, platform.ErrCompacted)
	switch {
	case !answered && !c.lost:
		c.lost, c.lostAt = true, now
		slog.Warn("store.lost", "error", err)
	case answered && c.lost:
		c.lost, c.regained = false, now
		slog.Info("store.regained", "silent_ms", now.Sub(c.answer).Milliseconds())
	}
	if answered {
		c.answer = now
	}
}

// noteCall takes in how a call that was made at asked ended.
//
// A failure tells that the store did not answer between the call and now. If it has answered
// a later call meanwhile, it has not been lost: a question that the store holds fails up to
// eleven seconds after whatever became of it. Taken for a loss, each such failure had entries
// that are missing from the list kept for two seconds more, and requests sent to instances
// that had left. A store that is lost just now is found by the next call.
func (n *Node) noteCall(asked time.Time, err error) {
	failed := err != nil && !errors.Is(err, platform.ErrCompacted)
	if failed && n.contact.answeredAfter(asked) {
		return
	}
	n.contact.note(n.clock.Now(), err)
}

// doubted is until when the list may lack entries of live instances.
func (c *storeContact) doubted(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lost:
		return now.Add(doubtTime)
	case c.regained.IsZero():
		return time.Time{}
	default:
		return c.regained.Add(doubtTime)
	}
}

// answeredAfter reports whether the store has answered since a time.
func (c *storeContact) answeredAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.After(t)
}

// away reports whether the last call got no answer.
func (c *storeContact) away() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// silent reports whether the store has not answered for d.
func (c *storeContact) silent(now time.Time, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.answer) > d
}

// backoff doubles a pause for each failure in a row, with a random part so that
// daemons do not return to the store all at once.
type backoff struct{ failures int }

func (b *backoff) next(first, most time.Duration) time.Duration {
	d := min(first<<min(b.failures, 8), most)
	b.failures++
	return d/2 + rand.N(d/2)
}

// backOff waits after the store did not answer. A daemon that knows a state of
// the installation, is not a reader and was told of nothing newer waits longer.
func (n *Node) backOff(ctx context.Context, b *backoff) {
	first, most := retryPause, maxRetryPause
	if b.failures > 0 && n.Ready() && !n.reader() && !n.behind.Load() {
		first, most = followerPause, maxFollowerPause
	}
	n.pause(ctx, b.next(first, most))
}

// watchOperator follows what the operator writes.
func (n *Node) watchOperator(ctx context.Context) {
	var wait backoff
	for ctx.Err() == nil {
		if !n.mustReadOperator() {
			n.pause(ctx, checkInterval)
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
	view := n.fresh.view()
	if n.lostHistory || view.at.IsZero() {
		return n.readAllOperator(ctx)
	}
	hold := time.Duration(0)
	if n.reader() {
		hold = operatorWait
	}
	call, done := n.question.ask(ctx)
	defer done()
	_, err := n.readOperatorAfter(call, view.read, hold)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case call.Err() != nil:
		// Its news came another way.
		return nil
	case errors.Is(err, platform.ErrCompacted):
		n.lostHistory = true
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
	n.noteCall(asked, err)
	if err != nil {
		n.logNotRead(0, asked, err)
		return err
	}
	// An order without its state looks like one that has just begun, which
	// keeps everything on old instances: after a restart of all daemons
	// those may be gone, and every request would be refused until the duty
	// is taken.
	asked = n.clock.Now()
	if err := n.readStates(ctx, news.Orders); err != nil {
		n.noteCall(asked, err)
		return err
	}
	n.lostHistory = false
	n.haveRead(ctx, news)
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
	n.noteCall(asked, err)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		slog.Warn("store.history_gone", "table", "operator", "revision", after)
		return false, err
	case err != nil:
		n.logNotRead(after, asked, err)
		return false, err
	}
	return n.haveRead(ctx, news), nil
}

// logNotRead tells of a question for the rows after a revision that got no answer.
func (n *Node) logNotRead(after int64, asked time.Time, err error) {
	slog.Warn("operator.not_read", "revision", after, "reader", n.reader(), "asked_ms", n.clock.Since(asked).Milliseconds(), "error", err)
}

// haveRead takes in what was read of the operator's rows and passes it on. It reports
// whether there was anything.
func (n *Node) haveRead(ctx context.Context, news platform.OperatorNews) (changed bool) {
	n.behind.Store(false)
	changed = news.Catalog != nil || len(news.Orders) > 0
	n.fresh.note(n.clock.Now(), news.Revision, changed)
	n.takeOperator(news)
	if changed {
		n.tellOperator(ctx, news.Manifest, news.Orders)
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
	view := n.fresh.view()
	switch {
	case view.at.IsZero():
		// All rows are being read.
	case view.read >= newest:
		n.fresh.note(n.clock.Now(), view.read, false)
	case n.reader():
		changed, err := n.readOperatorAfter(ctx, view.read, 0)
		if changed || errors.Is(err, platform.ErrCompacted) {
			// The held question should have told this.
			n.question.abandon()
		}
	}
}

func (n *Node) takeOperator(news platform.OperatorNews) {
	for _, err := range news.Malformed {
		slog.Error("operator.unreadable", "revision", news.Revision, "error", err)
	}
	if news.Catalog != nil {
		n.install(news.Catalog, news.Manifest, "store")
		n.offer()
		n.kickBeat()
	}
	for _, o := range news.Orders {
		n.ordered(o, "store")
	}
}

// readStates takes in orders with their stored states.
func (n *Node) readStates(ctx context.Context, orders []shift.Order) error {
	if len(orders) == 0 {
		return nil
	}
	rows, err := n.kv.List(ctx, statePrefix, "", len(orders))
	if err != nil {
		return err
	}
	for _, o := range orders {
		n.ordered(o, "store")
	}
	for _, row := range rows {
		var s shift.State
		if err := unmarshal(row, &s); err != nil {
			slog.Error("rollout.state_unreadable", "key", row.Key, "error", err)
			continue
		}
		n.learnState(s, "store")
	}
	return nil
}

func (n *Node) ordered(o shift.Order, source string) {
	if n.book.Ordered(o) {
		slog.Info("rollout.ordered", "service", o.Service, "to", o.To, "order", o.ID, "allowed_ms", o.Allowed.Milliseconds(), "source", source)
	}
}

// heldQuestion is the question for the operator's news that the store holds.
//
// Lock order: mu is taken alone.
type heldQuestion struct {
	mu   sync.Mutex
	drop context.CancelFunc
}

// ask returns the context of a question, which ends when the question is abandoned; done is
// to be called after its answer.
func (q *heldQuestion) ask(ctx context.Context) (call context.Context, done func()) {
	call, cancel := context.WithCancel(ctx)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drop = cancel
	return call, cancel
}

// abandon ends the question that is held, so that it is asked anew.
func (q *heldQuestion) abandon() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.drop != nil {
		q.drop()
	}
}

// watchInstances follows the list of upstream instances.
func (n *Node) watchInstances(ctx context.Context) {
	var wait backoff
	lost := false
	for ctx.Err() == nil {
		if !n.mustReadList() {
			n.pause(ctx, checkInterval)
			continue
		}
		err := n.readList(ctx, lost)
		lost = errors.Is(err, platform.ErrCompacted)
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
			n.offer()
			n.pause(ctx, n.listPace())
		}
	}
}

// readList reads the whole list, or what changed in it.
func (n *Node) readList(ctx context.Context, whole bool) error {
	base := n.table.Revision()
	whole = whole || !n.table.Known()
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
	n.noteCall(asked, err)
	if err != nil {
		return err
	}
	if n := len(news.Malformed); n > 0 {
		// One line a read, however many writers are at fault.
		slog.Error("instances.unreadable", "revision", news.Revision, "count", n, "first", news.Malformed[0])
	}
	doubted := n.doubtedUntil(n.clock.Now())
	if whole {
		n.table.Replace(snapshot(news), doubted)
		slog.Info("instances.read", "count", len(news.Changes), "revision", news.Revision, "doubted", doubted.After(n.clock.Now()))
		return nil
	}
	told, ok := n.takeChanges(news, doubted)
	// What is told of the list tells how new the operator's rows are, too.
	n.confirmOperator(ctx, news.Revision)
	if ok {
		n.tellList(ctx, told)
	}
	return nil
}

// takeChanges takes in what changed in the list, and returns what is to be told
// of it; ok is false when this daemon knows a newer list already.
func (n *Node) takeChanges(news platform.InstanceNews, doubted time.Time) (told peer.News, ok bool) {
	changes, from, ok := n.table.Apply(news.Changes, news.Revision, doubted)
	return peer.News{Changes: changes, Base: from, List: news.Revision}, ok
}

func snapshot(news platform.InstanceNews) inventory.Snapshot {
	s := inventory.Snapshot{Revision: news.Revision}
	for _, c := range news.Changes {
		switch {
		case c.Instance != nil:
			s.Instances = append(s.Instances, *c.Instance)
		case c.Unreadable:
			s.Unreadable = append(s.Unreadable, c.ID)
		}
	}
	return s
}
