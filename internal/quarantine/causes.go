package quarantine

import (
	"slices"
	"time"
)

// The times from the heads of its answers to the ends of the instances of one cause differ by maxUnsteady, or
// by maxUnsteadyShare of the longest. Requests that run beside a cause are hit at any time.
const (
	maxUnsteady      = 300 * time.Millisecond
	maxUnsteadyShare = 0.5
)

// causes is a set of hypotheses that explain crashes together. Each has enough crashes that no other of
// them explains.
type causes struct {
	all []*hypothesis
	// explained has, for each crash, the first of the causes that is on it.
	explained map[*crash]*hypothesis
	// candidates are the hypotheses among which the causes are chosen. Popular parts, which are on most
	// crashes, are not among them: their requests are hit at any time. Nor are parts that were sound.
	candidates []*hypothesis
}

// newCauses adds hypotheses one after the other, the one with the most crashes that are not explained yet
// first. Requests that run beside a cause are on many of its crashes and on few others.
func (e *Evidence) newCauses(all []*hypothesis, b basis) *causes {
	set := &causes{explained: map[*crash]*hypothesis{}}
	for _, h := range all {
		if h.isSteady() && !e.wasSound(h) {
			set.candidates = append(set.candidates, h)
		}
	}
	for {
		best := set.next(b)
		if best == nil {
			return set
		}
		set.all = append(set.all, best)
		for _, c := range best.crashes {
			if set.explained[c] == nil {
				set.explained[c] = best
			}
		}
	}
}

// next returns the hypothesis to add, or nil if there is none or another one explains the same as well.
func (s *causes) next(b basis) *hypothesis {
	var best *hypothesis
	var most float64
	for _, h := range s.candidates {
		if s.has(h) || s.isBroader(h, b) {
			continue
		}
		if w := s.weigh(h, b); w.single >= minCrashes && w.moments > most {
			best, most = h, w.moments
		}
	}
	if best == nil || hasRival(best, s.candidates) || s.isDoubtful(best) {
		return nil
	}
	return best
}

func (s *causes) has(h *hypothesis) bool { return slices.Contains(s.all, h) }

// isBefore reports whether the verdict on h is taken before that on o.
func (s *causes) isBefore(h, o *hypothesis) bool {
	if s.has(h) != s.has(o) {
		return s.has(h)
	}
	return len(h.runs) < len(o.runs)
}

// isBroader reports whether h includes another hypothesis that may be added before it.
func (s *causes) isBroader(h *hypothesis, b basis) bool {
	return slices.ContainsFunc(s.candidates, func(o *hypothesis) bool {
		return o != h && !s.has(o) && h.includes(o) && s.weigh(o, b).single >= minCrashes
	})
}

// own returns h with those of its crashes that no other cause explains. A narrower cause does not take
// crashes from a broader one, of which all its requests are part.
func (s *causes) own(h *hypothesis) *hypothesis {
	own := *h
	own.crashes = slices.DeleteFunc(slices.Clone(h.crashes), func(c *crash) bool {
		o := s.explained[c]
		return o != nil && o != h && !h.includes(o)
	})
	return &own
}

// weigh returns how much the own crashes of h count beside those that no other cause explains.
func (s *causes) weigh(h *hypothesis, b basis) weight {
	beside := slices.DeleteFunc(slices.Clone(b.unexplained), func(c *crash) bool {
		o := s.explained[c]
		return o != nil && o != h && !h.ended[c]
	})
	return s.own(h).weigh(beside, b.judged)
}

// isDoubtful reports whether another hypothesis, on as many crashes, is on most of those of h.
func (s *causes) isDoubtful(h *hypothesis) bool {
	own := s.own(h)
	return slices.ContainsFunc(s.candidates, func(o *hypothesis) bool {
		if !s.competes(o, h) || len(s.own(o).crashes) < len(own.crashes) {
			return false
		}
		return own.countOutside([]*hypothesis{o}) < minCrashes
	})
}

// competes reports whether o may explain the crashes of h instead.
func (s *causes) competes(o, h *hypothesis) bool {
	return o != h && !s.has(o) && !h.includes(o) && !o.includes(h)
}

// isDistinct reports whether enough crashes of h have nothing else on them that is on several crashes.
func (s *causes) isDistinct(h *hypothesis) bool {
	var others []*hypothesis
	for _, o := range s.candidates {
		if s.competes(o, h) {
			others = append(others, o)
		}
	}
	return s.own(h).countOutside(others) >= minCrashes
}

// countOutside returns the number of crashes of h that none of the others is on.
func (h *hypothesis) countOutside(others []*hypothesis) (n int) {
	for _, c := range h.crashes {
		if !slices.ContainsFunc(others, func(o *hypothesis) bool { return o.ended[c] }) {
			n++
		}
	}
	return n
}

// isSteady reports whether all instances ended about as long after the heads of the answers.
func (h *hypothesis) isSteady() bool {
	var least, most time.Duration
	for i, c := range h.crashes {
		shortest := h.shortestProgress(c)
		if i == 0 || shortest < least {
			least = shortest
		}
		most = max(most, shortest)
	}
	return most-least <= max(maxUnsteady, time.Duration(maxUnsteadyShare*float64(most)))
}

// shortestProgress returns how long after the head of an answer an instance ended, at least.
func (h *hypothesis) shortestProgress(c *crash) time.Duration {
	shortest := time.Duration(-1)
	for _, s := range c.suspects {
		if h.runs[run{crash: c, suspect: s}] && (shortest < 0 || s.Progress < shortest) {
			shortest = s.Progress
		}
	}
	return shortest
}
