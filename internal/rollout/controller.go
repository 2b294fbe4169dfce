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

// Check is a condition of a write.
type Check = backing.Check

// creditsKey is the key of the row that counts the credits of a roll-out. It is
// apart from the roll-out's own row, which comes into force everywhere with
// each write.
const creditsKey = "rollout/credits/"

// creditsRow counts credits granted or set aside.
type creditsRow struct {
	Reserved int `json:"reserved"`
}

// reserveChunk is how many credits are set aside at once, at most, so that not
// every grant needs a write.
const reserveChunk = 16

// Engine is an engine that can be ordered to load a version.
type Engine struct {
	ID      string
	Address string
	// Serves has the versions that the engine reports, loading ones included.
	Serves map[config.VersionRef]bool
}

// Orderer sends orders to engines.
type Orderer interface {
	Order(ctx context.Context, address string, o upstream.Order) error
	Load(ctx context.Context, address string) (upstream.LoadReport, error)
}

// Lease is the right to act on one roll-out.
type Lease interface {
	Renew(ctx context.Context) (bool, error)
	Held() bool
	Fence() int64
	Check() backing.Check
	Release(ctx context.Context) error
}

// Deps is what a Controller works with.
type Deps struct {
	Writer   Writer
	Orders   Orderer
	Clock    clockwork.Clock
	Snapshot func() *config.Snapshot
	// Evidence returns the ratings of a version.
	Evidence func(*config.Snapshot, config.VersionRef) []Evidence
	// Engines returns the engines in sight.
	Engines func() []Engine
	// NewLease returns the lease of a roll-out.
	NewLease func(name string) Lease
	// Duty reports whether this daemon is the one to try for a lease.
	Duty func(name string) bool
	// Table holds the counts of credits.
	Table backing.Table
}

// duty is the work on one roll-out that this daemon holds the lease of.
type duty struct {
	lease Lease
	bank  *Bank
	// reserved is the count in the credits row, at creditsRevision, and spare
	// how many of them are not granted yet.
	reserved        int
	creditsRevision int64
	spare           int
	// tookOver is when the lease was taken.
	tookOver time.Time
}

// Controller does this daemon's share of the roll-outs.
//
// Lock order: mu is held for a whole step or grant; no other lock is held
// when it is taken.
type Controller struct {
	deps Deps

	mu     sync.Mutex
	duties map[config.VersionRef]*duty
}

// NewController returns a controller without duties.
func NewController(deps Deps) *Controller {
	return &Controller{deps: deps, duties: map[config.VersionRef]*duty{}}
}

// LeaseName returns the name of the lease on a roll-out.
func LeaseName(ref config.VersionRef) string { return "rollout/" + ref.String() }

// Step does what is due for each roll-out under way and reports whether this
// daemon holds the duty of any.
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
		d, held := c.acquire(ctx, ref, snapshot)
		if !held {
			continue
		}
		holding = true
		err := c.advance(ctx, snapshot, r, d)
		if err != nil && !errors.Is(err, errNotRollingOut) && ctx.Err() == nil {
			slog.Warn("rollout.step_failed", "version", ref, "error", err)
		}
	}
	return holding
}

func (c *Controller) drop(ctx context.Context, ref config.VersionRef) {
	if d, ok := c.duties[ref]; ok {
		_ = d.lease.Release(ctx)
		delete(c.duties, ref)
	}
}

// acquire returns the duty when this daemon holds its lease.
func (c *Controller) acquire(ctx context.Context, ref config.VersionRef, snapshot *config.Snapshot) (*duty, bool) {
	d, ok := c.duties[ref]
	if !c.deps.Duty(LeaseName(ref)) {
		c.drop(ctx, ref)
		return nil, false
	}
	if !ok {
		d = &duty{lease: c.deps.NewLease(LeaseName(ref))}
		c.duties[ref] = d
	}
	fence := d.lease.Fence()
	held, err := d.lease.Renew(ctx)
	if err != nil || !held {
		return nil, false
	}
	if d.bank == nil || d.lease.Fence() != fence {
		if err := c.takeOver(ctx, d, snapshot, ref); err != nil {
			d.bank = nil
			return nil, false
		}
	}
	return d, true
}

// takeOver starts the account of credits from the row: all that is reserved and
// not rated may be in use.
func (c *Controller) takeOver(ctx context.Context, d *duty, snapshot *config.Snapshot, ref config.VersionRef) error {
	var row creditsRow
	revision, err := backing.GetJSON(ctx, c.deps.Table, creditsKey+ref.String(), &row)
	if err != nil {
		return trace.Wrap(err)
	}
	now := c.deps.Clock.Now()
	good, bad := Counts(c.deps.Evidence(snapshot, ref))
	d.bank = NewBank(snapshot.Doc.Rollouts, row.Reserved, good+bad, now)
	d.reserved, d.creditsRevision, d.spare = row.Reserved, revision, 0
	d.tookOver = now
	slog.Info("rollout.duty_taken", "version", ref, "fence", d.lease.Fence(), "reserved", row.Reserved)
	return nil
}

// reserve sets credits aside in the row before they are granted, so that a
// successor knows of all that may be in use.
func (c *Controller) reserve(ctx context.Context, ref config.VersionRef, d *duty, n int) error {
	key := creditsKey + ref.String()
	revision, err := c.deps.Table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{d.lease.Check(), {Key: key, Revision: d.creditsRevision}},
		Puts:   []backing.Put{backing.PutJSON(key, creditsRow{Reserved: d.reserved + n})},
	})
	if err != nil {
		// Whether it was written is read anew with the next step.
		d.bank = nil
		return trace.Wrap(err)
	}
	d.reserved += n
	d.spare += n
	d.creditsRevision = revision
	return nil
}

// advance acts on the evidence and has engines load the version.
func (c *Controller) advance(ctx context.Context, snapshot *config.Snapshot, r config.Rollout, d *duty) error {
	evidence := c.deps.Evidence(snapshot, r.VersionRef)
	test := NewTest(snapshot.Doc.Rollouts)
	switch test.Verdict(evidence) {
	case Bad:
		return c.withdraw(ctx, r, evidence, d)
	case Good:
		if r.Share < 1 || r.State != config.Serving {
			if err := c.finish(ctx, snapshot, r, evidence, d); err != nil {
				return err
			}
		}
		return c.order(ctx, r, 1, d)
	}
	policy := snapshot.Doc.Rollouts.WithDefaults()
	stage := max(test.Stage(evidence), r.Stage)
	share := policy.Stages[stage]
	if stage == len(policy.Stages)-1 {
		// Full share is for a version that has passed the test.
		stage, share = stage-1, policy.Stages[max(stage-1, 0)]
	}
	if stage > r.Stage {
		if err := c.write(ctx, r, evidence, d, func(n *config.Rollout) { n.Stage, n.Share = stage, share }); err != nil {
			return err
		}
	}
	return c.order(ctx, r, share, d)
}

// write changes the row under the lease.
func (c *Controller) write(ctx context.Context, r config.Rollout, evidence []Evidence, d *duty, change func(*config.Rollout)) error {
	good, bad := Counts(evidence)
	generation, err := c.deps.Writer.WriteRollouts(ctx, []config.VersionRef{r.VersionRef}, []Check{d.lease.Check()},
		func(now map[config.VersionRef]config.Rollout) ([]config.Rollout, error) {
			next, found := now[r.VersionRef]
			if !found || next.State != config.RollingOut {
				return nil, errNotRollingOut
			}
			next.Good, next.Bad, next.Fence = int(good), int(bad), d.lease.Fence()
			change(&next)
			return []config.Rollout{next}, nil
		})
	if err == nil {
		slog.Info("rollout.written", "version", r.VersionRef, "generation", generation, "good", good, "bad", bad, "fence", d.lease.Fence())
	}
	return trace.Wrap(err)
}

var errNotRollingOut = errors.New("the version is not rolling out any more")

func (c *Controller) withdraw(ctx context.Context, r config.Rollout, evidence []Evidence, d *duty) error {
	return c.write(ctx, r, evidence, d, func(n *config.Rollout) {
		n.State, n.Share, n.Reason = config.Withdrawn, 0, "ratings below the target"
	})
}

// finish gives the version its full share and lets the one before drain, in
// one generation.
func (c *Controller) finish(ctx context.Context, snapshot *config.Snapshot, r config.Rollout, evidence []Evidence, d *duty) error {
	from := config.VersionRef{Model: r.Model, Version: r.From}
	good, bad := Counts(evidence)
	last := len(snapshot.Doc.Rollouts.WithDefaults().Stages) - 1
	refs := []config.VersionRef{r.VersionRef}
	if r.From != "" {
		refs = append(refs, from)
	}
	_, err := c.deps.Writer.WriteRollouts(ctx, refs, []Check{d.lease.Check()},
		func(now map[config.VersionRef]config.Rollout) ([]config.Rollout, error) {
			next, found := now[r.VersionRef]
			if !found || next.State != config.RollingOut {
				return nil, nil
			}
			next.State, next.Share, next.Stage, next.Reason = config.Serving, 1, last, "passed"
			next.Good, next.Bad, next.Fence = int(good), int(bad), d.lease.Fence()
			rows := []config.Rollout{next}
			if old := now[from]; r.From != "" && old.State != config.Withdrawn {
				old.VersionRef = from
				old.State, old.Share, old.Fence = config.Draining, 0, d.lease.Fence()
				old.Reason = "replaced by " + r.Version
				rows = append(rows, old)
			}
			return rows, nil
		})
	return trace.Wrap(err)
}

// orderSettle is the longest time an order can be on its way.
const orderSettle = 2 * time.Second

// order has as many engines load the version as its share asks for.
//
// Engines that ignore fencing numbers obey whoever asks. So the lease is
// looked at before each order, with the margin that Held keeps, and after a
// take-over the new holder lets the orders of the old one run out before it
// sends its own.
func (c *Controller) order(ctx context.Context, r config.Rollout, share float64, d *duty) error {
	if c.deps.Clock.Since(d.tookOver) < orderSettle {
		return nil
	}
	have, candidates := c.candidates(r)
	want := max(int(share*float64(have+len(candidates))+0.999), 1)
	for _, engine := range candidates {
		if have >= want {
			return nil
		}
		if !d.lease.Held() {
			return trace.CompareFailed("lease lapsed before an order")
		}
		o := upstream.Order{Fence: d.lease.Fence(), Action: upstream.OrderLoad, Model: r.Model, Version: r.Version}
		err := c.deps.Orders.Order(ctx, engine.Address, o)
		var refused *upstream.RefusedError
		switch {
		case err == nil:
			have++
			slog.Info("rollout.ordered", "version", r.VersionRef, "upstream", engine.ID, "fence", o.Fence)
		case errors.As(err, &refused) && refused.Reason == upstream.RefusedBusy:
			// The weight store is at its rate; the next step goes on.
			return nil
		default:
			slog.Warn("rollout.order_failed", "version", r.VersionRef, "upstream", engine.ID, "error", err)
		}
	}
	return nil
}

// candidates returns how many engines have the version and which others could
// load it: those that serve the version it replaces, or any of its model.
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

// Grant hands out credits for a version, if this daemon holds its duty, and
// takes lapsed ones back.
func (c *Controller) Grant(ctx context.Context, ref config.VersionRef, want, lapsed int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.duties[ref]
	if !ok || d.bank == nil || !d.lease.Held() {
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
	good, bad := Counts(evidence)
	d.bank.Return(lapsed)
	available := d.bank.Available(good, bad, now)
	n := min(want, available)
	if n > d.spare {
		// What is set aside beyond the need is lost for a rating horizon when
		// this daemon dies, so it stays a small part.
		ahead := min((available-n)/4, reserveChunk)
		if err := c.reserve(ctx, ref, d, n-d.spare+ahead); err != nil {
			return 0, err
		}
	}
	d.spare -= n
	d.bank.Grant(n, now)
	return n, nil
}

// ReleaseAll gives up every duty, before a planned stop.
func (c *Controller) ReleaseAll(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ref := range c.duties {
		c.drop(ctx, ref)
	}
}

var _ Lease = (*lease.Lease)(nil)
