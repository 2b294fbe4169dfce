package entry

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// termsFleet are daemons that know each other and share a store. Their loops do not run.
type termsFleet struct {
	t     *testing.T
	clock *clockwork.FakeClock
	store *platformtest.Store
	nodes []*servedNode
}

func newTermsFleet(t *testing.T, n int, mode overload.Mode) *termsFleet {
	t.Helper()
	f := &termsFleet{t: t, clock: clockwork.NewFakeClock(), store: platformtest.NewStore()}
	address, stop := f.store.Serve()
	t.Cleanup(stop)
	var all []member.Daemon
	for i := range n {
		f.nodes = append(f.nodes, serveNode(t, newTestNode(f.clock, func(r *settings.Routes) {
			setSplitDomain(i, r)
			r.Platform = address
			r.Overload.FairShares, r.Overload.Admission = mode, overload.Off
			low := 0.2
			r.Overload.Organisations = terms.Declared{"south": {Minimum: &low}}
		})))
		all = append(all, f.nodes[i].registry.Self())
	}
	for _, node := range f.nodes {
		node.registry.Merge(all)
		t.Cleanup(node.store.Close)
	}
	return f
}

// restart replaces all daemons by new ones, which know nothing.
func (f *termsFleet) restart(mode overload.Mode) {
	fresh := newTermsFleet(f.t, len(f.nodes), mode)
	for _, node := range fresh.nodes {
		node.store, node.kv = f.nodes[0].store, f.nodes[0].kv
	}
	f.nodes = fresh.nodes
	f.clock = fresh.clock
}

// weight returns the weight of an organisation that a daemon has in force; 0 is none.
func (f *termsFleet) weight(node *servedNode, organisation string) float64 {
	return node.terms.book.InForce(f.clock.Now())[organisation].Weight
}

// setWeight returns a change that sets the weight of an organisation for an hour.
func setWeight(organisation string, weight float64) terms.Change {
	return terms.Change{Organisation: organisation, Given: terms.Given{Weight: &weight}, ForMS: time.Hour.Milliseconds(), Who: "ada", Reason: "launch"}
}

// tick does what the loop of each daemon does in one interval.
func (f *termsFleet) tick() {
	f.clock.Advance(termsInterval)
	for _, node := range f.nodes {
		node.terms.refresh()
		if node.terms.readDue() {
			node.terms.readAndTidy(f.t.Context())
		}
	}
}

// Guards against an override that does not reach all daemons, that a daemon which has missed it
// never gets, that does not end by itself, and against daemons that all read the store.
func TestOverrideReachesAllDaemons(t *testing.T) {
	f := newTermsFleet(t, 5, overload.On)
	missed := f.nodes[4]
	missed.server.Close()
	require.NoError(t, f.nodes[2].terms.change(t.Context(), setWeight("north", 3)))
	for _, node := range f.nodes[:4] {
		require.Equal(t, 3.0, f.weight(node, "north"))
	}
	require.Zero(t, f.weight(missed, "north"))
	require.NoError(t, missed.sendHeartbeat(t.Context(), f.nodes[0].registry.Self()))
	require.Equal(t, 3.0, f.weight(missed, "north"))
	reads, _ := f.store.Counts()
	for range 2 * termsReadInterval / termsInterval {
		f.tick()
	}
	after, _ := f.store.Counts()
	require.LessOrEqual(t, after-reads, 2*readersPerGroup, "two readers read once a minute")
	require.Equal(t, 3.0, f.weight(missed, "north"))
	f.clock.Advance(time.Hour)
	f.tick()
	for _, node := range f.nodes {
		require.Zero(t, f.weight(node, "north"))
		require.Zero(t, node.terms.vars().Overrides)
	}
}

// Guards against an override that reaches the daemons of a large fleet only within one failure
// domain.
func TestOverrideReachesAllDomains(t *testing.T) {
	f := newTermsFleet(t, splitDomains*splitDaemonsPerDomain, overload.On)
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	t.Cleanup(loops.Wait)
	t.Cleanup(cancel)
	for _, node := range f.nodes {
		require.True(t, node.isSplit())
		loops.Go(func() { node.terms.relayLoop(ctx) })
	}
	require.NoError(t, f.nodes[0].terms.change(t.Context(), setWeight("north", 3)))
	for _, node := range f.nodes {
		require.Eventually(t, func() bool { return f.weight(node, "north") == 3 }, 20*time.Second, time.Millisecond)
	}
}

// Guards against an override that is accepted without being stored, against an error that does not
// say so, and against known overrides that end because the store does not answer.
func TestStoreDoesNotAnswer(t *testing.T) {
	f := newTermsFleet(t, 2, overload.On)
	require.NoError(t, f.nodes[0].terms.change(t.Context(), setWeight("north", 3)))
	for _, why := range []platformtest.Fault{platformtest.FaultRefuse, platformtest.FaultBusy, platformtest.FaultReset} {
		f.store.SetFault(why)
		err := f.nodes[1].terms.change(t.Context(), setWeight("west", 2))
		require.True(t, fault.Is(err, fault.StoreUnavailable), "%v", err)
		require.ErrorContains(t, err, "nothing has been changed")
		for range termsReadInterval / termsInterval {
			f.tick()
		}
		for _, node := range f.nodes {
			require.Equal(t, 3.0, f.weight(node, "north"))
			require.Zero(t, f.weight(node, "west"))
			require.False(t, node.terms.list(t.Context()).StoreRead)
		}
	}
	f.clock.Advance(time.Hour)
	require.Zero(t, f.weight(f.nodes[0], "north"))
}

// Guards against a change that is stored twice, or reported as failed, because the answer of the
// store was lost.
func TestAnswerOfStoreIsLost(t *testing.T) {
	f := newTermsFleet(t, 1, overload.On)
	f.store.SetFault(platformtest.FaultLoseAnswer)
	_, writes := f.store.Counts()
	require.NoError(t, f.nodes[0].terms.change(t.Context(), setWeight("north", 3)))
	_, after := f.store.Counts()
	require.Equal(t, 1, after-writes)
	require.Equal(t, 3.0, f.weight(f.nodes[0], "north"))
}

// Guards against an override that stays unknown because the daemon that has stored it ended before it
// told the others, and against a malformed row that hides the others.
func TestDaemonEndsAfterStoring(t *testing.T) {
	f := newTermsFleet(t, 3, overload.On)
	f.store.Put("hornbeamsill", termsPrefix+"bad", "no object")
	f.store.Put("hornbeamsill", termsPrefix+"east", map[string]any{"organisation": "east", "weight": -1, "reason": "r", "until_ms": 1 << 40})
	f.tick()
	ended := newTestNode(f.clock, nil)
	ended.store, ended.kv = f.nodes[0].store, f.nodes[0].kv
	require.NoError(t, ended.terms.change(t.Context(), setWeight("north", 3)))
	for range termsReadInterval / termsInterval {
		f.tick()
	}
	for _, node := range f.nodes {
		require.Equal(t, 3.0, f.weight(node, "north"))
		require.Len(t, node.terms.book.InForce(f.clock.Now()), 2)
	}
}

// Guards against two operators who overwrite each other's change without being told, and against
// minimums above 1 together that they set at the same time at two daemons.
func TestTwoOperators(t *testing.T) {
	f := newTermsFleet(t, 2, overload.On)
	one, two := f.nodes[0], f.nodes[1]
	two.server.Close()
	require.NoError(t, one.terms.change(t.Context(), setWeight("north", 3)))
	require.Zero(t, f.weight(two, "north"), "the second operator does not see it")
	err := two.terms.change(t.Context(), setWeight("north", 5))
	require.True(t, fault.Is(err, fault.ConfigConflict), "%v", err)
	require.ErrorContains(t, err, `set by "ada" (launch)`)
	require.Equal(t, 3.0, f.weight(two, "north"), "it is in force there now")
	based := setWeight("north", 5)
	based.Base = two.terms.book.InForce(f.clock.Now())["north"].Override.Version
	require.NoError(t, two.terms.change(t.Context(), based))

	high := 0.5
	results := make(chan error, 2)
	for i, organisation := range []string{"east", "west"} {
		go func() {
			c := setWeight(organisation, 1)
			c.Minimum = &high
			results <- f.nodes[i].terms.change(t.Context(), c)
		}()
	}
	first, second := <-results, <-results
	require.True(t, (first == nil) != (second == nil), "%v, %v", first, second)
	if first == nil {
		first = second
	}
	require.True(t, fault.Is(first, fault.ConfigInvalid), "%v", first)
	require.ErrorContains(t, first, "minimum: the minimums would be 1.2 together")
}

// Guards against overrides that are lost when all daemons restart, that last longer after it, or
// that are read where no service is divided between organisations. Those that are set there take
// effect later.
func TestOverrideSurvivesRestart(t *testing.T) {
	f := newTermsFleet(t, 3, overload.Off)
	require.NoError(t, f.nodes[0].terms.change(t.Context(), setWeight("north", 3)))
	require.False(t, f.nodes[0].terms.list(t.Context()).Applies)
	f.restart(overload.Off)
	reads, _ := f.store.Counts()
	for range 10 {
		f.tick()
	}
	after, _ := f.store.Counts()
	require.Equal(t, reads, after)
	require.Zero(t, f.nodes[0].terms.counters.transitions.Load(), "nothing is in force")

	f.restart(overload.On)
	f.tick()
	for _, node := range f.nodes {
		require.Equal(t, 3.0, f.weight(node, "north"))
		left := node.terms.list(t.Context()).Organisations[0].LeftMS
		require.Greater(t, left, (time.Hour - time.Minute).Milliseconds())
		require.LessOrEqual(t, left, time.Hour.Milliseconds())
	}
}

// Guards against a store restored from an older backup that brings a cleared override back into
// force, and against changes that it lacks for good.
func TestRestoredStoreGetsOverridesAgain(t *testing.T) {
	f := newTermsFleet(t, 2, overload.On)
	node := f.nodes[0]
	require.NoError(t, node.terms.change(t.Context(), setWeight("north", 3)))
	f.tick()
	backup := f.store.Backup()
	version := node.terms.book.InForce(f.clock.Now())["north"].Override.Version
	require.NoError(t, node.terms.change(t.Context(), terms.Change{Organisation: "north", Base: version, Clear: true, Who: "bo"}))
	require.NoError(t, node.terms.change(t.Context(), setWeight("west", 2)))
	f.store.RestoreBackup(backup)
	_, err := node.terms.read(t.Context())
	require.NoError(t, err)
	require.Zero(t, f.weight(node, "north"))
	for range termsRetry / termsInterval {
		f.tick()
	}
	f.restart(overload.On)
	f.tick()
	require.Zero(t, f.weight(f.nodes[0], "north"))
	require.Equal(t, 2.0, f.weight(f.nodes[0], "west"))
}

// Guards against terms that the division of a service does not use, and against an interface for
// operators that does not name terms, sources or errors.
func TestOperatorsChangeTermsOverHTTP(t *testing.T) {
	f := newTermsFleet(t, 1, overload.On)
	n := f.nodes[0]
	call := func(method, body string, out any) int {
		resp := httptest.NewRecorder()
		n.debugHandler().ServeHTTP(resp, httptest.NewRequest(method, TermsPath, strings.NewReader(body)))
		require.NoError(t, json.Unmarshal(resp.Body.Bytes(), out), resp.Body.String())
		return resp.Code
	}
	share := func() float64 {
		for range 30 {
			f.clock.Advance(workInterval)
			n.meter.Arrived("s", "north", 1)
			n.meter.Arrived("s", "south", 1)
			n.meter.Finished("s", 1)
			n.meter.SetWaiting("s", 100)
			n.sendFleetWork(t.Context(), 0)
		}
		fraction, _ := n.account.Share("s", "north")
		return fraction
	}
	require.InDelta(t, 0.5, share(), 0.1)
	var row OrganisationTerms
	require.Equal(t, 200, call("POST", `{"organisation":"north","cap":0.2,"for_ms":60000,"who":"ada","reason":"batch"}`, &row))
	require.Equal(t, "override", row.Source)
	require.Equal(t, terms.Values{Weight: 1, Cap: 0.2}, row.Values)
	require.InDelta(t, 0.2, share(), 0.05)
	var list TermsReply
	require.Equal(t, 200, call("GET", "", &list))
	require.True(t, list.Applies && list.StoreRead)
	require.Equal(t, []string{"north", "south"}, []string{list.Organisations[0].Name, list.Organisations[1].Name})
	require.Equal(t, []string{"ada", "batch", "settings"}, []string{list.Organisations[0].Who, list.Organisations[0].Reason, list.Organisations[1].Source})
	var failed fault.Body
	require.Equal(t, 400, call("POST", `{"organisation":"north","base":1,"wieght":1}`, &failed))
	require.Contains(t, failed.Error.Message, "wieght")
	require.Equal(t, 409, call("POST", `{"organisation":"north","clear":true,"who":"bo"}`, &failed))
	require.Equal(t, 404, call("POST", `{"organisation":"west","clear":true,"who":"bo"}`, &failed))
	clear, err := json.Marshal(terms.Change{Organisation: "north", Base: row.Version, Clear: true})
	require.NoError(t, err)
	var after OrganisationTerms
	require.Equal(t, 200, call("POST", string(clear), &after))
	require.Equal(t, OrganisationTerms{Name: "north", Values: terms.DefaultValues, Source: "default"}, after)
	require.InDelta(t, 0.5, share(), 0.1)
}
