package inventory

import (
	"math"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
)

const (
	// shareTTL is how long a computed share is used before it is computed again. Daemons come
	// and go within seconds, which changes the owners of an instance.
	shareTTL = 500 * time.Millisecond
	// warmUpFraction and limitFraction are the fractions of an instance's rate that the
	// daemons share. The rest is a margin: daemons that know different members of the fleet
	// compute different owners, so that an instance can have too many owners for a while. The
	// margin is larger for a cold instance because an overloaded cold instance crashes, while
	// one with a limit refuses requests.
	warmUpFraction = 0.7
	limitFraction  = 0.9
	// probeRate is the number of requests per second that all daemons together send to an
	// instance even if its limit is lower. Only an answer of the instance shows that its limit
	// has ended.
	probeRate = 1 / 1.5
	// probeDelay is how long a turn at an instance with a limit may stay unused. After that,
	// the next request goes to this instance whatever the load of the others.
	probeDelay = 200 * time.Millisecond
	// revokeFactor is the factor by which a rate must change before reserved turns are
	// revoked.
	revokeFactor = 1.2
)

// budget is the rate of requests that an instance accepts from all daemons together, and this
// daemon's share of it. The rate is unlimited unless the instance warms up or has a limit.
type budget struct {
	// backOffUntil is the end of the back-off that the instance requested from this daemon.
	backOffUntil time.Time
	// warmUntil is the latest end of the warm-up. warmUpAssumed is set if the warm-up is only
	// inferred from the end of an evacuation and the instance has not reported it.
	warmUntil     time.Time
	warmUpAssumed bool

	pacer pacing.Pacer
	// share is this daemon's share of rate, computed at sharedAt.
	share    pacing.Share
	sharedAt time.Time
	rate     float64
	// revoked is closed when the reserved turns are no longer valid; nil if there are none.
	revoked chan struct{}
}

// ShareFunc returns this daemon's share of the requests per second (rate) that all daemons
// together may send to the instance with the given ID.
type ShareFunc func(instance string, rate float64) pacing.Share

// SetWarmUps sets the warm-up settings by service, and the function that computes this
// daemon's share of a rate.
func (t *Table) SetWarmUps(byService map[string]catalog.WarmUp, share ShareFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUps, t.shareOf = byService, share
}

// BackOff excludes an instance from selection for the time that it requested. Any request sent
// earlier would be refused, and its caller would lose the time of that attempt.
func (t *Table) BackOff(i Instance, d time.Duration) {
	t.withEntry(i, func(e *entry) {
		if until := t.clock.Now().Add(d); until.After(e.budget.backOffUntil) {
			e.budget.backOffUntil = until
		}
	})
}

func (b *budget) isBackingOff(now time.Time) bool { return now.Before(b.backOffUntil) }

// NoteWarming records the remaining warm-up time that an instance reported in an answer.
func (t *Table) NoteWarming(i Instance, remaining time.Duration) {
	t.withEntry(i, func(e *entry) { t.noteWarming(e, remaining) })
}

// noteWarming records the remaining warm-up time of an instance; 0 means that it is warm. The
// lock is held.
//
// A remaining time of 0 does not end a warm-up that is only assumed after an evacuation: the
// listed entry may have been written before the instance became cold.
func (t *Table) noteWarming(e *entry, remaining time.Duration) {
	now := t.clock.Now()
	switch {
	case remaining > 0:
		t.setWarmUp(e, now.Add(remaining), false)
	case !e.budget.warmUpAssumed:
		e.budget.warmUntil = time.Time{}
	}
}

// setWarmUp starts or extends a warm-up. The lock is held.
func (t *Table) setWarmUp(e *entry, until time.Time, assumed bool) {
	e.budget.warmUntil, e.budget.warmUpAssumed = until, assumed
	t.refreshShare(e, t.clock.Now())
}

// isWarming reports whether an instance warms up and its service has a warm-up rate. The lock
// is held.
func (t *Table) isWarming(e *entry, now time.Time) bool {
	return now.Before(e.budget.warmUntil) && t.warmUps[e.instance.Service].Rate > 0
}

// targetRate returns the number of requests per second that all daemons together may send to
// an instance, or +Inf if it is unlimited. The lock is held.
func (t *Table) targetRate(e *entry, now time.Time) float64 {
	rate := math.Inf(1)
	if t.isWarming(e, now) {
		rate = warmUpFraction * t.warmUps[e.instance.Service].Rate
	}
	if limit, ok := t.limitOf(e); ok {
		rate = min(rate, max(limitFraction*limit, probeRate))
	}
	return rate
}

// refreshShare recomputes this daemon's share of a budget if the rate has changed or the share
// is older than shareTTL, and returns the rate. The lock is held.
//
// A large change of the rate revokes the reserved turns: at the old pace they would overload
// an instance whose rate has fallen, or leave one idle whose rate has risen.
func (t *Table) refreshShare(e *entry, now time.Time) float64 {
	b := &e.budget
	rate := t.targetRate(e, now)
	if rate == b.rate && now.Sub(b.sharedAt) <= shareTTL {
		return rate
	}
	old := b.share
	b.share, b.sharedAt = pacing.Share{}, now
	if !math.IsInf(rate, 1) {
		b.share = t.shareOf(e.instance.ID, rate)
	}
	changed := rate > b.rate*revokeFactor || rate < b.rate/revokeFactor
	if changed {
		b.revoke()
	}
	switch {
	case old.Interval == 0:
		b.pacer.Start(now, b.share)
	case changed:
		b.pacer.Adjust(now, b.share.Interval)
	}
	b.rate = rate
	return rate
}

// revoke invalidates the reserved turns.
func (b *budget) revoke() {
	if b.revoked != nil {
		close(b.revoked)
		b.revoked = nil
	}
}

// Turn is the time at which this daemon may send a request to an instance.
type Turn struct {
	// Wait is the time until the turn; 0 means now. If NotOwner is set, it is the estimated
	// time until another daemon may send.
	Wait time.Duration
	// NotOwner is set if this daemon has no share of the instance's limit.
	NotOwner bool
	// Revoked is closed when the turn becomes invalid; nil if Wait is 0.
	Revoked <-chan struct{}
}

// turn returns this daemon's next turn at an instance. The lock is held.
func (t *Table) turn(e *entry, now time.Time) Turn {
	rate := t.refreshShare(e, now)
	b := &e.budget
	wait := b.pacer.Wait(now)
	switch _, limited := t.limitOf(e); {
	case math.IsInf(rate, 1):
		return Turn{}
	case limited && b.share.Interval == 0:
		return Turn{Wait: time.Duration(float64(time.Second) / rate), NotOwner: true}
	case limited:
		return Turn{Wait: wait}
	case b.share.Interval == 0:
		// This daemon has no share until the warm-up ends.
		return Turn{Wait: b.warmUntil.Sub(now)}
	default:
		return Turn{Wait: min(wait, b.warmUntil.Sub(now))}
	}
}

// isProbeDue reports whether an instance has a limit and this daemon's turn there has been
// unused for at least probeDelay. The lock is held.
func (t *Table) isProbeDue(e *entry, now time.Time) bool {
	if _, limited := t.limitOf(e); !limited || e.budget.share.Interval == 0 {
		return false
	}
	return e.budget.pacer.Overdue(now) >= probeDelay
}

// Reserve takes this daemon's next turn at an instance. The turn is immediate unless the
// instance warms up or has a limit. Reserve returns false and takes no turn if the instance
// may not receive requests, if this daemon has no share of its limit, or if the wait is longer
// than maxWait.
func (t *Table) Reserve(i Instance, maxWait time.Duration) (turn Turn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e, found := t.entries[i.ID]
	if !found || !t.maySend(e, i, now) {
		return Turn{}, false
	}
	if turn = t.turn(e, now); turn.NotOwner || turn.Wait > maxWait {
		return turn, false
	}
	b := &e.budget
	// A request that waits for the end of the warm-up instead of a turn uses none.
	if b.share.Interval > 0 && turn.Wait == b.pacer.Wait(now) {
		b.pacer.Take(now, b.share.Interval)
	}
	if turn.Wait > 0 {
		if b.revoked == nil {
			b.revoked = make(chan struct{})
		}
		turn.Revoked = b.revoked
	}
	return turn, true
}
