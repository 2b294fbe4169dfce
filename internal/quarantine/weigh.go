package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashed instances after which requests are refused if what they
	// have in common alone explains all crashes of that time.
	minCrashes = 3
	// minCrashesConfounded applies instead of minCrashes when something else may have crashed the
	// instances: others end in the same time without the trait, several with it end at the same
	// moment, the evidence is incomplete, or requests with the part had completed before.
	minCrashesConfounded = 5
	// minUnexplained is the number of crashes that no quarantined request explains from which on a
	// broader verdict replaces one.
	minUnexplained = 2
	// minOutside is the number of crashes without the organisation that has most of them, from which
	// on a part is refused for all organisations. With minCrashesConfounded, one suffices.
	minOutside = 2
	// maxUnrelatedRatio is the highest ratio of instances that ended without a trait to instances
	// that ended with it. Above it, the requests are taken to be bystanders. With 2, three crashing
	// requests that arrive at the same time and rate are still all found.
	maxUnrelatedRatio = 2
	// sameCauseWindow is the time within which ends of instances may have the same cause. A
	// rack that loses power ends all its instances at once, and a bad version ends its
	// instances within seconds.
	sameCauseWindow = 2 * time.Second
	// minPowerLoss is the number of instances that end simultaneously from which on the cause is not
	// sought in their requests, so that they do not confound the evidence against a part.
	minPowerLoss = 3
	// simultaneousWindow is the time within which ends of instances count as simultaneous.
	simultaneousWindow = 100 * time.Millisecond
	// A running answer shows that a trait crashes no instances if it has run longer than those that
	// ended with their instances, by survivalTime.
	survivalTime = 250 * time.Millisecond
	// settledTime is how long daemons must have served before the first crash to know which parts are
	// sound. Just after a start, no request has completed yet.
	settledTime = 3 * time.Second
	// maxRefusedParts bounds the parts of a verdict, and maxJudged the crashes, the latest, that a
	// decision is based on. A trait on fewer than a third of them would not be refused anyway.
	maxRefusedParts = 8
	maxJudged       = 128
)

// Verdicts are the decisions made so far. *List implements it.
type Verdicts interface {
	// Explains reports whether the request is refused, so that it explains the end of an instance, and
	// the digest of the verdict.
	Explains(s *Suspect) (verdict Digest, yes bool)
	// OnProbation returns the entry that refused the request until recently.
	OnProbation(s *Suspect) (Entry, bool)
}

// Running is for how long answers of requests that are running now have run, by trait: the longest
// time since the head of the answer.
type Running map[Trait]time.Duration

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

// Verdict is a set of requests to refuse, with the crashes that count against them.
type Verdict struct {
	Entry
	// Since is the time since the first of the instances ended, Unrelated the number of those that
	// ended in the same period without such a request, and Requests the number of different requests
	// that were on the ended instances.
	Since               time.Duration
	Unrelated, Requests int
}

// Suspected returns the traits that were on enough ended instances to be judged. The caller must ask
// all daemons about them, then call Culprits.
func (e *Evidence) Suspected(v Verdicts) []Trait {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(e.clock.Now())
	known := map[Trait]bool{}
	for _, h := range e.hypotheses(v, EvidenceTTL) {
		for _, t := range h.traits {
			known[t.completionKey()] = true
		}
	}
	out := slices.SortedFunc(maps.Keys(known), compareTraits)
	for _, again := range e.onProbation(v) {
		if t := again.trait(); !known[t] {
			out = append(out, t)
		}
	}
	return out
}

func compareTraits(a, b Trait) int {
	return cmp.Or(slices.Compare(a.Request[:], b.Request[:]), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Organisation, b.Organisation))
}

// Culprits returns what to refuse on the present evidence.
//
// complete is how far back the evidence includes the reports of all daemons. If the first crash of a
// suspect is older, another may be the cause, or the suspect may have completed unnoticed, so it needs
// minCrashesConfounded crashes.
func (e *Evidence) Culprits(complete time.Duration, v Verdicts, running Running) []Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(e.clock.Now())
	out := e.onProbation(v)
	decided := decidedVerdicts{Verdicts: v}
	for {
		verdict, ok := e.nextCulprit(complete, &decided, running)
		if !ok || decided.has(verdict.Digest) {
			return out
		}
		decided.all = append(decided.all, verdict.Entry)
		if !slices.ContainsFunc(out, func(o Verdict) bool { return o.Digest == verdict.Digest }) {
			out = append(out, verdict)
		}
	}
}

// decidedVerdicts are Verdicts with those that were decided a moment ago.
type decidedVerdicts struct {
	Verdicts
	all []Entry
}

func (d *decidedVerdicts) has(digest Digest) bool {
	return slices.ContainsFunc(d.all, func(e Entry) bool { return e.Digest == digest })
}

// Explains implements Verdicts.
func (d *decidedVerdicts) Explains(s *Suspect) (verdict Digest, yes bool) {
	for i := range d.all {
		if d.all[i].Refuses(s) {
			return d.all[i].Digest, true
		}
	}
	return d.Verdicts.Explains(s)
}

// nextCulprit returns the verdict with the fewest runs for which the evidence suffices. What it explains
// is no evidence for others: verdicts are taken one after the other.
func (e *Evidence) nextCulprit(complete time.Duration, v Verdicts, running Running) (verdict Verdict, ok bool) {
	all := slices.DeleteFunc(e.hypotheses(v, complete), func(h *hypothesis) bool { return h.isRefuted(running) })
	unexplained := e.unexplained(v)
	var best *hypothesis
	for _, h := range all {
		if (best == nil || len(h.runs) < len(best.runs)) && e.isSufficient(h, unexplained, complete) && !hasRival(h, all) {
			best = h
		}
	}
	if best == nil {
		return verdict, false
	}
	return Verdict{Entry: best.entry(all), Since: e.clock.Since(best.first()), Unrelated: best.unrelated, Requests: best.requests()}, true
}

// onProbation returns the entries that are over, and under whose requests an instance has ended again.
func (e *Evidence) onProbation(v Verdicts) []Verdict {
	var out []Verdict
	for _, c := range e.unexplained(v) {
		for _, s := range c.suspects {
			entry, ok := v.OnProbation(s)
			if !ok || e.isCleared(entry.trait(), c.at) || slices.ContainsFunc(out, func(o Verdict) bool { return o.Digest == entry.Digest }) {
				continue
			}
			entry.Ended = []string{c.id}
			out = append(out, Verdict{Entry: entry, Since: e.clock.Since(c.at), Requests: 1})
		}
	}
	return out
}

// judged returns the crashes that a decision is based on, oldest first.
func (e *Evidence) judged() []*crash {
	latest := e.order[max(len(e.order)-maxJudged, 0):]
	out := make([]*crash, len(latest))
	for i, n := range latest {
		out[i] = e.crashes[n]
	}
	return out
}

func (e *Evidence) isCleared(t Trait, since time.Time) bool {
	return e.cleared[t.completionKey()].After(since)
}

// unexplained returns the crashes of instances that had no quarantined request, oldest first.
func (e *Evidence) unexplained(v Verdicts) []*crash {
	var out []*crash
	for _, c := range e.judged() {
		if len(c.explainers(v)) == 0 {
			out = append(out, c)
		}
	}
	return out
}

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
func (e *Evidence) hypotheses(v Verdicts, complete time.Duration) []*hypothesis {
	counts := e.countCrashes()
	byTrait := map[Trait]*hypothesis{}
	for _, c := range e.judged() {
		explainers := c.explainers(v)
		if len(explainers) > 0 && e.clock.Since(c.at) > complete {
			continue
		}
		for _, s := range c.suspects {
			s.traits(func(t Trait) {
				if counts[t] < minCrashes || e.isCleared(t, c.at) || slices.ContainsFunc(explainers, func(x explainer) bool { return !x.suspect.holds(t) }) {
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

// countCrashes returns the number of crashes that each trait was on.
func (e *Evidence) countCrashes() map[Trait]int {
	counts := map[Trait]int{}
	last := map[Trait]*crash{}
	for _, c := range e.judged() {
		for _, s := range c.suspects {
			s.traits(func(t Trait) {
				if last[t] != c {
					last[t] = c
					counts[t]++
				}
			})
		}
	}
	return counts
}

// mergeEqual joins the hypotheses with the same runs, and leaves out those with too few crashes.
func mergeEqual(byTrait map[Trait]*hypothesis) []*hypothesis {
	var out []*hypothesis
	for _, t := range slices.SortedFunc(maps.Keys(byTrait), compareTraits) {
		h := byTrait[t]
		if len(h.crashes) < minCrashes || h.unexplained < minUnexplained {
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

// isRefuted removes the traits of running answers that have outlived those that crashed, and reports
// whether none is left. Popular parts run everywhere all the time, so that they are on every crash.
func (h *hypothesis) isRefuted(running Running) bool {
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

// isSufficient reports whether the evidence suffices to refuse requests with the traits of h, if there
// is no rival. It also sets h.unrelated.
func (e *Evidence) isSufficient(h *hypothesis, unexplained []*crash, complete time.Duration) bool {
	if h.isSharedOnly() && !h.isOfSeveralOrganisations() {
		return false
	}
	wasSound := e.wasSound(h)
	if wasSound && (len(h.verdicts) > 1 || e.countOwnCrashes(h) < minCrashesConfounded) {
		return false
	}
	h.unrelated = 0
	others := 0
	for _, c := range unexplained {
		if h.ended[c] || c.at.Before(h.first().Add(-sameCauseWindow)) || c.at.After(h.last().Add(sameCauseWindow)) {
			continue
		}
		h.unrelated++
		if !h.isOfParts() || len(simultaneous(c, unexplained)) < minPowerLoss {
			others++
		}
	}
	weight := h.weigh(unexplained)
	known := complete
	if h.isOfParts() {
		known -= settledTime
	}
	if others == 0 && weight.single >= minCrashes && e.clock.Since(h.first()) <= known && !wasSound {
		return true
	}
	sum := weight.sum
	if h.isOfParts() && !wasSound {
		// Sound parts complete somewhere. One that never has is not on five ends at different times by
		// chance.
		sum = weight.moments
	}
	return sum >= minCrashesConfounded && h.unrelated <= maxUnrelatedRatio*len(h.crashes)
}

// simultaneous returns those of all crashes, in order of time, that were at the time of c.
func simultaneous(c *crash, all []*crash) []*crash {
	search := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(all, at, func(o *crash, at time.Time) int { return o.at.Compare(at) })
		return i
	}
	return all[search(c.at.Add(-simultaneousWindow)):search(c.at.Add(simultaneousWindow+1))]
}

// wasSound reports whether requests with each of the traits of h, all of them parts, have completed
// before the crashes.
func (e *Evidence) wasSound(h *hypothesis) bool {
	return h.isOfParts() && !slices.ContainsFunc(h.traits, func(t Trait) bool {
		_, completed := e.cleared[t.completionKey()]
		return !completed
	})
}

// countOwnCrashes returns the number of crashes of h that nothing new is on: a part of several crashed
// requests, or a request on enough crashes to be judged, that is not known to have completed. That is
// more likely the cause than a part with which requests have completed, although h is on all crashes.
func (e *Evidence) countOwnCrashes(h *hypothesis) int {
	counts := e.countCrashes()
	isNew := func(t Trait) bool {
		_, completed := e.cleared[t.completionKey()]
		enough := 2
		if t.Part == "" {
			enough = minCrashes
		}
		return counts[t] >= enough && !completed
	}
	own := 0
	for _, c := range h.crashes {
		explained := false
		for _, s := range c.suspects {
			s.traits(func(t Trait) { explained = explained || isNew(t) })
		}
		if !explained {
			own++
		}
	}
	return own
}

// isOfParts reports whether none of the traits is a single request.
func (h *hypothesis) isOfParts() bool {
	return !slices.ContainsFunc(h.traits, func(t Trait) bool { return t.Part == "" })
}

// isSharedOnly reports whether h is about parts in the requests of all organisations.
func (h *hypothesis) isSharedOnly() bool {
	return !slices.ContainsFunc(h.traits, func(t Trait) bool { return !t.Shared })
}

// isOfSeveralOrganisations reports whether enough instances have ended without the organisation that
// has most of the crashes. Requests of other organisations that merely ran beside do not count.
func (h *hypothesis) isOfSeveralOrganisations() bool {
	type key struct {
		crash        *crash
		organisation string
	}
	seen, counts, most := map[key]bool{}, map[string]int{}, 0
	for r := range h.runs {
		k := key{r.crash, r.suspect.Organisation}
		if !seen[k] {
			seen[k] = true
			counts[k.organisation]++
			most = max(most, counts[k.organisation])
		}
	}
	outside := len(h.crashes) - most
	return outside >= minOutside || outside > 0 && len(h.crashes) >= minCrashesConfounded
}

// weight is how much the crashes of a hypothesis count.
type weight struct {
	// moments is the number of crashes, where several that end simultaneously count as one: popular
	// parts are on all instances. Those that ended under the same request, one after the other, count
	// each.
	moments float64
	// sum is the same less what other causes explain: if k instances end simultaneously and only one
	// of them has the traits, that one counts 1/k. This distinguishes repeated power losses of a rack
	// from several crashing requests, whose crashes are not simultaneous.
	sum float64
	// single is sum without crashes that were simultaneous under different requests.
	single float64
}

// chainEnd is the last crash of a request that was sent to one instance after another, and the number of
// these that ended.
type chainEnd struct {
	at     time.Time
	length int
}

// extend adds a crash if the request was sent there after the crash before. Equal requests may run on
// several instances at a time.
func (l chainEnd) extend(c *crash, s *Suspect) chainEnd {
	if l.length > 0 && c.at.Add(-s.Ran).Before(l.at) {
		return l
	}
	return chainEnd{at: c.at, length: l.length + 1}
}

func (h *hypothesis) weigh(unexplained []*crash) weight {
	var w weight
	for start := 0; start < len(h.crashes); {
		end := start
		chain, longest, share := map[Digest]chainEnd{}, 1, 0.0
		for ; end < len(h.crashes) && h.crashes[end].at.Sub(h.crashes[start].at) <= simultaneousWindow; end++ {
			c := h.crashes[end]
			for d, s := range c.suspects {
				if h.runs[run{crash: c, suspect: s}] {
					chain[d] = chain[d].extend(c, s)
					longest = max(longest, chain[d].length)
				}
			}
			others := 0
			for _, other := range simultaneous(c, unexplained) {
				if !h.ended[other] {
					others++
				}
			}
			share += 1 / float64(1+others)
		}
		size := end - start
		counted := float64(longest) * share / float64(size)
		w.moments += float64(longest)
		w.sum += counted
		if longest == size {
			w.single += counted
		}
		start = end
	}
	return w
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
	for _, c := range h.crashes {
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
