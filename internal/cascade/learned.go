package cascade

import (
	"cmp"
	"slices"
	"time"
)

// Learned is what a daemon has learned from answers, in a form that it can give to another one
// that has just started. Observations of the receiver are never replaced.
type Learned struct {
	Latencies   []LearnedLatency
	Confidences []LearnedConfidence
	// PrefillWork and PrefillSeconds are the sums of PrefillRate.
	PrefillWork, PrefillSeconds float64
}

// LearnedLatency is the estimate of a LatencyEstimator for a Key, last updated Age ago.
type LearnedLatency struct {
	Key                           Key
	FirstEvent, PerToken, Overrun float64
	Age                           time.Duration
}

// LearnedConfidence is the mean of ConfidenceMeans for a Key.
type LearnedConfidence struct {
	Key     Key
	Mean    float64
	Answers int
}

// maxLearned limits the keys of each kind that are given to another daemon, the newest estimates
// and the means of most answers. Some hundred keys of 60 bytes fit into one message.
const maxLearned = 256

// Export returns the newest estimates.
func (t *LatencyEstimator) Export(now time.Time) []LearnedLatency {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]LearnedLatency, 0, len(t.table))
	for key, e := range t.table {
		out = append(out, LearnedLatency{Key: key, FirstEvent: e.firstEvent, PerToken: e.perToken, Overrun: e.overrun, Age: now.Sub(e.at)})
	}
	slices.SortFunc(out, func(a, b LearnedLatency) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), maxLearned)]
}

// Adopt takes over the estimates of keys without observations and returns their number.
func (t *LatencyEstimator) Adopt(all []LearnedLatency, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	adopted := 0
	for _, l := range all[:min(len(all), maxLearned)] {
		_, known := t.table[l.Key]
		if known || l.Age < 0 || !(l.FirstEvent >= 0 && l.PerToken >= 0 && l.Overrun >= 0) {
			continue
		}
		t.table[l.Key] = estimate{firstEvent: l.FirstEvent, perToken: l.PerToken, overrun: l.Overrun, at: now.Add(-l.Age)}
		adopted++
	}
	return adopted
}

// Export returns the means of most answers.
func (c *ConfidenceMeans) Export() []LearnedConfidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]LearnedConfidence, 0, len(c.table))
	for key, m := range c.table {
		out = append(out, LearnedConfidence{Key: key, Mean: m.mean, Answers: m.answers})
	}
	slices.SortFunc(out, func(a, b LearnedConfidence) int { return cmp.Compare(b.Answers, a.Answers) })
	return out[:min(len(out), maxLearned)]
}

// Adopt takes over the means of keys without answers.
func (c *ConfidenceMeans) Adopt(all []LearnedConfidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range all[:min(len(all), maxLearned)] {
		if _, known := c.table[l.Key]; !known && l.Answers > 0 && l.Mean >= 0 && l.Mean <= 100 {
			c.table[l.Key] = confidenceMean{mean: l.Mean, answers: min(l.Answers, maxConfidenceAnswers)}
		}
	}
}

// Export returns the sums as of now.
func (p *PrefillRate) Export(now time.Time) (work, seconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	return p.work, p.seconds
}

// Adopt takes over sums that weigh more than the own ones.
func (p *PrefillRate) Adopt(work, seconds float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	if work > p.work && seconds > 0 {
		p.work, p.seconds = work, seconds
	}
}
