package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxRefusedParts bounds the parts of a verdict, and maxNamedEnds the instances that it names, the
	// latest.
	maxRefusedParts = 8
	maxNamedEnds    = 32
)

// run is a suspect on an ended instance.
type run struct {
	crash   *crash
	suspect *Suspect
}

// hypothesis is that requests with certain traits crash instances. The traits are on the same runs,
// so that nothing distinguishes them.
type hypothesis struct {
	traits []Trait
	runs   map[run]bool
	// crashes are the instances that ended with them, oldest first, and ended is the set of these.
	crashes []*crash
	ended   map[*crash]bool
	// unexplained is the number of crashes that had no quarantined request, and verdicts are those that
	// explain the others.
	unexplained int
	verdicts    map[Digest]bool
	// unrelated is the number of instances that ended in the same period without them.
	unrelated int
}

func (h *hypothesis) first() time.Time { return h.crashes[0].at }
func (h *hypothesis) last() time.Time  { return h.crashes[len(h.crashes)-1].at }

// explainer is a suspect that is quarantined by now.
type explainer struct {
	suspect *Suspect
	verdict Digest
}

// explainers returns the suspects of a crash that are quarantined by now.
func (c *crash) explainers(v Verdicts) []explainer {
	var out []explainer
	for _, s := range c.suspects {
		if verdict, yes := v.Explains(s); yes {
			out = append(out, explainer{suspect: s, verdict: verdict})
		}
	}
	return out
}

// hypotheses returns what may have crashed enough instances to be judged: the sets of traits that were
// on the same runs and that no request has completed with since.
//
// A crash that a quarantined request explains counts only if that request has the trait, too: then the
// verdict may have been too narrow. It does not count if the evidence is not complete: then something
// else may have crashed the others.
func (e *Evidence) hypotheses(v Verdicts, b basis) []*hypothesis {
	byTrait := map[Trait]*hypothesis{}
	for _, c := range e.judged() {
		explainers := c.explainers(v)
		if len(explainers) > 0 && e.clock.Since(c.at) > b.complete {
			continue
		}
		for _, s := range c.suspects {
			b.repeated.of(s, func(t Trait) {
				if b.repeated.crashes(t) < minCrashes || e.isCleared(t, c.at) || slices.ContainsFunc(explainers, func(x explainer) bool { return !x.suspect.holds(t) }) {
					return
				}
				h := byTrait[t]
				if h == nil {
					h = newHypothesis(t)
					byTrait[t] = h
				}
				h.add(run{crash: c, suspect: s}, explainers)
			})
		}
	}
	return mergeEqual(byTrait)
}

func newHypothesis(t Trait) *hypothesis {
	return &hypothesis{traits: []Trait{t}, runs: map[run]bool{}, ended: map[*crash]bool{}, verdicts: map[Digest]bool{}}
}

func (h *hypothesis) add(r run, explainers []explainer) {
	h.runs[r] = true
	if h.ended[r.crash] {
		return
	}
	h.ended[r.crash] = true
	h.crashes = append(h.crashes, r.crash)
	if len(explainers) == 0 {
		h.unexplained++
	}
	for _, x := range explainers {
		h.verdicts[x.verdict] = true
	}
}

// crashCount is the number of crashes that something was on.
type crashCount struct {
	last *crash
	n    int
}

func addCrash[K comparable](counts map[K]crashCount, k K, c *crash) {
	if one := counts[k]; one.last != c {
		counts[k] = crashCount{last: c, n: one.n + 1}
	}
}

// repeatedTraits are the traits that were on several crashes, with the number of these.
type repeatedTraits struct {
	parts  map[string]crashCount
	traits map[Trait]crashCount
}

// repeatedTraits counts crashes by part first. Most parts are on one crash only, and these are never
// counted by trait.
func (e *Evidence) repeatedTraits() repeatedTraits {
	r := repeatedTraits{parts: map[string]crashCount{}, traits: map[Trait]crashCount{}}
	judged := e.judged()
	for _, c := range judged {
		for _, s := range c.suspects {
			for _, part := range s.Parts {
				addCrash(r.parts, part, c)
			}
		}
	}
	for _, c := range judged {
		for _, s := range c.suspects {
			r.of(s, func(t Trait) { addCrash(r.traits, t, c) })
		}
	}
	return r
}

// of calls yield for the traits of a request that may be on several crashes.
func (r *repeatedTraits) of(s *Suspect, yield func(Trait)) {
	yield(Trait{Request: s.Digest})
	for _, part := range s.Parts {
		if r.parts[part].n > 1 {
			s.partTraits(part, yield)
		}
	}
}

func (r *repeatedTraits) crashes(t Trait) int { return r.traits[t].n }

// mergeEqual joins the hypotheses with the same runs, and leaves out those with too few crashes.
func mergeEqual(byTrait map[Trait]*hypothesis) []*hypothesis {
	var out []*hypothesis
	for _, t := range slices.SortedFunc(maps.Keys(byTrait), compareTraits) {
		h := byTrait[t]
		if len(h.crashes) < minCrashes || h.unexplained < minUnexplained && !h.explainsRequests() {
			continue
		}
		i := slices.IndexFunc(out, func(o *hypothesis) bool { return len(o.runs) == len(h.runs) && o.includes(h) })
		if i < 0 {
			out = append(out, h)
			continue
		}
		out[i].traits = append(out[i].traits, t)
	}
	return out
}

// includes reports whether all runs of o are runs of h.
func (h *hypothesis) includes(o *hypothesis) bool {
	for r := range o.runs {
		if !h.runs[r] {
			return false
		}
	}
	return true
}

// covers reports whether all crashes of o are crashes of h.
func (h *hypothesis) covers(o *hypothesis) bool {
	for _, c := range o.crashes {
		if !h.ended[c] {
			return false
		}
	}
	return true
}

// dropRefuted removes the traits of running answers that have outlived those that crashed, and reports
// whether none is left. Popular parts run everywhere all the time, so that they are on every crash.
func (h *hypothesis) dropRefuted(running Running) bool {
	shortest := make(map[*crash]time.Duration, len(h.crashes))
	for r := range h.runs {
		if known, ok := shortest[r.crash]; !ok || r.suspect.Progress < known {
			shortest[r.crash] = r.suspect.Progress
		}
	}
	longest := time.Duration(0)
	for _, d := range shortest {
		longest = max(longest, d)
	}
	h.traits = slices.DeleteFunc(h.traits, func(t Trait) bool {
		return running[t.completionKey()] > longest+survivalTime
	})
	return len(h.traits) == 0
}

// isOfParts reports whether none of the traits is a single request.
func (h *hypothesis) isOfParts() bool {
	return !slices.ContainsFunc(h.traits, func(t Trait) bool { return t.Part == "" })
}

// isSharedOnly reports whether h is about parts in the requests of all organisations.
func (h *hypothesis) isSharedOnly() bool {
	return !slices.ContainsFunc(h.traits, func(t Trait) bool { return !t.Shared })
}

// hasRival reports whether another hypothesis explains the crashes of h as well. A broader one, of which
// all requests of h are part, is no rival: the verdict on h has its traits, too. A narrower one is unless
// enough crashes are left without it.
func hasRival(h *hypothesis, all []*hypothesis) bool {
	return slices.ContainsFunc(all, func(o *hypothesis) bool {
		switch {
		case o == h || o.includes(h):
			return false
		case h.includes(o):
			return len(h.crashes)-len(o.crashes) < minUnexplained
		default:
			return o.covers(h)
		}
	})
}

// entry returns the verdict on h. It refuses the requests that have all traits common to all runs of h,
// since any of these may be the cause.
func (h *hypothesis) entry(all []*hypothesis) Entry {
	traits := slices.Clone(h.traits)
	for _, o := range all {
		if o != h && o.includes(h) {
			traits = append(traits, o.traits...)
		}
	}
	entry := Entry{Left: Duration, Shared: true}
	for r := range h.runs {
		entry.Route, entry.Organisation = r.suspect.Route, r.suspect.Organisation
		break
	}
	for _, c := range h.crashes[max(len(h.crashes)-maxNamedEnds, 0):] {
		entry.Ended = append(entry.Ended, c.id)
	}
	for _, t := range traits {
		switch {
		case t.Part == "":
			entry.Digest, entry.Shared, entry.RefusedParts = t.Request, false, nil
			return entry
		case !t.Shared:
			entry.Shared, entry.Organisation = false, t.Organisation
		}
		if !slices.Contains(entry.RefusedParts, t.Part) && len(entry.RefusedParts) < maxRefusedParts {
			entry.RefusedParts = append(entry.RefusedParts, t.Part)
		}
	}
	slices.Sort(entry.RefusedParts)
	if entry.Shared {
		entry.Organisation = ""
	}
	entry.Digest = partsDigest(entry.Organisation, entry.Shared, entry.RefusedParts)
	return entry
}

// requests returns the number of different requests among the runs.
func (h *hypothesis) requests() int {
	digests := map[Digest]bool{}
	for r := range h.runs {
		digests[r.suspect.Digest] = true
	}
	return len(digests)
}
