package shift

import (
	"slices"
	"time"
)

// Side is a group of versions that a request may use.
type Side struct {
	Accept func(version string) bool
	// Part is the part of the group's instances to use; 0 is all.
	//
	// A new version gets few requests at first. Spread over all of its
	// instances they find each of them idle, and an idle instance of a version
	// that is many times slower answers about as fast as a busy one of the old
	// version. A share of the requests on the same share of the instances meets
	// the load that it will have later.
	Part float64
}

// Rule tells which versions a request may use.
type Rule struct {
	// order is the preference; nil accepts every version.
	order []Side
	// to is the version that an order asks for; empty without one.
	to string
}

// Ordered reports whether the operator has ordered that a version be brought in.
func (r Rule) Ordered(version string) bool { return r.to != "" && r.to == version }

// Sides returns the groups of versions to use, the preferred one first.
func (r Rule) Sides() []Side {
	if r.order == nil {
		return []Side{{Accept: func(string) bool { return true }}}
	}
	return r.order
}

// underWay is a session with requests lately.
type underWay struct {
	// open is the number of its requests that have not ended, and last when
	// one began or ended.
	open int
	last time.Time
	// old is set while the session's requests prefer the old version.
	old bool
}

type sessionKey struct {
	service string
	hash    uint64
}

// Began notes that a request of a session is under way until Ended is called.
func (b *Book) Began(service, session string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := sessionKey{service, Hash(session)}
	before, known := b.sessions[key]
	now := underWay{open: before.open + 1, last: b.clock.Now(), old: true}
	if r, ok := b.services[service]; ok {
		now.old = r.prefersOld(key.hash, known && before.old)
	}
	b.sessions[key] = now
}

// Rule tells which versions an attempt of a session's request may use now.
//
// It is asked for each attempt: a request may be under way when a roll-out is
// ordered, and one that kept the rule it began with, any version, would go on to the
// new one when a larger model or another instance is asked. Its session would then
// change its version.
func (b *Book) Rule(service, session string) Rule {
	hash := Hash(session)
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.services[service]
	if !ok {
		return Rule{}
	}
	key := sessionKey{service, hash}
	s, known := b.sessions[key]
	s.old = r.prefersOld(hash, known && s.old)
	if known {
		b.sessions[key] = s
	}
	return r.rule(s.old)
}

// prefersOld reports whether a session's next request uses the old version;
// began tells that it is under way here and began there.
func (r *rollout) prefersOld(hash uint64, began bool) bool {
	switch {
	case r.state.Phase == Completed:
		return false
	case r.state.Phase == RolledBack || r.stopped || r.state.Stopped:
		return true
	case r.state.Share >= 1:
		return false
	default:
		return began || r.held[hash] || !within(hash, r.state.Share)
	}
}

// rule is the order of versions for a request that prefers the old version, or
// the new one.
func (r *rollout) rule(preferOld bool) Rule {
	fresh := Side{Accept: func(version string) bool { return version == r.order.To }}
	withdrawn := r.state.Withdrawn
	old := Side{Accept: func(version string) bool {
		return version != r.order.To && !slices.Contains(withdrawn, version)
	}}
	if r.state.Phase == Running && r.state.Share < 1 {
		fresh.Part = r.state.Share
	}
	rule := Rule{to: r.order.To}
	switch {
	case r.state.Phase == Completed:
		rule.order = []Side{fresh}
	case r.state.Phase == RolledBack || r.stopped || r.state.Stopped:
		rule.order = []Side{old}
	case preferOld:
		// With no old instance left the new version is better than a refusal.
		rule.order = []Side{old, fresh}
	default:
		rule.order = []Side{fresh, old}
	}
	return rule
}

// Ended notes that a request of a session has ended. The pause between two
// requests counts from there: a session whose last answer took longer than the
// longest pause would otherwise be taken for a new one, and change its version.
func (b *Book) Ended(service, session string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := sessionKey{service, Hash(session)}
	if s, ok := b.sessions[key]; ok {
		b.sessions[key] = underWay{open: s.open - 1, last: b.clock.Now(), old: s.old}
	}
}

// beganOld returns the sessions under way inside the first share that began on
// the old version and are not held yet. Once all sessions may move none is.
func (b *Book) beganOld(service string, r *rollout) []uint64 {
	if r.state.Phase != Running || r.state.Share >= 1 {
		return nil
	}
	var out []uint64
	for key, s := range b.sessions {
		if key.service == service && s.old && !r.held[key.hash] && within(key.hash, b.limit.FirstShare()) {
			out = append(out, key.hash)
		}
	}
	slices.Sort(out)
	return out
}

// Expire forgets sessions that have ended.
func (b *Book) Expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for key, s := range b.sessions {
		if s.open <= 0 && now.Sub(s.last) > b.pause {
			delete(b.sessions, key)
		}
	}
}
