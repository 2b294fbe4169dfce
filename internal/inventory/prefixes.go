package inventory

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// PrefixHash is a hash of a prompt prefix, up to the end of one of its parts, and of the
// model. Engines cache prefixes per model. They can use the cached state of a part only if all
// parts before it are cached, so that a cached prefix implies that its shorter prefixes are
// cached, too.
type PrefixHash uint32

// Prefix is a prefix of a prompt.
type Prefix struct {
	Key PrefixHash
	// Part is the key of the last part alone.
	Part PrefixHash
	// Work is the work of processing the prefix, in prompt tokens of the largest model.
	Work float64
}

// CachedPrefix states that an instance has processed a prefix or is about to process it.
type CachedPrefix struct {
	Key      PrefixHash
	Instance InstanceHash
}

const (
	// cacheTime is the maximum time for which a prefix is assumed to be cached after its last
	// use. Engines evict the least recently used prefixes, and their caches cover some minutes.
	// A prefix is forgotten after half of this time at the earliest, unless a generation is
	// full.
	cacheTime = 60 * time.Second
	// maxPrefixes limits the prefixes of one generation. At some 20 bytes each, the two
	// generations take 2 MB.
	maxPrefixes = 50_000
	// maxPending limits the prefixes that wait to be sent to peers.
	maxPending = 2_000
	// minGossipWork is the work below which a prefix is not sent to peers, in prompt tokens of
	// the largest model. It is 20 ms of processing, a difference that placement ignores. This
	// excludes short prompts and most prompts of a small model.
	minGossipWork = 300.0
)

// PrefixIndex records which instances probably have which prompt prefixes cached, from the
// requests of this daemon and those that other daemons report.
//
// The prefixes are kept in two generations that each cover half of cacheTime: those used in
// the current half, and those last used in the previous one.
//
// Lock order: no other lock is taken while mu is held.
type PrefixIndex struct {
	clock clockwork.Clock

	mu                sync.Mutex
	current, previous map[CachedPrefix]struct{}
	rotatedAt         time.Time
	pending           []CachedPrefix
	// parts are single prompt parts that engines said they cache.
	parts map[InstanceHash]cachedParts
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(clock clockwork.Clock) *PrefixIndex {
	return &PrefixIndex{clock: clock, current: map[CachedPrefix]struct{}{}, rotatedAt: clock.Now()}
}

// NoteSent records that this daemon sends a prompt with the given prefixes to an instance.
// Prefixes that are new to the current generation and large enough to affect the placement are
// queued for the peers.
func (p *PrefixIndex) NoteSent(i Instance, prefixes []Prefix) {
	hash := i.Hash()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate()
	for _, prefix := range prefixes {
		c := CachedPrefix{Key: prefix.Key, Instance: hash}
		if p.add(c) && prefix.Work >= minGossipWork && len(p.pending) < maxPending {
			p.pending = append(p.pending, c)
		}
	}
}

// Merge adds prefixes that other daemons reported.
func (p *PrefixIndex) Merge(reported []CachedPrefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate()
	for _, c := range reported {
		p.add(c)
	}
}

// add adds a prefix to the current generation and reports whether it was missing there.
func (p *PrefixIndex) add(c CachedPrefix) bool {
	if _, known := p.current[c]; known {
		return false
	}
	p.current[c] = struct{}{}
	return true
}

// rotate starts a new generation if the current one is too old or full.
func (p *PrefixIndex) rotate() {
	now := p.clock.Now()
	age := now.Sub(p.rotatedAt)
	if age < cacheTime/2 && len(p.current) < maxPrefixes {
		return
	}
	p.previous = p.current
	if age >= cacheTime {
		p.previous = nil
	}
	p.current, p.rotatedAt = map[CachedPrefix]struct{}{}, now
}

// TakePending returns the prefixes queued for the peers since the last call.
func (p *PrefixIndex) TakePending() []CachedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.pending
	p.pending = nil
	return out
}

// CachedCount returns how many of a prompt's prefixes, ordered from shortest to longest, an
// instance probably has cached.
func (p *PrefixIndex) CachedCount(instance InstanceHash, prefixes []Prefix) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate()
	for n := len(prefixes); n > 0; n-- {
		if p.contains(CachedPrefix{Key: prefixes[n-1].Key, Instance: instance}) {
			return max(n, p.cachedParts(instance, prefixes))
		}
	}
	return p.cachedParts(instance, prefixes)
}

func (p *PrefixIndex) contains(c CachedPrefix) bool {
	if _, ok := p.current[c]; ok {
		return true
	}
	_, ok := p.previous[c]
	return ok
}
