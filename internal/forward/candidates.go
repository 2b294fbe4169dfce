package forward

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

const (
	// sampleSize is the number of instances among which a request is placed. A service with no
	// more instances is considered as a whole.
	sampleSize = 192
	// sampleGrowth is the factor by which a sample grows if none of its instances may get the
	// request now.
	sampleGrowth = 4
)

// candidates returns the instances that may get the request: untried ones of the most
// preferred group of versions that has any. Instances of an unannounced version, for which an
// order may still be on its way, are used only if there are no others.
//
// A version is used at once if its order is known. If it were treated as unannounced, it would
// get none of the sessions that begin in the half second after its first share opens, and
// these sessions would change versions with their next request.
func (q *request) candidates() []place.Candidate {
	rule := q.Versions.Rule(q.service.Name, q.sessionID())
	announced := func(version string, unannounced bool) bool { return !unannounced || rule.IsTarget(version) }
	if found := q.allowedCandidates(rule, announced); len(found) > 0 {
		return found
	}
	return q.allowedCandidates(rule, func(string, bool) bool { return true })
}

// allowedCandidates returns the candidates of the first group of versions in rule that has
// any, out of the versions that allowed accepts.
func (q *request) allowedCandidates(rule shift.Rule, allowed func(version string, unannounced bool) bool) []place.Candidate {
	sampler := candidateSampler{request: q, work: q.promptWork(), start: q.sampleStart(), othersTokens: q.othersTokens()}
	if q.placesByTime() {
		sampler.byTime, sampler.connections = true, q.maxConnections()
	}
	for _, group := range rule.Groups() {
		sampler.canary = group.InstanceFraction > 0
		sampler.accept = func(version string, unannounced bool) bool {
			return allowed(version, unannounced) && group.Accept(version)
		}
		if ready := sampler.readyCandidates(group.InstanceFraction); len(ready) > 0 {
			return ready
		}
	}
	return nil
}

// sampleStart returns the position from which instances are sampled. Prompts with the same
// shared parts start at the same position at all daemons, so that they find the instances that
// have these parts cached; other requests, and those that had to wait because the instances found
// there had no free capacity, start at a random one.
func (q *request) sampleStart() uint64 {
	if key := q.placementKey(); key != "" && !q.hasWaited {
		return xxhash.Sum64String(key)
	}
	return rand.Uint64()
}

// placementKey identifies the shared part of a prompt and the model; it is empty if there is
// none.
func (q *request) placementKey() string {
	part := q.sharedPartID()
	if part == "" {
		return ""
	}
	return part + "\x00" + q.model
}

// candidateSampler draws candidates for a request from a group of versions.
type candidateSampler struct {
	*request
	work   promptWork
	start  uint64
	accept func(version string, unannounced bool) bool
	canary bool
	// othersTokens is the mean memory that a request takes at an engine; 0 if memory does not
	// count.
	othersTokens float64
	// byTime is set if the request is placed by the expected time at each instance. connections is
	// then the number of requests that this daemon may have open at an instance, each of which needs a
	// connection; 0 means no limit.
	byTime      bool
	connections int
}

// readyCandidates returns the untried instances of the group that may get the request, out of a
// fraction of the group; 0 means all. If none of these can receive it now, it returns those of
// the whole group that can. If none can and the wait would be too long, it also considers
// ejected instances, which failed recently.
func (s *candidateSampler) readyCandidates(fraction float64) []place.Candidate {
	first := 0
	if fraction > 0 {
		first = place.SubsetSize(s.Table.Count(s.service.Name, s.accept), fraction)
	}
	best := s.sample(first, place.Filter)
	if len(best) == 0 || best[0].Wait == 0 {
		return best
	}
	if first > 0 {
		if others := s.sample(0, place.Filter); len(others) > 0 && others[0].Wait == 0 {
			return others
		}
	}
	if !s.isTooLate(best[0]) {
		return best
	}
	if others := s.sample(0, place.Untried); len(others) > 0 && others[0].Wait == 0 {
		return others
	}
	return best
}

// sample returns instances that may get the request, out of the first ones of the group; 0 means
// all. The sample grows until one of them can receive the request now, or contains all.
func (s *candidateSampler) sample(first int, filter func(all []place.Candidate, tried map[string]bool) []place.Candidate) []place.Candidate {
	selection := inventory.Selection{
		Accept: s.accept, First: first, Start: s.start, FailureDomain: s.FailureDomain, Size: sampleSize,
	}
	for ; ; selection.Size *= sampleGrowth {
		views, complete := s.Table.Sample(s.service.Name, selection)
		all := make([]place.Candidate, 0, len(views))
		for _, v := range views {
			all = append(all, s.candidate(v))
		}
		ready := place.Ready(filter(all, s.tried))
		if complete || len(ready) > 0 && ready[0].Wait == 0 {
			return ready
		}
	}
}

func (s *candidateSampler) candidate(v inventory.View) place.Candidate {
	factor := 0.0
	if s.byTime {
		factor = v.Speed.Now
	}
	return place.Candidate{
		ID: v.Instance.ID, Local: v.Instance.FailureDomain == s.FailureDomain, Slots: v.Instance.Slots,
		Load: v.Load, InFlight: v.InFlight, Quota: v.Quota, HasQuota: v.HasQuota, Open: v.Open, Waiting: v.Waiting, Prefill: s.uncachedPrefill(s.work, v.Instance), Ejected: v.Ejected,
		Warming: v.Warming, Wait: v.Wait, NoTurn: v.NoTurn, ProbeDue: v.ProbeDue, Canary: s.canary, Factor: factor,
		Proof:  place.Proof{Unproven: !v.Proven, LostAt: v.LostAt},
		Tokens: s.tokensAt(v), NoConnection: s.connections > 0 && v.InFlight >= s.connections,
	}
}

// tokensAt returns the memory that the requests at an engine take; 0 if memory does not count. The
// mean of the requests there is used, because fast engines get longer prompts than others.
func (s *candidateSampler) tokensAt(v inventory.View) float64 {
	if s.othersTokens == 0 {
		return 0
	}
	mean := v.MeanTokens
	if mean == 0 {
		mean = s.othersTokens
	}
	return v.OwnTokens + place.OthersTokens(v.Open-v.InFlight, mean)
}
