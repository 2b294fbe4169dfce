package inventory

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// PromptKey is a hash of the beginning of a prompt, up to the end of one of its parts,
// and of the model that read it. Engines keep what they read by model, and have use
// for a part only if they keep all parts before it: one that keeps a longer beginning
// keeps the shorter ones, too.
type PromptKey uint32

// Beginning is the beginning of a prompt.
type Beginning struct {
	Key PromptKey
	// Work is that of reading it, in prompt tokens of the largest model.
	Work float64
}

// Reading tells that an instance has read, or is about to read, a beginning.
type Reading struct {
	Key      PromptKey
	Instance Number
}

const (
	// holdTime is how long a beginning is taken to be kept after its last use, at
	// most: engines keep what was used last, and have memory for some minutes of it.
	// It is forgotten after half of that at the earliest.
	holdTime = 60 * time.Second
	// maxReadings bounds the readings known of each half of holdTime: at some 20
	// bytes each they take 2 MB.
	maxReadings = 50_000
	// maxUntold bounds what is kept to be told to others.
	maxUntold = 2_000
	// leastTold is the work below which others are not told of a beginning, in prompt
	// tokens of the largest model: it is 20 ms of reading, a difference that placing
	// does not count. Short prompts, and most of a small model, are then no news.
	leastTold = 300.0
)

// Prompts knows which instances likely keep which beginnings of prompts, from what
// daemons tell each other of their requests.
//
// Readings are kept in two generations: those used in the present half of holdTime, and
// those last used in the one before.
//
// Lock order: mu is taken alone.
type Prompts struct {
	clock clockwork.Clock

	mu         sync.Mutex
	young, old map[Reading]struct{}
	turnedAt   time.Time
	untold     []Reading
}

// NewPrompts returns an empty table.
func NewPrompts(clock clockwork.Clock) *Prompts {
	return &Prompts{clock: clock, young: map[Reading]struct{}{}, turnedAt: clock.Now()}
}

// Sent notes that this daemon sends a prompt with some shared beginnings to an
// instance. What the others do not know yet, and would place by, is told to them later.
func (p *Prompts) Sent(i Instance, all []Beginning) {
	number := i.Number()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn()
	for _, b := range all {
		r := Reading{Key: b.Key, Instance: number}
		if p.note(r) && b.Work >= leastTold && len(p.untold) < maxUntold {
			p.untold = append(p.untold, r)
		}
	}
}

// Learn takes in what other daemons sent.
func (p *Prompts) Learn(told []Reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn()
	for _, r := range told {
		p.note(r)
	}
}

// note reports whether a reading is news.
func (p *Prompts) note(r Reading) bool {
	if _, known := p.young[r]; known {
		return false
	}
	p.young[r] = struct{}{}
	return true
}

// turn begins a new generation when the present one is over, or full.
func (p *Prompts) turn() {
	now := p.clock.Now()
	age := now.Sub(p.turnedAt)
	if age < holdTime/2 && len(p.young) < maxReadings {
		return
	}
	p.old = p.young
	if age >= holdTime {
		p.old = nil
	}
	p.young, p.turnedAt = map[Reading]struct{}{}, now
}

// Untold returns what was sent since the last call.
func (p *Prompts) Untold() []Reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.untold
	p.untold = nil
	return out
}

// Kept returns how many of a prompt's beginnings, shortest first, an instance likely
// keeps.
func (p *Prompts) Kept(instance Number, all []Beginning) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn()
	for n := len(all); n > 0; n-- {
		if p.known(Reading{Key: all[n-1].Key, Instance: instance}) {
			return n
		}
	}
	return 0
}

func (p *Prompts) known(r Reading) bool {
	if _, ok := p.young[r]; ok {
		return true
	}
	_, ok := p.old[r]
	return ok
}
