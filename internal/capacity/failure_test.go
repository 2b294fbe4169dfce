package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloaded returns a fleet of 70 daemons in which one organisation sends 7.5 times its usual load
// and which has known that for some seconds.
func overloaded(t *testing.T) (f *fleet, demand map[string]float64) {
	t.Helper()
	f, demand = newFleet(70, 26), demandOf(24, 7.5)
	f.run(6*time.Second, demand)
	require.True(t, f.daemons[0].service().Short)
	return f, demand
}

// Guards against shares that change for everybody because a few messages are lost: one message, all
// messages of a domain's reader until another daemon takes its role, or the link between domains.
func TestLostMessageReaderAndRelay(t *testing.T) {
	for name, lose := range map[string]func(*fleet){
		"message": func(f *fleet) { f.loses = func(_, daemon int) bool { return daemon == 0 } },
		"reader": func(f *fleet) {
			f.loses = func(domain, _ int) bool { return domain == 0 }
			f.losesDomain = func(from, to int) bool { return from == 0 || to == 0 }
		},
		"relay": func(f *fleet) { f.losesDomain = func(from, to int) bool { return from == 0 || to == 0 } },
	} {
		t.Run(name, func(t *testing.T) {
			f, demand := overloaded(t)
			f.reset()
			lose(f)
			f.run(2*time.Second, demand)
			f.loseNothing()
			if name == "reader" {
				f.readers[0] = NewSum()
			}
			f.run(8*time.Second, demand)
			f.requireFair(t)
			require.Zero(t, f.changes)
			require.Equal(t, len(f.daemons), f.daemons[0].account.Daemons())
		})
	}
}

// Guards against a daemon that is cut off for long and takes more than its part of the capacity, or
// that limits organisations although its own part is enough.
func TestIsolatedDaemonUsesItsPart(t *testing.T) {
	f, demand := overloaded(t)
	f.loses = func(int, int) bool { return true }
	f.run(4*time.Second, demand)
	f.reset()
	f.run(6*time.Second, demand)
	started, offered := 0.0, 0.0
	for _, d := range f.daemons {
		require.True(t, d.service().Isolated)
		for organisation, l := range d.meter.Usage().Services[KeyOf(simService)].Organisations {
			fraction, _ := d.account.ShareOf(simService, organisation)
			started += fraction * l.Demand
			offered += l.Demand
		}
	}
	t.Logf("offered %.1f, within the shares %.1f of 26", offered, started)
	require.Less(t, started, 1.15*26)
	f.requireFair(t)

	// A daemon has some three requests per second, so only a load well below the capacity is
	// certainly below its part.
	f.run(10*time.Second, demandOf(12, 1))
	for _, d := range f.daemons {
		require.Equal(t, 1.0, d.share(greedy))
	}
	f.loseNothing()
	f.run(1100*time.Millisecond, demand)
	require.False(t, f.daemons[0].service().Isolated)
}

// Guards against a daemon that has just started and limits anybody before it knows the fleet, does
// not know it within two seconds, or makes others forget what they know.
func TestStartedDaemonKnowsWithinTwoSeconds(t *testing.T) {
	f, demand := overloaded(t)
	fresh := f.addDaemon()
	require.Equal(t, 1.0, fresh.share(greedy))
	require.False(t, fresh.service().Known)
	f.run(2*time.Second, demand)
	require.InDelta(t, f.daemons[0].share(greedy), fresh.share(greedy), 0.25)
	require.True(t, fresh.service().Short)
	require.LessOrEqual(t, fresh.service().Age, 2*time.Second)
}

// Guards against shares that collapse or that never follow when half of the daemons are lost.
func TestHalfOfDaemonsLost(t *testing.T) {
	f, demand := overloaded(t)
	for _, d := range f.daemons[35:] {
		d.dead = true
	}
	f.reset()
	f.run(10*time.Second, demand)
	f.requireFair(t)
	require.Equal(t, 35, f.daemons[0].account.Daemons())
}

// Guards against daemons of an older build, which report nothing, that make the shares of the
// others wrong: the figures are then those of a part of the fleet.
func TestOlderBuildsReportNothing(t *testing.T) {
	f := newFleet(70, 26)
	for _, d := range f.daemons[:23] {
		d.old = true
	}
	f.run(5*time.Second, demandOf(24, 1))
	require.Equal(t, 1.0, f.daemons[69].share(greedy))
	f.run(5*time.Second, demandOf(24, 7.5))
	require.Less(t, f.daemons[69].share(greedy), 0.9)
	require.Equal(t, 1.0, f.daemons[0].share(greedy), "it knows nothing")
}

// Guards against two readers that disagree, since one does not know half of the daemons: the
// shares must stay about those that a daemon with one reader has.
func TestTwoReadersThatDisagree(t *testing.T) {
	f, demand := overloaded(t)
	a, one := f.daemons[0], f.daemons[1]
	half := NewSum()
	sum, want := 0.0, 0.0
	for range 50 {
		f.run(100*time.Millisecond, demand)
		now := f.clock.Now()
		for i, d := range f.daemons[:35] {
			half.Add(string(rune('a'+i)), d.meter.Usage().Bounded(), now)
		}
		if now.UnixMilli()%1000 == 500 {
			a.account.SetFleet(half.Fleet(now), now)
		}
		require.True(t, a.service().Short)
		require.Less(t, a.share(greedy), 1.0)
		require.Greater(t, a.share("org-1"), 0.5)
		sum += a.share(greedy) / 50
		want += one.share(greedy) / 50
	}
	t.Logf("mean share with two readers %.3f, with one %.3f", sum, want)
	require.InDelta(t, want, sum, 0.1)
	f.run(2*time.Second, demand)
	require.InDelta(t, one.share(greedy), a.share(greedy), 1e-3)
}

// Guards against a clock that jumps: back, which must not stop the decay of demand or keep old
// figures for good, or forward, which must not limit anybody.
func TestClockJumps(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, -2 * time.Second, 10 * time.Second, time.Hour} {
		f, demand := overloaded(t)
		f.clock.Advance(jump)
		f.run(4*time.Second, demand)
		f.reset()
		f.run(5*time.Second, demand)
		f.requireFair(t)
		f.run(4*time.Second, demandOf(24, 0.2))
		require.Equal(t, 1.0, f.daemons[0].share(greedy), "after a jump of %v", jump)
		require.InDelta(t, 23.2, f.daemons[0].service().Demand, 4, "after a jump of %v", jump)
		f.loses = func(int, int) bool { return true }
		f.clock.Advance(jump)
		// A jump back is noticed at the first call after it, and the age counts from there.
		f.run(6*time.Second, demand)
		require.True(t, f.daemons[0].service().Isolated, "after a jump of %v", jump)
	}
}
