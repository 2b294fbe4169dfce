package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/rollout"
)

// Parameters of the exposure simulation.
const (
	exposureRuns    = 300
	exposureDaemons = 6
	// exposureRate is the number of sessions per second at all daemons together.
	exposureRate       = 50
	exposureRatedShare = 0.3
	exposureTick       = 200 * time.Millisecond
	exposureLimit      = 2 * time.Hour
	exposureTarget     = 0.9
)

var exposureVersion = config.VersionRef{Model: "m", Version: "2"}

// scenario describes the conditions of a roll-out: the quality of the new version, the delay of
// ratings and an outage.
type scenario struct {
	name    string
	quality float64
	delay   time.Duration
	// holderGone is the time from which no daemon holds the roll-out's lease, and storeOut
	// the time from which the store is unreachable, each for outageLength; 0 means never.
	holderGone, storeOut time.Duration
}

// outageLength is the length of an outage, which is the time that a lease takes to move to
// another daemon.
const outageLength = 30 * time.Second

func (s scenario) outage(now time.Duration) bool {
	within := func(from time.Duration) bool { return from > 0 && now >= from && now < from+outageLength }
	return within(s.holderGone) || within(s.storeOut)
}

// exposureResult is the result of one run: the answers of the new version, how the roll-out
// ended, and after what time.
type exposureResult struct {
	answers, bad int
	withdrawn    bool
	full         bool
	duration     time.Duration
}

// pendingRating is a rating that arrives at a later time.
type pendingRating struct {
	at   time.Duration
	good bool
}

// applyDueRatings adds the ratings that are due to the evidence and returns the others.
func applyDueRatings(pending []pendingRating, now time.Duration, e *rollout.Evidence) []pendingRating {
	return slices.DeleteFunc(pending, func(p pendingRating) bool {
		if p.at > now {
			return false
		}
		if p.good {
			e.Good++
		} else {
			e.Bad++
		}
		return true
	})
}

// recordAnswer simulates one answer of the new version and returns pending, extended by the
// answer's rating if it gets one.
func (x *exposureResult) recordAnswer(s scenario, now time.Duration, pending []pendingRating, random *rand.Rand) []pendingRating {
	good := random.Float64() < s.quality
	x.answers++
	if !good {
		x.bad++
	}
	if random.Float64() < exposureRatedShare {
		pending = append(pending, pendingRating{at: now + s.delay, good: good})
	}
	return pending
}

// runRouterRollout simulates a roll-out as the router runs it, with a sequential test, stages
// that follow the evidence, and credits that expire.
func runRouterRollout(s scenario, seed uint64) exposureResult {
	random := rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	began := clock.Now()
	policy := config.RolloutPolicy{RatingHorizonMS: (2 * s.delay).Milliseconds()}.WithDefaults()
	test := rollout.NewTest(policy)
	account := rollout.NewCreditAccount(policy, 0, 0, began)
	daemonCredits := make([]*rollout.DaemonCredits, exposureDaemons)
	for i := range daemonCredits {
		daemonCredits[i] = rollout.NewDaemonCredits(clock)
	}
	evidence := rollout.Evidence{Target: exposureTarget}
	var pending []pendingRating
	var x exposureResult
	stage := 0
	for {
		now := clock.Since(began)
		pending = applyDueRatings(pending, now, &evidence)
		ev := []rollout.Evidence{evidence}
		held := !s.outage(now)
		switch verdict := test.Verdict(ev); {
		case verdict == rollout.Bad:
			// Each daemon withdraws the version by itself, even without a lease holder
			// or the store; the stored row is updated later.
			x.withdrawn, x.duration = true, now
			return x
		case verdict == rollout.Good && held:
			x.full, x.duration = true, now
			return x
		case now > exposureLimit:
			x.duration = now
			return x
		case held:
			stage = max(stage, min(test.Stage(ev), len(policy.Stages)-2))
		}
		for _, c := range daemonCredits {
			if held {
				want, lapsed := c.Want(exposureVersion)
				account.Return(lapsed)
				n := min(want, account.Available(evidence.Good, evidence.Bad, clock.Now()))
				account.Grant(n, clock.Now())
				c.Refill(exposureVersion, n, lapsed, clock.Now())
			}
			for range poisson(exposureRate/exposureDaemons*exposureTick.Seconds(), random) {
				if random.Float64() < policy.Stages[stage] && c.Take(exposureVersion) {
					pending = x.recordAnswer(s, now, pending, random)
				}
			}
		}
		clock.Advance(exposureTick)
	}
}

// runCanary returns the simulation of the baseline, a canary roll-out: it keeps a fixed share
// until a fixed number of ratings and then decides. During an outage it keeps the share.
func runCanary(share float64, sample int64) func(scenario, uint64) exposureResult {
	return func(s scenario, seed uint64) exposureResult {
		random := rand.New(rand.NewPCG(seed, 3))
		evidence := rollout.Evidence{Target: exposureTarget}
		var pending []pendingRating
		var x exposureResult
		for now := time.Duration(0); ; now += exposureTick {
			pending = applyDueRatings(pending, now, &evidence)
			n := evidence.Good + evidence.Bad
			if n >= sample && !s.outage(now) || now > exposureLimit {
				// 0.05 puts the threshold halfway between the target and the target
				// minus the tolerance.
				x.withdrawn = float64(evidence.Good)/float64(n) < exposureTarget-0.05
				x.full, x.duration = !x.withdrawn, now
				return x
			}
			for range poisson(exposureRate*exposureTick.Seconds(), random) {
				if random.Float64() < share {
					pending = x.recordAnswer(s, now, pending, random)
				}
			}
		}
	}
}

// poisson draws a number from a Poisson distribution with a small mean.
func poisson(mean float64, random *rand.Rand) int {
	n, t := 0, random.ExpFloat64()
	for t < mean {
		n++
		t += random.ExpFloat64()
	}
	return n
}

func measureExposure() []table {
	bad := table{
		Name:    "Exposure to a bad version (quality 0.6, target 0.9)",
		Columns: []string{"circumstance", "policy", "bad answers, mean", "bad answers, 95th of 100", "answers, mean", "withdrawn", "minutes to stop"},
	}
	good := table{
		Name:    "Roll-out of a good version (quality 0.93, target 0.9)",
		Columns: []string{"circumstance", "policy", "falsely withdrawn", "full share", "minutes to full share"},
	}
	policies := []struct {
		name string
		run  func(scenario, uint64) exposureResult
	}{
		{"router: credits and sequential test", runRouterRollout},
		{"canary 5%, 100 ratings", runCanary(0.05, 100)},
		{"canary 1%, 100 ratings", runCanary(0.01, 100)},
		{"canary 5%, 25 ratings", runCanary(0.05, 25)},
	}
	scenes := []scenario{
		{name: "ratings after 30 s", delay: 30 * time.Second},
		{name: "ratings after 5 min", delay: 5 * time.Minute},
		{name: "duty holder killed at 20 s", delay: 30 * time.Second, holderGone: 20 * time.Second},
		{name: "store out at 20 s", delay: 30 * time.Second, storeOut: 20 * time.Second},
	}
	for _, s := range scenes {
		for _, p := range policies {
			s.quality = 0.6
			addBad(&bad, s, p.name, p.run)
			s.quality = 0.93
			addGood(&good, s, p.name, p.run)
		}
	}
	return []table{bad, good}
}

func addBad(t *table, s scenario, policy string, run func(scenario, uint64) exposureResult) {
	var bad []int
	sum, answers, withdrawn, minutes := 0.0, 0.0, 0.0, 0.0
	for seed := range uint64(exposureRuns) {
		x := run(s, seed)
		bad = append(bad, x.bad)
		sum += float64(x.bad) / exposureRuns
		answers += float64(x.answers) / exposureRuns
		minutes += x.duration.Minutes() / exposureRuns
		if x.withdrawn {
			withdrawn += 1.0 / exposureRuns
		}
	}
	slices.Sort(bad)
	t.add(s.name, policy, sum, bad[len(bad)*95/100], answers, withdrawn, minutes)
}

func addGood(t *table, s scenario, policy string, run func(scenario, uint64) exposureResult) {
	wrong, full, minutes := 0.0, 0.0, 0.0
	for seed := range uint64(exposureRuns) {
		x := run(s, seed)
		minutes += x.duration.Minutes() / exposureRuns
		if x.withdrawn {
			wrong += 1.0 / exposureRuns
		}
		if x.full {
			full += 1.0 / exposureRuns
		}
	}
	t.add(s.name, policy, wrong, full, minutes)
}
