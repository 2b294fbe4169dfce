// Package speed estimates how fast each instance works: a slowdown factor for each incarnation,
// from the times that requests take there compared to usual ones, and from the slowdown that the
// instance reports. It does no I/O and has no clock of its own.
package speed

import (
	"math"
	"time"
)

const (
	// sampleHalfLife is the age at which a sample has half its weight. With a quarter of it, the
	// scatter of single times decides at engines that get two or three requests a second.
	sampleHalfLife = 10 * time.Second
	// reportHalfLife is the half-life of the difference between the last reported slowdown and
	// the mean, which changes many times a second.
	reportHalfLife = 200 * time.Millisecond
	// priorWeight is the number of samples that the assumption of the usual speed weighs as much
	// as. Single times differ by a factor of two at the same instance.
	priorWeight = 1.0
	// dataTTL is the age of the last sample or report from which the factor decays to 1, with
	// the half-life forgetHalfLife. An instance that gets no requests because it was slow gets
	// one again some seconds later.
	dataTTL        = 10 * time.Second
	forgetHalfLife = 2 * time.Second
	// minFactor and maxFactor bound factors, so that one request that was held up elsewhere
	// does not decide for seconds.
	minFactor = 1.0 / 16
	maxFactor = 16.0
)

// clampLog returns the binary logarithm of a factor within the bounds, or 0 for one that is no
// positive number.
func clampLog(factor float64) float64 {
	if !(factor > 0) {
		return 0
	}
	return math.Log2(min(max(factor, minFactor), maxFactor))
}

// Sample is the mean of observed slowdown factors and their number, less for older ones.
type Sample struct{ Factor, Weight float64 }

// mean is a decaying mean of logarithms, as of at.
type mean struct {
	sum, weight float64
	at          time.Time
}

func (m mean) decayed(now time.Time, halfLife time.Duration) mean {
	if m.weight == 0 {
		return mean{at: now}
	}
	f := 1.0
	if age := now.Sub(m.at); age > 0 {
		f = math.Exp2(-float64(age) / float64(halfLife))
	}
	return mean{sum: m.sum * f, weight: m.weight * f, at: now}
}

func (m *mean) add(log, weight float64, now time.Time, halfLife time.Duration) {
	*m = m.decayed(now, halfLife)
	m.sum += log * weight
	m.weight += weight
}

// Estimator estimates the factor of one incarnation. The zero value has no data. It has no lock.
type Estimator struct {
	observed mean
	// unsent is the part of observed that has not been sent to other daemons.
	unsent   mean
	reported mean
	// last is the logarithm of the slowdown reported at lastAt.
	last   float64
	lastAt time.Time
}

// Observe adds the time that a request took, as a multiple of the time that it takes at an
// instance of usual speed.
func (e *Estimator) Observe(factor float64, now time.Time) {
	log := clampLog(factor)
	e.observed.add(log, 1, now, sampleHalfLife)
	e.unsent.add(log, 1, now, sampleHalfLife)
}

// Report adds the slowdown that the instance reports.
func (e *Estimator) Report(slowdown float64, now time.Time) {
	e.last, e.lastAt = clampLog(slowdown), now
	e.reported.add(e.last, 1, now, sampleHalfLife)
}

// Sent returns the samples of this daemon that have been sent to other daemons.
func (e *Estimator) Sent(now time.Time) Sample {
	return e.observed.sample(now).Without(e.unsent.sample(now))
}

// Unsent returns the samples of this daemon since the last call of MarkSent.
func (e *Estimator) Unsent(now time.Time) Sample { return e.unsent.sample(now) }

// MarkSent says that Unsent has been sent to other daemons.
func (e *Estimator) MarkSent() { e.unsent = mean{} }

// sample returns the mean and its weight. The weight goes to 0 once the last addition is older
// than dataTTL. It does so gradually: if the factor jumped to 1, all daemons would send requests
// to a slow instance at once.
func (m mean) sample(now time.Time) Sample {
	d := m.decayed(now, sampleHalfLife)
	if d.weight == 0 {
		return Sample{Factor: 1}
	}
	return Sample{Factor: math.Exp2(d.sum / d.weight), Weight: d.weight * forgotten(now.Sub(m.at))}
}

// Total adds up samples of several daemons.
type Total struct{ sum mean }

// Add adds samples.
func (t *Total) Add(s Sample, now time.Time) {
	t.sum.add(clampLog(s.Factor), s.Weight, now, sampleHalfLife)
}

// Sample returns the sum.
func (t *Total) Sample(now time.Time) Sample { return t.sum.sample(now) }

// forgotten returns the fraction that is left of data of the given age.
func forgotten(age time.Duration) float64 {
	if age <= dataTTL {
		return 1
	}
	return math.Exp2(-float64(age-dataTTL) / float64(forgetHalfLife))
}

// Others is the samples of the other daemons as received at a time.
type Others struct {
	Sample
	At time.Time
}

// Without returns the samples of all daemons without those of one of them.
func (s Sample) Without(own Sample) Sample {
	// Weights are exchanged with a precision of some percent. What is left of the own samples
	// beyond that is not another daemon's.
	const precision = 0.1
	left := s.Weight - own.Weight
	if left <= precision*s.Weight {
		return Sample{Factor: 1}
	}
	log := (s.Weight*clampLog(s.Factor) - own.Weight*clampLog(own.Factor)) / left
	return Sample{Factor: min(max(math.Exp2(log), minFactor), maxFactor), Weight: left}
}

// Sum returns the samples of both.
func (s Sample) Sum(other Sample) Sample {
	weight := s.Weight + other.Weight
	if weight == 0 {
		return Sample{Factor: 1}
	}
	return Sample{Factor: math.Exp2((s.Weight*clampLog(s.Factor) + other.Weight*clampLog(other.Factor)) / weight), Weight: weight}
}

// Deviation says how much a sample matters to placement: its distance from the usual speed, less
// for one of little weight.
func (s Sample) Deviation() float64 {
	return math.Abs(clampLog(s.Factor)) * s.Weight / (s.Weight + priorWeight)
}

// Factor is the slowdown factor of an instance: how many times as long as usual it takes. It is
// the zero Factor if nothing is known.
type Factor struct {
	// Now is the factor at this moment, and Mean the learned one without the last report.
	Now, Mean float64
	// Age is the time since the last sample or report.
	Age time.Duration
}

// Factor returns the estimate from the daemon's own samples and those of the others. e may be
// nil.
func (e *Estimator) Factor(others Others, now time.Time) Factor {
	var own Estimator
	if e != nil {
		own = *e
	}
	newest := own.observed.at
	for _, at := range [...]time.Time{own.lastAt, others.At} {
		if at.After(newest) {
			newest = at
		}
	}
	if newest.IsZero() {
		return Factor{}
	}
	age := max(now.Sub(newest), 0)
	observed := own.observed.decayed(now, sampleHalfLife)
	if others.Weight > 0 {
		received := mean{sum: others.Weight * clampLog(others.Sample.Factor), weight: others.Weight, at: others.At}.decayed(now, sampleHalfLife)
		observed.sum += received.sum
		observed.weight += received.weight
	}
	reported := own.reported.decayed(now, sampleHalfLife)
	prior := reported.sum / (reported.weight + priorWeight)
	log := (observed.sum + priorWeight*prior) / (observed.weight + priorWeight)
	log *= forgotten(age)
	f := Factor{Mean: math.Exp2(log), Age: age}
	f.Now = f.Mean
	if sinceReport := now.Sub(own.lastAt); !own.lastAt.IsZero() && sinceReport < 8*reportHalfLife {
		f.Now = math.Exp2(log + (own.last-prior)*math.Exp2(-float64(max(sinceReport, 0))/float64(reportHalfLife)))
	}
	f.Now = min(max(f.Now, minFactor), maxFactor)
	return f
}
