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

// The simulated load: a fleet sends to instances that have all started at the same time. Each
// instance is to get 6.3 requests per second and crashes above 18. For every instance, a
// request is always waiting to be sent there.
const (
	simRate  = 9.0 * 0.7
	simLimit = 18
	simTime  = 3 * time.Second
	// simSkew is the maximum difference between the times at which daemons learn that an
	// instance has started.
	simSkew = 1200 * time.Millisecond
)

// rankHashes returns a hash for each daemon. The order of the hashes is the order of the
// daemons as owners of the instance.
func rankHashes(instance, daemons int) []uint64 {
	out := make([]uint64, daemons)
	for d := range out {
		out[d] = xxhash.Sum64String(fmt.Sprint(instance, "/", d))
	}
	return out
}

// rankOf returns a daemon's rank among the daemons that it knows.
func rankOf(hashes []uint64, daemon int, known []int) int {
	rank := 0
	for _, d := range known {
		if hashes[d] < hashes[daemon] {
			rank++
		}
	}
	return rank
}

// simulate returns the maximum number of requests that an instance got within a second, and
// the number of requests sent by each daemon.
func simulate(daemons, instances int, known func(daemon int) []int, random *rand.Rand) (most int, perDaemon []int) {
	perDaemon = make([]int, daemons)
	for i := range instances {
		var sent []time.Duration
		hashes := rankHashes(i, daemons)
		for d := range daemons {
			fleet := known(d)
			owners := OwnerCount(simRate, len(fleet))
			if rankOf(hashes, d, fleet) >= owners {
				continue
			}
			start := time.Unix(0, 0).Add(time.Duration(random.Int64N(int64(simSkew))))
			share := ShareOf(simRate, rankOf(hashes, d, fleet), owners)
			var p Pacer
			p.Start(start, share)
			end := time.Unix(0, 0).Add(simTime)
			for now := start.Add(p.Take(start, share.Interval)); now.Before(end); now = now.Add(p.Take(now, share.Interval)) {
				sent = append(sent, now.Sub(time.Unix(0, 0)))
				perDaemon[d]++
			}
		}
		most = max(most, maxInWindow(sent, time.Second))
	}
	return most, perDaemon
}

// maxInWindow returns the maximum number of events in a window of the given length.
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

// Guards against instances that crash because the whole fleet sends to them as soon as they
// start, for any size of the fleet.
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

// Guards against too many owners while daemons know different members of the fleet, as happens
// after many daemons were started at the same time.
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

// Guards against daemons that cannot serve any request while all instances are cold.
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

// The simulated load: a fleet sends to one instance with a limit of a few requests per second
// or less. Within any 4 s, the instance may get 1.5 times its limit plus 5 requests.
const (
	limitTime   = time.Minute
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// simulateLimit returns the maximum number of requests within limitWindow at an instance with
// the given rate, and the total number of requests. views contains the members known to each
// daemon.
func simulateLimit(rate float64, views [][]int, random *rand.Rand) (most, sent int) {
	hashes := rankHashes(random.Int(), len(views))
	var all []time.Duration
	for d, fleet := range views {
		owners := OwnerCount(rate, len(fleet))
		rank := rankOf(hashes, d, fleet)
		if rank >= owners {
			continue
		}
		share := ShareOf(rate, rank, owners)
		var p Pacer
		now := time.Unix(0, 0).Add(time.Duration(random.Int64N(int64(simSkew))))
		p.Start(now, share)
		for now = now.Add(p.Take(now, share.Interval)); now.Before(time.Unix(0, 0).Add(limitTime)); now = now.Add(p.Take(now, share.Interval)) {
			all = append(all, now.Sub(time.Unix(0, 0)))
		}
	}
	return maxInWindow(all, limitWindow), len(all)
}

// Guards against an instance with a small limit that gets several times its limit because
// there are more daemons than requests per second, or because the daemons know different
// members of the fleet.
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
