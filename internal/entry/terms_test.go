package entry

import (
	"cmp"
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
	"github.com/hornbeamsill/hornbeamsill/platform"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// termsFleet are daemons that know each other and share a store. Their loops do not run.
type termsFleet struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	store  *platformtest.Store
	client *platform.Store
	nodes  []*servedNode
}

func newTermsFleet(t *testing.T, n int, mode overload.Mode) *termsFleet {
	t.Helper()
	f := &termsFleet{t: t, clock: clockwork.NewFakeClock(), store: platformtest.NewStore()}
	address, stop := f.store.Serve()
	t.Cleanup(stop)
	f.client = platform.NewStore(address)
	t.Cleanup(f.client.Close)
	for ok := false; !ok; _, ok = f.client.Clock() {
		// In its first millisecond the store has no time.
		_, err := f.client.ReadOperator(t.Context())
		require.NoError(t, err)
	}
	f.start(n, mode)
	return f
}

// start replaces all daemons by new ones, which know nothing.
func (f *termsFleet) start(n int, mode overload.Mode) {
	f.nodes = newUsageFleet(f.t, f.clock, n, mode)
	for _, node := range f.nodes {
		f.connect(node.Node)
	}
}

func (f *termsFleet) connect(n *Node) { n.store, n.kv = f.client, platform.Table{Store: f.client} }

// run does what the loops of the daemons do for some time, and returns how often they read the store.
func (f *termsFleet) run(d time.Duration) (reads int) {
	before, _ := f.store.Counts()
	for ; d > 0; d -= termsInterval {
		f.clock.Advance(termsInterval)
		for _, node := range f.nodes {
			node.terms.refresh()
			if node.terms.readDue() {
				node.terms.readAndTidy(f.t.Context())
			}
		}
	}
	after, _ := f.store.Counts()
	return after - before
}

// requireWeight requires that daemons have a weight of an organisation in force; 0 is none.
func (f *termsFleet) requireWeight(nodes []*servedNode, organisation string, weight float64) {
	f.t.Helper()
	for _, node := range nodes {
		require.Equal(f.t, weight, node.terms.book.InForce(f.clock.Now())[organisation].Weight)
	}
}

// set stores the weight and the minimum of an organisation for an hour.
func (f *termsFleet) set(node *Node, organisation string, weight, minimum float64) error {
	return node.terms.change(f.t.Context(), terms.Change{
		Organisation: organisation, Given: terms.Given{Weight: &weight, Minimum: &minimum}, ForMS: time.Hour.Milliseconds(), Who: "ada", Reason: "launch",
	})
}

// Guards against an override that does not reach all daemons, that a daemon which has missed it
// never gets, that does not end by itself, and against daemons that all read the store.
func TestOverrideReachesAllDaemons(t *testing.T) {
	f := newTermsFleet(t, 5, overload.On)
	missed := f.nodes[4]
	missed.server.Close()
	require.NoError(t, f.set(f.nodes[2].Node, "north", 3, 0))
	f.requireWeight(f.nodes[:4], "north", 3)
	f.requireWeight(f.nodes[4:], "north", 0)
	require.NoError(t, missed.sendHeartbeat(t.Context(), f.nodes[0].registry.Self()))
	f.requireWeight(f.nodes, "north", 3)
	require.LessOrEqual(t, f.run(2*termsReadInterval), 2*readersPerGroup, "two readers read once a minute")
	f.requireWeight(f.nodes, "north", 3)
	f.clock.Advance(time.Hour)
	f.run(termsInterval)
	f.requireWeight(f.nodes, "north", 0)
}

// Guards against an override that reaches only one failure domain of a large fleet.
func TestOverrideReachesAllDomains(t *testing.T) {
	f := newTermsFleet(t, splitDomains*splitDaemonsPerDomain, overload.On)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for _, node := range f.nodes {
		require.True(t, node.isSplit())
		go node.terms.relayLoop(ctx)
	}
	require.NoError(t, f.set(f.nodes[0].Node, "north", 3, 0))
	for _, node := range f.nodes {
		require.Eventually(t, func() bool { return node.terms.vars().Overrides == 1 }, 20*time.Second, time.Millisecond)
	}
}

// Guards against an override that is accepted without being stored, against an error that does not
// say so, against known overrides that end because the store does not answer, and against a change
// that is stored twice, or reported as failed, because an answer was lost.
func TestStoreDoesNotAnswer(t *testing.T) {
	f := newTermsFleet(t, 2, overload.On)
	f.store.SetFault(platformtest.FaultLoseAnswer)
	require.NoError(t, f.set(f.nodes[0].Node, "north", 3, 0))
	_, writes := f.store.Counts()
	require.Equal(t, 1, writes)
	for _, why := range []platformtest.Fault{platformtest.FaultRefuse, platformtest.FaultBusy, platformtest.FaultReset} {
		f.store.SetFault(why)
		err := f.set(f.nodes[1].Node, "west", 2, 0)
		require.True(t, fault.Is(err, fault.StoreUnavailable), "%v", err)
		require.ErrorContains(t, err, "nothing has been changed")
		f.run(termsReadInterval)
		f.requireWeight(f.nodes, "north", 3)
		f.requireWeight(f.nodes, "west", 0)
	}
	f.clock.Advance(time.Hour)
	f.requireWeight(f.nodes, "north", 0)
}

// Guards against two operators who overwrite each other's change without being told, and against
// minimums above 1 together that they set at the same time at two daemons.
func TestTwoOperators(t *testing.T) {
	f := newTermsFleet(t, 2, overload.On)
	f.nodes[1].server.Close()
	require.NoError(t, f.set(f.nodes[0].Node, "north", 3, 0))
	f.requireWeight(f.nodes[1:], "north", 0)
	err := f.set(f.nodes[1].Node, "north", 5, 0)
	require.True(t, fault.Is(err, fault.ConfigConflict), "%v", err)
	require.ErrorContains(t, err, `set by "ada" (launch)`)
	f.requireWeight(f.nodes, "north", 3)

	results := make(chan error, 2)
	for i, organisation := range []string{"east", "west"} {
		go func() { results <- f.set(f.nodes[i].Node, organisation, 1, 0.6) }()
	}
	first, second := <-results, <-results
	require.True(t, (first == nil) != (second == nil), "%v, %v", first, second)
	require.ErrorContains(t, cmp.Or(first, second), "minimum: the minimums would be 1.2 together")
}

// Guards against overrides that are lost when all daemons restart, that last longer after it, that
// stay unknown because the daemon that stored them ended before it told the others, or that are read
// where no service is divided between organisations. Those that are set there take effect later.
func TestOverrideSurvivesRestart(t *testing.T) {
	f := newTermsFleet(t, 3, overload.Off)
	ended := newTestNode(f.clock, nil)
	f.connect(ended)
	f.store.Put("hornbeamsill", termsPrefix+"east", map[string]any{"organisation": "east", "weight": -1, "reason": "r", "until_ms": 1 << 40})
	require.NoError(t, f.set(ended, "north", 3, 0))
	require.Zero(t, f.run(termsReadInterval))
	f.start(3, overload.On)
	f.run(termsInterval)
	f.requireWeight(f.nodes, "north", 3)
	f.requireWeight(f.nodes, "east", 0)
	left := f.nodes[2].terms.list(t.Context()).Organisations[0].LeftMS
	require.InDelta(t, time.Hour.Milliseconds(), left, float64(time.Minute.Milliseconds()))
	require.NoError(t, f.set(ended, "west", 2, 0))
	f.run(termsReadInterval)
	f.requireWeight(f.nodes, "west", 2)
}

// Guards against a store restored from an older backup that brings a cleared override back into
// force, and against changes that it lacks for good.
func TestRestoredStoreGetsOverridesAgain(t *testing.T) {
	f := newTermsFleet(t, 2, overload.On)
	node := f.nodes[0].Node
	require.NoError(t, f.set(node, "north", 3, 0))
	f.run(termsInterval)
	backup := f.store.Backup()
	version := node.terms.book.InForce(f.clock.Now())["north"].Override.Version
	require.NoError(t, node.terms.change(t.Context(), terms.Change{Organisation: "north", Base: version, Clear: true}))
	require.NoError(t, f.set(node, "west", 2, 0))
	f.store.RestoreBackup(backup)
	_, err := node.terms.read(t.Context())
	require.NoError(t, err)
	f.run(termsRetry)
	f.start(2, overload.On)
	f.run(termsInterval)
	f.requireWeight(f.nodes, "north", 0)
	f.requireWeight(f.nodes, "west", 2)
}

// Guards against overrides that the division of a service does not use.
func TestOverrideLimitsOrganisation(t *testing.T) {
	f := newTermsFleet(t, 1, overload.On)
	n, low := f.nodes[0], 0.2
	requireShare := func(want float64) {
		for range 30 {
			f.clock.Advance(workInterval)
			n.meter.Arrived("s", "north", 1)
			n.meter.Arrived("s", "south", 1)
			n.meter.Finished("s", 1)
			n.meter.SetWaiting("s", 100)
			n.sendFleetWork(t.Context(), 0)
		}
		share, _ := n.account.Share("s", "north")
		require.InDelta(t, want, share, 0.1)
	}
	requireShare(0.5)
	require.NoError(t, n.terms.change(t.Context(), terms.Change{Organisation: "north", Given: terms.Given{Cap: &low}, ForMS: 4000, Reason: "batch"}))
	requireShare(0.2)
	f.run(time.Second)
	requireShare(0.5)
}
