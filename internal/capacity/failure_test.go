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
	require.True(t, f.daemons[0].account.Service(simService).Short)
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
			f.loses = func(int, int) bool { return false }
			f.losesDomain = func(int, int) bool { return false }
			if name == "reader" {
				f.readers[0].sum = NewSum()
			}
			f.run(8*time.Second, demand)
			f.requireFair(t, 24)
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
		require.True(t, d.account.Service(simService).Isolated)
		for organisation, l := range d.meter.Usage().Services[KeyOf(simService)].Organisations {
			fraction, _ := d.account.ShareOf(simService, organisation)
			started += fraction * l.Demand
			offered += l.Demand
		}
	}
	t.Logf("offered %.1f, within the shares %.1f of 26", offered, started)
	require.Less(t, started, 1.15*26)
	f.requireFair(t, 24)

	// A daemon has some three requests per second, so only a load well below the capacity is
	// certainly below its part.
	light := map[string]float64{}
	for i := range 24 {
		light[organisationName(i)] = 0.5
	}
	f.run(10*time.Second, light)
	for _, d := range f.daemons {
		_, limited := d.account.Share(simService, greedy)
		require.False(t, limited)
	}
	f.loses = func(int, int) bool { return false }
	f.run(1100*time.Millisecond, demand)
	require.False(t, f.daemons[0].account.Service(simService).Isolated)
}

// Guards against a daemon that has just started and limits anybody before it knows the fleet, does
// not know it within two seconds, or makes others forget what they know.
func TestStartedDaemonKnowsWithinTwoSeconds(t *testing.T) {
	f, demand := overloaded(t)
	fresh := newFleet(1, 1).daemons[0]
	fresh.meter = NewMeter(f.clock, func(string) bool { return true })
	fresh.account = NewAccount(f.clock, fresh.meter, func(string) bool { return true })
	f.daemons = append(f.daemons, fresh)
	_, limited := fresh.account.Share(simService, greedy)
	require.False(t, limited)
	require.False(t, fresh.account.Service(simService).Known)
	f.run(2*time.Second, demand)
	require.InDelta(t, f.share(greedy), f.lastShare(greedy), 0.25)
	require.True(t, fresh.account.Service(simService).Short)
	require.LessOrEqual(t, fresh.account.Service(simService).Age, 2*time.Second)
}

// lastShare returns an organisation's share at the last daemon.
func (f *fleet) lastShare(organisation string) float64 {
	share, _ := f.daemons[len(f.daemons)-1].account.Share(simService, organisation)
	return share
}

// Guards against shares that collapse or that never follow when half of the daemons are lost.
func TestHalfOfDaemonsLost(t *testing.T) {
	f, demand := overloaded(t)
	for i, d := range f.daemons {
		d.dead = i >= len(f.daemons)/2
	}
	f.reset()
	f.run(10*time.Second, demand)
	f.requireFair(t, 24)
	require.Equal(t, len(f.daemons)/2, f.daemons[0].account.Daemons())
}

// Guards against daemons of an older build, which report nothing, that make the shares of the
// others wrong: the figures are then those of a part of the fleet.
func TestOlderBuildsReportNothing(t *testing.T) {
	f := newFleet(70, 26)
	for i, d := range f.daemons {
		d.old = i%3 == 0
	}
	f.run(5*time.Second, demandOf(24, 1))
	require.Equal(t, 1.0, f.lastShare(greedy))
	f.run(5*time.Second, demandOf(24, 7.5))
	require.Less(t, f.daemons[1].shareOf(greedy), 0.9)
	_, limited := f.daemons[0].account.Share(simService, greedy)
	require.False(t, limited, "it knows nothing")
}

func (d *simDaemon) shareOf(organisation string) float64 {
	share, _ := d.account.Share(simService, organisation)
	return share
}

// Guards against two readers that disagree, since one does not know half of the daemons: shares
// must stay between those that follow from either.
func TestTwoReadersThatDisagree(t *testing.T) {
	f, demand := overloaded(t)
	a := f.daemons[0].account
	half := NewSum()
	for range 50 {
		f.run(100*time.Millisecond, demand)
		now := f.clock.Now()
		for i, d := range f.daemons[:35] {
			half.Add(string(rune('a'+i)), d.meter.Usage().Bounded(), now)
		}
		if f.clock.Now().UnixMilli()%1000 == 500 {
			a.SetFleet(half.Fleet(now), now)
		}
		require.True(t, a.Service(simService).Short)
		require.Less(t, f.share(greedy), 0.7)
		require.Greater(t, f.share("org-1"), 0.5)
	}
	f.run(2*time.Second, demand)
	require.Greater(t, f.share("org-1"), 0.9)
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
		f.requireFair(t, 24)
		f.run(4*time.Second, demandOf(24, 0.2))
		_, limited := f.daemons[0].account.Share(simService, greedy)
		require.False(t, limited, "after a jump of %v", jump)
		require.InDelta(t, 23.2, f.daemons[0].account.Service(simService).Demand, 4, "after a jump of %v", jump)
		f.loses = func(int, int) bool { return true }
		f.clock.Advance(jump)
		f.run(4*time.Second, demand)
		require.True(t, f.daemons[0].account.Service(simService).Isolated, "after a jump of %v", jump)
	}
}
