package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashed instances after which requests are refused if what they
	// have in common alone explains all crashes of that time.
	minCrashes = 3
	// minCrashesBeside applies instead of minCrashes to one of several causes if instances have ended
	// beside that these do not explain.
	minCrashesBeside = 4
	// minCrashesConfounded applies instead of minCrashes when something else may have crashed the
	// instances: others end in the same time without the trait, several with it end at the same
	// moment, the evidence is incomplete, or requests with the part had completed before.
	minCrashesConfounded = 5
	// minUnexplained is the number of crashes that no quarantined request explains from which on a
	// broader verdict replaces one.
	minUnexplained = 2
	// minRequests is the number of different requests, each of which may have crashed instances by
	// itself, from which on a part is taken for the cause that was sound before.
	minRequests = 2
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
)

// isSufficient reports whether the evidence suffices to refuse requests with the traits of h, if there
// is no rival. It also sets h.unrelated.
func (e *Evidence) isSufficient(h *hypothesis, b basis) bool {
	if h.isSharedOnly() && !h.isOfSeveralOrganisations() {
		return false
	}
	wasSound := e.wasSound(h)
	if len(b.causes.own(h).crashes) == 0 {
		return false
	}
	if wasSound && (len(h.verdicts) > 1 && !h.explainsRequests() || e.countOwnCrashes(h, b.repeated) < minCrashesConfounded) {
		return false
	}
	confounding, unknown := h.countUnrelated(b)
	weight := b.causes.weigh(h, b)
	known := b.complete
	if h.isOfParts() {
		known -= settledTime
	}
	if e.clock.Since(h.first()) <= known && !wasSound {
		switch {
		case confounding == 0 && weight.single >= minCrashes && h.isSteady():
			return true
		case unknown == 0 && weight.single >= minCrashes && b.causes.has(h):
			return true
		case weight.single >= minCrashesBeside && b.causes.has(h) && b.causes.isDistinct(h):
			return true
		}
	}
	sum := weight.sum
	if h.isOfParts() && !wasSound {
		// Sound parts complete somewhere. One that never has is not on five ends at different times by
		// chance.
		sum = weight.moments
	}
	return sum >= minCrashesConfounded && h.unrelated <= maxUnrelatedRatio*len(h.crashes)
}

// countUnrelated sets h.unrelated, and returns how many of these crashes confound the evidence, and how many
// of those no other cause explains.
func (h *hypothesis) countUnrelated(b basis) (confounding, unknown int) {
	h.unrelated = 0
	for _, c := range b.unexplained {
		if h.ended[c] || c.at.Before(h.first().Add(-sameCauseWindow)) || c.at.After(h.last().Add(sameCauseWindow)) {
			continue
		}
		h.unrelated++
		if h.isOfParts() && len(simultaneous(c, b.unexplained)) >= minPowerLoss {
			continue
		}
		confounding++
		if b.causes.explained[c] == nil {
			unknown++
		}
	}
	return confounding, unknown
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

// explainsRequests reports whether the crashes of h are otherwise explained by verdicts on several
// requests, each by itself, so that what they have in common is more likely the cause.
func (h *hypothesis) explainsRequests() bool {
	if len(h.verdicts) < minRequests {
		return false
	}
	requests := map[Digest]bool{}
	for r := range h.runs {
		if h.verdicts[r.suspect.Digest] {
			requests[r.suspect.Digest] = true
		}
	}
	return len(requests) == len(h.verdicts)
}

// countOwnCrashes returns the number of crashes of h, of parts with which requests have completed, that
// nothing new is on: a part of several crashed requests, or a request on enough crashes to be judged, that
// is not known to have completed. That is more likely the cause than h, although h is on all crashes. Several
// such requests, however, are more likely to crash instances by what they have in common.
func (e *Evidence) countOwnCrashes(h *hypothesis, repeated repeatedTraits) int {
	own, byRequest := 0, 0
	requests := map[Digest]bool{}
	for _, c := range h.crashes {
		part, again := e.newTraits(c, repeated)
		for _, s := range again {
			if h.runs[run{crash: c, suspect: s}] {
				requests[s.Digest] = true
			}
		}
		switch {
		case part:
		case len(again) > 0:
			byRequest++
		default:
			own++
		}
	}
	if len(requests) >= minRequests {
		own += byRequest
	}
	return own
}

// newTraits reports whether a part of several crashes is on c, and returns the requests there that are on
// enough crashes to be judged, without those that are known to have completed.
func (e *Evidence) newTraits(c *crash, repeated repeatedTraits) (part bool, requests []*Suspect) {
	for _, s := range c.suspects {
		repeated.of(s, func(t Trait) {
			_, completed := e.cleared[t.completionKey()]
			switch {
			case completed:
			case t.Part != "":
				part = part || repeated.crashes(t) > 1
			case repeated.crashes(t) >= minCrashes:
				requests = append(requests, s)
			}
		})
	}
	return part, requests
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
	// single is sum without crashes that may have been those of a loss of power.
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

func (h *hypothesis) weigh(unexplained, all []*crash) weight {
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
		isPowerLoss := slices.ContainsFunc(h.crashes[start:end], func(c *crash) bool { return len(simultaneous(c, all)) >= minPowerLoss })
		if !h.isOfParts() && !isPowerLoss {
			// Equal requests of several callers end their instances at the same moment by chance.
			longest = size
		}
		counted := float64(longest) * share / float64(size)
		w.moments += float64(longest)
		w.sum += counted
		if !isPowerLoss || longest == size && (longest > 1 || h.isOfParts()) {
			w.single += counted
		}
		start = end
	}
	return w
}
