package rollout

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// CreditTTL is how long a daemon may use a granted credit.
const CreditTTL = 10 * time.Second

// grant is a number of credits given at a time.
type grant struct {
	at time.Time
	n  int
}

// Bank is the duty holder's account of the exposure of one version: answers
// that were allowed and not rated yet stay under a budget that grows with
// good ratings. Only a part of all answers is ever rated; those past the
// policy's rating horizon no longer count, or they would use up the budget for
// good. It is not safe for concurrent use.
type Bank struct {
	policy config.RolloutPolicy
	grants []grant
	// rated is how many ratings have been set off against grants.
	rated int64
}

// NewBank returns the account of a holder that takes over at now, when
// reserved credits had been set aside in the row and rated answers counted.
// All that is reserved and not rated counts as given just now.
func NewBank(policy config.RolloutPolicy, reserved int, rated int64, now time.Time) *Bank {
	b := &Bank{policy: policy.WithDefaults(), rated: rated}
	if outstanding := reserved - int(rated); outstanding > 0 {
		b.grants = append(b.grants, grant{at: now, n: outstanding})
	}
	return b
}

// Budget is how many unrated answers the evidence allows.
func (b *Bank) Budget(good, bad int64) int {
	earned := b.policy.BudgetPerGood * float64(good-bad)
	return b.policy.ExposureBudget + max(int(earned), 0)
}

// Available returns how many credits may be granted now.
func (b *Bank) Available(good, bad int64, now time.Time) int {
	b.settle(good+bad, now)
	return max(b.Budget(good, bad)-b.outstanding(), 0)
}

// Grant notes n credits as given.
func (b *Bank) Grant(n int, now time.Time) {
	if n > 0 {
		b.grants = append(b.grants, grant{at: now, n: n})
	}
}

// Return takes back credits that lapsed unused.
func (b *Bank) Return(n int) {
	for n > 0 && len(b.grants) > 0 {
		last := &b.grants[len(b.grants)-1]
		taken := min(n, last.n)
		last.n -= taken
		n -= taken
		if last.n > 0 {
			return
		}
		b.grants = b.grants[:len(b.grants)-1]
	}
}

// settle sets ratings off against the oldest grants and drops those past the
// horizon.
func (b *Bank) settle(rated int64, now time.Time) {
	newly := max(int(rated-b.rated), 0)
	b.rated = max(rated, b.rated)
	for len(b.grants) > 0 {
		first := &b.grants[0]
		if now.Sub(first.at) > b.policy.RatingHorizon() {
			b.grants = b.grants[1:]
			continue
		}
		used := min(first.n, newly)
		first.n -= used
		newly -= used
		if first.n > 0 {
			return
		}
		b.grants = b.grants[1:]
	}
}

func (b *Bank) outstanding() int {
	n := 0
	for _, g := range b.grants {
		n += g.n
	}
	return n
}

// wallet holds a daemon's credits for one version.
type wallet struct {
	credits int
	expires time.Time
	// asked is how many requests wanted a credit since the last refill.
	asked int
	// lapsed is how many credits lapsed unused and were not given back yet.
	lapsed int
}

// Exposure is a daemon's right to use unproven versions.
//
// Lock order: mu is taken alone.
type Exposure struct {
	clock clockwork.Clock

	mu      sync.Mutex
	wallets map[config.VersionRef]*wallet
	stopped map[config.VersionRef]bool
}

// NewExposure returns an Exposure without credits.
func NewExposure(clock clockwork.Clock) *Exposure {
	return &Exposure{clock: clock, wallets: map[config.VersionRef]*wallet{}, stopped: map[config.VersionRef]bool{}}
}

// Take uses one credit. It fails when there is none, when they have lapsed, or
// when the version was stopped.
//
// Credits lapse because the duty holder or the store may be gone: then nobody
// watches the ratings, and a daemon that went on by itself would expose
// callers to a version that nobody can stop. Out of credits, new sessions get
// the proven version.
func (e *Exposure) Take(ref config.VersionRef) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.wallet(ref)
	w.asked++
	w.lapse(e.clock.Now())
	if e.stopped[ref] || w.credits == 0 {
		return false
	}
	w.credits--
	return true
}

func (e *Exposure) wallet(ref config.VersionRef) *wallet {
	w, ok := e.wallets[ref]
	if !ok {
		w = &wallet{}
		e.wallets[ref] = w
	}
	return w
}

// Refill adds credits that were granted when asked for at asked, and notes that
// returned lapsed ones were given back.
func (e *Exposure) Refill(ref config.VersionRef, n, returned int, asked time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.wallet(ref)
	w.lapse(e.clock.Now())
	w.lapsed -= returned
	if n > 0 {
		w.credits += n
		w.expires = asked.Add(CreditTTL)
	}
}

// lapse drops credits past their time.
func (w *wallet) lapse(now time.Time) {
	if !now.Before(w.expires) {
		w.lapsed += w.credits
		w.credits = 0
	}
}

// maxWant bounds the credits asked for at once.
const maxWant = 32

// Want returns how many credits to ask for: what was asked of the wallet since
// the last time, less what it still has. lapsed is how many to give back.
func (e *Exposure) Want(ref config.VersionRef) (want, lapsed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.wallet(ref)
	w.lapse(e.clock.Now())
	want = min(max(w.asked, 1), maxWant) - w.credits
	w.asked = 0
	return max(want, 0), w.lapsed
}

// Stop ends the exposure of new sessions to a version at this daemon and
// reports whether that is news. It needs nobody's consent: stopping is safe.
func (e *Exposure) Stop(ref config.VersionRef) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped[ref] {
		return false
	}
	e.stopped[ref] = true
	return true
}

// Allow undoes Stop after an operator started the version again.
func (e *Exposure) Allow(ref config.VersionRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.stopped, ref)
}

// Stopped lists the versions stopped here.
func (e *Exposure) Stopped() []config.VersionRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]config.VersionRef, 0, len(e.stopped))
	for ref := range e.stopped {
		out = append(out, ref)
	}
	return out
}
