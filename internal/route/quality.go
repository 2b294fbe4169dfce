// Package route decides which model version, or cascade of two, answers a request, and which
// upstream runs it. It does no I/O; its inputs are passed as arguments.
package route

import (
	"math"
	"sync"

	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence is the confidence level of the one-sided bounds on quality.
const Confidence = 0.95

// Quality is the Beta distribution of the probability that an answer is good.
type Quality struct {
	Alpha float64
	Beta  float64
}

// NewQuality combines a prior mean, which weighs as much as weight ratings, with the counted
// good and bad ratings.
func NewQuality(mean, weight, good, bad float64) Quality {
	return Quality{Alpha: mean*weight + good, Beta: (1-mean)*weight + bad}
}

// Mean returns the expected quality.
func (q Quality) Mean() float64 { return q.Alpha / (q.Alpha + q.Beta) }

// Lower returns the quality that is exceeded with probability Confidence.
func (q Quality) Lower() float64 { return quantile(q, 1-Confidence) }

// Upper returns the quality that is not reached with probability Confidence.
func (q Quality) Upper() float64 { return quantile(q, Confidence) }

// quantileKey identifies a cached quantile. Its counts are rounded, so that new ratings rarely
// add entries to the cache.
type quantileKey struct{ alpha, beta, p float64 }

// quantileCacheSize bounds the cache; a full cache is emptied.
const quantileCacheSize = 4096

var quantiles = struct {
	sync.Mutex
	values map[quantileKey]float64
}{values: map[quantileKey]float64{}}

func quantile(q Quality, p float64) float64 {
	key := quantileKey{alpha: roundCount(q.Alpha), beta: roundCount(q.Beta), p: p}
	quantiles.Lock()
	defer quantiles.Unlock()
	if v, ok := quantiles.values[key]; ok {
		return v
	}
	if len(quantiles.values) >= quantileCacheSize {
		clear(quantiles.values)
	}
	v := distuv.Beta{Alpha: key.alpha, Beta: key.beta}.Quantile(p)
	quantiles.values[key] = v
	return v
}

// roundCount rounds v to three significant digits.
func roundCount(v float64) float64 {
	if v <= 0 {
		return 1e-3
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(v)))
	return math.Round(v*scale) / scale
}
