package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// Time is how long a request is refused. Then it gets one chance, since the
	// version that it crashed may be mended: it costs at most one instance in this
	// time, and those that it reaches at the same moment.
	Time = 10 * time.Minute
	// provenTime is how long after that one crash more is enough.
	provenTime = Time
	// maxEntries bounds the list: 2,000 requests of some 300 bytes. Each took three
	// crashed instances to get on it.
	maxEntries = 2000
)

// Entry is a quarantined request, or one that an operator has released.
type Entry struct {
	Suspect
	// Ended are the IDs of the instances that ended under it.
	Ended []string
	// Released is set when an operator has ended the quarantine.
	Released bool
	// Stamp orders what is said of the same request, the higher one being newer. It is
	// the time of day of the daemon that said it, in milliseconds.
	Stamp int64
	// Left is for how long the request is still refused, from when this was told; it
	// is 0 or less when it is not any more.
	Left time.Duration
}

type entry struct {
	Entry
	until time.Time
}

// List has the quarantined requests. Lists of two daemons that have taken in the same
// entries, in any order, are equal.
//
// Lock order: mu is taken alone.
type List struct {
	clock clockwork.Clock

	mu      sync.Mutex
	entries map[Digest]*entry
}

// NewList returns an empty list.
func NewList(clock clockwork.Clock) *List {
	return &List{clock: clock, entries: map[Digest]*entry{}}
}

// Refused returns for how long a request is still refused.
func (l *List) Refused(d Digest) (left time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[d]
	if !ok || e.Released {
		return 0, false
	}
	left = e.until.Sub(l.clock.Now())
	return left, left > 0
}

// Held reports whether a request is quarantined, or was until a short time ago.
func (l *List) Held(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[d]
	return ok && !e.Released
}

// Proven reports whether a request was quarantined until a short time ago, and not
// released.
func (l *List) Proven(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[d]
	return ok && !e.Released && l.clock.Since(e.until) >= 0
}

// Quarantine adds a request, and returns what to tell others.
func (l *List) Quarantine(c Case) Entry {
	e := Entry{Suspect: c.Suspect, Ended: c.Ended, Left: Time}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.stamp(c.Digest)
	l.put(e)
	return e
}

// Release ends the quarantine of a request, and returns what to tell others; ok is false
// when it has none.
func (l *List) Release(d Digest) (e Entry, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.entries[d]
	if !ok || old.Released {
		return Entry{}, false
	}
	e = old.Entry
	e.Released, e.Stamp, e.Left = true, l.stamp(d), old.until.Sub(l.clock.Now())
	l.put(e)
	return e, true
}

// stamp is higher than that of what is known of a request.
func (l *List) stamp(d Digest) int64 {
	now := l.clock.Now().UnixMilli()
	if old, ok := l.entries[d]; ok {
		return max(now, old.Stamp+1)
	}
	return now
}

// Learn takes in what a peer tells, and returns what of it is news.
func (l *List) Learn(told []Entry) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []Entry
	for _, e := range told {
		if old, ok := l.entries[e.Digest]; ok && old.Stamp >= e.Stamp {
			continue
		}
		e.Left = min(e.Left, Time)
		l.put(e)
		news = append(news, e)
	}
	return news
}

func (l *List) put(e Entry) {
	l.entries[e.Digest] = &entry{Entry: e, until: l.clock.Now().Add(e.Left)}
	if len(l.entries) > maxEntries {
		l.dropOldest()
	}
}

func (l *List) dropOldest() {
	var oldest *entry
	for _, e := range l.entries {
		if oldest == nil || e.until.Before(oldest.until) {
			oldest = e
		}
	}
	delete(l.entries, oldest.Digest)
}

// Expire forgets requests whose quarantine has been over for some time.
func (l *List) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for d, e := range l.entries {
		if l.clock.Since(e.until) > provenTime {
			delete(l.entries, d)
		}
	}
}

// Entries returns the list, newest first.
func (l *List) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		one := e.Entry
		one.Left = e.until.Sub(l.clock.Now())
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Stamp, a.Stamp), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return out
}

// Sum is equal at daemons that have the same list, and 0 for an empty one.
func (l *List) Sum() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := uint64(0)
	for _, e := range l.entries {
		if l.clock.Since(e.until) >= 0 {
			// Daemons forget these at slightly different times.
			continue
		}
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64(e.Digest[:], uint64(e.Stamp)))
	}
	return sum
}
