package inventory

import (
	"math"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/pacing"
)

const (
	// ownerTime is how long it is relied on whether this daemon owns a part of an
	// instance's budget: daemons come and go within seconds.
	ownerTime = 500 * time.Millisecond
	// warmUpPart and limitPart are the parts of a rate that are shared out. Daemons that
	// differ in what they know of the fleet do not have the same owners, so that there
	// may be more of them for a while. A cold instance ends when it is overrun; one that
	// names a limit refuses.
	warmUpPart = 0.7
	limitPart  = 0.9
	// probeRate is how many requests a second all daemons together send to an instance
	// whatever its limit: only its answers tell that the limit has ended.
	probeRate = 1 / 1.5
	// probeDelay is for how long a turn at an instance that names a limit may lie unused.
	// Then the next request goes there, whatever speaks for others.
	probeDelay = 200 * time.Millisecond
	// restartFactor is by how much a rate must change for turns to be reserved anew.
	restartFactor = 1.2
)

// budget is what an instance takes of all daemons together, and this daemon's part of it.
// It is unbounded but while the instance rests, warms up or names a limit.
type budget struct {
	// restUntil is until when the instance wants nothing from this daemon.
	restUntil time.Time
	// warmUntil is when the instance bears all at the latest. warmAssumed is set where
	// nothing but the end of an evacuation tells of the warm-up.
	warmUntil   time.Time
	warmAssumed bool

	pace pacing.Pace
	// part is this daemon's part as of sharedAt, of some rate.
	part     pacing.Part
	sharedAt time.Time
	rate     float64
	// revoked is closed when turns that were reserved hold no more; nil while there are
	// none.
	revoked chan struct{}
}

// Share is this daemon's part of what an instance is to get, in requests a second.
type Share func(instance string, rate float64) pacing.Part

// SetWarmUps takes in what instances bear while they warm up, by service, and how budgets
// are shared out.
func (t *Table) SetWarmUps(byService map[string]catalog.WarmUp, share Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUps, t.share = byService, share
}

// Rest leaves an instance out for the time that it has asked for. A request sent all the
// same would be refused, and cost its caller the time of an attempt.
func (t *Table) Rest(i Instance, d time.Duration) {
	t.with(i, func(e *entry) {
		if until := t.clock.Now().Add(d); until.After(e.budget.restUntil) {
			e.budget.restUntil = until
		}
	})
}

func (b *budget) isResting(now time.Time) bool { return now.Before(b.restUntil) }

// NoteWarming takes in what an instance says itself: that it is cold for some more time.
func (t *Table) NoteWarming(i Instance, left time.Duration) {
	t.with(i, func(e *entry) { t.noteWarming(e, left) })
}

// noteWarming takes in for how long an instance is still cold, which is 0 for one that is
// not. The lock is held.
//
// After an evacuation the entry may be older than the cold that it does not tell of; only
// one that has told of it can say that it is over.
func (t *Table) noteWarming(e *entry, left time.Duration) {
	now := t.clock.Now()
	switch {
	case left > 0:
		t.warm(e, now.Add(left), false)
	case !e.budget.warmAssumed:
		e.budget.warmUntil = time.Time{}
	}
}

// warm begins or goes on with a warm-up. The lock is held.
func (t *Table) warm(e *entry, until time.Time, assumed bool) {
	e.budget.warmUntil, e.budget.warmAssumed = until, assumed
	t.renew(e, t.clock.Now())
}

// isWarming reports whether an instance bears only a part of what it will. The lock is
// held.
func (t *Table) isWarming(e *entry, now time.Time) bool {
	return now.Before(e.budget.warmUntil) && t.warmUps[e.instance.Service].Rate > 0
}

// rate is how many requests a second an instance is to get of all daemons together; Inf is
// any number. The lock is held.
func (t *Table) rate(e *entry, now time.Time) float64 {
	rate := math.Inf(1)
	if t.isWarming(e, now) {
		rate = warmUpPart * t.warmUps[e.instance.Service].Rate
	}
	if limit, ok := t.limitOf(e); ok {
		rate = min(rate, max(limitPart*limit, probeRate))
	}
	return rate
}

// renew brings this daemon's part of a budget up to date, and returns the rate that it is a
// part of. The lock is held.
//
// Turns that were reserved are revoked when the rate has changed much: taken at the old pace
// they would overrun an instance that takes less by now, or leave one idle that takes more.
func (t *Table) renew(e *entry, now time.Time) float64 {
	b := &e.budget
	rate := t.rate(e, now)
	if rate == b.rate && now.Sub(b.sharedAt) <= ownerTime {
		return rate
	}
	old := b.part
	b.part, b.sharedAt = pacing.Part{}, now
	if !math.IsInf(rate, 1) {
		b.part = t.share(e.instance.ID, rate)
	}
	changed := rate > b.rate*restartFactor || rate < b.rate/restartFactor
	if changed {
		b.revoke()
	}
	switch {
	case old.Interval == 0:
		b.pace.Start(now, b.part)
	case changed:
		b.pace.Adjust(now, b.part.Interval)
	}
	b.rate = rate
	return rate
}

// revoke ends the turns that were reserved.
func (b *budget) revoke() {
	if b.revoked != nil {
		close(b.revoked)
		b.revoked = nil
	}
}

// Turn is a moment at which this daemon may send a request to an instance.
type Turn struct {
	// Wait is the time until then; 0 is at once. Where None is set it is the time until
	// another daemon may.
	Wait time.Duration
	// None is set where the whole budget of the instance is that of others.
	None bool
	// Revoked is closed if the turn does not hold any more; nil for one that has come.
	Revoked <-chan struct{}
}

// turn is when this daemon may send to an instance next. The lock is held.
func (t *Table) turn(e *entry, now time.Time) Turn {
	rate := t.renew(e, now)
	b := &e.budget
	wait := b.pace.Wait(now)
	switch _, limited := t.limitOf(e); {
	case math.IsInf(rate, 1):
		return Turn{}
	case limited && b.part.Interval == 0:
		return Turn{Wait: time.Duration(float64(time.Second) / rate), None: true}
	case limited:
		return Turn{Wait: wait}
	case b.part.Interval == 0:
		// Others send there until it is warm.
		return Turn{Wait: b.warmUntil.Sub(now)}
	default:
		return Turn{Wait: min(wait, b.warmUntil.Sub(now))}
	}
}

// isProbeDue reports whether an instance names a limit and this daemon has let a turn there
// lie unused. The lock is held.
func (t *Table) isProbeDue(e *entry, now time.Time) bool {
	if _, limited := t.limitOf(e); !limited || e.budget.part.Interval == 0 {
		return false
	}
	return e.budget.pace.Open(now) >= probeDelay
}

// Reserve takes this daemon's next turn at an instance: at once, but for one that warms up
// or names a limit. ok is false, and no turn is taken, when the instance must not be sent
// to, or only after more than most.
func (t *Table) Reserve(i Instance, most time.Duration) (turn Turn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e, there := t.entries[i.ID]
	if !there || !t.maySend(e, i, now) {
		return Turn{}, false
	}
	if turn = t.turn(e, now); turn.None || turn.Wait > most {
		return turn, false
	}
	b := &e.budget
	if b.part.Interval > 0 && turn.Wait == b.pace.Wait(now) {
		b.pace.Take(now, b.part.Interval)
	}
	if turn.Wait > 0 {
		if b.revoked == nil {
			b.revoked = make(chan struct{})
		}
		turn.Revoked = b.revoked
	}
	return turn, true
}
