// Package cascade decides whether a small model's answer is dropped and the request run again
// on the largest model. It also estimates what this decision needs: how long answers take and
// how fast engines process prompts. It does no I/O and has no clock of its own.
package cascade

import "time"

const (
	// runCost is the cost of running the largest model, as a fraction of the value of a good
	// answer. It covers the use of the model and the slower generation of other callers'
	// answers; waiting prompts are counted by waitCostPerSecond.
	runCost = 0.4
	// waitCostPerSecond is the cost of the run to other requests, as a fraction of the value
	// of a good answer, for each second that prompts wait on average. It matters under
	// overload; a higher cost would reject runs that are worth it under normal load.
	waitCostPerSecond = 0.12
	// deadlineFraction is the fraction of the caller's timeout within which the largest
	// model's answer must be expected to end. While engines are overloaded, such answers end
	// at their deadline or not at all. Keeping the small model's answer is then better for the
	// caller and lets the engines recover.
	deadlineFraction = 0.85
)

// Escalation holds what is known when a small model's answer may be dropped for one of the
// largest model.
type Escalation struct {
	// Confidence is the small model's confidence in its answer, 0 to 100. It is calibrated:
	// about that percentage of answers are good enough.
	Confidence int
	// Elapsed is the time since the request arrived. FirstEvent and Total are the expected
	// times to the first event and to the end of the largest model's answer.
	Elapsed, FirstEvent, Total time.Duration
	// Wait is the average time that a prompt waits at the service's instances.
	Wait time.Duration
	// Objective and Timeout are the times that the caller allows to the first event and to the
	// end.
	Objective, Timeout time.Duration
	// InTime is the probability that the largest model's answer ends in time, if HasInTime is
	// set.
	InTime    float64
	HasInTime bool
}

// Worthwhile reports whether to run the largest model: its answer is expected in time, and the
// expected gain exceeds the cost. Both are fractions of the value of a good answer.
//
// The length of a request is not considered: a longer one takes more engine time but is also
// worth more. The longer prompts wait, the more a run costs other requests. An answer whose
// first event is not expected in time would delay answers that can still be in time.
func (e Escalation) Worthwhile() bool {
	inTime := 1.0
	switch {
	case e.Elapsed+e.FirstEvent >= e.Objective:
		return false
	case e.HasInTime:
		inTime = e.InTime
	case float64(e.Elapsed+e.Total) >= deadlineFraction*float64(e.Timeout):
		return false
	}
	better := inTime - float64(e.Confidence)/100
	return better > runCost+waitCostPerSecond*e.Wait.Seconds()
}
