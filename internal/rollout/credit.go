package rollout

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// CreditTTL is how long a daemon may use its credits for a version, counted from its latest
// request that brought new ones.
const CreditTTL = 10 * time.Second

// grant is a number of credits granted at the same time.
type grant struct {
	at time.Time
	n  int
}

// CreditAccount bounds the exposure of one version at its lease holder. It keeps the answers
// that were allowed and are not rated yet under a budget that grows with good ratings. Only
// part of all answers is ever rated, so answers older than the policy's rating horizon no
// longer count; otherwise they would use up the budget permanently. It is not safe for
// concurrent use.
type CreditAccount struct {
	policy config.RolloutPolicy
	grants []grant
	// rated is the number of ratings already offset against grants.
	rated int64
}

// NewCreditAccount returns the account of a lease holder that takes over at now. reserved is
// the number of credits reserved in the row, rated the number of rated answers. All credits
// that are reserved and not rated count as granted at now.
func NewCreditAccount(policy config.RolloutPolicy, reserved int, rated int64, now time.Time) *CreditAccount {
	a := &CreditAccount{policy: policy.WithDefaults(), rated: rated}
	if outstanding := reserved - int(rated); outstanding > 0 {
		a.grants = append(a.grants, grant{at: now, n: outstanding})
	}
	return a
}

// Budget returns how many unrated answers the ratings allow.
func (a *CreditAccount) Budget(good, bad int64) int {
	earned := a.policy.BudgetPerGood * float64(good-bad)
	return a.policy.ExposureBudget + max(int(earned), 0)
}

// Available returns how many credits may be granted now.
func (a *CreditAccount) Available(good, bad int64, now time.Time) int {
	a.settle(good+bad, now)
	return max(a.Budget(good, bad)-a.outstanding(), 0)
}

// Grant records n granted credits.
func (a *CreditAccount) Grant(n int, now time.Time) {
	if n > 0 {
		a.grants = append(a.grants, grant{at: now, n: n})
	}
}

// Return takes back n credits that expired unused, from the latest grants first.
func (a *CreditAccount) Return(n int) {
	for n > 0 && len(a.grants) > 0 {
		last := &a.grants[len(a.grants)-1]
		taken := min(n, last.n)
		last.n -= taken
		n -= taken
		if last.n > 0 {
			return
		}
		a.grants = a.grants[:len(a.grants)-1]
	}
}

// settle offsets new ratings against the oldest grants and drops grants past the rating
// horizon.
func (a *CreditAccount) settle(rated int64, now time.Time) {
	newly := max(int(rated-a.rated), 0)
	a.rated = max(rated, a.rated)
	for len(a.grants) > 0 {
		first := &a.grants[0]
		if now.Sub(first.at) > a.policy.RatingHorizon() {
			a.grants = a.grants[1:]
			continue
		}
		used := min(first.n, newly)
		first.n -= used
		newly -= used
		if first.n > 0 {
			return
		}
		a.grants = a.grants[1:]
	}
}

func (a *CreditAccount) outstanding() int {
	n := 0
	for _, g := range a.grants {
		n += g.n
	}
	return n
}

// creditBalance holds a daemon's credits for one version.
type creditBalance struct {
	credits int
	expires time.Time
	// requested is the number of calls of Take since the last call of Want.
	requested int
	// expired is how many credits expired unused and were not returned yet.
	expired int
}

// DaemonCredits holds a daemon's credits, each of which allows one use of an unproven version.
//
// Lock order: no other lock is taken while mu is held. The dispatcher may hold its own lock
// when it calls Take.
type DaemonCredits struct {
	clock clockwork.Clock

	mu       sync.Mutex
	balances map[config.VersionRef]*creditBalance
	stopped  map[config.VersionRef]bool
}

// NewDaemonCredits returns a DaemonCredits without credits.
func NewDaemonCredits(clock clockwork.Clock) *DaemonCredits {
	return &DaemonCredits{clock: clock, balances: map[config.VersionRef]*creditBalance{}, stopped: map[config.VersionRef]bool{}}
}

// Take uses one credit. It returns false if there is none, if the credits have expired, or if
// the version was stopped.
//
// Credits expire because the lease holder or the store may be unavailable. Then nobody watches
// the ratings, and a daemon that continued by itself would expose callers to a version that
// nobody can stop. Without credits, new sessions get the proven version.
func (c *DaemonCredits) Take(ref config.VersionRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.balance(ref)
	b.requested++
	b.expire(c.clock.Now())
	if c.stopped[ref] || b.credits == 0 {
		return false
	}
	b.credits--
	return true
}

func (c *DaemonCredits) balance(ref config.VersionRef) *creditBalance {
	b, ok := c.balances[ref]
	if !ok {
		b = &creditBalance{}
		c.balances[ref] = b
	}
	return b
}

// Refill adds n granted credits, and records that the given number of expired credits was
// returned. If n is above 0, all credits for the version expire CreditTTL after requestedAt.
func (c *DaemonCredits) Refill(ref config.VersionRef, n, returned int, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.balance(ref)
	b.expire(c.clock.Now())
	b.expired -= returned
	if n > 0 {
		b.credits += n
		b.expires = requestedAt.Add(CreditTTL)
	}
}

// expire drops the credits if their time is over.
func (b *creditBalance) expire(now time.Time) {
	if !now.Before(b.expires) {
		b.expired += b.credits
		b.credits = 0
	}
}

// maxWant is the largest number of credits requested at once.
const maxWant = 32

// Want returns how many credits to request: as many as were wanted since the last call, at
// least one and at most maxWant, less those that are left. expired is how many credits to
// return.
func (c *DaemonCredits) Want(ref config.VersionRef) (want, expired int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.balance(ref)
	b.expire(c.clock.Now())
	want = min(max(b.requested, 1), maxWant) - b.credits
	b.requested = 0
	return max(want, 0), b.expired
}

// Stop ends the exposure of new sessions to a version at this daemon. It reports whether the
// version was not stopped before. It needs no lease, since stopping is always safe.
func (c *DaemonCredits) Stop(ref config.VersionRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped[ref] {
		return false
	}
	c.stopped[ref] = true
	return true
}

// Resume undoes Stop.
func (c *DaemonCredits) Resume(ref config.VersionRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stopped, ref)
}

// Stopped returns the versions stopped at this daemon.
func (c *DaemonCredits) Stopped() []config.VersionRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]config.VersionRef, 0, len(c.stopped))
	for ref := range c.stopped {
		out = append(out, ref)
	}
	return out
}
