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

// engine takes orders; refusing ones check fencing numbers.
type engine struct {
	refusing bool
	fence    int64
	orders   []upstream.Order
}

func (e *engine) Order(_ context.Context, _ string, o upstream.Order) error {
	if e.refusing && o.Fence < e.fence {
		return &upstream.RefusedError{Reason: upstream.RefusedFence}
	}
	e.fence = o.Fence
	e.orders = append(e.orders, o)
	return nil
}

func (e *engine) Load(context.Context, string) (upstream.LoadReport, error) {
	return upstream.LoadReport{}, nil
}

// world is a store, an engine and the controllers of two daemons.
type world struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	memory   *backing.Memory
	store    *config.Store
	engine   *engine
	evidence Evidence
	a, b     *Controller
	// duty names the daemon whose turn it is.
	duty string
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, clock: clockwork.NewFakeClock(), memory: backing.NewMemory(), engine: &engine{}, duty: "a"}
	w.store = config.NewStore(w.memory, w.clock.Now)
	w.evidence.Target = 0.9
	_, err := w.store.WriteRollouts(ctx, []config.VersionRef{ref}, nil, func(map[config.VersionRef]config.Rollout) ([]config.Rollout, error) {
		return []config.Rollout{{VersionRef: ref, From: "1", State: config.RollingOut, Share: 0.1}}, nil
	})
	require.NoError(t, err)
	w.a, w.b = w.controller("a"), w.controller("b")
	return w
}

func (w *world) row() config.Rollout {
	r, _, err := w.store.Rollout(ctx, ref.String())
	require.NoError(w.t, err)
	return r
}

func (w *world) snapshot() *config.Snapshot {
	doc := config.Document{
		Rollouts: policy,
		Models:   map[string]config.Model{"m": {Versions: map[string]config.Version{"1": {State: config.Serving}, "2": {State: config.RollingOut}}}},
	}
	return config.NewSnapshot(1, doc, []config.Rollout{w.row()})
}

func (w *world) controller(self string) *Controller {
	return NewController(Deps{
		Writer:   w.store,
		Orders:   w.engine,
		Clock:    w.clock,
		Snapshot: w.snapshot,
		Evidence: func(*config.Snapshot, config.VersionRef) []Evidence { return []Evidence{w.evidence} },
		Engines: func() []Engine {
			return []Engine{{ID: "e", Address: "e", Serves: map[config.VersionRef]bool{{Model: "m", Version: "1"}: true}}}
		},
		NewLease: func(name string) Lease { return lease.New(name, self, leaseFor, w.memory, w.clock) },
		Duty:     func(string) bool { return w.duty == self },
		Table:    w.memory,
	})
}

// hold steps a controller until it holds the duty and old orders have run out.
func (w *world) hold(c *Controller) {
	for range 20 {
		c.Step(ctx)
		w.clock.Advance(time.Second)
	}
	require.True(w.t, c.Step(ctx))
}

// The duty holder is paused past its lease and wakes after another daemon took
// over. Its orders must not undo the new holder's, whether the engine checks
// fencing numbers or not, and its writes must not reach the row.
func TestPausedDutyHolder(t *testing.T) {
	for name, refusing := range map[string]bool{"engine refuses old fences": true, "engine ignores fences": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.engine.refusing = refusing
			w.hold(w.a)
			require.NotEmpty(t, w.engine.orders)
			paused := w.a.duties[ref]
			w.duty = "b"
			w.hold(w.b)
			newest := w.engine.orders[len(w.engine.orders)-1]
			require.Greater(t, newest.Fence, paused.lease.Fence())
			sent := len(w.engine.orders)
			w.evidence.Bad = 1000
			require.Error(t, w.a.advance(ctx, w.snapshot(), w.row(), paused))
			require.Error(t, w.a.order(ctx, w.row(), 1, paused))
			require.Len(t, w.engine.orders, sent, "no order after the lease lapsed")
			require.Equal(t, config.RollingOut, w.row().State)
		})
	}
}

// A holder dies in the middle of a roll-out. Another daemon goes on from the
// row: the stage does not fall back, and credits that may be in use count.
func TestRolloutGoesOnFromTheRow(t *testing.T) {
	w := newWorld(t)
	w.hold(w.a)
	n, err := w.a.Grant(ctx, ref, 100, 0)
	require.NoError(t, err)
	require.Equal(t, policy.ExposureBudget, n)
	w.evidence.Good = 20
	w.a.Step(ctx)
	stage := w.row().Stage
	require.Positive(t, stage)
	w.duty = "b"
	w.evidence.Good = 0
	w.hold(w.b)
	require.Equal(t, stage, w.row().Stage)
	n, err = w.b.Grant(ctx, ref, 100, 0)
	require.NoError(t, err)
	require.Zero(t, n, "what the dead holder granted or set aside may still be in use")
	n, err = w.b.Grant(ctx, ref, 100, policy.ExposureBudget)
	require.NoError(t, err)
	require.Equal(t, policy.ExposureBudget, n, "daemons gave back what lapsed unused")
}

func TestGoodVersionTakesOver(t *testing.T) {
	w := newWorld(t)
	w.hold(w.a)
	w.evidence.Good = 200
	w.a.Step(ctx)
	require.Equal(t, config.Serving, w.row().State)
	old, _, err := w.store.Rollout(ctx, "m@1")
	require.NoError(t, err)
	require.Equal(t, config.Draining, old.State)
}

func TestBadVersionIsWithdrawn(t *testing.T) {
	w := newWorld(t)
	w.hold(w.a)
	w.evidence.Bad = 10
	w.a.Step(ctx)
	require.Equal(t, config.Withdrawn, w.row().State)
	n, err := w.a.Grant(ctx, ref, 10, 0)
	require.NoError(t, err)
	require.Zero(t, n)
	snapshot := w.snapshot()
	_, err = Start(ctx, w.store, snapshot, ref, "1")
	require.ErrorContains(t, err, "was withdrawn")
}

// The duty holder, or the store, is gone. Credits lapse and new sessions get
// the proven version instead of one that nobody watches.
func TestCreditsLapse(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := NewExposure(clock)
	require.False(t, e.Take(ref))
	e.Refill(ref, 2, 0, clock.Now())
	require.True(t, e.Take(ref))
	clock.Advance(CreditTTL)
	require.False(t, e.Take(ref))
	want, lapsed := e.Want(ref)
	require.Positive(t, want)
	require.Equal(t, 1, lapsed)
	e.Refill(ref, 1, 0, clock.Now())
	require.True(t, e.Take(ref))
	require.False(t, e.Take(ref))
	e.Refill(ref, 1, 0, clock.Now())
	require.True(t, e.Stop(ref))
	require.False(t, e.Stop(ref))
	require.False(t, e.Take(ref), "stopped")
}

func TestBankStaysUnderItsBudget(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := NewBank(policy, 0, 0, now)
	require.Equal(t, 10, b.Available(0, 0, now))
	b.Grant(10, now)
	require.Zero(t, b.Available(0, 0, now))
	require.Equal(t, 4+4, b.Available(4, 0, now), "four rated, and four earned")
	require.Zero(t, b.Available(4, 8, now.Add(5*time.Minute))-10, "all but the budget has passed the horizon")
}
