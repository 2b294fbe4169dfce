package shift

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Observation is what one request to an instance shows about the instance's version.
type Observation struct {
	Version string
	// Instance is the ID of the instance; empty if instances are not told apart.
	Instance string
	// Route and Model form the kind of the request. Observations are compared within a kind.
	Route string
	Model string
	// Bad is set if the answer was a failure.
	Bad bool
	// Latency is the time to the head of the answer, or the time waited so far; 0 without
	// either.
	Latency time.Duration
	// Expected is the latency expected from the work of the instance; 0 if unknown.
	Expected time.Duration
	// Pace is the mean time per event of a stream; 0 if there were too few events.
	Pace time.Duration
	// Unfinished is set while the request is in flight, and when the caller left or the
	// request's deadline passed before the end of the answer. Latency and pace are then lower
	// bounds.
	Unfinished bool
	// Reported is what earlier observations of the same request reported. This observation
	// replaces it.
	Reported Reported
}

// Reported holds what was reported of a request in flight; 0 means not reported.
type Reported struct {
	Latency time.Duration
	Pace    time.Duration
}

// Count sums observations of one kind of request.
type Count struct {
	Requests int
	Bad      int
	// Latencies are divided by the expected latency, or in seconds if none was expected. Half of
	// a new version's first answers take four times as long because the instance has not
	// processed any prompt yet. That is expected, and dividing by the expected latency removes
	// it.
	Latencies Histogram
	// Paces are in seconds. A version can begin its answers in time and write them too slowly;
	// with latencies alone, callers would get such a version until its allowed time is over. A
	// sound new version has a shorter time per event than the old one, whose instances have more
	// load.
	Paces Histogram
	// Waiting are the latencies so far of requests that wait for the head of their answer. They
	// are not stored.
	Waiting Histogram `json:"-"`
}

// add counts an observation, and removes what earlier observations of the same request added.
func (c *Count) add(o Observation) {
	c.addTimes(o)
	c.addOutcome(o)
}

// addTimes counts the latency and the pace of an observation.
func (c *Count) addTimes(o Observation) {
	if o.Pace > 0 {
		c.Paces = c.Paces.withValue(o.Pace.Seconds(), o.Reported.Pace.Seconds())
	}
	if o.Latency > 0 && !o.Bad {
		unit := latencyUnit(o.Expected)
		c.Latencies = c.Latencies.withValue(float64(o.Latency)/float64(unit), float64(o.Reported.Latency)/float64(unit))
	}
}

// addOutcome counts the outcome of an observation once, when its request is finished.
func (c *Count) addOutcome(o Observation) {
	if o.Unfinished {
		return
	}
	c.Requests++
	if o.Bad {
		c.Bad++
	}
}

// addWaiting counts a request that has waited for a time.
func (c Counts) addWaiting(key string, waited, expected time.Duration) {
	if waited <= 0 {
		return
	}
	one := c[key]
	if one.Waiting == nil {
		one.Waiting = Histogram{}
	}
	one.Waiting[bucketBelow(float64(waited)/float64(latencyUnit(expected)))]++
	c[key] = one
}

// latencyUnit returns what latencies are divided by.
func latencyUnit(expected time.Duration) time.Duration {
	if expected > 0 {
		return expected
	}
	return time.Second
}

func (c Count) plus(d Count) Count {
	return Count{
		Requests: c.Requests + d.Requests, Bad: c.Bad + d.Bad,
		Latencies: c.Latencies.plus(d.Latencies), Paces: c.Paces.plus(d.Paces), Waiting: c.Waiting.plus(d.Waiting),
	}
}

// Counts are the counts by kind of request, which is the route and the model. The times of the new
// version are counted by instance, too, under keys of their own.
type Counts map[string]Count

// instanceSeparator separates the kind from the instance in a key of Counts.
const instanceSeparator = "\x1f"

// kind returns the key under which Counts has the outcome of the observation.
func (o Observation) kind() string { return o.Route + "/" + o.Model }

// timesKey returns the key under which Counts has the times of the observation.
func (o Observation) timesKey() string {
	if o.Instance == "" {
		return o.kind()
	}
	return fmt.Sprintf("%s%s%x", o.kind(), instanceSeparator, uint16(xxhash.Sum64String(o.Instance)))
}

// add counts an observation.
func (c Counts) add(o Observation) {
	outcome := c[o.kind()]
	outcome.addOutcome(o)
	c[o.kind()] = outcome
	times := c[o.timesKey()]
	times.addTimes(o)
	c[o.timesKey()] = times
}

// ofKind returns the counts of one kind of request.
func (c Counts) ofKind(kind string) Counts {
	out := Counts{}
	for key, one := range c {
		if k, _, _ := strings.Cut(key, instanceSeparator); k == kind {
			out[key] = one
		}
	}
	return out
}

// Merge returns the sum of counts as a new map.
func Merge(all ...Counts) Counts {
	out := Counts{}
	for _, counts := range all {
		for kind, c := range counts {
			out[kind] = out[kind].plus(c)
		}
	}
	return out
}

// since returns what was counted after earlier, which must be part of c.
func (c Counts) since(earlier Counts) Counts {
	out := Counts{}
	for kind, one := range c {
		out[kind] = one.since(earlier[kind])
	}
	return out
}

// since returns what was counted after d, and the requests that wait now. A new lease holder may
// miss some of the evidence: a quantity with less than d counts as nothing.
func (c Count) since(d Count) Count {
	rest := Count{Latencies: c.Latencies.minus(d.Latencies), Paces: c.Paces.minus(d.Paces), Waiting: c.Waiting}
	if c.Requests > d.Requests {
		rest.Requests, rest.Bad = c.Requests-d.Requests, max(c.Bad-d.Bad, 0)
	}
	return rest
}

// Total sums the counts of all kinds.
func (c Counts) Total() Count {
	var sum Count
	for _, one := range c {
		sum = sum.plus(one)
	}
	return sum
}
