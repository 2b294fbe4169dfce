package inventory

import "time"

// MinPartWork is the work below which it makes no difference to the placement whether a prompt
// part is cached, in prompt tokens of the largest model.
const MinPartWork = minGossipWork

// maxPartInstances limits the instances whose parts are kept. With the limit of parts in a
// message, they take a few megabytes at most.
const maxPartInstances = 10_000

// cachedParts are the prompt parts that an engine said it caches.
type cachedParts struct {
	keys map[PrefixHash]struct{}
	// until is when they are no longer assumed to be cached. What requests use is known as
	// prefixes by then.
	until time.Time
}

// MergeParts adds the prompt parts that engines said they cache. The last list of an engine
// replaces the one before.
func (p *PrefixIndex) MergeParts(all []Surveyed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for instance, parts := range p.parts {
		if now.After(parts.until) {
			delete(p.parts, instance)
		}
	}
	for _, s := range all {
		if len(s.Parts) == 0 || len(p.parts) >= maxPartInstances {
			continue
		}
		if p.parts == nil {
			p.parts = map[InstanceHash]cachedParts{}
		}
		keys := make(map[PrefixHash]struct{}, len(s.Parts))
		for _, key := range s.Parts {
			keys[key] = struct{}{}
		}
		p.parts[s.Instance] = cachedParts{keys: keys, until: now.Add(cacheTime)}
	}
}

// cachedParts returns how many of a prompt's prefixes consist only of parts that the instance
// said it caches. Lists leave out parts of little work, so these count as cached in front of one
// that is listed. The lock is held.
func (p *PrefixIndex) cachedParts(instance InstanceHash, prefixes []Prefix) int {
	parts, ok := p.parts[instance]
	if !ok || p.clock.Now().After(parts.until) {
		return 0
	}
	cached, before := 0, 0.0
	for i, prefix := range prefixes {
		_, listed := parts.keys[prefix.Part]
		switch {
		case listed:
			cached = i + 1
		case prefix.Work-before >= MinPartWork:
			return cached
		}
		before = prefix.Work
	}
	return cached
}

// Recent returns up to n prefixes, those of the current generation first.
func (p *PrefixIndex) Recent(n int) []CachedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate()
	var out []CachedPrefix
	for _, generation := range []map[CachedPrefix]struct{}{p.current, p.previous} {
		for c := range generation {
			if len(out) >= n {
				return out
			}
			out = append(out, c)
		}
	}
	return out
}
