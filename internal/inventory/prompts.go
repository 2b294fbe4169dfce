package inventory

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// PromptKey is a hash of a part of a prompt and the model that read it. Engines keep
// what they read by model.
type PromptKey uint64

// Reading tells that an instance has read, or is about to read, a part of a prompt.
type Reading struct {
	Key PromptKey
	ID  string
	// Born is that of the instance: a server that starts again holds nothing.
	Born int64
}

const (
	// holdTime is how long a part is taken to be kept after its last use. Engines
	// keep the parts used last, and have memory for some minutes of them.
	holdTime = 60 * time.Second
	// maxHolders bounds the instances known to hold a part, and maxPrompts the
	// parts known: at 100 bytes each the table takes 4 MB.
	maxHolders = 4
	maxPrompts = 40_000
	// maxReadings bounds what is kept to be told to others.
	maxReadings = 2_000
)

type holder struct {
	id   string
	born int64
	at   time.Time
}

// Prompts knows which instances likely hold which shared parts of prompts, from what
// daemons tell each other of their requests.
//
// Lock order: mu is taken alone.
type Prompts struct {
	clock clockwork.Clock

	mu      sync.Mutex
	holders map[PromptKey][]holder
	untold  []Reading
}

// NewPrompts returns an empty table.
func NewPrompts(clock clockwork.Clock) *Prompts {
	return &Prompts{clock: clock, holders: map[PromptKey][]holder{}}
}

// Sent notes that this daemon sends a prompt with some shared parts to an instance.
// What the others do not know yet is told to them later.
func (p *Prompts) Sent(i Instance, keys []PromptKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		r := Reading{Key: key, ID: i.ID, Born: i.Born}
		if p.note(r) && len(p.untold) < maxReadings {
			p.untold = append(p.untold, r)
		}
	}
}

// Learn takes in what other daemons sent.
func (p *Prompts) Learn(told []Reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range told {
		p.note(r)
	}
}

// note reports whether a reading is news.
func (p *Prompts) note(r Reading) bool {
	now := p.clock.Now()
	all := p.holders[r.Key]
	for i := range all {
		if all[i].id == r.ID && all[i].born == r.Born {
			news := now.Sub(all[i].at) > holdTime/2
			all[i].at = now
			return news
		}
	}
	if len(p.holders) >= maxPrompts {
		clear(p.holders)
		all = nil
	}
	all = append(all, holder{id: r.ID, born: r.Born, at: now})
	if len(all) > maxHolders {
		oldest := slices.IndexFunc(all, func(h holder) bool {
			return !slices.ContainsFunc(all, func(o holder) bool { return o.at.Before(h.at) })
		})
		all = slices.Delete(all, oldest, oldest+1)
	}
	p.holders[r.Key] = all
	return true
}

// Untold returns what was sent since the last call.
func (p *Prompts) Untold() []Reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.untold
	p.untold = nil
	return out
}

// Holders returns the instances that likely hold a part, by ID with their Born.
func (p *Prompts) Holders(key PromptKey) map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	out := map[string]int64{}
	for _, h := range p.holders[key] {
		if now.Sub(h.at) <= holdTime {
			out[h.id] = h.born
		}
	}
	return out
}
