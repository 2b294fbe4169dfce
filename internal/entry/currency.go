package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// currencyMargin is added to the age of the last update from which the configuration may be old, so
	// that one late update has no effect.
	currencyMargin = lateUpdateMargin
	// newerConfigTime bounds the wait of a request for a newer configuration, and newerConfigPoll is the
	// interval at which it looks for one.
	newerConfigTime = 300 * time.Millisecond
	newerConfigPoll = 10 * time.Millisecond
	// newerConfigMemory is how long a version counts that no peer has told since. Its holders may have ended,
	// and the store may have been restored without it.
	newerConfigMemory = 10 * time.Second
)

// newerConfig is the newest configuration that peers are known to have.
//
// Lock order: no other lock is taken while mu is held.
type newerConfig struct {
	mu      sync.Mutex
	version int64
	// since is when the version became known, and holder the peer that told it last, at toldAt.
	since, toldAt time.Time
	holder        string
}

// note records that a peer has a version.
func (c *newerConfig) note(version int64, holder string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.version && now.Sub(c.toldAt) <= newerConfigMemory {
		return
	}
	if version != c.version {
		c.since = now
	}
	c.version, c.holder, c.toldAt = version, holder, now
}

// knownFor returns for how long the version has been known.
func (c *newerConfig) knownFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.since)
}

// newest returns the version and a peer that has it; 0 if none has told one lately.
func (c *newerConfig) newest(now time.Time) (version int64, holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.toldAt) > newerConfigMemory {
		return 0, ""
	}
	return c.version, c.holder
}

// knowledge is what a daemon knows of the age of its configuration.
type knowledge struct {
	// behind is set if the daemon lacks rows of the operator that a peer has read.
	behind bool
	// inForce is the version in force, and newest the newest one that a peer is known to have.
	inForce, newest int64
	// confirmed is set once the operator's rows were known to be the newest, and age is the time since
	// then. maxAge is the age up to which they count as current.
	confirmed   bool
	age, maxAge time.Duration
}

// isCurrent reports whether the daemon may tell callers that a route or key does not exist. One that may
// lack a configuration must not: callers do not repeat a request after that answer.
func (k knowledge) isCurrent() bool {
	return !k.behind && k.inForce >= k.newest && k.confirmed && k.age <= k.maxAge
}

// configIsCurrent reports whether no newer configuration than the one in force is expected.
func (n *Node) configIsCurrent() bool {
	view := n.freshness.view()
	newest, _ := n.newerConfig.newest(n.clock.Now())
	return knowledge{
		behind: n.behind.Load(), inForce: n.configVersion(), newest: newest,
		confirmed: !view.confirmedAt.IsZero(), age: n.clock.Since(view.confirmedAt), maxAge: n.maxUpdateAge() + currencyMargin,
	}.isCurrent()
}

// awaitNewerConfig waits for a newer configuration that peers have, for at most newerConfigTime. It
// returns at once if none is known.
func (n *Node) awaitNewerConfig(ctx context.Context) {
	version, holder := n.newerConfig.newest(n.clock.Now())
	if version <= n.configVersion() {
		return
	}
	go n.fetchConfig(context.WithoutCancel(ctx), holder)
	for waited := time.Duration(0); waited < newerConfigTime && n.configVersion() < version; waited += newerConfigPoll {
		if !n.sleep(ctx, newerConfigPoll) {
			return
		}
	}
}
