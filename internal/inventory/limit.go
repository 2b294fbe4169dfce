package inventory

import (
	"cmp"
	"encoding/binary"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// limitTime is how long a limit that is lifted, or whose instance is not listed, stays
	// recorded after its last change. Without the record, a delayed message would put the
	// limit in force again.
	limitTime = 10 * time.Minute
	// limitGossipTime is how long peers are sent a change of a limit, and maxLimitGossip the
	// maximum number of changes per message. The time covers several heartbeat rounds.
	limitGossipTime = 4 * time.Second
	maxLimitGossip  = 32
	// maxLimits limits the number of records.
	maxLimits = 20_000
)

// Limit is the number of requests per second that one incarnation of an instance accepts from
// all daemons together.
type Limit struct {
	Life Incarnation
	Rate float64
	// Lifted is set when the answers of the instance no longer contain a limit.
	Lifted bool
	// Version orders the reports about the same incarnation. A daemon that observes a change
	// increments it. If the versions are equal, a limit in force supersedes a lifted one, and a
	// lower rate supersedes a higher one.
	Version uint64
}

// supersedes reports whether l replaces old, a limit of the same incarnation.
func (l Limit) supersedes(old Limit) bool {
	switch {
	case l.Version != old.Version:
		return l.Version > old.Version
	case l.Lifted != old.Lifted:
		return old.Lifted
	default:
		return !l.Lifted && l.Rate < old.Rate
	}
}

// Log logs a change of a limit.
func (l Limit) Log(source string) {
	event := "instance.limited"
	if l.Lifted {
		event = "instance.limit_lifted"
	}
	slog.Info(event, "instance", l.Life.ID, "per_s", l.Rate, "version", l.Version, "source", source)
}

// limitRecord is a limit and the time at which this daemon learned of it.
type limitRecord struct {
	Limit
	learnedAt time.Time
}

// NoteLimit records the limit that an instance sent with an answer. It returns the current
// limit and whether it has changed.
func (t *Table) NoteLimit(i Instance, rate float64) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.limits[i.Incarnation()]
	if known && !old.Lifted && old.Rate == rate {
		return old.Limit, false
	}
	l := Limit{Life: i.Incarnation(), Rate: rate, Version: old.Version + 1}
	return l, t.setLimit(l)
}

// NoteNoLimit records that an instance sent no limit with the answer to a request that was
// sent at the given time. It returns the current limit and whether it has changed.
//
// An answer to a request sent before the limit was learned does not lift it, because the
// instance may have written that answer before it set the limit.
func (t *Table) NoteNoLimit(i Instance, sent time.Time) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.limits[i.Incarnation()]
	if !known || old.Lifted || !sent.After(old.learnedAt) {
		return old.Limit, false
	}
	l := Limit{Life: i.Incarnation(), Lifted: true, Version: old.Version + 1}
	return l, t.setLimit(l)
}

// MergeLimits merges limits from another daemon and returns those that changed something.
func (t *Table) MergeLimits(limits []Limit) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Limit
	for _, l := range limits {
		if old, known := t.limits[l.Life]; (!known || l.supersedes(old.Limit)) && t.setLimit(l) {
			changed = append(changed, l)
		}
	}
	return changed
}

// setLimit stores a limit. It returns false if there are too many. The lock is held.
func (t *Table) setLimit(l Limit) bool {
	if _, known := t.limits[l.Life]; !known && len(t.limits) >= maxLimits {
		return false
	}
	now := t.clock.Now()
	t.limits[l.Life] = limitRecord{Limit: l, learnedAt: now}
	if e, ok := t.entries[l.Life.ID]; ok && e.instance.Incarnation() == l.Life {
		t.refreshShare(e, now)
	}
	return true
}

// limitOf returns the limit of an instance and whether one is in force. The lock is held.
func (t *Table) limitOf(e *entry) (rate float64, ok bool) {
	if len(t.limits) == 0 {
		return 0, false
	}
	l, known := t.limits[e.instance.Incarnation()]
	return l.Rate, known && !l.Lifted
}

// RecentLimits returns the limits that changed within limitGossipTime, newest first, and at
// most maxLimitGossip of them.
func (t *Table) RecentLimits() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var recent []limitRecord
	for _, l := range t.limits {
		if now.Sub(l.learnedAt) <= limitGossipTime {
			recent = append(recent, l)
		}
	}
	slices.SortFunc(recent, func(a, b limitRecord) int {
		return cmp.Or(b.learnedAt.Compare(a.learnedAt), cmp.Compare(a.Life.ID, b.Life.ID))
	})
	return limitsOf(recent[:min(len(recent), maxLimitGossip)])
}

// Limits returns all known limits, including lifted ones.
func (t *Table) Limits() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]limitRecord, 0, len(t.limits))
	for _, l := range t.limits {
		all = append(all, l)
	}
	return limitsOf(all)
}

func limitsOf(records []limitRecord) []Limit {
	out := make([]Limit, len(records))
	for i, r := range records {
		out[i] = r.Limit
	}
	return out
}

// LimitsInForce returns the number of limits in force and a checksum of them. Daemons that
// know the same limits have the same checksum; it is 0 if there are none.
func (t *Table) LimitsInForce() (count int, sum uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.limits {
		if !l.Lifted {
			count++
			sum += l.hash()
		}
	}
	return count, sum
}

func (l Limit) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(l.Life.ID)
	var rest [24]byte
	binary.LittleEndian.PutUint64(rest[:], uint64(l.Life.Born))
	binary.LittleEndian.PutUint64(rest[8:], math.Float64bits(l.Rate))
	binary.LittleEndian.PutUint64(rest[16:], l.Version)
	_, _ = h.Write(rest[:])
	return h.Sum64()
}

// forgetLimits deletes records older than limitTime if the limit is lifted or its incarnation
// is no longer listed. The lock is held.
func (t *Table) forgetLimits(now time.Time) {
	for inc, l := range t.limits {
		e, listed := t.entries[inc.ID]
		inForce := !l.Lifted && listed && e.instance.Incarnation() == inc
		if !inForce && now.Sub(l.learnedAt) > limitTime {
			delete(t.limits, inc)
		}
	}
}
