package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/rollout"
)

// Model of the exposure measurement.
const (
	exposureRuns    = 300
	exposureDaemons = 6
	// exposureRate is sessions per second over all daemons.
	exposureRate       = 50
	exposureRatedShare = 0.3
	exposureStep       = 200 * time.Millisecond
	exposureLimit      = 2 * time.Hour
	exposureTarget     = 0.9
)

var exposureVersion = config.VersionRef{Model: "m", Version: "2"}

// scenario is a roll-out under one circumstance.
type scenario struct {
	name    string
	quality float64
	delay   time.Duration
	// holderGone is a time without a duty holder, from that moment on for as
	// long as a lease takes to move; storeOut the same for the store.
	holderGone, storeOut time.Duration
}

// outageLength is how long a lost holder or store is gone.
const outageLength = 30 * time.Second

func (s scenario) outage(now time.Duration) bool {
	within := func(from time.Duration) bool { return from > 0 && now >= from && now < from+outageLength }
	return within(s.holderGone) || within(s.storeOut)
}

// exposureResult is what one run led to.
type exposureResult struct {
	answers, bad int
	withdrawn    bool
	full         bool
	duration     time.Duration
}

// pendingRating is an answer that will be rated.
type pendingRating struct {
	at   time.Duration
	good bool
}

// applyDueRatings moves the ratings that are due into the evidence.
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

// recordAnswer is one answer by the new version.
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

// runRouterRollout is the router: sequential test, stages by evidence, credits that
// lapse.
func runRouterRollout(s scenario, seed uint64) exposureResult {
	random := rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	began := clock.Now()
	policy := config.RolloutPolicy{RatingHorizonMS: (2 * s.delay).Milliseconds()}.WithDefaults()
	test := rollout.NewTest(policy)
	bank := rollout.NewCreditAccount(policy, 0, 0, began)
	wallets := make([]*rollout.DaemonCredits, exposureDaemons)
	for i := range wallets {
		wallets[i] = rollout.NewDaemonCredits(clock)
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
			// Any daemon stops by itself; the row follows when it can.
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
		for _, w := range wallets {
			if held {
				want, lapsed := w.Want(exposureVersion)
				bank.Return(lapsed)
				n := min(want, bank.Available(evidence.Good, evidence.Bad, clock.Now()))
				bank.Grant(n, clock.Now())
				w.Refill(exposureVersion, n, lapsed, clock.Now())
			}
			for range poisson(exposureRate/exposureDaemons*exposureStep.Seconds(), random) {
				if random.Float64() < policy.Stages[stage] && w.Take(exposureVersion) {
					pending = x.recordAnswer(s, now, pending, random)
				}
			}
		}
		clock.Advance(exposureStep)
	}
}

// runCanary is the baseline: a fixed share until a fixed number of ratings,
// then a decision; without a holder the share stays as it is.
func runCanary(share float64, sample int64) func(scenario, uint64) exposureResult {
	return func(s scenario, seed uint64) exposureResult {
		random := rand.New(rand.NewPCG(seed, 3))
		evidence := rollout.Evidence{Target: exposureTarget}
		var pending []pendingRating
		var x exposureResult
		for now := time.Duration(0); ; now += exposureStep {
			pending = applyDueRatings(pending, now, &evidence)
			n := evidence.Good + evidence.Bad
			if n >= sample && !s.outage(now) || now > exposureLimit {
				// Halfway between target and target less tolerance.
				x.withdrawn = float64(evidence.Good)/float64(n) < exposureTarget-0.05
				x.full, x.duration = !x.withdrawn, now
				return x
			}
			for range poisson(exposureRate*exposureStep.Seconds(), random) {
				if random.Float64() < share {
					pending = x.recordAnswer(s, now, pending, random)
				}
			}
		}
	}
}

// poisson draws a small Poisson number.
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
