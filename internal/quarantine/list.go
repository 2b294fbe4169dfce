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
	// Duration is how long a request is quarantined. Then it is admitted again, since the
	// version that it crashed may have been fixed. If not, this costs at most one instance in
	// this time, plus those that the request reaches at the same moment.
	Duration = 10 * time.Minute
	// probation is how long after the quarantine a single crash quarantines the request again.
	probation = Duration
	// maxEntries bounds the list: 2,000 requests of some 300 bytes. Each entry takes three
	// crashed instances to create.
	maxEntries = 2000
)

// Entry is a request that is or was quarantined.
type Entry struct {
	Suspect
	// Ended are the IDs of the instances that ended while running it.
	Ended []string
	// Released is set when the quarantine was ended early: by an operator, or because the
	// request completed.
	Released bool
	// Stamp orders the entries for the same request: the highest is the newest. It is the wall
	// clock of the daemon that made the entry, in milliseconds, or the previous stamp plus 1
	// if that is higher.
	Stamp int64
	// Left is the remaining quarantine at the time the entry was sent; 0 or less when it has
	// expired.
	Left time.Duration
}

type entry struct {
	Entry
	until time.Time
}

// List holds the quarantined requests. Lists that have merged the same entries are equal, in
// whatever order the entries arrived.
//
// Lock order: no other lock is taken while mu is held. The lock of an Evidence may be held when
// mu is taken, by the functions that Suspected and Culprits call.
type List struct {
	clock clockwork.Clock

	mu      sync.Mutex
	entries map[Digest]*entry
}

// NewList returns an empty list.
func NewList(clock clockwork.Clock) *List {
	return &List{clock: clock, entries: map[Digest]*entry{}}
}

// Refused returns the remaining quarantine of a request; refused is false if there is none.
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

// QuarantinedOrOnProbation reports whether a request is quarantined or on probation.
func (l *List) QuarantinedOrOnProbation(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[d]
	return ok && !e.Released
}

// OnProbation reports whether the quarantine of a request has expired recently. It is false
// for one that was ended early by Release.
func (l *List) OnProbation(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[d]
	return ok && !e.Released && l.clock.Since(e.until) >= 0
}

// Quarantine adds a request and returns the entry to send to the other daemons.
func (l *List) Quarantine(c SuspectCrashes) Entry {
	e := Entry{Suspect: c.Suspect, Ended: c.Ended, Left: Duration}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.nextStamp(c.Digest)
	l.put(e)
	return e
}

// Release ends the quarantine of a request and returns the entry to send to the other daemons;
// ok is false if the request has none.
func (l *List) Release(d Digest) (e Entry, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.entries[d]
	if !ok || old.Released {
		return Entry{}, false
	}
	e = old.Entry
	e.Released, e.Stamp, e.Left = true, l.nextStamp(d), old.until.Sub(l.clock.Now())
	l.put(e)
	return e, true
}

// nextStamp returns a stamp higher than that of the present entry for d.
func (l *List) nextStamp(d Digest) int64 {
	now := l.clock.Now().UnixMilli()
	if old, ok := l.entries[d]; ok {
		return max(now, old.Stamp+1)
	}
	return now
}

// Merge adds the entries received that are newer than those in the list, and returns these.
func (l *List) Merge(entries []Entry) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Entry
	for _, e := range entries {
		if old, ok := l.entries[e.Digest]; ok && old.Stamp >= e.Stamp {
			continue
		}
		e.Left = min(e.Left, Duration)
		l.put(e)
		changed = append(changed, e)
	}
	return changed
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

// Expire removes the requests whose probation is over.
func (l *List) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for d, e := range l.entries {
		if l.clock.Since(e.until) > probation {
			delete(l.entries, d)
		}
	}
}

// Entries returns the list, newest entry first.
func (l *List) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		copied := e.Entry
		copied.Left = e.until.Sub(l.clock.Now())
		out = append(out, copied)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Stamp, a.Stamp), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return out
}

// Checksum returns the same value at daemons with the same list, and 0 for an empty list.
func (l *List) Checksum() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := uint64(0)
	for _, e := range l.entries {
		if l.clock.Since(e.until) >= 0 {
			// Daemons remove expired entries at slightly different times.
			continue
		}
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64(e.Digest[:], uint64(e.Stamp)))
	}
	return sum
}
