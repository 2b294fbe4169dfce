package inventory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// baselineTTL is how long the last total of a sender is kept. The first one after a longer
	// pause only starts a new baseline, because nobody knows when the evidence arose.
	baselineTTL = 2 * fleetWorkTTL
	// takeOverAfter is the time without a round of its own after which a reader starts from the
	// sums that it received from the former one.
	takeOverAfter = 2 * fleetWorkTTL
)

// ErrorSum adds up the evidence of daemons on the errors of instances. It is not safe for
// concurrent use.
type ErrorSum struct {
	baselines map[errorSource]errorBaseline
	// pending is the evidence since the last round, and group that of the daemons of the group
	// since they began to report an instance.
	pending map[InstanceHash]int
	group   map[InstanceHash]*groupErrors
	states  map[InstanceHash]*errorState
	roundAt time.Time
}

type errorSource struct {
	sender   string
	instance InstanceHash
}

type errorBaseline struct {
	series   uint16
	evidence int16
	at       time.Time
}

type groupErrors struct {
	evidence int16
	series   uint16
	reports  int
	at       time.Time
}

type errorState struct {
	sum    int
	faulty bool
	// rank is the sum with the evidence of the last round, without its upper limit.
	rank int
	// worseAt is when the sum last rose.
	worseAt time.Time
}

// NewErrorSum returns an empty sum.
func NewErrorSum() *ErrorSum {
	return &ErrorSum{
		baselines: map[errorSource]errorBaseline{}, pending: map[InstanceHash]int{},
		group: map[InstanceHash]*groupErrors{}, states: map[InstanceHash]*errorState{},
	}
}

// isRunning reports whether this daemon does rounds. Otherwise nothing is kept, because nothing
// would delete it.
func (s *ErrorSum) isRunning(now time.Time) bool { return now.Sub(s.roundAt) <= takeOverAfter }

// Add adds what a daemon of the group reports.
func (s *ErrorSum) Add(daemon string, reports []ErrorReport, now time.Time) {
	if !s.isRunning(now) {
		return
	}
	for _, r := range reports {
		change := s.change(daemon, r, now)
		s.pending[r.Instance] += int(change)
		g := s.group[r.Instance]
		if g == nil {
			g = &groupErrors{series: newSeries(now)}
			s.group[r.Instance] = g
		}
		g.evidence += change
		g.at = now
	}
}

// AddDomain adds what another failure domain reports.
func (s *ErrorSum) AddDomain(domain string, reports []ErrorReport, now time.Time) {
	if !s.isRunning(now) {
		return
	}
	for _, r := range reports {
		s.pending[r.Instance] += int(s.change("domain/"+domain, r, now))
	}
}

// change returns the evidence since the last report of the sender.
func (s *ErrorSum) change(sender string, r ErrorReport, now time.Time) int16 {
	key := errorSource{sender, r.Instance}
	last, ok := s.baselines[key]
	s.baselines[key] = errorBaseline{series: r.Series, evidence: r.Evidence, at: now}
	switch {
	case ok && last.series == r.Series && now.Sub(last.at) <= baselineTTL:
		return r.Evidence - last.evidence
	case r.First:
		return r.Evidence
	}
	return 0
}

// Fleet does a round: it applies the evidence since the last one and returns the state of at most
// n instances, those with the most evidence against them. Others are forgotten: daemons do not
// report the good answers of instances that they are not told of, so their sums would only grow.
// known is what this daemon received last, from which it starts if it was not the reader.
func (s *ErrorSum) Fleet(known []ErrorState, now time.Time, n int) []ErrorState {
	if !s.isRunning(now) {
		clear(s.states)
		clear(s.group)
		clear(s.baselines)
		for _, k := range known {
			s.states[k.Instance] = &errorState{sum: int(k.Sum), faulty: k.Faulty, worseAt: now}
		}
	}
	s.roundAt = now
	for _, state := range s.states {
		state.rank = state.sum
	}
	for instance, change := range s.pending {
		s.apply(instance, change, now)
	}
	clear(s.pending)
	out := make([]ErrorState, 0, len(s.states))
	for instance, state := range s.states {
		if state.sum <= 0 || now.Sub(state.worseAt) >= lossTime {
			delete(s.states, instance)
			continue
		}
		out = append(out, ErrorState{Instance: instance, Sum: uint16(state.sum), Faulty: state.faulty})
	}
	maps.DeleteFunc(s.group, func(_ InstanceHash, g *groupErrors) bool { return now.Sub(g.at) > baselineTTL })
	maps.DeleteFunc(s.baselines, func(_ errorSource, b errorBaseline) bool { return now.Sub(b.at) > baselineTTL })
	slices.SortFunc(out, func(a, b ErrorState) int {
		return cmp.Or(cmp.Compare(s.states[b.Instance].rank, s.states[a.Instance].rank), cmp.Compare(a.Instance, b.Instance))
	})
	for _, state := range out[min(n, len(out)):] {
		delete(s.states, state.Instance)
	}
	return out[:min(n, len(out))]
}

func (s *ErrorSum) apply(instance InstanceHash, change int, now time.Time) {
	const limit = int(faultySum / evidenceUnit)
	state := s.states[instance]
	if state == nil {
		if change <= 0 {
			return
		}
		state = &errorState{}
		s.states[instance] = state
	}
	if change > 0 {
		state.worseAt = now
	}
	state.rank = state.sum + change
	state.sum = min(max(state.rank, 0), limit)
	state.faulty = state.sum >= limit || state.faulty && state.sum > 0
}

// Group returns the evidence of the daemons of the group on at most n instances, those with the
// highest sums first.
func (s *ErrorSum) Group(n int) []ErrorReport {
	instances := slices.SortedFunc(maps.Keys(s.group), func(a, b InstanceHash) int {
		return cmp.Or(cmp.Compare(s.sumOf(b), s.sumOf(a)), cmp.Compare(a, b))
	})
	out := make([]ErrorReport, 0, min(n, len(instances)))
	for _, instance := range instances[:min(n, len(instances))] {
		g := s.group[instance]
		out = append(out, ErrorReport{Instance: instance, Series: g.series, First: g.reports < firstReports, Evidence: g.evidence})
		g.reports++
	}
	return out
}

func (s *ErrorSum) sumOf(instance InstanceHash) int {
	if state := s.states[instance]; state != nil {
		return state.sum
	}
	return 0
}
