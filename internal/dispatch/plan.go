package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/route"
)

// exploreShare limits the fraction of requests that use a cheaper version to
// collect ratings for it.
const exploreShare = 0.02

// defaultExpectedTokens is the expected length of an answer if the kind of the
// request does not define one.
const defaultExpectedTokens = 200

// plan chooses the versions that run the request.
func (e *execution) plan(ctx context.Context) (route.Plan, error) {
	snapshot, provenOnly, err := e.ConfigSource.UsableSnapshot(ctx)
	if err != nil {
		return route.Plan{}, err
	}
	switch {
	case e.req.Session != nil:
		return e.sessionPlan(snapshot, provenOnly)
	case e.req.Version != "":
		return e.pinnedPlan(snapshot, provenOnly)
	default:
		return e.routedPlan(snapshot, provenOnly)
	}
}

func singlePlan(ref config.VersionRef) route.Plan {
	return route.Plan{Steps: []config.VersionRef{ref}}
}

// sessionPlan returns a plan with the version of the session, or an error if that
// version can no longer be used.
func (e *execution) sessionPlan(snapshot *config.Snapshot, provenOnly bool) (route.Plan, error) {
	ref := e.req.Session.Version
	if e.req.Model != "" && e.req.Model != ref.Model || e.req.Version != "" && e.req.Version != ref.Version {
		return route.Plan{}, fault.New(fault.BadSession, "model: the session is on %s", ref)
	}
	if !snapshot.Allows(e.req.Organisation, ref) {
		return route.Plan{}, fault.New(fault.ModelNotAllowed, "the organisation may not use %s any more", ref)
	}
	state, known := snapshot.State(ref)
	if !known || state == config.Withdrawn {
		return route.Plan{}, fault.New(fault.SessionWithdrawn, "%s was withdrawn; start a new session", ref)
	}
	if provenOnly && !snapshot.Proven(ref) {
		return route.Plan{}, fault.New(fault.ConfigStale, "%s cannot be used until the configuration is confirmed", ref)
	}
	return singlePlan(ref), nil
}

// pinnedPlan returns a plan with the version that the caller selected.
func (e *execution) pinnedPlan(snapshot *config.Snapshot, provenOnly bool) (route.Plan, error) {
	ref := config.VersionRef{Model: e.req.Model, Version: e.req.Version}
	state, known := snapshot.State(ref)
	switch {
	case !known:
		return route.Plan{}, fault.New(fault.UnknownModel, "model: there is no %s", ref)
	case !snapshot.Allows(e.req.Organisation, ref):
		return route.Plan{}, fault.New(fault.ModelNotAllowed, "model: the organisation may not use %s", ref)
	case state == config.Withdrawn:
		return route.Plan{}, fault.New(fault.VersionWithdrawn, "model: %s was withdrawn", ref)
	case state == config.Draining:
		return route.Plan{}, fault.New(fault.VersionWithdrawn, "model: %s takes no new sessions", ref)
	case provenOnly && !snapshot.Proven(ref):
		return route.Plan{}, fault.New(fault.ConfigStale, "%s cannot be used until the configuration is confirmed", ref)
	case state == config.RollingOut && !e.Credits.Take(ref):
		return route.Plan{}, fault.New(fault.NoCapacity, "model: %s is being rolled out and its exposure is used up", ref)
	}
	return singlePlan(ref), nil
}

// routedPlan returns the cheapest plan that meets the quality target and is fast
// enough. A small fraction of idempotent requests gets a cheaper plan instead, to
// collect ratings for it. Unless only proven versions may be used, versions are then
// replaced according to the roll-outs in progress.
func (e *execution) routedPlan(snapshot *config.Snapshot, provenOnly bool) (route.Plan, error) {
	candidates, err := e.candidates(snapshot)
	if err != nil {
		return route.Plan{}, err
	}
	req := route.Request{
		Target:     e.req.Kind.QualityTarget,
		Cascade:    e.req.Kind.Cascade && e.req.Kind.Idempotent,
		Remaining:  e.req.Deadline.Sub(e.Clock.Now()),
		FirstToken: time.Duration(e.req.Kind.FirstTokenMS) * time.Millisecond,
	}
	judge := snapshot.Doc.Judge
	plans := route.InTime(route.Plans(candidates, route.Judge{
		TrueAccept:  judge.TrueAccept,
		FalseAccept: judge.FalseAccept,
		Cost:        float64(judge.Price),
		Latency:     time.Duration(judge.LatencyMS) * time.Millisecond,
	}, req), req)
	pick, ok := route.PickPlan(plans, req.Target)
	if !ok {
		return route.Plan{}, fault.New(fault.NoUpstream, "no version that the organisation may use is served now")
	}
	e.withRandom(func(random *rand.Rand) {
		if e.req.Kind.Idempotent {
			pick = route.Explore(pick, plans, req.Target, exploreShare, random)
		}
		if !provenOnly {
			pick.Steps = e.substituteRollouts(snapshot, pick.Steps, random)
		}
	})
	return pick, nil
}

// substituteRollouts returns steps with versions replaced by versions of the same
// model that are being rolled out. A version is replaced with the probability
// that the roll-out defines, and only while this daemon has credits for it.
func (e *execution) substituteRollouts(snapshot *config.Snapshot, steps []config.VersionRef, random *rand.Rand) []config.VersionRef {
	out := slices.Clone(steps)
	for i, ref := range out {
		for _, r := range snapshot.Rollouts {
			next := r.VersionRef
			if next.Model != ref.Model || (r.From != "" && r.From != ref.Version) {
				continue
			}
			state, _ := snapshot.State(next)
			if state != config.RollingOut || !snapshot.Allows(e.req.Organisation, next) {
				continue
			}
			if random.Float64() < r.Share && e.isServed(next) && e.Credits.Take(next) {
				out[i] = next
				break
			}
		}
	}
	return out
}

// candidates returns the versions in state config.Serving that the request may
// use and that at least one usable upstream serves.
func (e *execution) candidates(snapshot *config.Snapshot) ([]route.Candidate, error) {
	if _, known := snapshot.Doc.Models[e.req.Model]; e.req.Model != "" && !known {
		return nil, fault.New(fault.UnknownModel, "model: there is no model %q", e.req.Model)
	}
	var out []route.Candidate
	allowed := false
	for _, model := range slices.Sorted(maps.Keys(snapshot.Doc.Models)) {
		if !e.isEligibleModel(model) {
			continue
		}
		for _, version := range slices.Sorted(maps.Keys(snapshot.Doc.Models[model].Versions)) {
			ref := config.VersionRef{Model: model, Version: version}
			if !snapshot.Allows(e.req.Organisation, ref) {
				continue
			}
			allowed = true
			if state, _ := snapshot.State(ref); state == config.Serving && e.isServed(ref) {
				out = append(out, e.candidate(snapshot, ref))
			}
		}
	}
	if !allowed {
		return nil, fault.New(fault.ModelNotAllowed, "model: the organisation may not use any model for this request")
	}
	return out, nil
}

// isEligibleModel reports whether the selection of the caller and the kind of the
// request allow a model.
func (e *execution) isEligibleModel(model string) bool {
	if e.req.Model != "" {
		return e.req.Model == model
	}
	return len(e.req.Kind.Models) == 0 || slices.Contains(e.req.Kind.Models, model)
}

func (e *execution) candidate(snapshot *config.Snapshot, ref config.VersionRef) route.Candidate {
	tokens := e.expectedTokens()
	timing := e.latencies.estimate(ref)
	version := snapshot.Doc.Models[ref.Model].Versions[ref.Version]
	return route.Candidate{
		Version:    ref,
		Cost:       float64(snapshot.Cost(ref, promptTokens(e.req), tokens)),
		Quality:    e.Ratings.Quality(version, rating.Key{Version: ref, Kind: e.req.KindName}),
		FirstToken: timing.firstToken,
		Total:      timing.firstToken + time.Duration(tokens)*timing.perToken,
	}
}

// isServed reports whether a usable upstream serves ref.
func (d *Dispatcher) isServed(ref config.VersionRef) bool {
	for _, u := range d.Upstreams.Usable(backing.RoleEngine) {
		if u.Serves(ref) {
			return true
		}
	}
	return false
}

// expectedTokens returns the expected length of the answer.
func (e *execution) expectedTokens() int {
	tokens := e.req.Kind.ExpectedTokens
	if tokens == 0 {
		tokens = defaultExpectedTokens
	}
	if e.req.Chat.MaxTokens > 0 {
		tokens = min(tokens, e.req.Chat.MaxTokens)
	}
	return tokens
}

// promptTokens estimates the number of tokens of the prompt as its number of words.
func promptTokens(req Request) int {
	n := 0
	for _, m := range req.Chat.Messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// promptText returns all messages as one text. The judge assesses the answer
// with it, and its prefix selects the upstream with cache affinity.
func promptText(req Request) string {
	var b strings.Builder
	for _, m := range req.Chat.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
