// Package cascade decides whether a small model's answer is dropped for one of the
// largest model, and learns what that needs: how long answers take, and how fast
// engines read. It does no I/O and has no clock of its own.
package cascade

import "time"

const (
	// priceOfLarge is the part of an answer's worth that the larger model's run
	// costs, beside the time of engines: for the use of the model, and for the callers
	// whose answers are written more slowly beside it.
	runCost = 0.4
	// priceOfWait is what the run costs others, as a part of the answer's worth, for
	// each second that a prompt waits on average at an instance. It is meant for
	// overload: more of it costs calm installations answers that are worth it.
	waitCostPerSecond = 0.12
	// within is the part of the caller's time in which the larger model's answer must
	// be expected to end. While engines are overloaded those answers end at their
	// deadline or not at all; then the small model's answer in time is the better
	// one, and not asking the large model is what lets the engines recover.
	deadlineFraction = 0.85
)

// Larger is what is known when a small model's answer may be dropped for one of the
// largest model.
type Larger struct {
	// Confidence is that of the small model, 0 to 100. Small models' answers are
	// good enough about as often as they say.
	Confidence int
	// Elapsed is the time since the request came, Head the expected time to the
	// larger model's first event, and Total to its end.
	Elapsed, Head, Total time.Duration
	// Wait is how long a prompt waits on average at the service's instances.
	Wait time.Duration
	// Objective is the time to the first event, and Patience to the end, that the
	// caller allows.
	Objective, Patience time.Duration
}

// Worthwhile decides whether the larger model is asked: whether its answer is in time,
// and what it is likely better is worth what it costs, in parts of the answer's worth.
//
// Long requests take more of the engines' time and are worth more, so their size does
// not count. The more waits already the more a run costs others. An answer whose first
// event is not expected in time keeps the engines from those that are.
func (l Larger) Worthwhile() bool {
	if l.Elapsed+l.Head >= l.Objective || float64(l.Elapsed+l.Total) >= deadlineFraction*float64(l.Patience) {
		return false
	}
	better := 1 - float64(l.Confidence)/100
	return better > runCost+waitCostPerSecond*l.Wait.Seconds()
}
