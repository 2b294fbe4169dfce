package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

func daemon(n int) Daemon {
	return Daemon{Incarnation: fmt.Sprintf("d%04d", n), PeerAddress: fmt.Sprintf("p%d", n)}
}

func registry(n int, clock clockwork.Clock) *Registry {
	return NewRegistry(daemon(n), clock, Options{RingTargets: 2, RandomTargets: 2, MaxUpdates: 16, RetransmitFactor: 3, ForgetAfter: time.Hour}, rand.New(rand.NewPCG(uint64(n), 1)))
}

// A suspected daemon must become alive again when it refutes the suspicion, for example after
// a pause of its process. A daemon that leaves must not become alive again through outdated
// entries or a suspicion.
func TestSuspicionIsRefutedAndLeavingIsFinal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := registry(1, clock), registry(2, clock)
	a.Merge([]Daemon{daemon(2)})
	old := a.All()
	a.Suspect("d0002")
	require.Len(t, a.Live(), 1)
	require.Empty(t, a.Dead(time.Second))
	clock.Advance(time.Second)
	require.Equal(t, []string{"d0002"}, a.Dead(time.Second))
	b.Merge(a.All())
	require.Equal(t, Alive, b.Self().State)
	a.Merge([]Daemon{b.Self()})
	require.Len(t, a.Live(), 2)
	b.SetSelf(func(d *Daemon) { d.State = Leaving })
	a.Merge([]Daemon{b.Self()})
	a.Merge(old)
	a.Suspect("d0002")
	got, _ := a.Get("d0002")
	require.Equal(t, Leaving, got.State)
}

// rounds returns the number of heartbeat rounds among n daemons until all know that one is
// leaving.
func rounds(t *testing.T, n int) int {
	clock := clockwork.NewFakeClock()
	var all []*Registry
	var everyone []Daemon
	for i := range n {
		everyone = append(everyone, daemon(i))
	}
	byAddress := map[string]*Registry{}
	for i := range n {
		r := registry(i, clock)
		r.Merge(everyone)
		all = append(all, r)
		byAddress[daemon(i).PeerAddress] = r
	}
	for _, r := range all {
		for range 64 {
			r.NextUpdates() // use up the transmissions of the initial entries
		}
	}
	all[0].SetSelf(func(d *Daemon) { d.State = Leaving })
	for round := 1; round < 100; round++ {
		for _, r := range all {
			for _, target := range r.HeartbeatTargets() {
				byAddress[target.PeerAddress].Merge(r.NextUpdates())
			}
		}
		informed := 0
		for _, r := range all {
			if d, _ := r.Get(daemon(0).Incarnation); d.State == Leaving {
				informed++
			}
		}
		if informed == n {
			return round
		}
	}
	t.Fatalf("update did not reach all of %d daemons in 99 rounds", n)
	return 0
}

// Guards against updates that spread slower than logarithmically in the number of daemons.
func TestUpdatesSpreadInFewRounds(t *testing.T) {
	for n, maxRounds := range map[int]int{8: 3, 64: 7, 512: 10} {
		require.LessOrEqual(t, rounds(t, n), maxRounds, n)
	}
}

// Every daemon must be a ring target of exactly two others; otherwise its failure may go
// undetected.
func TestEveryDaemonIsMonitoredByTwoOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	const n = 50
	var everyone []Daemon
	for i := range n {
		everyone = append(everyone, daemon(i))
	}
	monitors := map[string]int{}
	for i := range n {
		r := registry(i, clock)
		r.Merge(everyone)
		for _, target := range r.HeartbeatTargets()[:2] {
			monitors[target.Incarnation]++
		}
	}
	for _, d := range everyone {
		require.Equal(t, 2, monitors[d.Incarnation])
	}
}

func upstreams(clock clockwork.Clock, n int) *Upstreams {
	t := NewUpstreams(clock, func() config.UpstreamPolicy { return config.UpstreamPolicy{} })
	t.SetList(list(n, backing.StateLive))
	return t
}

func list(n int, state backing.InstanceState) []backing.Instance {
	var out []backing.Instance
	for i := range n {
		out = append(out, backing.Instance{ID: fmt.Sprintf("u%d", i), Role: backing.RoleEngine, State: state})
	}
	return out
}

// An engine reports that it is leaving while the platform's list still shows it as live. The
// stale list must not make it usable again.
func TestStaleListDoesNotRestoreLeavingUpstream(t *testing.T) {
	clock := clockwork.NewFakeClock()
	u := upstreams(clock, 2)
	u.SetReport("u0", upstream.LoadReport{Leaving: true}, clock.Now())
	u.SetList(list(2, backing.StateLive))
	require.Len(t, u.Usable(backing.RoleEngine), 1)
	require.Equal(t, []string{"u0"}, u.Leaving())
}

// Guards against ejecting all engines when they fail at the same time, as when the network of
// this daemon is at fault. At most half are ejected, and they become usable again.
func TestEjectionIsCapped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	u := upstreams(clock, 4)
	for i := range 4 {
		for range 3 {
			u.Failed(fmt.Sprintf("u%d", i))
		}
	}
	require.Len(t, u.Usable(backing.RoleEngine), 2)
	clock.Advance(2 * time.Second)
	require.Len(t, u.Usable(backing.RoleEngine), 4)
	u.Failed("u0")
	require.Len(t, u.Usable(backing.RoleEngine), 3, "one more failure ejects it again")
}

// A load report is already old when it arrives. Attempts that started after its values were
// measured count in SentSince, those included in the report do not.
func TestSentSinceCountsAttemptsAfterLoadReport(t *testing.T) {
	clock := clockwork.NewFakeClock()
	u := upstreams(clock, 1)
	u.Started("u0", "before")
	clock.Advance(2 * time.Second)
	u.Started("u0", "since")
	u.SetReport("u0", upstream.LoadReport{Running: 1, AgeMS: 1000}, clock.Now())
	got := u.All()[0]
	require.Equal(t, 1, got.SentSince)
	require.Equal(t, 2, got.InFlight)
	u.Ended("u0", "since", false)
	u.Ended("u0", "before", false)
	got = u.All()[0]
	require.Zero(t, got.SentSince)
	require.Zero(t, got.InFlight)
}

// Guards against sending work to upstreams of a failure domain that the operator has
// evacuated.
func TestEvacuatedUpstreamsAreNotUsable(t *testing.T) {
	policy := config.UpstreamPolicy{}
	u := NewUpstreams(clockwork.NewFakeClock(), func() config.UpstreamPolicy { return policy })
	all := list(4, backing.StateLive)
	for i := range all {
		all[i].FailureDomain = []string{"hall-a", "hall-b"}[i%2]
	}
	u.SetList(all)
	require.Len(t, u.Usable(backing.RoleEngine), 4)
	policy.Evacuated = map[string]time.Time{"hall-b": {}}
	for _, usable := range u.Usable(backing.RoleEngine) {
		require.Equal(t, "hall-a", usable.Instance.FailureDomain)
	}
	policy.Evacuated = nil
	require.Len(t, u.Usable(backing.RoleEngine), 4)
}

// Guards against memory and connections that grow with the fleet: a daemon that sends each round
// of heartbeats to other daemons drawn at random soon has a connection to all of them.
func TestHeartbeatTargetsChangeSlowly(t *testing.T) {
	const fleet, rounds = 1000, 160
	r := registry(0, clockwork.NewFakeClock())
	var others []Daemon
	for i := 1; i < fleet; i++ {
		d := daemon(i)
		d.FailureDomain = fmt.Sprint(i % 6)
		others = append(others, d)
	}
	r.Merge(others)
	targets := map[string]bool{}
	for range rounds {
		for _, d := range r.HeartbeatTargets() {
			targets[d.Incarnation] = true
		}
	}
	require.LessOrEqual(t, len(targets), r.options.RingTargets+r.options.RandomTargets+rounds/neighbourRounds)
}

// Guards against the seeds as neighbours of all daemons of a fleet that starts: they are the only
// ones that each daemon knows at first.
func TestNeighboursAreDrawnAgainWhenTheFleetHasGrown(t *testing.T) {
	r := registry(0, clockwork.NewFakeClock())
	r.Merge([]Daemon{daemon(1), daemon(2), daemon(3), daemon(4), daemon(5), daemon(6)})
	r.HeartbeatTargets()
	var others []Daemon
	for i := 7; i < 1000; i++ {
		others = append(others, daemon(i))
	}
	r.Merge(others)
	neighbours := r.HeartbeatTargets()[r.options.RingTargets:]
	seeds := 0
	for _, d := range neighbours {
		if d.Incarnation < "d0007" {
			seeds++
		}
	}
	require.Less(t, seeds, len(neighbours))
}

// registryOf returns a registry that knows the given number of daemons.
func registryOf(size int) *Registry {
	r := registry(0, clockwork.NewRealClock())
	for i := 1; i < size; i++ {
		r.Merge([]Daemon{daemon(i)})
	}
	return r
}

// BenchmarkMergeOneChange is the cost of a change of one daemon in a table of the given size.
func BenchmarkMergeOneChange(b *testing.B) {
	for _, size := range []int{88, 1000, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := registryOf(size)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				d := daemon(1 + i%(size-1))
				d.Version = uint64(i + 1)
				r.Merge([]Daemon{d})
			}
		})
	}
}

// BenchmarkTopRanked is the cost of ranking two of the given number of daemons.
func BenchmarkTopRanked(b *testing.B) {
	for _, size := range []int{88, 1000, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := registryOf(size)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.TopRanked("reader", 2, func(Daemon) bool { return true })
			}
		})
	}
}

// Guards against daemons that never exchange the successor of an incarnation that has left: a
// table that differs only in it must have another digest.
func TestDigestContainsTheSuccessor(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := registry(1, clock), registry(1, clock)
	left := daemon(2)
	left.State = Left
	a.Merge([]Daemon{left})
	left.Successor = "d0003"
	b.Merge([]Daemon{left})
	require.NotEqual(t, a.Digest(), b.Digest())
}

// Guards against a key for which no candidate, or more than one, takes itself for the best.
func TestOneCandidateIsBest(t *testing.T) {
	candidates := []string{"a", "b", "c", "d", "e"}
	for i := range 200 {
		key := fmt.Sprint(i)
		for _, c := range candidates {
			require.Equal(t, Best(key, candidates) == c, IsBest(key, c, candidates))
		}
	}
}
