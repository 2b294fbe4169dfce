package terms

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Effective are the terms of an organisation that are in force.
type Effective struct {
	Values
	// Override is the override that set them; nil if the settings declare them.
	Override *Override
}

// Transition is a change of the terms that are in force.
type Transition struct {
	Organisation string
	Effective
	// Ended says why these terms are no longer in force; it is empty if they have come into force.
	Ended Cause
	// By is the override that ended them; nil if none did.
	By *Override
}

// Cause is why terms have ended.
type Cause string

// Causes.
const (
	// Expired: the time of the override is over. Cleared: an operator has cleared it.
	Expired Cause = "expired"
	Cleared Cause = "cleared"
	// Replaced: a newer override is in force.
	Replaced Cause = "replaced"
	// NotApplied: no service is divided between organisations any more.
	NotApplied Cause = "not_applied"
)

// kept is an override with its times on this daemon's clock.
type kept struct {
	Override
	setAt, until time.Time
}

// at returns the override as of now.
func (k kept) at(now time.Time) Override {
	o := k.Override
	o.Age, o.Left = now.Sub(k.setAt), k.until.Sub(now)
	return o
}

// Book holds the declared terms and the overrides. Books that have merged the same overrides are
// equal, in whatever order they arrived.
//
// Lock order: no other lock is taken while mu is held.
type Book struct {
	declared map[string]Values

	mu        sync.Mutex
	overrides map[string]kept
	// reported are the terms that Transitions has reported as in force.
	reported map[string]Effective
}

// NewBook returns a Book without overrides.
func NewBook(declared Declared) *Book {
	return &Book{declared: declared.Values(), overrides: map[string]kept{}}
}

// Merge adds the overrides that are newer than those in the book, and returns these. Malformed
// ones are left out.
func (b *Book) Merge(overrides []Override, now time.Time) []Override {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	var changed []Override
	for _, o := range overrides {
		old, known := b.overrides[o.Organisation]
		if o.Check() != nil || o.Age > KeepTime || known && old.Version >= o.Version || !known && len(b.overrides) >= maxOverrides {
			continue
		}
		o.Age, o.Left = max(o.Age, 0), min(o.Left, MaxDuration)
		b.overrides[o.Organisation] = kept{Override: o, setAt: now.Add(-o.Age), until: now.Add(o.Left)}
		changed = append(changed, o)
	}
	return changed
}

// forget removes overrides that were set more than KeepTime ago. The lock is held.
func (b *Book) forget(now time.Time) {
	maps.DeleteFunc(b.overrides, func(_ string, k kept) bool { return now.Sub(k.setAt) > KeepTime })
}

// Overrides returns all overrides by organisation, including those that have ended.
func (b *Book) Overrides(now time.Time) []Override {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	out := make([]Override, 0, len(b.overrides))
	for _, k := range b.overrides {
		out = append(out, k.at(now))
	}
	slices.SortFunc(out, func(x, y Override) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return out
}

// Checksum returns the same value for books with the same overrides, and 0 if there are none.
func (b *Book) Checksum(now time.Time) uint64 {
	sum := uint64(0)
	for _, o := range b.Overrides(now) {
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(o.Organisation), uint64(o.Version)))
	}
	return sum
}

// InForce returns the terms in force by organisation.
func (b *Book) InForce(now time.Time) map[string]Effective {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inForce(now)
}

// inForce is InForce with the lock held.
func (b *Book) inForce(now time.Time) map[string]Effective {
	out := make(map[string]Effective, len(b.declared)+len(b.overrides))
	for organisation, v := range b.declared {
		out[organisation] = Effective{Values: v}
	}
	for organisation, k := range b.overrides {
		if o := k.at(now); o.inForce() {
			out[organisation] = Effective{Values: o.Values, Override: &o}
		}
	}
	return out
}

// ValuesOf returns the values of terms.
func ValuesOf(all map[string]Effective) map[string]Values {
	out := make(map[string]Values, len(all))
	for organisation, e := range all {
		out[organisation] = e.Values
	}
	return out
}

// Transitions returns which terms have come into force and ended since the last call, the ended
// ones first. If applies is false, none are in force.
func (b *Book) Transitions(now time.Time, applies bool) []Transition {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[string]Effective{}
	if applies {
		next = b.inForce(now)
	}
	var ended, begun []Transition
	for _, organisation := range slices.Sorted(maps.Keys(b.reported)) {
		if old := b.reported[organisation]; !sameTerms(old, next[organisation]) {
			ended = append(ended, b.ending(organisation, old, applies))
		}
	}
	for _, organisation := range slices.Sorted(maps.Keys(next)) {
		if e := next[organisation]; !sameTerms(e, b.reported[organisation]) {
			begun = append(begun, Transition{Organisation: organisation, Effective: e})
		}
	}
	b.reported = next
	return append(ended, begun...)
}

// ending returns the end of terms that were in force. The lock is held.
func (b *Book) ending(organisation string, old Effective, applies bool) Transition {
	t := Transition{Organisation: organisation, Effective: old, Ended: Expired}
	newest, known := b.overrides[organisation]
	switch {
	case !applies:
		t.Ended = NotApplied
	case known && (old.Override == nil || newest.Version > old.Override.Version):
		t.Ended, t.By = Replaced, &newest.Override
		if newest.Cleared {
			t.Ended = Cleared
		}
	}
	return t
}

// sameTerms reports whether terms come from the same override or from the settings. No terms in
// force have the zero weight.
func sameTerms(x, y Effective) bool {
	if x.Override != nil && y.Override != nil {
		return x.Override.Version == y.Override.Version
	}
	return x.Override == nil && y.Override == nil && x.Values == y.Values
}

// Plan returns the override that carries out a change, which is stored at storeMS on the store's
// clock. It returns trace.CompareFailed if the change is not based on the override in force, and
// trace.BadParameter with the name of the field if the change is refused.
func (b *Book) Plan(c Change, now time.Time, storeMS int64) (Override, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	old, known := b.overrides[c.Organisation]
	last, inForce := old.at(now), b.inForce(now)
	switch {
	case known && last.inForce() && last.Version != c.Base:
		return Override{}, trace.CompareFailed("%s: the override has changed: version %d was set by %q (%s)", c.Organisation, last.Version, last.Who, last.Reason)
	case !last.inForce() && c.Base != 0:
		return Override{}, trace.CompareFailed("%s: the override has changed: version %d is no longer in force", c.Organisation, c.Base)
	case !last.inForce() && c.Clear:
		return Override{}, trace.NotFound("%s: has no override", c.Organisation)
	case !known && len(b.overrides) >= maxOverrides:
		return Override{}, trace.BadParameter("organisation: %d overrides were set within %v, which is the most", maxOverrides, MaxDuration)
	}
	next := last
	next.Version = max(storeMS, last.Version+1)
	if c.Clear {
		next.Cleared, next.Who, next.Age = true, c.Who, 0
		if c.Reason != "" {
			next.Reason = c.Reason
		}
	} else {
		present := DefaultValues
		if e, ok := inForce[c.Organisation]; ok {
			present = e.Values
		}
		next = Override{Organisation: c.Organisation, Values: c.Given.over(present), Who: c.Who, Reason: c.Reason, Version: next.Version, Left: c.duration()}
		if err := checkDuration(next.Left); err != nil {
			return Override{}, err
		}
	}
	if err := next.Check(); err != nil {
		return Override{}, err
	}
	return next, b.checkMinimums(next, now)
}

// checkMinimums returns an error if the change takes the minimums above 1 together, now or when an
// override ends: what the settings declare then comes back. The lock is held.
func (b *Book) checkMinimums(next Override, now time.Time) error {
	until := now.Add(next.Left)
	times := []time.Time{now, until}
	for _, k := range b.overrides {
		if k.until.After(now) {
			times = append(times, k.until)
		}
	}
	for _, at := range times {
		values := ValuesOf(b.inForce(at))
		before := sumOfMinimums(values)
		delete(values, next.Organisation)
		if !next.Cleared && at.Before(until) {
			values[next.Organisation] = next.Values
		} else if declared, ok := b.declared[next.Organisation]; ok {
			values[next.Organisation] = declared
		}
		// Settings that differ between daemons may exceed 1 already. Changes that do not add to it
		// are accepted then.
		if sum := sumOfMinimums(values); sum > 1+rounding && sum > before+rounding {
			return trace.BadParameter("minimum: the minimums would be %.4g together in %v, more than 1", sum, at.Sub(now).Round(time.Second))
		}
	}
	return nil
}
