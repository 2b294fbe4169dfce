package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// unevenFleet returns daemons like those of the deployments in docs/design/hard-load.md.
func unevenFleet(n int, random *rand.Rand) []carrier {
	kinds := []carrier{{cpu: 0.144, memory: 144, linkM: 10}, {cpu: 0.3, memory: 256, linkM: 100}, {cpu: 0.8, memory: 536, linkM: 200}, {cpu: 0.8, memory: 536, linkM: 10}}
	var out []carrier
	for i := range n {
		c := kinds[random.IntN(len(kinds))]
		c.address = fmt.Sprint(i)
		out = append(out, c)
	}
	return out
}

// directoryLoad returns the requests of each daemon as a multiple of its share by weight, after a
// minute with 593 requests a second of 400 callers in 4 failure domains. A caller keeps an answer
// for 1 to 3 s, picks an address at random, and sends half of its requests on the connection that
// it used last.
func directoryLoad(fleet []carrier, answer func(near int, random *rand.Rand) []string, random *rand.Rand) []float64 {
	type caller struct {
		answer []string
		until  float64
		last   string
	}
	callers, sent, requests := make([]caller, 400), map[string]float64{}, 593*60
	for i := range requests {
		now, at := float64(i)/593, random.IntN(400)
		c := &callers[at]
		if now >= c.until {
			c.answer, c.until = answer(at%4, random), now+1+2*random.Float64()
		}
		if c.last == "" || random.Float64() < 0.5 {
			c.last = c.answer[random.IntN(len(c.answer))]
		}
		sent[c.last]++
	}
	weights := carrierWeights(fleet)
	total := sum(weights)
	var out []float64
	for i, c := range fleet {
		out = append(out, sent[c.address]/float64(requests)/(weights[i]/total))
	}
	slices.Sort(out)
	return out
}

// Guards against small daemons that get as much as large ones.
func TestDirectoryNamesByCapacity(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		fleet := unevenFleet(79, random)
		equal := make([]carrier, len(fleet))
		for i, c := range fleet {
			equal[i] = carrier{address: c.address}
		}
		from := func(fleet []carrier) func(int, *rand.Rand) []string {
			return func(near int, random *rand.Rand) []string {
				seen := slices.Clone(fleet)
				for i := range seen {
					seen[i].near = i%4 == near
				}
				return chooseAddresses(seen, platform.MaxAddresses, random)
			}
		}
		weighted, alike := directoryLoad(fleet, from(fleet), random), directoryLoad(fleet, from(equal), random)
		t.Logf("load by share: %.2f to %.2f by weight, %.2f to %.2f alike", weighted[0], weighted[78], alike[0], alike[78])
		require.Less(t, weighted[78], 1.4)
		require.Greater(t, weighted[0], 0.6)
		require.Greater(t, alike[78], 2.0)
	}
}

// Guards against answers that leave callers without an alternative, a daemon that no answer names,
// a lone daemon that is not named, and more addresses than callers read.
func TestDirectoryAlwaysNamesEnough(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 2, 3, 5, 8, 70, 300, 1300} {
		fleet := unevenFleet(n, random)
		for i := range fleet {
			fleet[i].near = i%4 == 0
			fleet[i].late = uint8(random.IntN(9))
		}
		named := map[string]bool{}
		for range 3000 {
			answer := chooseAddresses(fleet, platform.MaxAddresses, random)
			require.GreaterOrEqual(t, len(answer), min(n, minNamed))
			require.LessOrEqual(t, len(answer), platform.MaxAddresses)
			isNear := func(address string) bool {
				return slices.ContainsFunc(fleet, func(c carrier) bool { return c.address == address && c.near })
			}
			first := slices.IndexFunc(answer, func(a string) bool { return !isNear(a) })
			require.False(t, first >= 0 && slices.ContainsFunc(answer[first:], isNear), "near ones come first")
			for _, address := range answer {
				named[address] = true
			}
			if n > 100 {
				break
			}
		}
		if n <= 100 {
			require.Len(t, named, n)
		}
	}
	require.Empty(t, chooseAddresses(nil, 64, random))
	unknown := carrierWeights([]carrier{{cpu: 0.2}, {cpu: 0.6}, {}, {late: 1}})
	require.InDeltaSlice(t, []float64{1.0 / 3, 1, 2.0 / 3, 1.0 / 3}, unknown, 1e-9, "unknown counts as the mean")
	require.Equal(t, []float64{1, 1}, carrierWeights([]carrier{{}, {}}))
}

// Guards against a level of slowness that follows each pause of a process, or goes up and down with
// the load that it directs elsewhere.
func TestLateLevelChangesSlowly(t *testing.T) {
	var m lateMeter
	now, limit, changes := time.Unix(1000, 0), 15*time.Millisecond, 0
	run := func(late, d time.Duration) {
		for range d / lateTick {
			now = now.Add(lateTick)
			if m.note(late, limit, now) {
				changes++
			}
		}
	}
	run(time.Millisecond, 10*time.Second)
	m.note(200*time.Millisecond, limit, now.Add(lateTick))
	require.Zero(t, m.level, "a single pause")
	run(time.Second, 1500*time.Millisecond)
	require.LessOrEqual(t, m.level, uint8(2))
	run(time.Second, 5*time.Second)
	require.EqualValues(t, maxLate, m.level)
	run(0, fasterInterval*4)
	require.Zero(t, m.level)
	require.Equal(t, 2*maxLate, changes)
	require.Equal(t, 15*time.Millisecond, lateLimit(catalog.New(catalog.Declared{Routes: []catalog.Route{{Objective: 2 * time.Second}, {Objective: 150 * time.Millisecond}}})))
}

// A daemon is slow. Guards against a first reader of its group or of another failure domain that
// does not send this on, and against a level that outlives the daemon's reports.
func TestSlowDaemonIsNamedLess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	on := func(r *settings.Routes) { r.Overload = overload.Settings{DirectoryWeights: overload.On} }
	first, far, other := newTestNode(clock, on), newTestNode(clock, on), newTestNode(clock, on)
	slow := member.Daemon{Incarnation: "slow", CallerURL: "slow", FailureDomain: "a"}
	other.registry.Merge([]member.Daemon{slow})
	for i := range 9 {
		other.registry.Merge([]member.Daemon{{Incarnation: fmt.Sprint(i), CallerURL: fmt.Sprint(i), FailureDomain: "a"}})
	}
	namedOf := func(answers int) (named int) {
		for range answers {
			if slices.Contains(other.directoryAddresses("", "a"), slow.CallerURL) {
				named++
			}
		}
		return named
	}
	require.Equal(t, 400, namedOf(400))
	first.noteDaemonWork(peer.DaemonWork{Incarnation: slow.Incarnation, Late: 2})
	var out peer.DomainWork
	first.extendDomainWork(&out)
	far.noteDomainWork(out)
	var sent, again peer.FleetWork
	far.extendFleetWork(&sent)
	far.extendFleetWork(&again)
	require.Empty(t, again.Late, "once a second")
	other.noteFleetWork(sent)
	other.noteFleetWork(again)
	require.InDelta(t, 100, namedOf(400), 50)
	clock.Advance(lateSendInterval)
	first.noteDaemonWork(peer.DaemonWork{Incarnation: slow.Incarnation})
	first.extendDomainWork(&out)
	far.noteDomainWork(out)
	far.extendFleetWork(&sent)
	other.noteFleetWork(sent)
	require.Equal(t, 400, namedOf(400))
	require.EqualValues(t, 1200, other.directory.vars().Answers)
}
