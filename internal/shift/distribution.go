package shift

import "math"

// distribution is a smoothed distribution of values over the buckets of a Histogram.
type distribution struct {
	// smoothed has the weighted number of values around each bucket. It begins two buckets below
	// minBucket.
	smoothed        [bucketCount + 4]float64
	total, outliers float64
}

const (
	bucketCount = maxBucket - minBucket + 1
	// outlierFraction is the smallest part of the values that may lie anywhere.
	outlierFraction = 0.02
)

func newDistribution(h Histogram) *distribution {
	d := &distribution{total: float64(h.total())}
	d.outliers = max(outlierFraction, 2/(d.total+2))
	for bucket, n := range h {
		// A daemon of another build may send other buckets.
		first := clampBucket(bucket) - minBucket
		for offset, weight := range [...]float64{1, 4, 6, 4, 1} {
			d.smoothed[first+offset] += weight / 16 * float64(n)
		}
	}
	return d
}

// at returns the probability density at a position, in buckets.
func (d *distribution) at(position float64) float64 {
	below := math.Floor(position)
	fraction := position - below
	values := (1-fraction)*d.around(int(below)) + fraction*d.around(int(below)+1)
	return (1-d.outliers)*values/d.total + d.outliers/bucketCount
}

// above returns the probability of values above a position, in buckets.
func (d *distribution) above(position float64) float64 {
	sum := 0.0
	for bucket := int(math.Ceil(position)); bucket <= maxBucket; bucket++ {
		sum += d.at(float64(bucket))
	}
	return max(sum, d.outliers/bucketCount)
}

// around returns the weighted number of values around a bucket.
func (d *distribution) around(bucket int) float64 {
	if i := bucket - minBucket + 2; i >= 0 && i < len(d.smoothed) {
		return d.smoothed[i]
	}
	return 0
}

// moments returns the mean and the variance of the score of a value of this distribution.
func (d *distribution) moments(s slowdown) (mean, variance float64) {
	sum, squares, total := 0.0, 0.0, 0.0
	for bucket := minBucket; bucket <= maxBucket; bucket++ {
		probability, score := d.at(float64(bucket)), s.score(d, float64(bucket))
		sum += probability * score
		squares += probability * score * score
		total += probability
	}
	mean = sum / total
	return mean, squares/total - mean*mean
}
