package speed

import (
	"math"
	"time"
)

const (
	// usualHalfLife is the half-life of usual amounts. It is longer than a noisy neighbour stays
	// and shorter than the swings of a day.
	usualHalfLife = 60 * time.Second
	// minUsual is the number of amounts below which none is usual yet.
	minUsual = 8
	// maxKinds bounds the kinds, since routes are added and removed with the configuration.
	maxKinds = 4096
)

// Kind identifies amounts that are comparable: what is measured, and of which requests.
type Kind struct{ Measure, Name, Model string }

// Measures.
const (
	// PlainAnswer is the time of a plain answer at an instance where nothing waits, in seconds.
	PlainAnswer = "answer"
	// EventTime is the time for one event of a stream, in seconds.
	EventTime = "event"
	// FirstEvent is the time to a first event as a multiple of the expected one.
	FirstEvent = "first"
	// Hold is the time for which a request takes a slot, in seconds.
	Hold = "hold"
	// Tokens is the memory that a request takes at an engine.
	Tokens = "tokens"
)

// Means learns the usual amount of each kind over all instances. The zero value is empty. It has
// no lock.
type Means struct{ kinds map[Kind]mean }

// Compare returns an amount as a multiple of the usual one, the geometric mean of recent ones,
// and adds it to these. ok is false if there have been too few.
func (m *Means) Compare(k Kind, amount float64, now time.Time) (multiple float64, ok bool) {
	multiple, ok = m.Multiple(k, amount)
	if amount > 0 && !math.IsInf(amount, 0) {
		m.add(k, math.Log2(amount), now)
	}
	return multiple, ok
}

// Multiple is Compare for an amount that is not added.
func (m *Means) Multiple(k Kind, amount float64) (multiple float64, ok bool) {
	usual := m.kinds[k]
	if usual.weight < minUsual || !(amount > 0) || math.IsInf(amount, 0) {
		return 0, false
	}
	return math.Exp2(math.Log2(amount) - usual.sum/usual.weight), true
}

// Add adds an amount of a kind whose arithmetic mean is used.
func (m *Means) Add(k Kind, amount float64, now time.Time) { m.add(k, amount, now) }

func (m *Means) add(k Kind, value float64, now time.Time) {
	sum := m.kinds[k]
	sum.add(value, 1, now, usualHalfLife)
	if m.kinds == nil || len(m.kinds) > maxKinds {
		m.kinds = map[Kind]mean{}
	}
	m.kinds[k] = sum
}

// Mean returns the mean of the amounts that were added, or unknown if there have been too few.
func (m *Means) Mean(k Kind, unknown float64) float64 {
	sum := m.kinds[k]
	if sum.weight < minUsual {
		return unknown
	}
	return sum.sum / sum.weight
}
