package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// The load that sharing out answers: a fleet before instances that have all started at
// once, each of which is to get 6.3 requests a second and ends above 18. There is always a
// request that would go to any instance as soon as it may.
const (
	simRate  = 9.0 * 0.7
	simLimit = 18
	simTime  = 3 * time.Second
	// playSkew is how far apart daemons learn that an instance has started.
	simSkew = 1200 * time.Millisecond
)

// ranks orders daemons for an instance.
func rankHashes(instance, daemons int) []uint64 {
	out := make([]uint64, daemons)
	for d := range out {
		out[d] = xxhash.Sum64String(fmt.Sprint(instance, "/", d))
	}
	return out
}

// rankOf is a daemon's place in the order of an instance's owners, of those it knows.
func rankOf(rank []uint64, daemon int, known []int) int {
	better := 0
	for _, d := range known {
		if rank[d] < rank[daemon] {
			better++
		}
	}
	return better
}

// play returns the most requests that one instance got in a second, and how many a daemon
// could send in all.
func simulate(daemons, instances int, known func(daemon int) []int, random *rand.Rand) (most int, perDaemon []int) {
	perDaemon = make([]int, daemons)
	for i := range instances {
		var sent []time.Duration
		rank := rankHashes(i, daemons)
		for d := range daemons {
			fleet := known(d)
			owners := Owners(simRate, len(fleet))
			if rankOf(rank, d, fleet) >= owners {
				continue
			}
			start := time.Unix(0, 0).Add(time.Duration(random.Int64N(int64(simSkew))))
			part := PartOf(simRate, rankOf(rank, d, fleet), owners)
			var p Pacer
			p.Start(start, part)
			end := time.Unix(0, 0).Add(simTime)
			for now := start.Add(p.Take(start, part.Interval)); now.Before(end); now = now.Add(p.Take(now, part.Interval)) {
				sent = append(sent, now.Sub(time.Unix(0, 0)))
				perDaemon[d]++
			}
		}
		most = max(most, maxInWindow(sent, time.Second))
	}
	return most, perDaemon
}

// inAWindow is the most events in any window of some length.
func maxInWindow(sent []time.Duration, window time.Duration) int {
	slices.Sort(sent)
	most, first := 0, 0
	for i := range sent {
		for sent[i]-sent[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against instances that end under a fleet that sends to them as soon as they
// start, whatever its size.
func TestWarmingInstanceIsNotOverloaded(t *testing.T) {
	for _, daemons := range []int{1, 6, 8, 77, 195, 1300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			all := make([]int, daemons)
			for d := range all {
				all[d] = d
			}
			for seed := range uint64(5) {
				random := rand.New(rand.NewPCG(seed, 1))
				most, _ := simulate(daemons, 20, func(int) []int { return all }, random)
				require.LessOrEqual(t, most, simLimit)
			}
		})
	}
}

// Guards against too many owners while daemons know different parts of the fleet, as after
// many were started at once.
func TestWarmingInstanceIsNotOverloadedWithPartialMembership(t *testing.T) {
	const daemons = 77
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		views := make([][]int, daemons)
		for d := range views {
			for other := range daemons {
				if other == d || random.Float64() < 0.8 {
					views[d] = append(views[d], other)
				}
			}
		}
		most, _ := simulate(daemons, 60, func(d int) []int { return views[d] }, random)
		require.LessOrEqual(t, most, simLimit)
	}
}

// Guards against daemons that can serve nobody while all instances are cold.
func TestEveryDaemonHasAShareWhenAllInstancesAreCold(t *testing.T) {
	const daemons, instances = 77, 60
	all := make([]int, daemons)
	for d := range all {
		all[d] = d
	}
	_, perDaemon := simulate(daemons, instances, func(int) []int { return all }, rand.New(rand.NewPCG(3, 3)))
	served := 0
	for d, n := range perDaemon {
		require.Positive(t, n, "daemon %d", d)
		served += n
	}
	planned := simRate * instances * (simTime - simSkew/2).Seconds()
	require.InEpsilon(t, planned, served, 0.15)
}

// The load that sharing out a limit answers: a fleet before one instance that names a few
// requests a second or less. In any 4 s it may get one and a half times that, and 5.
const (
	limitTime   = time.Minute
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// mostInWindow is the most requests in any window, of all daemons together, at an instance
// that is to get some a second.
func simulateLimit(rate float64, views [][]int, random *rand.Rand) (most, sent int) {
	rank := rankHashes(random.Int(), len(views))
	var all []time.Duration
	for d, fleet := range views {
		owners := Owners(rate, len(fleet))
		at := rankOf(rank, d, fleet)
		if at >= owners {
			continue
		}
		part := PartOf(rate, at, owners)
		var p Pacer
		now := time.Unix(0, 0).Add(time.Duration(random.Int64N(int64(simSkew))))
		p.Start(now, part)
		for now = now.Add(p.Take(now, part.Interval)); now.Before(time.Unix(0, 0).Add(limitTime)); now = now.Add(p.Take(now, part.Interval)) {
			all = append(all, now.Sub(time.Unix(0, 0)))
		}
	}
	return maxInWindow(all, limitWindow), len(all)
}

// Guards against an instance with a small limit that gets a multiple of it because there are
// more daemons than it takes requests, or because they know different parts of the fleet.
func TestSmallLimitsHoldInLargeFleetsWithPartialMembership(t *testing.T) {
	for _, daemons := range []int{1, 5, 8, 77, 1300} {
		for _, rate := range []float64{0.67, 0.9, 1.08, 5.4} {
			t.Run(fmt.Sprintf("%d/%v", daemons, rate), func(t *testing.T) {
				for seed := range uint64(5) {
					random := rand.New(rand.NewPCG(seed, 4))
					views := make([][]int, daemons)
					for d := range views {
						for other := range daemons {
							if other == d || random.Float64() < 0.9 {
								views[d] = append(views[d], other)
							}
						}
					}
					most, sent := simulateLimit(rate, views, random)
					require.LessOrEqual(t, most, int(1.5*rate*limitWindow.Seconds())+limitSlack)
					require.GreaterOrEqual(t, float64(sent), 0.8*rate*(limitTime-simSkew).Seconds())
				}
			})
		}
	}
}
