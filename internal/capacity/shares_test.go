package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against a division that is not max-min fair, ignores terms, or cuts an organisation below
// a quarter of the fraction of all.
func TestDivide(t *testing.T) {
	const a, b, c = Key(10), Key(11), Key(12)
	for name, test := range map[string]struct {
		demands map[Key]float64
		terms   map[Key]Terms
		granted map[Key]float64
	}{
		"enough":      {map[Key]float64{a: 4, b: 6}, nil, map[Key]float64{a: 4, b: 6}},
		"equal":       {map[Key]float64{a: 8, b: 8, c: 4}, nil, map[Key]float64{a: 10. / 3, b: 10. / 3, c: 10. / 3}},
		"unused part": {map[Key]float64{a: 12, b: 12, c: 2}, nil, map[Key]float64{a: 4, b: 4, c: 2}},
		"weights":     {map[Key]float64{a: 12, b: 12}, map[Key]Terms{a: {Weight: 3}}, map[Key]float64{a: 7.5, b: 2.5}},
		"minimum":     {map[Key]float64{a: 12, b: 12}, map[Key]Terms{b: {Minimum: 0.8}}, map[Key]float64{a: 2, b: 8}},
		"cap":         {map[Key]float64{a: 12, b: 6}, map[Key]Terms{a: {Cap: 0.45}}, map[Key]float64{a: 4.5, b: 5.5}},
		"quarter":     {map[Key]float64{a: 90, b: 10}, map[Key]Terms{b: {Weight: 1000}}, map[Key]float64{a: 2.25, b: 7.75}},
	} {
		s, sum := divide(10, test.demands, test.terms), 0.0
		for key, demand := range test.demands {
			fraction, limited := s.of(key)
			require.Equal(t, fraction < 1, limited, name)
			sum += fraction * demand
			require.InDelta(t, test.granted[key], fraction*demand, 1e-6, "%s: %d", name, key)
		}
		require.InDelta(t, 10, sum, 1e-6, name)
	}
	s := divide(10, map[Key]float64{a: 10, b: 1, OtherOrganisations: 8}, nil)
	small, _ := s.of(b)
	others, _ := s.of(c)
	require.Greater(t, small, 0.8)
	require.InDelta(t, small, others, 0.1, "an organisation without an entry fares like the smallest one")
	require.Equal(t, unlimited(), divide(0, map[Key]float64{a: 0}, nil))
	zero := divide(0, map[Key]float64{a: 1}, nil)
	require.False(t, math.IsNaN(zero.fractions[a]))
}

// Guards against a shortage that flaps at a load near the capacity, that is never noticed, or that
// is reported while nothing waits. At the capacity itself it may begin and end at most twice in 30 s.
func TestShortageNearCapacity(t *testing.T) {
	for _, test := range []struct {
		load       float64
		maxChanges int
		short      bool
	}{{0.7, 0, false}, {0.9, 0, false}, {0.97, 4, false}, {1, 4, true}, {1.15, 0, true}, {1.5, 0, true}} {
		f := newFleet(8, 24*simWork*10)
		demand := demandOf(24, 1)
		for name := range demand {
			demand[name] = test.load
		}
		f.run(3*time.Second, demand)
		f.reset()
		f.run(30*time.Second, demand)
		t.Logf("load %.2f: %d changes over 8 daemons", test.load, f.changes)
		require.LessOrEqual(t, f.changes, test.maxChanges*len(f.daemons))
		if test.maxChanges == 0 {
			require.Equal(t, test.short, f.daemons[0].service().Short, "load %v", test.load)
		}
	}
}

// Guards against state that grows with the number of organisations or services, demand that is lost
// when organisations are summed, and figures that are not numbers.
func TestMeterAndUsageAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := NewMeter(clock, func(service string) bool { return service != "calm" })
	for i := range 1000 {
		m.Arrived(simService, fmt.Sprint(i), 1)
		m.Arrived(fmt.Sprint("s", i), "o", 0.5)
	}
	m.Arrived("calm", "o", 1)
	u := m.Usage()
	require.Len(t, u.Services, maxMetered)
	require.NotContains(t, u.Services, KeyOf("calm"))
	require.LessOrEqual(t, len(u.Services[KeyOf(simService)].Organisations), maxMetered+1)
	bounded := u.Bounded()
	require.Len(t, bounded.Services, MaxServices)
	s := bounded.Services[KeyOf(simService)]
	require.Len(t, s.Organisations, MaxOrganisations+1)
	require.InDelta(t, 1000*math.Ln2, s.Total().Demand, 1e-6)
	for _, work := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		m.Arrived(simService, "0", work)
		m.Finished(simService, work)
	}
	m.SetWaiting(simService, -3)
	total := m.Usage().Services[KeyOf(simService)]
	require.Less(t, total.Total().Demand+total.Completed, 1e4)
	require.Zero(t, total.Waiting)
	clock.Advance(time.Minute)
	require.Empty(t, m.Usage().Services)

	var none *Meter
	none.Arrived("s", "o", 1)
	require.Empty(t, none.Usage().Services)
	var nobody *Account
	_, limited := nobody.Share("s", "o")
	require.False(t, limited)
}
