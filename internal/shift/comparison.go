package shift

import (
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/floats"
)

// A version can be slow for a part of its requests only. Means dilute such a fault: with half of
// the requests three times as slow the geometric mean is 1.7 times the old version's. The
// versions are therefore compared by the distributions of their latencies and paces.

// slowdown is a way in which a version may be slow: the given part of its requests takes as many
// buckets longer.
type slowdown struct {
	part, buckets float64
}

// slowdowns are the alternatives that are tested against a sound version.
var slowdowns = func() []slowdown {
	var all []slowdown
	for _, part := range []float64{0.3, 0.5, 1} {
		for _, factor := range []float64{3, 5, 8} {
			all = append(all, slowdown{part, bucketsPerDoubling * math.Log2(factor)})
		}
	}
	return all
}()

// soundShifts are how many buckets slower than the old version all requests of a sound one may
// be, because the load changes while sessions move.
var soundShifts = []float64{0, 0.5}

const (
	// maxScore bounds the evidence of a single value, so that a few outliers do not decide.
	maxScore = 2.3
	// minScored is the number of values below which their score is not compared.
	minScored = 5
	// instanceMargin is by how much the score of an instance must exceed that of the version.
	instanceMargin = 4.0
	// minOldValues is the number of the old version's values of a kind below which their
	// distribution is unknown.
	minOldValues = 5
	// overdueFraction is the largest part of the old version's values above that of a request
	// that is overdue.
	overdueFraction = 0.1
)

// score returns the logarithm of how many times likelier a value is if the version is slow than
// if its values are distributed like those of the old version, d.
func (s slowdown) score(d *distribution, position float64) float64 {
	sound := d.at(position)
	return min(math.Log((1-s.part)+s.part*d.at(position-s.buckets)/sound), maxScore)
}

// waitScore is the same for a value that is not known yet but is above position.
func (s slowdown) waitScore(d *distribution, position float64) float64 {
	return min(math.Log((1-s.part)+s.part*d.above(position-s.buckets)/d.above(position)), maxScore)
}

// comparison compares one measure of the new version with the old one's.
type comparison struct {
	kinds []kindValues
}

// kindValues are the values of one kind of request at one instance. Values are compared kind by
// kind, because kinds differ by orders of magnitude.
type kindValues struct {
	instance string
	fresh    Histogram
	// overdue are the values so far of requests whose final values are above most of the old
	// version's. Other requests that wait show little, and would have to be weighed against
	// those of their age that have a value.
	overdue Histogram
	old     *distribution
}

// newComparison returns the comparison without an instance that is slow by itself.
func newComparison(fresh, old Counts, m measure) comparison {
	var c comparison
	references := map[string]*distribution{}
	for kind, count := range old {
		if reference := m.values(count); reference.total() >= minOldValues {
			references[kind] = newDistribution(reference)
		}
	}
	for key, count := range fresh {
		kind, instance, _ := strings.Cut(key, instanceSeparator)
		reference, ok := references[kind]
		if !ok {
			continue
		}
		overdue := Histogram{}
		for bucket, n := range m.waiting(count) {
			if reference.above(float64(bucket)) <= overdueFraction {
				overdue[bucket] = n
			}
		}
		if values := m.values(count); len(values)+len(overdue) > 0 {
			c.kinds = append(c.kinds, kindValues{instance, values, overdue, reference})
		}
	}
	return c.withoutSlowInstance()
}

// withoutSlowInstance leaves out the values of an instance if its slowness explains all values
// better than that of the version.
func (c comparison) withoutSlowInstance() comparison {
	byInstance := map[string]comparison{}
	for _, kind := range c.kinds {
		byInstance[kind.instance] = comparison{append(byInstance[kind.instance].kinds, kind)}
	}
	if len(byInstance) < 2 {
		return c
	}
	slowest, score := "", max(c.largestScore(), 0)+instanceMargin
	for instance, values := range byInstance {
		if s := values.largestScore(); s > score {
			slowest, score = instance, s
		}
	}
	if slowest == "" {
		return c
	}
	return comparison{slices.DeleteFunc(slices.Clone(c.kinds), func(k kindValues) bool { return k.instance == slowest })}
}

// largestScore returns the score of the slowdown that fits the values best.
func (c comparison) largestScore() float64 {
	largest := math.Inf(-1)
	for _, alternative := range slowdowns {
		largest = max(largest, c.totalScore(alternative, 0))
	}
	return largest
}

// count returns the number of values compared.
func (k kindValues) count() int { return k.fresh.total() + k.overdue.total() }

// logOdds returns the logarithm of how many times likelier the values are if the version is slow
// than if it is sound. A sound version exceeds odds of n to one with a probability of about 1/n at
// most, however often it is tested.
func (c comparison) logOdds() float64 {
	var slow, sound []float64
	for _, shift := range soundShifts {
		likelihood := c.logLikelihood(shift)
		sound = append(sound, likelihood)
		for _, alternative := range slowdowns {
			slow = append(slow, likelihood+c.totalScore(alternative, shift))
		}
	}
	return floats.LogSumExp(slow) - math.Log(float64(len(slow))) - floats.LogSumExp(sound) + math.Log(float64(len(sound)))
}

// deviations returns by how many standard deviations the score of the values exceeds that of a
// sound version, for the slowdown with the largest excess. It needs fewer values than logOdds,
// but errs in each of several tests.
func (c comparison) deviations() float64 {
	total, counts := 0, map[*distribution]int{}
	for _, kind := range c.kinds {
		total += kind.count()
		counts[kind.old] += kind.count()
	}
	if total < minScored {
		return 0
	}
	shift, largest := c.bestSoundShift(), math.Inf(-1)
	for _, alternative := range slowdowns {
		mean, variance := 0.0, 0.0
		for old, count := range counts {
			n := float64(count)
			m, v := old.moments(alternative)
			mean += n * m
			// The old version's distribution is an estimate, too.
			variance += n * v * (1 + n/old.total)
		}
		if variance > 0 {
			largest = max(largest, (c.totalScore(alternative, shift)-mean)/math.Sqrt(variance))
		}
	}
	return largest
}

// bestSoundShift returns the shift that fits the values best.
func (c comparison) bestSoundShift() float64 {
	best := soundShifts[0]
	for _, shift := range soundShifts {
		if c.logLikelihood(shift) > c.logLikelihood(best) {
			best = shift
		}
	}
	return best
}

// logLikelihood returns the logarithm of the likelihood of the values if the version is sound and
// shifted.
func (c comparison) logLikelihood(shift float64) float64 {
	sum := 0.0
	for _, kind := range c.kinds {
		for bucket, n := range kind.fresh {
			sum += float64(n) * math.Log(kind.old.at(float64(bucket)-shift))
		}
		for bucket, n := range kind.overdue {
			sum += float64(n) * math.Log(kind.old.above(float64(bucket)-shift))
		}
	}
	return sum
}

// totalScore returns the sum of the scores of all values, if the version is shifted.
func (c comparison) totalScore(alternative slowdown, shift float64) float64 {
	sum := 0.0
	for _, kind := range c.kinds {
		for bucket, n := range kind.fresh {
			sum += float64(n) * alternative.score(kind.old, float64(bucket)-shift)
		}
		for bucket, n := range kind.overdue {
			sum += float64(n) * alternative.waitScore(kind.old, float64(bucket)-shift)
		}
	}
	return sum
}
