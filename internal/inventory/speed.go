package inventory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

// Speeds contains samples of slowdown factors by instance.
type Speeds map[InstanceHash]speed.Sample

// ServiceUsual is what is usual for the requests of a service.
type ServiceUsual struct {
	// Hold is the time for which a request takes a slot; 0 if unknown.
	Hold time.Duration
	// Tokens is the memory that a request takes at an engine; 0 if unknown.
	Tokens float64
}

// factor returns the slowdown factor of an instance. The lock is held.
func (t *Table) factor(e *entry, now time.Time) speed.Factor {
	others, known := t.otherSpeeds[e.hash]
	if e.speed == nil && !known {
		return speed.Factor{}
	}
	return e.speed.Factor(others, now)
}

// estimator returns the estimator of an entry. The lock is held.
func (t *Table) estimator(e *entry) *speed.Estimator {
	if e.speed == nil {
		e.speed = &speed.Estimator{}
		t.sampled[e] = struct{}{}
	}
	return e.speed
}

// ObserveSpeed records an amount, mostly a time, that would be the usual one of its kind at an
// instance of usual speed. If atLeast is set, the true amount is larger, and the amount counts
// only if that alone shows that the instance is slower than assumed.
func (t *Table) ObserveSpeed(i Instance, k speed.Kind, amount float64, atLeast bool) {
	t.withEntry(i, func(e *entry) {
		now := t.clock.Now()
		var multiple float64
		var ok bool
		if atLeast {
			multiple, ok = t.usual.Multiple(k, amount)
			ok = ok && multiple > max(t.factor(e, now).Mean, 1)
		} else {
			multiple, ok = t.usual.Compare(k, amount, now)
		}
		if ok {
			t.estimator(e).Observe(multiple, now)
			t.unsent[e] = struct{}{}
		}
	})
}

// ObserveHold records the time for which a request of a service took a slot.
func (t *Table) ObserveHold(service string, held time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usual.Add(speed.Kind{Measure: speed.Hold, Name: service}, held.Seconds(), t.clock.Now())
}

// Usual returns what is usual for the requests of a service.
func (t *Table) Usual(service string) ServiceUsual {
	t.mu.Lock()
	defer t.mu.Unlock()
	hold := t.usual.Mean(speed.Kind{Measure: speed.Hold, Name: service}, 0)
	return ServiceUsual{
		Hold:   time.Duration(hold * float64(time.Second)),
		Tokens: t.usual.Mean(speed.Kind{Measure: speed.Tokens, Name: service}, 0),
	}
}

// MinSpeedWeight is the weight below which samples are neither sent nor kept. A single one has
// that weight after some 20 s.
const MinSpeedWeight = 1.0 / 16

// TakeSpeeds returns samples of this daemon that it has not returned before, of the n instances
// where they say most.
func (t *Table) TakeSpeeds(n int) Speeds {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	ranked := slices.SortedFunc(maps.Keys(t.unsent), func(a, b *entry) int {
		return cmp.Compare(b.speed.Unsent(now).Deviation(), a.speed.Unsent(now).Deviation())
	})
	out := Speeds{}
	for at, e := range ranked {
		unsent := e.speed.Unsent(now)
		if at < n && unsent.Weight >= MinSpeedWeight {
			out[e.hash] = unsent
		}
		if at < n || unsent.Weight < MinSpeedWeight {
			e.speed.MarkSent()
			delete(t.unsent, e)
		}
	}
	return out
}

// forgetSpeedAfter is the age of the last sample or report after which nothing is kept of an
// instance's speed. By then its factor has decayed to 1.
const forgetSpeedAfter = time.Minute

// MergeFleetSpeeds sets samples of all daemons, including this one, for the instances in fleet.
// Those received earlier for other instances stay until they are too old.
func (t *Table) MergeFleetSpeeds(fleet Speeds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for instance, all := range fleet {
		t.otherSpeeds[instance] = speed.Others{Sample: all, At: now}
	}
	for e := range t.sampled {
		if all, ok := fleet[e.hash]; ok {
			t.otherSpeeds[e.hash] = speed.Others{Sample: all.Without(e.speed.Sent(now)), At: now}
		}
		if e.removed || e.speed.Factor(speed.Others{}, now).Age > forgetSpeedAfter {
			e.speed = nil
			delete(t.sampled, e)
			delete(t.unsent, e)
		}
	}
	maps.DeleteFunc(t.otherSpeeds, func(_ InstanceHash, o speed.Others) bool {
		return o.Weight < MinSpeedWeight || now.Sub(o.At) > forgetSpeedAfter
	})
}

// UnseenFor returns the time for which the requests of other daemons are unknown. Work that was
// known before has then mostly been done, so there is no need to tell longer times apart.
func (t *Table) UnseenFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.clock.Now(); t.fleetKnown(now) {
		return min(now.Sub(t.fleetAt), fleetHalfLife)
	}
	return fleetHalfLife
}

// meanTokensWeight is the weight of a request in the mean of an instance. A daemon sends an engine
// one request in some seconds; with a smaller weight the mean follows too late, and more requests
// are refused for want of memory.
const meanTokensWeight = 1.0 / 4

// HoldTokens counts memory that a request of this daemon takes at an instance, until ReleaseTokens
// is called.
func (t *Table) HoldTokens(i Instance, tokens float64) {
	t.withEntry(i, func(e *entry) {
		kind := speed.Kind{Measure: speed.Tokens, Name: e.instance.Service}
		t.usual.Add(kind, tokens, t.clock.Now())
		if e.meanTokens == 0 {
			e.meanTokens = t.usual.Mean(kind, tokens)
		}
		e.tokens += tokens
		e.meanTokens += meanTokensWeight * (tokens - e.meanTokens)
	})
}

// ReleaseTokens ends what HoldTokens began.
func (t *Table) ReleaseTokens(i Instance, tokens float64) {
	t.withEntry(i, func(e *entry) { e.tokens = max(e.tokens-tokens, 0) })
}
