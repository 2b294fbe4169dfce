package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// maxJudged is the number of crashes, the latest, that a decision is based on. A trait on fewer than a
// third of them would not be refused anyway.
const maxJudged = 128

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

// Verdict is a set of requests to refuse, with the crashes that count against them.
type Verdict struct {
	Entry
	// Since is the time since the first of the instances ended, Unrelated the number of those that
	// ended in the same period without such a request, and Requests the number of different requests
	// that were on the ended instances.
	Since               time.Duration
	Unrelated, Requests int
}

// Suspected returns the traits that were on enough ended instances to be judged, followed by the parts that would
// explain some of these ends instead unless requests with them have completed. The caller must add what is known
// of them, ask all daemons about them if MayDecide says so, and then call Culprits.
func (e *Evidence) Suspected(v Verdicts) []Trait {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(e.clock.Now())
	known := map[Trait]bool{}
	b := e.newBasis(v, EvidenceTTL)
	for _, h := range e.hypotheses(v, b) {
		for _, t := range h.traits {
			known[t.completionKey()] = true
		}
	}
	out := slices.SortedFunc(maps.Keys(known), compareTraits)
	for _, again := range e.onProbation(v) {
		if t := again.trait(); !known[t] {
			known[t] = true
			out = append(out, t)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return append(out, b.repeated.partsBeside(known)...)
}

// partsBeside returns the keys of the parts on several crashes that are not known.
func (r *repeatedTraits) partsBeside(known map[Trait]bool) []Trait {
	beside := map[Trait]bool{}
	for t, count := range r.traits {
		if key := t.completionKey(); t.Part != "" && count.n > 1 && !known[key] {
			beside[key] = true
		}
	}
	return slices.SortedFunc(maps.Keys(beside), compareTraits)
}

func compareTraits(a, b Trait) int {
	return cmp.Or(slices.Compare(a.Request[:], b.Request[:]), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Organisation, b.Organisation))
}

// Culprits returns what to refuse on the present evidence.
//
// complete is how far back the evidence includes the reports of all daemons. If the first crash of a
// suspect is older, another may be the cause, or the suspect may have completed unnoticed, so it needs
// minCrashesConfounded crashes. undecided is set if suspects are left for which the evidence does not
// suffice yet.
func (e *Evidence) Culprits(complete time.Duration, v Verdicts, running Running) (out []Verdict, undecided bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(e.clock.Now())
	out = e.onProbation(v)
	decided := decidedVerdicts{Verdicts: v}
	for {
		verdict, ok, left := e.nextCulprit(complete, &decided, running)
		if !ok || decided.has(verdict.Digest) {
			return out, left
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

// nextCulprit returns the verdict with the fewest runs for which the evidence suffices, one of the causes that
// explain crashes together if there is one. What it explains
// is no evidence for others: verdicts are taken one after the other.
func (e *Evidence) nextCulprit(complete time.Duration, v Verdicts, running Running) (verdict Verdict, ok, undecided bool) {
	b := e.newBasis(v, complete)
	all := e.unrefuted(v, b, running)
	b.causes = e.newCauses(all, b)
	var best *hypothesis
	for _, h := range all {
		if (best == nil || b.causes.isBefore(h, best)) && e.isSufficient(h, b) && (b.causes.has(h) || !hasRival(h, all)) {
			best = h
		}
	}
	if best == nil {
		return verdict, false, len(all) > 0
	}
	return Verdict{Entry: best.entry(all), Since: e.clock.Since(best.first()), Unrelated: best.unrelated, Requests: best.requests()}, true, true
}

// unrefuted returns the hypotheses that no running answer refutes.
func (e *Evidence) unrefuted(v Verdicts, b basis, running Running) []*hypothesis {
	return slices.DeleteFunc(e.hypotheses(v, b), func(h *hypothesis) bool { return h.dropRefuted(running) })
}

// MayDecide reports whether the evidence may suffice for a verdict with what the other daemons know. Only
// then is it worth asking them.
func (e *Evidence) MayDecide(v Verdicts, running Running) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.newBasis(v, EvidenceTTL)
	all := e.unrefuted(v, b, running)
	b.causes = e.newCauses(all, b)
	if len(e.onProbation(v)) > 0 || len(b.causes.all) > 0 {
		return true
	}
	return slices.ContainsFunc(all, func(h *hypothesis) bool { return e.isSufficient(h, b) })
}

// Ended returns the instances that decisions are based on, with the time since their ends.
func (e *Evidence) Ended() map[inventory.InstanceHash]time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[inventory.InstanceHash]time.Duration{}
	for _, n := range e.order[max(len(e.order)-maxJudged, 0):] {
		out[n] = e.clock.Since(e.crashes[n].at)
	}
	return out
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

// basis is what all hypotheses of a decision are weighed with.
type basis struct {
	// complete is how far back the evidence includes the reports of all daemons.
	complete time.Duration
	// unexplained are the crashes that no verdict explains.
	unexplained []*crash
	// judged are these and the others.
	judged   []*crash
	repeated repeatedTraits
	causes   *causes
}

func (e *Evidence) newBasis(v Verdicts, complete time.Duration) basis {
	return basis{complete: complete, unexplained: e.unexplained(v), judged: e.judged(), repeated: e.repeatedTraits()}
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
