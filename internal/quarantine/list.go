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

// Entry is a request, or all requests with certain parts, that are or were quarantined.
type Entry struct {
	// Suspect is the request. If RefusedParts are set, its Digest identifies the entry.
	Suspect
	// RefusedParts are the parts that a request must have, all of them, to be refused; none if only
	// the one request is. Shared is set if they are refused for all organisations.
	RefusedParts []string
	Shared       bool
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

// Refuses reports whether the entry is about a request.
func (e *Entry) Refuses(s *Suspect) bool {
	if len(e.RefusedParts) == 0 {
		return e.Digest == s.Digest
	}
	if !e.Shared && e.Organisation != s.Organisation {
		return false
	}
	return !slices.ContainsFunc(e.RefusedParts, func(part string) bool { return !slices.Contains(s.Parts, part) })
}

// trait returns a trait that all requests have which the entry refuses.
func (e *Entry) trait() Trait {
	if len(e.RefusedParts) == 0 {
		return Trait{Request: e.Digest}
	}
	return Trait{Part: e.RefusedParts[0], Organisation: e.Organisation, Shared: e.Shared}
}

type entry struct {
	Entry
	until time.Time
}

// List holds the quarantined requests. Lists that have merged the same entries are equal, in
// whatever order the entries arrived.
//
// Lock order: no other lock is taken while mu is held. The lock of an Evidence may be held when
// mu is taken, by the methods of Verdicts.
type List struct {
	clock clockwork.Clock

	mu      sync.Mutex
	entries map[Digest]*entry
	// byPart has the entries with RefusedParts by the first of them.
	byPart map[string][]*entry
}

// NewList returns an empty list.
func NewList(clock clockwork.Clock) *List {
	return &List{clock: clock, entries: map[Digest]*entry{}, byPart: map[string][]*entry{}}
}

// find returns the first entry about a request that accept accepts, or nil. The lock is held.
func (l *List) find(s *Suspect, accept func(e *entry) bool) *entry {
	if e, ok := l.entries[s.Digest]; ok && accept(e) {
		return e
	}
	if len(l.byPart) == 0 {
		return nil
	}
	for _, part := range s.Parts {
		for _, e := range l.byPart[part] {
			if e.Refuses(s) && accept(e) {
				return e
			}
		}
	}
	return nil
}

// isRefused reports whether an entry is in force. The lock is held.
func (l *List) isRefused(e *entry) bool { return !e.Released && e.until.After(l.clock.Now()) }

// Refused returns the entry that refuses a request, with the remaining time; refused is false if there
// is none.
func (l *List) Refused(s *Suspect) (found Entry, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(s, l.isRefused)
	if e == nil {
		return Entry{}, false
	}
	found = e.Entry
	found.Left = e.until.Sub(l.clock.Now())
	return found, true
}

// Explains implements Verdicts.
func (l *List) Explains(s *Suspect) (verdict Digest, yes bool) {
	e, yes := l.Refused(s)
	return e.Digest, yes
}

// ToRelease returns the digest of an entry that refuses a request, or did until recently; ok is false
// if there is none. An entry that was ended early by Release is not returned.
func (l *List) ToRelease(s *Suspect) (d Digest, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(s, func(e *entry) bool { return !e.Released })
	if e == nil {
		return Digest{}, false
	}
	return e.Digest, true
}

// OnProbation implements Verdicts: it returns the entry that has expired recently. There is none if it
// was ended early by Release.
func (l *List) OnProbation(s *Suspect) (found Entry, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(s, func(e *entry) bool { return !e.Released && l.clock.Since(e.until) >= 0 })
	if e == nil {
		return Entry{}, false
	}
	return e.Entry, true
}

// Quarantine adds a verdict and returns the entry to send to the other daemons.
func (l *List) Quarantine(v Verdict) Entry {
	e := v.Entry
	e.Left, e.Released = Duration, false
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.nextStamp(e.Digest)
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
	l.remove(e.Digest)
	added := &entry{Entry: e, until: l.clock.Now().Add(e.Left)}
	l.entries[e.Digest] = added
	if len(e.RefusedParts) > 0 {
		l.byPart[e.RefusedParts[0]] = append(l.byPart[e.RefusedParts[0]], added)
	}
	if len(l.entries) > maxEntries {
		l.dropOldest()
	}
}

func (l *List) remove(d Digest) {
	old, ok := l.entries[d]
	if !ok {
		return
	}
	delete(l.entries, d)
	if len(old.RefusedParts) == 0 {
		return
	}
	part := old.RefusedParts[0]
	l.byPart[part] = slices.DeleteFunc(l.byPart[part], func(e *entry) bool { return e == old })
	if len(l.byPart[part]) == 0 {
		delete(l.byPart, part)
	}
}

func (l *List) dropOldest() {
	var oldest *entry
	for _, e := range l.entries {
		if oldest == nil || e.until.Before(oldest.until) {
			oldest = e
		}
	}
	l.remove(oldest.Digest)
}

// Expire removes the requests whose probation is over.
func (l *List) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for d, e := range l.entries {
		if l.clock.Since(e.until) > probation {
			l.remove(d)
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
