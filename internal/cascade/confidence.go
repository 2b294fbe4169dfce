package cascade

import "sync"

const (
	// assumedConfidence is the mean confidence that is assumed before any answer, and
	// assumedAnswers the number of answers that this assumption weighs as much as.
	assumedConfidence = 50.0
	assumedAnswers    = 10
	// maxConfidenceAnswers bounds the number of answers that the mean weighs, so that it follows
	// a change of the traffic.
	maxConfidenceAnswers = 100
)

// confidenceMean is the mean confidence of the answers that share a Key.
type confidenceMean struct {
	mean    float64
	answers int
}

// ConfidenceMeans holds the mean confidence of a model's recent answers, 0 to 100.
//
// Lock order: mu is taken alone.
type ConfidenceMeans struct {
	mu    sync.Mutex
	table map[Key]confidenceMean
}

// NewConfidenceMeans returns ConfidenceMeans without observations.
func NewConfidenceMeans() *ConfidenceMeans { return &ConfidenceMeans{table: map[Key]confidenceMean{}} }

// Observe adds the confidence of one answer.
func (c *ConfidenceMeans) Observe(key Key, confidence int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.get(key)
	m.answers = min(m.answers+1, maxConfidenceAnswers)
	m.mean += (float64(confidence) - m.mean) / float64(m.answers)
	if len(c.table) > maxKeys {
		clear(c.table)
	}
	c.table[key] = m
}

// Mean returns the mean confidence.
func (c *ConfidenceMeans) Mean(key Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.get(key).mean)
}

// get returns the mean of a key. The lock is held.
func (c *ConfidenceMeans) get(key Key) confidenceMean {
	if m, ok := c.table[key]; ok {
		return m
	}
	return confidenceMean{mean: assumedConfidence, answers: assumedAnswers}
}
