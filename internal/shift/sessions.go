package shift

import (
	"slices"
	"time"
)

// VersionGroup is a group of versions that a request may use.
type VersionGroup struct {
	Accept func(version string) bool
	// InstanceFraction is the fraction of the group's instances to use; 0 means all.
	//
	// A new version gets few requests at first. Spread over all of its instances, they would
	// all find an idle instance, and an idle instance of a version that is many times slower
	// answers about as fast as a busy one of the old version. With the same fraction of
	// requests and instances, an instance has the load that it will have later.
	InstanceFraction float64
}

// Rule determines which versions a request may use.
type Rule struct {
	// groups are in order of preference; nil accepts every version.
	groups []VersionGroup
	// to is the version of the service's order; empty without an order.
	to string
}

// IsTarget reports whether version is the one that the service's order asks for.
func (r Rule) IsTarget(version string) bool { return r.to != "" && r.to == version }

// Groups returns the groups of versions to use, the preferred one first.
func (r Rule) Groups() []VersionGroup {
	if r.groups == nil {
		return []VersionGroup{{Accept: func(string) bool { return true }}}
	}
	return r.groups
}

// activeSession is a session with recent requests.
type activeSession struct {
	// open is the number of requests in flight, and last is when a request last began or
	// ended.
	open int
	last time.Time
	// old is set while the session's requests prefer the old version.
	old bool
}

type sessionKey struct {
	service string
	hash    uint64
}

// BeginRequest records a request in flight of a session. EndRequest must follow.
func (t *Tracker) BeginRequest(service, session string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := sessionKey{service, Hash(session)}
	before, known := t.sessions[key]
	now := activeSession{open: before.open + 1, last: t.clock.Now(), old: true}
	if r, ok := t.services[service]; ok {
		now.old = r.prefersOld(key.hash, known && before.old)
	}
	t.sessions[key] = now
}

// Rule returns which versions an attempt of a session's request may use now.
//
// Each attempt calls Rule anew. A request in flight when a roll-out is ordered could otherwise
// keep its first rule, which accepts any version, and use the new version when it asks a
// larger model or another instance. Its session would change versions.
func (t *Tracker) Rule(service, session string) Rule {
	hash := Hash(session)
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.services[service]
	if !ok {
		return Rule{}
	}
	key := sessionKey{service, hash}
	s, known := t.sessions[key]
	s.old = r.prefersOld(hash, known && s.old)
	if known {
		t.sessions[key] = s
	}
	return r.rule(s.old)
}

// prefersOld reports whether a session's next request prefers the old version. beganOld is set
// if the session is under way at this daemon and began on the old version.
func (r *rollout) prefersOld(hash uint64, beganOld bool) bool {
	switch {
	case r.state.Phase == Completed:
		return false
	case r.state.Phase == RolledBack || r.stopped || r.state.Stopped:
		return true
	case r.state.Share >= 1:
		return false
	default:
		return beganOld || r.held[hash] || !inShare(hash, r.state.Share)
	}
}

// rule returns the version groups for a request that prefers the old version, or the new one.
func (r *rollout) rule(preferOld bool) Rule {
	fresh := VersionGroup{Accept: func(version string) bool { return version == r.order.To }}
	withdrawn := r.state.Withdrawn
	old := VersionGroup{Accept: func(version string) bool {
		return version != r.order.To && !slices.Contains(withdrawn, version)
	}}
	if r.state.Phase == Running && r.state.Share < 1 {
		fresh.InstanceFraction = r.state.Share
	}
	rule := Rule{to: r.order.To}
	switch {
	case r.state.Phase == Completed:
		rule.groups = []VersionGroup{fresh}
	case r.state.Phase == RolledBack || r.stopped || r.state.Stopped:
		rule.groups = []VersionGroup{old}
	case preferOld:
		// With no old instance left, the new version is better than refusing the request.
		rule.groups = []VersionGroup{old, fresh}
	default:
		rule.groups = []VersionGroup{fresh, old}
	}
	return rule
}

// EndRequest records the end of a session's request. The pause between two requests starts
// here: otherwise a session whose last answer took longer than the longest pause would count
// as a new one and change versions.
func (t *Tracker) EndRequest(service, session string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := sessionKey{service, Hash(session)}
	if s, ok := t.sessions[key]; ok {
		t.sessions[key] = activeSession{open: s.open - 1, last: t.clock.Now(), old: s.old}
	}
}

// sessionsToHold returns the sessions under way inside the first share that began on the old
// version and are not held yet. It returns none once all sessions may move.
func (t *Tracker) sessionsToHold(service string, r *rollout) []uint64 {
	if r.state.Phase != Running || r.state.Share >= 1 {
		return nil
	}
	var out []uint64
	for key, s := range t.sessions {
		if key.service == service && s.old && !r.held[key.hash] && inShare(key.hash, t.limit.FirstShare()) {
			out = append(out, key.hash)
		}
	}
	slices.Sort(out)
	return out
}

// ExpireSessions removes the sessions without requests in flight whose pause has passed.
func (t *Tracker) ExpireSessions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for key, s := range t.sessions {
		if s.open <= 0 && now.Sub(s.last) > t.pause {
			delete(t.sessions, key)
		}
	}
}
