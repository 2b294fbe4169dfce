package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// Candidate is a version that may answer the request.
type Candidate struct {
	Version config.VersionRef
	// Cost is the expected cost of one run, in millionths of the currency unit.
	Cost    float64
	Quality Quality
	// FirstToken and Total are the expected times of one run; 0 if unknown.
	FirstToken time.Duration
	Total      time.Duration
}

// Judge describes the service that judges the first answer of a cascade. TrueAccept and
// FalseAccept are the probabilities that it accepts a good and a bad answer.
type Judge struct {
	TrueAccept  float64
	FalseAccept float64
	Cost        float64
	Latency     time.Duration
}

// Request holds what the choice of a plan depends on.
type Request struct {
	// Target is the required fraction of good answers.
	Target float64
	// Cascade allows cascades; the request must be idempotent.
	Cascade bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// FirstToken is the wanted time to the first token; 0 if there is none.
	FirstToken time.Duration
}

// Plan is a way to answer: one version, or a cascade of a cheap version whose answer is judged
// and a second version that runs if the judge rejects it.
type Plan struct {
	Steps []config.VersionRef
	// Cost is the expected cost, in millionths of the currency unit.
	Cost float64
	// Lower and Upper are the confidence bounds of the quality, and Mean its expectation.
	Lower float64
	Mean  float64
	Upper float64
	// FirstToken and Total are the expected times. FirstToken of a cascade includes the
	// judging of the first answer and, weighted by the probability of rejection, the second
	// version's time to its first token.
	FirstToken time.Duration
	Total      time.Duration
	// Explored is set if the plan was chosen to collect ratings for it.
	Explored bool
}

// Cascade reports whether the plan has a second step.
func (p Plan) Cascade() bool { return len(p.Steps) > 1 }

// Plans returns every plan that can be made of the candidates.
func Plans(candidates []Candidate, judge Judge, req Request) []Plan {
	var plans []Plan
	for _, c := range candidates {
		plans = append(plans, singlePlan(c))
	}
	if !req.Cascade || judge.TrueAccept == 0 {
		return plans
	}
	for _, first := range candidates {
		for _, second := range candidates {
			if first.Cost < second.Cost && first.Version.Model != second.Version.Model {
				plans = append(plans, cascadePlan(first, second, judge))
			}
		}
	}
	return plans
}

func singlePlan(c Candidate) Plan {
	return Plan{
		Steps:      []config.VersionRef{c.Version},
		Cost:       c.Cost,
		Lower:      c.Quality.Lower(),
		Mean:       c.Quality.Mean(),
		Upper:      c.Quality.Upper(),
		FirstToken: c.FirstToken,
		Total:      c.Total,
	}
}

// cascadePlan estimates a plan that runs first, judges its answer, and runs second if the
// judge rejects it.
func cascadePlan(first, second Candidate, judge Judge) Plan {
	accept := func(q float64) float64 { return q*judge.TrueAccept + (1-q)*judge.FalseAccept }
	delivered := func(q1, q2 float64) float64 { return q1*judge.TrueAccept + (1-accept(q1))*q2 }
	escalate := 1 - accept(first.Quality.Mean())
	return Plan{
		Steps:      []config.VersionRef{first.Version, second.Version},
		Cost:       first.Cost + judge.Cost + escalate*second.Cost,
		Lower:      delivered(first.Quality.Lower(), second.Quality.Lower()),
		Mean:       delivered(first.Quality.Mean(), second.Quality.Mean()),
		Upper:      delivered(first.Quality.Upper(), second.Quality.Upper()),
		FirstToken: first.Total + judge.Latency + time.Duration(escalate*float64(second.FirstToken)),
		Total:      first.Total + judge.Latency + second.Total,
	}
}

// InTime drops the plans that are not expected to finish before the deadline, and then those
// slower to the first token than wanted. A condition that no plan meets is ignored.
func InTime(plans []Plan, req Request) []Plan {
	plans = matchingOrAll(plans, func(p Plan) bool { return p.Total <= req.Remaining })
	if req.FirstToken == 0 {
		return plans
	}
	return matchingOrAll(plans, func(p Plan) bool { return p.FirstToken <= req.FirstToken })
}

// matchingOrAll returns the plans that match, or all plans if none does.
func matchingOrAll(plans []Plan, match func(Plan) bool) []Plan {
	var out []Plan
	for _, p := range plans {
		if match(p) {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return plans
	}
	return out
}

// PickPlan returns the cheapest plan whose lower bound of quality meets the target. If there
// is none, it returns the plan with the best expected quality. It returns false if plans is
// empty.
func PickPlan(plans []Plan, target float64) (Plan, bool) {
	if len(plans) == 0 {
		return Plan{}, false
	}
	meeting := matchingOrAll(plans, func(p Plan) bool { return p.Lower >= target })
	if meeting[0].Lower >= target {
		return slices.MinFunc(meeting, cheaper), true
	}
	return slices.MaxFunc(plans, func(a, b Plan) int {
		return cmp.Or(cmp.Compare(a.Mean, b.Mean), -cheaper(a, b))
	}), true
}

func cheaper(a, b Plan) int {
	return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.FirstToken, b.FirstToken), cmp.Compare(len(a.Steps), len(b.Steps)))
}

// Explore replaces the pick, with a probability of at most share, by a cheaper single version
// that may meet the target but has too few ratings to show it.
func Explore(pick Plan, plans []Plan, target, share float64, random *rand.Rand) Plan {
	if random.Float64() >= share {
		return pick
	}
	var promising []Plan
	for _, p := range plans {
		if !p.Cascade() && p.Cost < pick.Cost && p.Lower < target && p.Upper >= target {
			promising = append(promising, p)
		}
	}
	if len(promising) == 0 {
		return pick
	}
	chosen := promising[random.IntN(len(promising))]
	chosen.Explored = true
	return chosen
}
