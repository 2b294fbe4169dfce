package inventory

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A server whose health check passes may answer nearly all its requests with an error for some
// seconds. Each answer of an instance adds the logarithm of how much more likely it is if half of
// the answers were errors (faultyShare) than at the usual share of errors of its route. The sum
// over all daemons does not fall below 0; see ErrorSum.
const (
	faultyShare = 0.5
	// faultySum is the sum at which an instance counts as faulty, and from which it has to come
	// down to 0 to be sound again. One answer of a sound instance begins a false alarm with a
	// probability of at most exp(-10), which is less than once a minute at 240 answers a second.
	// Three errors in succession suffice on a route with few errors.
	faultySum = 10.0
	// usualPrior is the usual share of errors of a route that is not known yet, as if it had been
	// seen in priorAnswers answers. A higher value would hide a faulty instance after a start; a
	// lower one would blame sound instances of a route with many errors.
	usualPrior   = 0.05
	priorAnswers = 20.0
	// minUsual keeps two errors of a sound instance in succession from sufficing. Above maxUsual,
	// errors say hardly anything.
	minUsual, maxUsual = 0.01, 0.4
	// usualHalfLife is how fast the usual share adapts. Two of four instances that fail for 6 s
	// change the share at the others of each by some two hundredths.
	usualHalfLife = 60 * time.Second
	// maxRoutesPerInstance bounds the routes whose answers are counted for an instance, and
	// maxSharedRoutes those of all services. The answers of further routes count as if their usual
	// share were the prior.
	maxRoutesPerInstance = 8
	maxSharedRoutes      = 500
	// errorWatchTime is how long a daemon reports an instance after an error or after the sum was
	// above 0. If it stopped at once, the good answers between an error and the arrival of the new
	// sum would be missing, and sums would be too high.
	errorWatchTime = 5 * time.Second
	// errorSumTTL is how long a daemon uses the sums that it received last.
	errorSumTTL = 10 * time.Second
	// firstReports is the number of reports that are marked as the first of their series: two,
	// in case one is lost.
	firstReports = 2
	// evidenceUnit is the resolution of exchanged evidence. Differences of 16 bits then suffice for
	// 5,900 good answers between two reports.
	evidenceUnit = 1.0 / 8
)

// errorShare counts answers and errors, with exponential decay.
type errorShare struct {
	answers, errors float64
	at              time.Time
}

func (s *errorShare) decay(now time.Time) {
	s.answers = decayed(s.answers, now.Sub(s.at), usualHalfLife)
	s.errors = decayed(s.errors, now.Sub(s.at), usualHalfLife)
	s.at = now
}

func (s *errorShare) add(isError bool, now time.Time) {
	s.decay(now)
	s.answers++
	if isError {
		s.errors++
	}
}

type serviceRoute struct{ service, route string }

type routeShare struct {
	route string
	errorShare
}

// errorRecord is what is known of the errors of an instance.
type errorRecord struct {
	// routes counts the answers to this daemon by route.
	routes []routeShare
	// evidence is the sum of this daemon's evidence since the instance was watched, identified by
	// series, and reports is how often it was reported. newErrors counts the errors since the last
	// report.
	evidence     float64
	series       uint16
	reports      int
	newErrors    int
	watchedUntil time.Time
	// sum and faulty are what all daemons together know, received at mergedAt. since is when
	// faulty changed, and worseAt when the sum last did not fall while it was set.
	sum                      float64
	faulty                   bool
	mergedAt, since, worseAt time.Time
}

func (r *errorRecord) share(route string) *errorShare {
	for i := range r.routes {
		if r.routes[i].route == route {
			return &r.routes[i].errorShare
		}
	}
	if len(r.routes) >= maxRoutesPerInstance {
		return nil
	}
	r.routes = append(r.routes, routeShare{route: route})
	return &r.routes[len(r.routes)-1].errorShare
}

// usualShare returns the share of errors of a route, without the answers of the instance itself.
func usualShare(all, own *errorShare, now time.Time) float64 {
	if all == nil || own == nil {
		return usualPrior
	}
	all.decay(now)
	own.decay(now)
	answers, errors := max(all.answers-own.answers, 0), max(all.errors-own.errors, 0)
	return min(max((errors+usualPrior*priorAnswers)/(answers+priorAnswers), minUsual), maxUsual)
}

// errorEvidence returns the evidence of one answer.
func errorEvidence(isError bool, usual float64) float64 {
	if isError {
		return math.Log(faultyShare / usual)
	}
	return math.Log((1 - faultyShare) / (1 - usual))
}

// ErrorReport is the evidence of one daemon or failure domain on an instance, summed up since the
// start of a series. It is a running total, so that the next report makes up for a lost one.
type ErrorReport struct {
	Instance InstanceHash
	// Series identifies the total, with 15 bits. First is set in the first reports of a series: a
	// receiver that does not know the series counts from 0 if it is set, and otherwise from this
	// report.
	Series uint16
	First  bool
	// Evidence is the total in units of evidenceUnit; differences wrap around.
	Evidence int16
}

// ErrorState is what all daemons together know of the errors of an instance.
type ErrorState struct {
	Instance InstanceHash
	// Sum is in units of evidenceUnit.
	Sum    uint16
	Faulty bool
}

// NoteStatus records that an instance has answered a request of a route, with an error status of
// its own or not.
func (t *Table) NoteStatus(i Instance, route string, isError bool) {
	t.withEntry(i, func(e *entry) {
		now := t.clock.Now()
		r := t.errorRecord(e)
		all, own := t.routeErrors(serviceRoute{e.instance.Service, route}), r.share(route)
		evidence := errorEvidence(isError, usualShare(all, own, now))
		if all != nil && own != nil {
			all.add(isError, now)
			own.add(isError, now)
		}
		if isError {
			t.watchErrors(e, now)
			r.newErrors++
		}
		if _, watched := t.watched[e]; watched {
			r.evidence += evidence
		}
	})
}

// errorRecord returns the record of an entry. The lock is held.
func (t *Table) errorRecord(e *entry) *errorRecord {
	if e.errors == nil {
		e.errors = &errorRecord{}
	}
	return e.errors
}

// routeErrors returns the counts of a route over all instances; nil if there are too many routes.
// The lock is held.
func (t *Table) routeErrors(key serviceRoute) *errorShare {
	s := t.errorShares[key]
	if s == nil && len(t.errorShares) < maxSharedRoutes {
		s = &errorShare{}
		t.errorShares[key] = s
	}
	return s
}

// watchErrors begins or extends the time in which evidence on an instance is reported. The lock is
// held.
func (t *Table) watchErrors(e *entry, now time.Time) {
	r := t.errorRecord(e)
	if _, watched := t.watched[e]; !watched {
		r.evidence, r.series, r.reports, r.newErrors = 0, newSeries(now), 0, 0
		t.watched[e] = struct{}{}
	}
	r.watchedUntil = now.Add(errorWatchTime)
}

// newSeries returns a number of 15 bits, because the encoding has a flag in the sixteenth. It must
// only differ from that of a series that has ended within baselineTTL.
func newSeries(now time.Time) uint16 { return uint16(now.UnixMilli()) & (1<<15 - 1) }

// isFaulty reports whether an instance answers too many requests with errors. The lock is held.
func (t *Table) isFaulty(e *entry, now time.Time) bool {
	r := e.errors
	return r != nil && r.faulty && now.Sub(r.mergedAt) < errorSumTTL && !t.excused[e.instance.Service]
}

// proofOf returns whether an instance is proven, since when, and when it last lost an answer or was
// found faulty. The lock is held.
func (t *Table) proofOf(e *entry, now time.Time) (proven bool, since, lostAt time.Time) {
	proven, since, lostAt = e.proof.isProven(now), e.proof.since(now), e.proof.lostAt
	switch {
	case t.isFaulty(e, now):
		if proven {
			since = e.errors.since
		}
		return false, since, later(lostAt, e.errors.worseAt)
	case e.errors != nil && proven:
		since = later(since, e.errors.since)
	}
	return proven, since, lostAt
}

// OwnErrors returns this daemon's evidence on at most n instances: those with new errors, which
// nobody else may know of, in up to half of the places, and those with the highest sums.
func (t *Table) OwnErrors(n int) []ErrorReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var all []*entry
	for e := range t.watched {
		if e.removed || now.After(e.errors.watchedUntil) {
			delete(t.watched, e)
			continue
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.errors.newErrors, a.errors.newErrors), cmp.Compare(a.hash, b.hash))
	})
	failing := 0
	for failing < min(n/2, len(all)) && all[failing].errors.newErrors > 0 {
		failing++
	}
	slices.SortFunc(all[failing:], func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.errors.sum, a.errors.sum), b.errors.watchedUntil.Compare(a.errors.watchedUntil), cmp.Compare(a.hash, b.hash))
	})
	out := make([]ErrorReport, 0, min(n, len(all)))
	for _, e := range all[:min(n, len(all))] {
		r := e.errors
		out = append(out, ErrorReport{Instance: e.hash, Series: r.series, First: r.reports < firstReports, Evidence: wrapEvidence(r.evidence)})
		r.reports++
		r.newErrors = 0
	}
	return out
}

// wrapEvidence converts a running total to the exchanged unit.
func wrapEvidence(total float64) int16 { return int16(int64(math.Round(total / evidenceUnit))) }

// MergeErrors takes over the sums over all daemons, and returns the instances that have become
// faulty. The sum of an instance that is not among them is 0.
func (t *Table) MergeErrors(states []ErrorState) (faulty []Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(states) == 0 && len(t.summed) == 0 {
		return nil
	}
	now := t.clock.Now()
	byInstance := make(map[InstanceHash]ErrorState, len(states))
	for _, s := range states {
		byInstance[s.Instance] = s
	}
	for e := range t.summed {
		if _, ok := byInstance[e.hash]; !ok || e.removed {
			e.errors.merge(ErrorState{}, now)
			delete(t.summed, e)
		}
	}
	listed, failing := map[string]int{}, map[string]int{}
	var fresh []*entry
	for _, e := range t.entries {
		if !e.serves(e.instance.Service) {
			continue
		}
		listed[e.instance.Service]++
		s, ok := byInstance[e.hash]
		if !ok {
			continue
		}
		t.summed[e] = struct{}{}
		t.watchErrors(e, now)
		if e.errors.merge(s, now) {
			fresh = append(fresh, e)
		}
		if s.Faulty {
			failing[e.instance.Service]++
		}
	}
	// If most instances look faulty, the cause is elsewhere.
	clear(t.excused)
	for service, n := range failing {
		if 2*n > listed[service] {
			t.excused[service] = true
		}
	}
	for _, e := range fresh {
		if t.isFaulty(e, now) {
			faulty = append(faulty, e.instance)
		}
	}
	return faulty
}

// merge reports whether the instance has become faulty.
func (r *errorRecord) merge(s ErrorState, now time.Time) bool {
	sum, was := float64(s.Sum)*evidenceUnit, r.faulty
	if s.Faulty && sum >= r.sum {
		r.worseAt = now
	}
	if s.Faulty != was {
		r.since = now
	}
	r.sum, r.faulty, r.mergedAt = sum, s.Faulty, now
	return r.faulty && !was
}

// ErrorStates returns the sums that this daemon received last.
func (t *Table) ErrorStates() []ErrorState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	out := make([]ErrorState, 0, len(t.summed))
	for e := range t.summed {
		if now.Sub(e.errors.mergedAt) < errorSumTTL {
			out = append(out, ErrorState{Instance: e.hash, Sum: uint16(math.Round(e.errors.sum / evidenceUnit)), Faulty: e.errors.faulty})
		}
	}
	return out
}
