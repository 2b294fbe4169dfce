package forward

import (
	"math"
	"sync"
	"time"
)

const (
	// timeWeight is the weight of a new sample: about the last seven count.
	timeWeight = 0.15
	// timeHalfLife is how fast an expectation without new samples fades, so
	// that what was found to take too long is tried again.
	timeHalfLife = 2 * time.Second
)

// kindOfWork is what expectations are kept by.
type kindOfWork struct {
	route, model string
}

type expectation struct {
	seconds float64
	at      time.Time
}

// times are how long answers take lately, from sending to their end.
//
// Lock order: mu is taken alone.
type times struct {
	mu    sync.Mutex
	table map[kindOfWork]expectation
}

func newTimes() *times { return &times{table: map[kindOfWork]expectation{}} }

// note takes in how long an answer took. One that was given up on counts with
// the time until then, which is less than it would have taken.
func (t *times) note(route, model string, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := kindOfWork{route, model}
	e, seen := t.table[key]
	if !seen {
		e.seconds = took.Seconds()
	}
	e.seconds += timeWeight * (took.Seconds() - e.seconds)
	e.at = now
	t.table[key] = e
	if len(t.table) > maxTimes {
		clear(t.table)
	}
}

// maxTimes bounds the table; routes come and go with the configuration.
const maxTimes = 4096

// expect is how long an answer is likely to take; 0 where nothing is known.
func (t *times) expect(route, model string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.table[kindOfWork{route, model}]
	fade := math.Exp2(-float64(now.Sub(e.at)) / float64(timeHalfLife))
	return time.Duration(e.seconds * fade * float64(time.Second))
}
