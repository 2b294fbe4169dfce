package main

import (
	"math/rand/v2"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/route"
)

// Parameters of the cost simulation.
const (
	costRequests = 40_000
	// costRatedShare is the share of answers that get a rating. costPendingRatings is the
	// number of newer ratings after which the router receives a rating.
	costRatedShare     = 0.2
	costPendingRatings = 500
	// exploreShare is the share of requests that explore other plans, as in the router.
	exploreShare = 0.02
	costSeeds    = 5
)

// costModel is a version with its cost per answer and its true quality by kind of request.
type costModel struct {
	ref     config.VersionRef
	cost    float64
	version config.Version
	quality map[string]float64
}

// costKind is a kind of request with its quality target.
type costKind struct {
	name    string
	target  float64
	cascade bool
}

func costSetup() ([]costModel, []costKind) {
	model := func(name string, cost, prior float64, tag, summary, clause, clearance float64) costModel {
		return costModel{
			ref: config.VersionRef{Model: name, Version: "1"}, cost: cost,
			version: config.Version{Prior: map[string]config.Prior{"default": {Mean: prior, Weight: 20}}},
			quality: map[string]float64{"tag": tag, "summary": summary, "clause": clause, "clearance": clearance},
		}
	}
	models := []costModel{
		model("tiny", 1, 0.7, 0.93, 0.72, 0.60, 0.40),
		model("small", 4, 0.8, 0.95, 0.86, 0.80, 0.65),
		model("medium", 12, 0.88, 0.96, 0.93, 0.90, 0.85),
		model("large", 40, 0.95, 0.97, 0.96, 0.96, 0.97),
	}
	kinds := []costKind{{"tag", 0.9, true}, {"summary", 0.85, true}, {"clause", 0.88, true}, {"clearance", 0.95, false}}
	return models, kinds
}

var costJudge = route.Judge{TrueAccept: 0.95, FalseAccept: 0.1, Cost: 0.5}

// planPolicy picks a plan for a request.
type planPolicy func(k costKind, candidates []route.Candidate, random *rand.Rand) route.Plan

func costPlans(k costKind, candidates []route.Candidate) ([]route.Plan, route.Request) {
	req := route.Request{Target: k.target, Cascade: k.cascade, Remaining: time.Hour}
	return route.Plans(candidates, costJudge, req), req
}

func routerPolicy(explore float64) planPolicy {
	return func(k costKind, candidates []route.Candidate, random *rand.Rand) route.Plan {
		plans, req := costPlans(k, candidates)
		pick, _ := route.PickPlan(plans, req.Target)
		return route.Explore(pick, plans, req.Target, explore, random)
	}
}

// trueCandidates returns the candidates with their true qualities, for the oracle policy.
func trueCandidates(models []costModel, kind string) []route.Candidate {
	const sure = 1e6
	var out []route.Candidate
	for _, m := range models {
		q := m.quality[kind]
		out = append(out, route.Candidate{Version: m.ref, Cost: m.cost, Quality: route.NewQuality(q, sure, 0, 0)})
	}
	return out
}

func fixedModelPolicy(at int) planPolicy {
	return func(k costKind, candidates []route.Candidate, _ *rand.Rand) route.Plan {
		plans, _ := costPlans(costKind{target: k.target}, candidates)
		return plans[at]
	}
}

// costResult is the result of a policy.
type costResult struct {
	// cost is the mean cost per request.
	cost float64
	// met is the share of requests whose kind met its quality target over the run.
	met float64
	// good is the share of good answers.
	good float64
}

// simulateCost simulates costRequests requests with a policy. With oracle set, the policy sees
// the true qualities instead of the ratings.
func simulateCost(choose planPolicy, oracle bool, seed uint64) costResult {
	models, kinds := costSetup()
	random := rand.New(rand.NewPCG(seed, 1))
	ratings := rating.NewCounter()
	var due []backing.Rating
	good, asked := map[string]int{}, map[string]int{}
	byRef := map[config.VersionRef]costModel{}
	for _, m := range models {
		byRef[m.ref] = m
	}
	var total float64
	seq := int64(0)
	for range costRequests {
		k := kinds[random.IntN(len(kinds))]
		var candidates []route.Candidate
		if oracle {
			candidates = trueCandidates(models, k.name)
		} else {
			for _, m := range models {
				candidates = append(candidates, route.Candidate{
					Version: m.ref, Cost: m.cost, Quality: ratings.Quality(m.version, rating.Key{Version: m.ref, Kind: k.name}),
				})
			}
		}
		plan := choose(k, candidates, random)
		ok, cost, by := execute(plan, byRef, k.name, random)
		total += cost
		asked[k.name]++
		if ok {
			good[k.name]++
		}
		for _, run := range by {
			if random.Float64() < costRatedShare {
				seq++
				due = append(due, backing.Rating{Seq: seq, Model: run.ref.Model, Version: "1", Kind: k.name, Good: run.good})
			}
		}
		if len(due) > costPendingRatings {
			ratings.Add(due[:len(due)-costPendingRatings])
			due = due[len(due)-costPendingRatings:]
		}
	}
	result := costResult{cost: total / costRequests}
	for _, k := range kinds {
		share := float64(good[k.name]) / float64(asked[k.name])
		result.good += float64(good[k.name]) / costRequests
		// 0.005 allows for the sampling noise of the 10,000 answers per kind.
		if share >= k.target-0.005 {
			result.met += float64(asked[k.name]) / costRequests
		}
	}
	return result
}

// modelRun is the answer of one model within a plan.
type modelRun struct {
	ref  config.VersionRef
	good bool
}

// execute simulates a request with a plan. It returns whether the final answer is good, the
// cost and the answers of all models that ran.
func execute(plan route.Plan, models map[config.VersionRef]costModel, kind string, random *rand.Rand) (bool, float64, []modelRun) {
	first := models[plan.Steps[0]]
	ok := random.Float64() < first.quality[kind]
	runs := []modelRun{{first.ref, ok}}
	if !plan.Cascade() {
		return ok, first.cost, runs
	}
	accept := costJudge.FalseAccept
	if ok {
		accept = costJudge.TrueAccept
	}
	cost := first.cost + costJudge.Cost
	if random.Float64() < accept {
		return ok, cost, runs
	}
	second := models[plan.Steps[1]]
	ok = random.Float64() < second.quality[kind]
	return ok, cost + second.cost, append(runs, modelRun{second.ref, ok})
}

// staticTable is a baseline: the fixed choice that operators would make from the priors, which
// is the cheapest model whose prior mean meets the target.
func staticTable(k costKind, candidates []route.Candidate, _ *rand.Rand) route.Plan {
	models, _ := costSetup()
	for i, m := range models {
		if m.version.Prior["default"].Mean >= k.target {
			return fixedModelPolicy(i)(k, candidates, nil)
		}
	}
	return fixedModelPolicy(len(models)-1)(k, candidates, nil)
}

func measureCost() []table {
	models, _ := costSetup()
	policies := []struct {
		name   string
		choose planPolicy
		oracle bool
	}{
		{"oracle (true qualities)", routerPolicy(0), true},
		{"router: lower bound, cascades, 2% exploration", routerPolicy(exploreShare), false},
		{"router without exploration", routerPolicy(0), false},
		{"router without cascades", func(k costKind, c []route.Candidate, r *rand.Rand) route.Plan {
			k.cascade = false
			return routerPolicy(exploreShare)(k, c, r)
		}, false},
		{"static table from priors", staticTable, false},
		{"always the dearest", fixedModelPolicy(len(models) - 1), false},
		{"always the cheapest", fixedModelPolicy(0), false},
	}
	t := table{Name: "Cost at the quality target", Columns: []string{"policy", "cost per request", "requests of kinds that met their target", "good answers", "cost over oracle"}}
	results := make([]costResult, len(policies))
	for i, p := range policies {
		for seed := range uint64(costSeeds) {
			r := simulateCost(p.choose, p.oracle, seed)
			results[i].cost += r.cost / costSeeds
			results[i].met += r.met / costSeeds
			results[i].good += r.good / costSeeds
		}
		t.add(p.name, results[i].cost, results[i].met, results[i].good, results[i].cost/results[0].cost)
	}
	return []table{t}
}
