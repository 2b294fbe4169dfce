package shift

import "math"

// Histogram counts values in logarithmic buckets, two for each doubling. Bucket i holds the
// values closest to 2^(i/2), which are seconds or multiples of an expected value.
type Histogram map[int]int

const bucketsPerDoubling = 2

// minBucket and maxBucket bound the buckets of a Histogram. They correspond to 1 ms and 4 min.
const (
	minBucket = -10 * bucketsPerDoubling
	maxBucket = 8 * bucketsPerDoubling
)

// bucketOf returns the bucket of a positive value.
func bucketOf(value float64) int {
	return clampBucket(int(math.Round(bucketsPerDoubling * math.Log2(value))))
}

// clampBucket returns the closest bucket within the bounds.
func clampBucket(bucket int) int { return min(max(bucket, minBucket), maxBucket) }

// plus returns the sum of two histograms.
func (h Histogram) plus(other Histogram) Histogram {
	if len(h)+len(other) == 0 {
		return nil
	}
	sum := make(Histogram, len(h))
	for bucket, n := range h {
		sum[bucket] = n
	}
	for bucket, n := range other {
		sum[bucket] += n
	}
	return sum
}

// minus returns what h counts beyond other. A bucket in which other has more counts as empty.
func (h Histogram) minus(other Histogram) Histogram {
	rest := Histogram{}
	for bucket, n := range h {
		if n > other[bucket] {
			rest[bucket] = n - other[bucket]
		}
	}
	return rest
}

// bucketBelow returns the bucket below a value that will still grow.
func bucketBelow(value float64) int {
	return bucketOf(value * math.Exp2(-0.5/bucketsPerDoubling))
}

// withValue adds a value and removes earlier, which was counted in its place; 0 is no value. An
// earlier value that h does not have may have been counted for the previous roll-out.
func (h Histogram) withValue(value, earlier float64) Histogram {
	if h == nil {
		h = Histogram{}
	}
	h[bucketOf(value)]++
	if earlier > 0 {
		if bucket := bucketOf(earlier); h[bucket] > 1 {
			h[bucket]--
		} else {
			delete(h, bucket)
		}
	}
	return h
}

// total returns the number of values.
func (h Histogram) total() int {
	total := 0
	for _, n := range h {
		total += n
	}
	return total
}
