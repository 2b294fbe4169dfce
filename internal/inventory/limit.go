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
	// limitTime is how long a limit that was lifted, or whose instance is not listed, is
	// remembered: late news must not bring it back.
	limitTime = 10 * time.Minute
	// toldLimitTime is how long a change of a limit is told to others, and maxToldLimits
	// how many at once: some rounds of heartbeats.
	toldLimitTime = 4 * time.Second
	maxToldLimits = 32
	// maxLimits bounds the limits remembered.
	maxLimits = 20_000
)

// Limit is what one life of an instance says of how many requests a second it takes of all
// daemons together.
type Limit struct {
	Life Life
	Rate float64
	// Lifted is set once its answers name no limit any more.
	Lifted bool
	// Version orders what daemons say of the same life. A daemon that finds what it knows
	// to have changed says so with the next version. Of two with the same version the
	// lower rate counts.
	Version uint64
}

// replaces reports whether a word about a life goes before another.
func (l Limit) replaces(old Limit) bool {
	switch {
	case l.Version != old.Version:
		return l.Version > old.Version
	case l.Lifted != old.Lifted:
		return old.Lifted
	default:
		return !l.Lifted && l.Rate < old.Rate
	}
}

// Log writes the one line of a change of a limit.
func (l Limit) Log(source string) {
	event := "instance.limited"
	if l.Lifted {
		event = "instance.limit_lifted"
	}
	slog.Info(event, "instance", l.Life.ID, "per_s", l.Rate, "version", l.Version, "source", source)
}

// limitWord is a limit with when it was learned.
type limitWord struct {
	Limit
	at time.Time
}

// NoteLimit takes in the limit that an instance named in an answer. It returns what is known
// now, and whether that is news.
func (t *Table) NoteLimit(i Instance, rate float64) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.limits[i.Life()]
	if known && !old.Lifted && old.Rate == rate {
		return old.Limit, false
	}
	l := Limit{Life: i.Life(), Rate: rate, Version: old.Version + 1}
	return l, t.setLimit(l)
}

// NoteNoLimit takes in that an instance named no limit in the answer to a request that was
// sent at some time. It returns what is known now, and whether that is news.
//
// The answer to a request that was sent before the limit was known here may have been
// written before the limit was.
func (t *Table) NoteNoLimit(i Instance, sent time.Time) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.limits[i.Life()]
	if !known || old.Lifted || !sent.After(old.at) {
		return old.Limit, false
	}
	l := Limit{Life: i.Life(), Lifted: true, Version: old.Version + 1}
	return l, t.setLimit(l)
}

// LearnLimits takes in limits that another daemon knows, and returns those that were news.
func (t *Table) LearnLimits(limits []Limit) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Limit
	for _, l := range limits {
		if old, known := t.limits[l.Life]; (!known || l.replaces(old.Limit)) && t.setLimit(l) {
			news = append(news, l)
		}
	}
	return news
}

// setLimit puts a limit in force, unless there are too many. The lock is held.
func (t *Table) setLimit(l Limit) bool {
	if _, known := t.limits[l.Life]; !known && len(t.limits) >= maxLimits {
		return false
	}
	now := t.clock.Now()
	t.limits[l.Life] = limitWord{Limit: l, at: now}
	if e, ok := t.entries[l.Life.ID]; ok && e.instance.Life() == l.Life {
		t.renew(e, now)
	}
	return true
}

// limitOf is the limit in force of an instance. The lock is held.
func (t *Table) limitOf(e *entry) (rate float64, ok bool) {
	if len(t.limits) == 0 {
		return 0, false
	}
	l, known := t.limits[e.instance.Life()]
	return l.Rate, known && !l.Lifted
}

// LimitsLately returns the limits that changed in the last seconds, newest first.
func (t *Table) LimitsLately() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var lately []limitWord
	for _, l := range t.limits {
		if now.Sub(l.at) <= toldLimitTime {
			lately = append(lately, l)
		}
	}
	slices.SortFunc(lately, func(a, b limitWord) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Life.ID, b.Life.ID))
	})
	return limitsOf(lately[:min(len(lately), maxToldLimits)])
}

// Limits returns all that is known of limits, lifted ones included.
func (t *Table) Limits() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]limitWord, 0, len(t.limits))
	for _, l := range t.limits {
		all = append(all, l)
	}
	return limitsOf(all)
}

func limitsOf(words []limitWord) []Limit {
	out := make([]Limit, len(words))
	for i, w := range words {
		out[i] = w.Limit
	}
	return out
}

// Limited is the number of limits in force, and sum is equal at daemons that know the same
// ones; 0 is none.
func (t *Table) Limited() (count int, sum uint64) {
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

// forgetLimits drops what was lifted long ago, and what instances said that are not listed
// any more. The lock is held.
func (t *Table) forgetLimits(now time.Time) {
	for life, l := range t.limits {
		e, listed := t.entries[life.ID]
		inForce := !l.Lifted && listed && e.instance.Life() == life
		if !inForce && now.Sub(l.at) > limitTime {
			delete(t.limits, life)
		}
	}
}
