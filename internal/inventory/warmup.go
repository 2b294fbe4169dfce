package inventory

import (
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/warmup"
)

// ownerTime is how long it is relied on whether this daemon owns a part of an instance's
// warm-up: daemons come and go within seconds.
const ownerTime = 500 * time.Millisecond

// warming is what is known of an instance's warm-up, and this daemon's part of it.
type warming struct {
	// until is when the instance bears all at the latest.
	until time.Time
	// assumed is set where nothing but the end of an evacuation tells of the warm-up.
	assumed bool
	pace    warmup.Pace
	// interval is this daemon's time between two requests there, 0 for none, as of
	// sharedAt.
	interval time.Duration
	sharedAt time.Time
}

// Share is this daemon's part of what a warming instance bears: the time between two
// requests; 0 is no part.
type Share func(instance string, rate float64) time.Duration

// SetWarmUps takes in what instances bear while they warm up, by service, and how that is
// shared out.
func (t *Table) SetWarmUps(byService map[string]catalog.WarmUp, share Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUps, t.share = byService, share
}

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
	case !e.warming.assumed:
		e.warming.until = time.Time{}
	}
}

// warm begins or goes on with a warm-up. The lock is held.
func (t *Table) warm(e *entry, until time.Time, assumed bool) {
	now := t.clock.Now()
	if !now.Before(e.warming.until) {
		e.warming = warming{}
		e.warming.pace.Start(now, t.interval(e, now))
	}
	e.warming.until, e.warming.assumed = until, assumed
}

// isWarming reports whether an instance bears only a part of what it will. The lock is
// held.
func (t *Table) isWarming(e *entry, now time.Time) bool {
	return now.Before(e.warming.until) && t.warmUps[e.instance.Service].Rate > 0
}

// interval is this daemon's time between two requests to a warming instance; 0 is none.
// The lock is held.
func (t *Table) interval(e *entry, now time.Time) time.Duration {
	w := &e.warming
	if w.sharedAt.IsZero() || now.Sub(w.sharedAt) > ownerTime {
		w.sharedAt = now
		w.interval = t.share(e.instance.ID, t.warmUps[e.instance.Service].Rate)
	}
	return w.interval
}

// wait is the time until this daemon may send to an instance; 0 is at once. The lock is
// held.
func (t *Table) wait(e *entry, now time.Time) time.Duration {
	if !t.isWarming(e, now) {
		return 0
	}
	left := e.warming.until.Sub(now)
	if t.interval(e, now) == 0 {
		// Others send there until it is warm.
		return left
	}
	return min(e.warming.pace.Wait(now), left)
}

// Reserve takes this daemon's next turn at an instance, and returns the time until then:
// nothing, but for one that warms up. ok is false, and no turn is taken, when the instance
// must not be sent to, or only after more than most.
func (t *Table) Reserve(i Instance, most time.Duration) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e, there := t.entries[i.ID]
	if !there || !t.maySend(e, i, now) {
		return 0, false
	}
	if wait = t.wait(e, now); wait > most {
		return 0, false
	}
	if t.isWarming(e, now) && wait < e.warming.until.Sub(now) {
		wait = e.warming.pace.Take(now, t.interval(e, now))
	}
	return wait, true
}
