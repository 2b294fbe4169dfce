package rollout

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/lease"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// Check is a precondition of a write.
type Check = backing.Check

// creditsKey is the key prefix of the row that counts the credits of a roll-out. It is not the
// roll-out's own row, because every write of that row is distributed to all daemons.
const creditsKey = "rollout/credits/"

// creditsRow counts the credits that were granted or reserved for grants.
type creditsRow struct {
	Reserved int `json:"reserved"`
}

// reserveChunk is the largest number of credits reserved ahead, so that not every grant needs
// a write.
const reserveChunk = 16

// Engine is an engine that can be ordered to load a version.
type Engine struct {
	ID      string
	Address string
	// Serves holds the versions that the engine reports, including those being loaded.
	Serves map[config.VersionRef]bool
}

// Orderer sends orders to engines and reads their load.
type Orderer interface {
	SendOrder(ctx context.Context, address string, o upstream.Order) error
	LoadReport(ctx context.Context, address string) (upstream.LoadReport, error)
}

// Lease is the exclusive right to act on one roll-out.
type Lease interface {
	Renew(ctx context.Context) (bool, error)
	Held() bool
	Fence() int64
	Check() backing.Check
	Release(ctx context.Context) error
}

// Deps are the dependencies of a Controller.
type Deps struct {
	Writer   Writer
	Orders   Orderer
	Clock    clockwork.Clock
	Snapshot func() *config.Snapshot
	// Evidence returns the ratings of a version.
	Evidence func(*config.Snapshot, config.VersionRef) []Evidence
	// Engines returns the engines known to this daemon.
	Engines func() []Engine
	// NewLease returns the lease with the given name.
	NewLease func(name string) Lease
	// Eligible reports whether this daemon should try to acquire the lease with the given
	// name.
	Eligible func(name string) bool
	// Table stores the credit rows.
	Table backing.Table
}

// leasedRollout is a roll-out of which this daemon holds the lease, or tries to acquire it.
type leasedRollout struct {
	lease   Lease
	account *CreditAccount
	// reserved is the count in the credits row, creditsRevision the row's revision, and
	// ungranted how many of the reserved credits are not granted yet.
	reserved        int
	creditsRevision int64
	ungranted       int
	// tookOver is when the lease was acquired.
	tookOver time.Time
}

// Controller runs the roll-outs whose leases this daemon holds.
//
// Lock order: mu is held for a whole step or grant, including the calls to the store and to
// engines and those of the functions in Deps, which take locks of their own. No other lock is
// held when mu is taken.
type Controller struct {
	deps Deps

	mu     sync.Mutex
	leased map[config.VersionRef]*leasedRollout
}

// NewController returns a controller without leases.
func NewController(deps Deps) *Controller {
	return &Controller{deps: deps, leased: map[config.VersionRef]*leasedRollout{}}
}

// LeaseName returns the name of the lease of a roll-out.
func LeaseName(ref config.VersionRef) string { return "rollout/" + ref.String() }

// Step advances each roll-out in progress whose lease this daemon holds. It reports whether
// there is any.
func (c *Controller) Step(ctx context.Context) bool {
	snapshot := c.deps.Snapshot()
	if snapshot == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	holding := false
	for ref, r := range snapshot.Rollouts {
		if r.State != config.RollingOut {
			c.drop(ctx, ref)
			continue
		}
		l, held := c.acquire(ctx, ref, snapshot)
		if !held {
			continue
		}
		holding = true
		err := c.advance(ctx, snapshot, r, l)
		if err != nil && !errors.Is(err, errNotRollingOut) && ctx.Err() == nil {
			slog.Warn("rollout.step_failed", "version", ref, "error", err)
		}
	}
	return holding
}

// drop releases the lease of a roll-out, if this daemon has one.
func (c *Controller) drop(ctx context.Context, ref config.VersionRef) {
	if l, ok := c.leased[ref]; ok {
		_ = l.lease.Release(ctx)
		delete(c.leased, ref)
	}
}

// acquire renews or acquires the lease of a roll-out. It returns false if this daemon does not
// hold the lease afterwards.
func (c *Controller) acquire(ctx context.Context, ref config.VersionRef, snapshot *config.Snapshot) (*leasedRollout, bool) {
	l, ok := c.leased[ref]
	if !c.deps.Eligible(LeaseName(ref)) {
		c.drop(ctx, ref)
		return nil, false
	}
	if !ok {
		l = &leasedRollout{lease: c.deps.NewLease(LeaseName(ref))}
		c.leased[ref] = l
	}
	fence := l.lease.Fence()
	held, err := l.lease.Renew(ctx)
	if err != nil || !held {
		return nil, false
	}
	if l.account == nil || l.lease.Fence() != fence {
		if err := c.takeOver(ctx, l, snapshot, ref); err != nil {
			l.account = nil
			return nil, false
		}
	}
	return l, true
}

// takeOver opens the credit account from the stored row: all credits that are reserved and not
// rated may be in use.
func (c *Controller) takeOver(ctx context.Context, l *leasedRollout, snapshot *config.Snapshot, ref config.VersionRef) error {
	var row creditsRow
	revision, err := backing.GetJSON(ctx, c.deps.Table, creditsKey+ref.String(), &row)
	if err != nil {
		return trace.Wrap(err)
	}
	now := c.deps.Clock.Now()
	good, bad := SumRatings(c.deps.Evidence(snapshot, ref))
	l.account = NewCreditAccount(snapshot.Doc.Rollouts, row.Reserved, good+bad, now)
	l.reserved, l.creditsRevision, l.ungranted = row.Reserved, revision, 0
	l.tookOver = now
	slog.Info("rollout.duty_taken", "version", ref, "fence", l.lease.Fence(), "reserved", row.Reserved)
	return nil
}

// reserve reserves n credits in the row before they are granted, so that the next lease holder
// knows of all credits that may be in use.
func (c *Controller) reserve(ctx context.Context, ref config.VersionRef, l *leasedRollout, n int) error {
	key := creditsKey + ref.String()
	revision, err := c.deps.Table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{l.lease.Check(), {Key: key, Revision: l.creditsRevision}},
		Puts:   []backing.Put{backing.PutJSON(key, creditsRow{Reserved: l.reserved + n})},
	})
	if err != nil {
		// The write may have taken effect. The next step reads the row again.
		l.account = nil
		return trace.Wrap(err)
	}
	l.reserved += n
	l.ungranted += n
	l.creditsRevision = revision
	return nil
}

// advance acts on the evidence and orders engines to load the version.
func (c *Controller) advance(ctx context.Context, snapshot *config.Snapshot, r config.Rollout, l *leasedRollout) error {
	evidence := c.deps.Evidence(snapshot, r.VersionRef)
	test := NewTest(snapshot.Doc.Rollouts)
	switch test.Verdict(evidence) {
	case Bad:
		return c.withdraw(ctx, r, evidence, l)
	case Good:
		if r.Share < 1 || r.State != config.Serving {
			if err := c.complete(ctx, snapshot, r, evidence, l); err != nil {
				return err
			}
		}
		return c.orderLoads(ctx, r, 1, l)
	}
	policy := snapshot.Doc.Rollouts.WithDefaults()
	stage, share := nextStage(policy, test.Stage(evidence), r.Stage)
	if stage > r.Stage {
		if err := c.write(ctx, r, evidence, l, func(n *config.Rollout) { n.Stage, n.Share = stage, share }); err != nil {
			return err
		}
	}
	return c.orderLoads(ctx, r, share, l)
}

// write updates the roll-out's row, on the condition that the lease is still held.
func (c *Controller) write(ctx context.Context, r config.Rollout, evidence []Evidence, l *leasedRollout, change func(*config.Rollout)) error {
	good, bad := SumRatings(evidence)
	generation, err := c.deps.Writer.WriteRollouts(ctx, []config.VersionRef{r.VersionRef}, []Check{l.lease.Check()},
		func(now map[config.VersionRef]config.Rollout) ([]config.Rollout, error) {
			next, found := now[r.VersionRef]
			if !found || next.State != config.RollingOut {
				return nil, errNotRollingOut
			}
			next.Good, next.Bad, next.Fence = int(good), int(bad), l.lease.Fence()
			change(&next)
			return []config.Rollout{next}, nil
		})
	if err == nil {
		slog.Info("rollout.written", "version", r.VersionRef, "generation", generation, "good", good, "bad", bad, "fence", l.lease.Fence())
	}
	return trace.Wrap(err)
}

var errNotRollingOut = errors.New("the version is not rolling out any more")

// withdraw marks the version as withdrawn because of its ratings.
func (c *Controller) withdraw(ctx context.Context, r config.Rollout, evidence []Evidence, l *leasedRollout) error {
	return c.write(ctx, r, evidence, l, func(n *config.Rollout) {
		n.State, n.Share, n.Reason = config.Withdrawn, 0, "ratings below the target"
	})
}

// complete gives the version full share and lets the version that it replaces drain, in one
// generation of the configuration.
func (c *Controller) complete(ctx context.Context, snapshot *config.Snapshot, r config.Rollout, evidence []Evidence, l *leasedRollout) error {
	from := config.VersionRef{Model: r.Model, Version: r.From}
	good, bad := SumRatings(evidence)
	last := len(snapshot.Doc.Rollouts.WithDefaults().Stages) - 1
	refs := []config.VersionRef{r.VersionRef}
	if r.From != "" {
		refs = append(refs, from)
	}
	_, err := c.deps.Writer.WriteRollouts(ctx, refs, []Check{l.lease.Check()},
		func(now map[config.VersionRef]config.Rollout) ([]config.Rollout, error) {
			next, found := now[r.VersionRef]
			if !found || next.State != config.RollingOut {
				return nil, nil
			}
			next.State, next.Share, next.Stage, next.Reason = config.Serving, 1, last, "passed"
			next.Good, next.Bad, next.Fence = int(good), int(bad), l.lease.Fence()
			rows := []config.Rollout{next}
			if old := now[from]; r.From != "" && old.State != config.Withdrawn {
				old.VersionRef = from
				old.State, old.Share, old.Fence = config.Draining, 0, l.lease.Fence()
				old.Reason = "replaced by " + r.Version
				rows = append(rows, old)
			}
			return rows, nil
		})
	return trace.Wrap(err)
}

// maxOrderDelay is the longest time that an order can take to arrive.
const maxOrderDelay = 2 * time.Second

// orderLoads orders as many engines to load the version as its share requires.
//
// Engines that ignore fencing tokens obey any daemon. The lease is therefore checked before
// each order, with the margin that Held keeps, and after a takeover the new lease holder waits
// until the orders of the old one have arrived before it sends its own.
func (c *Controller) orderLoads(ctx context.Context, r config.Rollout, share float64, l *leasedRollout) error {
	if c.deps.Clock.Since(l.tookOver) < maxOrderDelay {
		return nil
	}
	have, candidates := c.candidates(r)
	want := max(int(share*float64(have+len(candidates))+0.999), 1)
	for _, engine := range candidates {
		if have >= want {
			return nil
		}
		if !l.lease.Held() {
			return trace.CompareFailed("the lease expired before an order was sent")
		}
		o := upstream.Order{Fence: l.lease.Fence(), Action: upstream.OrderLoad, Model: r.Model, Version: r.Version}
		err := c.deps.Orders.SendOrder(ctx, engine.Address, o)
		var refused *upstream.RefusedError
		switch {
		case err == nil:
			have++
			slog.Info("rollout.ordered", "version", r.VersionRef, "upstream", engine.ID, "fence", o.Fence)
		case errors.As(err, &refused) && refused.Reason == upstream.RefusedBusy:
			// The weight store is at its rate limit; the next step continues.
			return nil
		default:
			slog.Warn("rollout.order_failed", "version", r.VersionRef, "upstream", engine.ID, "error", err)
		}
	}
	return nil
}

// candidates returns how many engines have the version, and the others that could load it:
// those that serve the version it replaces, or any version of its model if it replaces none.
func (c *Controller) candidates(r config.Rollout) (have int, out []Engine) {
	for _, engine := range c.deps.Engines() {
		if engine.Serves[r.VersionRef] {
			have++
			continue
		}
		for ref := range engine.Serves {
			if ref.Model == r.Model && (r.From == "" || ref.Version == r.From) {
				out = append(out, engine)
				break
			}
		}
	}
	return have, out
}

// Grant takes back expired credits for a version and grants up to want new ones. It returns a
// NotFound error if this daemon does not hold the version's lease.
func (c *Controller) Grant(ctx context.Context, ref config.VersionRef, want, expired int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.leased[ref]
	if !ok || l.account == nil || !l.lease.Held() {
		return 0, trace.NotFound("the duty for %v is not held here", ref)
	}
	snapshot := c.deps.Snapshot()
	if snapshot.Rollouts[ref].State != config.RollingOut {
		return 0, nil
	}
	evidence := c.deps.Evidence(snapshot, ref)
	if NewTest(snapshot.Doc.Rollouts).Verdict(evidence) == Bad {
		return 0, nil
	}
	now := c.deps.Clock.Now()
	good, bad := SumRatings(evidence)
	l.account.Return(expired)
	available := l.account.Available(good, bad, now)
	n := min(want, available)
	if n > l.ungranted {
		// Credits reserved ahead are lost for a rating horizon if this daemon dies, so they
		// stay a small part of those available.
		ahead := min((available-n)/4, reserveChunk)
		if err := c.reserve(ctx, ref, l, n-l.ungranted+ahead); err != nil {
			return 0, err
		}
	}
	l.ungranted -= n
	l.account.Grant(n, now)
	return n, nil
}

// ReleaseAll releases all leases, before a planned stop.
func (c *Controller) ReleaseAll(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ref := range c.leased {
		c.drop(ctx, ref)
	}
}

var _ Lease = (*lease.Lease)(nil)
