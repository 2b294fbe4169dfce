package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
)

// Guards against prompts that are processed again after a restart although an engine said that it
// caches their parts, and against prompts that count as cached after a part that is not: engines
// can only use the cached state of a part behind cached ones.
func TestPrefixIsCachedIfAllItsPartsAre(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := NewPrefixIndex(clock)
	a, b := instance("a").Hash(), instance("b").Hash()
	prompt := func(parts ...string) []Prefix {
		var out []Prefix
		for i, part := range parts {
			out = append(out, Prefix{Key: PrefixHash(i), Part: PartKey("large", part), Work: float64(i+1) * 1000})
		}
		return out
	}
	p.MergeParts([]Surveyed{{Instance: a, Parts: []PrefixHash{PartKey("large", "x"), PartKey("large", "y"), PartKey("small", "z")}}})
	require.Equal(t, 2, p.CachedCount(a, prompt("x", "y", "z")))
	require.Equal(t, 2, p.CachedCount(a, prompt("y", "x")))
	require.Zero(t, p.CachedCount(a, prompt("z", "x")), "z is cached for another model")
	require.Zero(t, p.CachedCount(b, prompt("x")))
	short := prompt("short", "x")
	short[0].Work = MinPartWork / 2
	require.Equal(t, 2, p.CachedCount(a, short), "lists leave out short parts")

	p.Merge([]CachedPrefix{{Key: 2, Instance: a}})
	require.Equal(t, 3, p.CachedCount(a, prompt("x", "y", "z")), "a request has used it since")
	require.Len(t, p.Recent(5), 1)
	clock.Advance(cacheTime + time.Second)
	require.Zero(t, p.CachedCount(a, prompt("x", "y")))
}

// Guards against requests of callers that have gone as load for ever, and against counting the
// requests of live daemons twice.
func TestRequestsOfGoneCallersDecay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	i := Instance{ID: "i", Service: "s"}
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{i}}, time.Time{})
	table.Begin(i, 500)
	running, waiting := table.SplitSurveyed(i, EngineLoad{Running: 5, Waiting: 3})
	require.Equal(t, [2]int{5, 2}, [2]int{running, waiting})
	table.NoteSurveyed([]Surveyed{{Instance: i.Hash(), Running: 5, Waiting: 2}})
	view := func() View { return table.Usable("s")[0] }
	require.Equal(t, 8, view().Open)
	require.InDelta(t, 8, view().Load, 0.1)
	table.ReportLoad(i, Load{Running: 8})
	require.InDelta(t, 8, view().Load, 0.1, "the report has them, too")
	require.InDelta(t, 500+2*orphanWork, view().Waiting, 1)
	clock.Advance(orphanHalfLife)
	require.Equal(t, 5, view().Open)
	require.InDelta(t, 500+orphanWork, view().Waiting, 1)
	clock.Advance(orphanTTL)
	require.Equal(t, 1, view().Open)
	require.InDelta(t, 500, view().Waiting, 1)
}

// Guards against a survey that sends calls to an evacuated failure domain or to an instance that
// warms up.
func TestEnginesThatMayBeAsked(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	warming := Instance{ID: "warming", Service: "s", FailureDomain: "b"}
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{{ID: "i", Service: "s", FailureDomain: "a"}, warming, {ID: "other", Service: "s", FailureDomain: "b"}}}, time.Time{})
	table.SetWarmUps(map[string]catalog.WarmUp{"s": {Time: time.Second, Rate: 5}}, func(string, float64) pacing.Share { return pacing.Share{} })
	require.Len(t, table.Engines("s"), 3)
	table.NoteWarming(warming, time.Second)
	table.SetEvacuated("a", true)
	engines := table.Engines("s")
	require.Len(t, engines, 1)
	require.Equal(t, "other", engines[0].ID)
}
