package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// timeWeight is the weight of a new sample: about the last seven count.
	sampleWeight = 0.15
	// timeHalfLife is how fast an expectation without new samples fades, so
	// that what was found to take too long is tried again. A daemon of a large fleet
	// sees an answer of the large model a second; in less time it would forget most of
	// what it has seen.
	estimateHalfLife = 8 * time.Second
)

// Kind is what expectations are kept by.
type Kind struct{ Route, Model string }

type estimate struct {
	// head is the time to the first event, token the time for each token that
	// the caller expects, both in seconds.
	firstEvent, perToken float64
	// over is by what part of it answers exceed what was expected, on average;
	// those that take less count as none.
	overrun float64
	at   time.Time
}

// total is how long an answer of some tokens likely takes at most: engines that
// read long prompts meanwhile take two to three times their usual time for a
// token. Without the excess more large answers run into their deadline, and their
// callers lose the small model's answer too.
func (e estimate) total(tokens int) float64 {
	return (e.firstEvent + e.perToken*float64(tokens)) * (1 + e.overrun)
}

// Times learn how long answers take lately.
//
// Lock order: mu is taken alone.
type Times struct {
	mu    sync.Mutex
	table map[Kind]estimate
}

// NewTimes returns times without observations.
func NewTimes() *Times { return &Times{table: map[Kind]estimate{}} }

// maxTimes bounds the table; routes come and go with the configuration.
const maxKeys = 4096

// Note takes in how long an answer took to its first event and from there to its
// end. One that was given up on counts with the time until then, which is less
// than it would have taken.
func (t *Times) Note(kind Kind, head, rest time.Duration, tokens int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, seen := t.table[kind]
	perToken := rest.Seconds() / float64(max(tokens, 1))
	if !seen {
		e = estimate{firstEvent: head.Seconds(), perToken: perToken}
	}
	if mean := e.firstEvent + e.perToken*float64(tokens); mean > 0 {
		excess := max((head+rest).Seconds()/mean-1, 0)
		e.overrun += sampleWeight * (excess - e.overrun)
	}
	e.firstEvent += sampleWeight * (head.Seconds() - e.firstEvent)
	if rest > 0 {
		e.perToken += sampleWeight * (perToken - e.perToken)
	}
	e.at = now
	if len(t.table) > maxKeys {
		clear(t.table)
	}
	t.table[kind] = e
}

// Expect is how long an answer of some tokens is likely to take; 0 where nothing
// is known.
func (t *Times) Expect(kind Kind, tokens int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.table[kind]
	fade := math.Exp2(-float64(now.Sub(e.at)) / float64(estimateHalfLife))
	return time.Duration(e.total(tokens) * fade * float64(time.Second))
}
