package rollout

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/lease"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

var (
	ctx      = context.Background()
	ref      = config.VersionRef{Model: "m", Version: "2"}
	policy   = config.RolloutPolicy{ExposureBudget: 10, BudgetPerGood: 1, Stages: []float64{0.1, 0.5, 1}}
	leaseFor = 9 * time.Second
)

// Guards against a sequential test whose rates of wrong verdicts exceed the policy's.
func TestVerdictErrorRates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const runs = 1000
	wrong := func(quality float64, mistake Verdict) (n int) {
		for range runs {
			e := Evidence{Target: 0.9}
			test := NewTest(config.RolloutPolicy{})
			for test.Verdict([]Evidence{e}) == Undecided {
				if random.Float64() < quality {
					e.Good++
				} else {
					e.Bad++
				}
			}
			if test.Verdict([]Evidence{e}) == mistake {
				n++
			}
		}
		return n
	}
	require.LessOrEqual(t, wrong(0.9, Bad), 20, "stated rate 1%")
	require.LessOrEqual(t, wrong(0.8, Good), 20, "stated rate 1%")
}

// engine is a fake engine that records orders; with checksFences it refuses orders with an old
// fencing token.
type engine struct {
	checksFences bool
	fence        int64
	orders       []upstream.Order
}

func (e *engine) SendOrder(_ context.Context, _ string, o upstream.Order) error {
	if e.checksFences && o.Fence < e.fence {
		return &upstream.RefusedError{Reason: upstream.RefusedStaleFence}
	}
	e.fence = o.Fence
	e.orders = append(e.orders, o)
	return nil
}

func (e *engine) LoadReport(context.Context, string) (upstream.LoadReport, error) {
	return upstream.LoadReport{}, nil
}

// env is a store, an engine and the controllers of two daemons.
type env struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	memory   *backing.Memory
	store    *config.Store
	engine   *engine
	evidence Evidence
	a, b     *Controller
	// eligible names the daemon that should try to acquire leases.
	eligible string
}

func newEnv(t *testing.T) *env {
	e := &env{t: t, clock: clockwork.NewFakeClock(), memory: backing.NewMemory(), engine: &engine{}, eligible: "a"}
	e.store = config.NewStore(e.memory, e.clock.Now)
	e.evidence.Target = 0.9
	_, err := e.store.WriteRollouts(ctx, []config.VersionRef{ref}, nil, func(map[config.VersionRef]config.Rollout) ([]config.Rollout, error) {
		return []config.Rollout{{VersionRef: ref, From: "1", State: config.RollingOut, Share: 0.1}}, nil
	})
	require.NoError(t, err)
	e.a, e.b = e.controller("a"), e.controller("b")
	return e
}

func (e *env) row() config.Rollout {
	r, _, err := e.store.Rollout(ctx, ref.String())
	require.NoError(e.t, err)
	return r
}

func (e *env) snapshot() *config.Snapshot {
	doc := config.Document{
		Rollouts: policy,
		Models:   map[string]config.Model{"m": {Versions: map[string]config.Version{"1": {State: config.Serving}, "2": {State: config.RollingOut}}}},
	}
	return config.NewSnapshot(1, doc, []config.Rollout{e.row()})
}

func (e *env) controller(self string) *Controller {
	return NewController(Deps{
		Writer:   e.store,
		Orders:   e.engine,
		Clock:    e.clock,
		Snapshot: e.snapshot,
		Evidence: func(*config.Snapshot, config.VersionRef) []Evidence { return []Evidence{e.evidence} },
		Engines: func() []Engine {
			return []Engine{{ID: "e", Address: "e", Serves: map[config.VersionRef]bool{{Model: "m", Version: "1"}: true}}}
		},
		NewLease: func(name string) Lease { return lease.New(name, self, leaseFor, e.memory, e.clock) },
		Eligible: func(string) bool { return e.eligible == self },
		Table:    e.memory,
	})
}

// acquire steps a controller until it holds the lease and the old holder's orders have
// arrived.
func (e *env) acquire(c *Controller) {
	for range 20 {
		c.Step(ctx)
		e.clock.Advance(time.Second)
	}
	require.True(e.t, c.Step(ctx))
}

// Guards against a lease holder that is paused until its lease expires and resumes after
// another daemon took over. Its orders must not undo those of the new holder, whether or not
// the engine checks fencing tokens, and its writes must not reach the row.
func TestPausedLeaseHolder(t *testing.T) {
	for name, checksFences := range map[string]bool{"engine refuses old fences": true, "engine ignores fences": false} {
		t.Run(name, func(t *testing.T) {
			e := newEnv(t)
			e.engine.checksFences = checksFences
			e.acquire(e.a)
			require.NotEmpty(t, e.engine.orders)
			paused := e.a.leased[ref]
			e.eligible = "b"
			e.acquire(e.b)
			newest := e.engine.orders[len(e.engine.orders)-1]
			require.Greater(t, newest.Fence, paused.lease.Fence())
			sent := len(e.engine.orders)
			e.evidence.Bad = 1000
			require.Error(t, e.a.advance(ctx, e.snapshot(), e.row(), paused))
			require.Error(t, e.a.orderLoads(ctx, e.row(), 1, paused))
			require.Len(t, e.engine.orders, sent, "no order after the lease expired")
			require.Equal(t, config.RollingOut, e.row().State)
		})
	}
}

// Guards against a new lease holder that ignores the stored row after the old one died: the
// stage must not fall back, and credits that may be in use must count.
func TestRolloutContinuesFromTheRow(t *testing.T) {
	e := newEnv(t)
	e.acquire(e.a)
	n, err := e.a.Grant(ctx, ref, 100, 0)
	require.NoError(t, err)
	require.Equal(t, policy.ExposureBudget, n)
	e.evidence.Good = 20
	e.a.Step(ctx)
	stage := e.row().Stage
	require.Positive(t, stage)
	e.eligible = "b"
	e.evidence.Good = 0
	e.acquire(e.b)
	require.Equal(t, stage, e.row().Stage)
	n, err = e.b.Grant(ctx, ref, 100, 0)
	require.NoError(t, err)
	require.Zero(t, n, "credits that the dead holder granted or reserved may still be in use")
	n, err = e.b.Grant(ctx, ref, 100, policy.ExposureBudget)
	require.NoError(t, err)
	require.Equal(t, policy.ExposureBudget, n, "daemons returned the credits that expired unused")
}

// A version with good ratings gets full share, and the version that it replaces drains.
func TestGoodVersionReplacesTheOld(t *testing.T) {
	e := newEnv(t)
	e.acquire(e.a)
	e.evidence.Good = 200
	e.a.Step(ctx)
	require.Equal(t, config.Serving, e.row().State)
	old, _, err := e.store.Rollout(ctx, "m@1")
	require.NoError(t, err)
	require.Equal(t, config.Draining, old.State)
}

// A version with bad ratings is withdrawn, gets no credits, and cannot be started again.
func TestBadVersionIsWithdrawn(t *testing.T) {
	e := newEnv(t)
	e.acquire(e.a)
	e.evidence.Bad = 10
	e.a.Step(ctx)
	require.Equal(t, config.Withdrawn, e.row().State)
	n, err := e.a.Grant(ctx, ref, 10, 0)
	require.NoError(t, err)
	require.Zero(t, n)
	snapshot := e.snapshot()
	_, err = Start(ctx, e.store, snapshot, ref, "1")
	require.ErrorContains(t, err, "was withdrawn")
}

// Guards against new sessions using a version whose ratings nobody watches because the lease
// holder or the store is unavailable: credits expire, and new sessions get the proven version.
func TestCreditsExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := NewDaemonCredits(clock)
	require.False(t, e.Take(ref))
	e.Refill(ref, 2, 0, clock.Now())
	require.True(t, e.Take(ref))
	clock.Advance(CreditTTL)
	require.False(t, e.Take(ref))
	want, expired := e.Want(ref)
	require.Positive(t, want)
	require.Equal(t, 1, expired)
	e.Refill(ref, 1, 0, clock.Now())
	require.True(t, e.Take(ref))
	require.False(t, e.Take(ref))
	e.Refill(ref, 1, 0, clock.Now())
	require.True(t, e.Stop(ref))
	require.False(t, e.Stop(ref))
	require.False(t, e.Take(ref), "stopped")
}

// Guards against granting more credits than the budget for unrated answers allows.
func TestCreditAccountStaysUnderItsBudget(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := NewCreditAccount(policy, 0, 0, now)
	require.Equal(t, 10, b.Available(0, 0, now))
	b.Grant(10, now)
	require.Zero(t, b.Available(0, 0, now))
	require.Equal(t, 4+4, b.Available(4, 0, now), "four grants rated, and four credits earned")
	require.Zero(t, b.Available(4, 8, now.Add(5*time.Minute))-10, "all but the budget has passed the horizon")
}
