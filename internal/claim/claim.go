// Package claim keeps a request with an idempotency key from running more
// than once.
//
// Every key has one home daemon: the incarnation in the prefix that discovery
// gave the caller, or, for a key without a prefix, the incarnation that
// inserted the key's row in the table. Only the owner of a key runs it. The
// home owns a key until another daemon takes it over; the home then leaves a
// tombstone that names the new owner, in the critical section in which it
// gives the key away. So from the home a chain of tombstones leads to the one
// owner, however often and late messages arrive.
package claim

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Lifetime is how long after its issue a key may start a run, and Slack how
// much longer its outcome is remembered: for clocks that differ and for
// daemons that were paused.
const (
	Lifetime = time.Hour
	Slack    = time.Hour
)

// Key is an idempotency key of an organisation.
type Key struct {
	Organisation string
	Value        string
}

// Home is the daemon where a key starts, and when the key was issued.
type Home struct {
	Incarnation string
	Issued      time.Time
}

// Prefix returns the key prefix that discovery gives out for a daemon.
func Prefix(incarnation string, issued time.Time) string {
	return incarnation + "-" + strconv.FormatInt(issued.Unix(), 36)
}

// ParseHome reads the prefix of a key "<incarnation>-<issued>.<own>".
func ParseHome(value string) (Home, bool) {
	prefix, _, ok := strings.Cut(value, ".")
	if !ok {
		return Home{}, false
	}
	incarnation, stamp, ok := strings.Cut(prefix, "-")
	if !ok || len(incarnation) != IncarnationLen {
		return Home{}, false
	}
	seconds, err := strconv.ParseInt(stamp, 36, 64)
	if err != nil {
		return Home{}, false
	}
	return Home{Incarnation: incarnation, Issued: time.Unix(seconds, 0)}, true
}

// IncarnationLen is the length of an incarnation id.
const IncarnationLen = 26

// State is what a daemon knows of a key.
type State int

// States of a key at one daemon.
const (
	// Absent: the key was never here, or was given back without running.
	Absent State = iota
	// Asking: this daemon is asking for the key.
	Asking
	// Owned: the key runs here or has run here, as RequestID.
	Owned
	// Moved: the key was handed to MovedTo.
	Moved
)

// Entry is what a daemon knows of a key.
type Entry struct {
	State     State
	Digest    string
	RequestID string
	MovedTo   string
	// Until is when the entry may be forgotten.
	Until time.Time
}

// Outcome is the answer to Begin and Take.
type Outcome int

// Outcomes.
const (
	// Granted: the asker owns the key and may run it.
	Granted Outcome = iota
	// Known: the key was run as RequestID at this daemon.
	Known
	// Elsewhere: ask the incarnation in MovedTo.
	Elsewhere
	// Busy: the key is being asked for here; come back.
	Busy
	// Mismatch: the key stands for another request body.
	Mismatch
	// Expired: the key is too old to start a run.
	Expired
)

// Result is an Outcome with its details.
type Result struct {
	Outcome   Outcome
	RequestID string
	MovedTo   string
}

// Table holds the keys that a daemon knows.
//
// Lock order: mu is taken alone.
type Table struct {
	self  string
	clock clockwork.Clock

	mu      sync.Mutex
	entries map[Key]Entry
	// adopted are the homes whose keys this daemon answers for, since they
	// stopped and handed their keys over.
	adopted map[string]bool
}

// NewTable returns the table of a daemon.
func NewTable(self string, clock clockwork.Clock) *Table {
	return &Table{self: self, clock: clock, entries: map[Key]Entry{}, adopted: map[string]bool{}}
}

// IsHome reports whether this daemon answers for the keys of home.
func (t *Table) IsHome(home Home) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return home.Incarnation == t.self || t.adopted[home.Incarnation]
}

// Begin starts a request with key at this daemon. At the key's home, or where
// the key is already known, it decides at once. Otherwise it returns Elsewhere
// after noting that this daemon is asking; the caller must ask MovedTo and
// then call Settle.
func (t *Table) Begin(key Key, home Home, digest, requestID string) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.State == Moved {
		// The tombstone stands again if the key does not come back.
		to := entry.MovedTo
		t.entries[key] = Entry{State: Asking, Digest: digest, RequestID: requestID, MovedTo: to, Until: entry.Until}
		return Result{Outcome: Elsewhere, MovedTo: to}
	}
	if entry.State != Absent {
		return t.existing(entry, digest)
	}
	if t.expired(home) {
		return Result{Outcome: Expired}
	}
	isHome := home.Incarnation == t.self || t.adopted[home.Incarnation]
	if !isHome {
		t.entries[key] = Entry{State: Asking, Digest: digest, RequestID: requestID, Until: until(home)}
		return Result{Outcome: Elsewhere, MovedTo: home.Incarnation}
	}
	t.entries[key] = Entry{State: Owned, Digest: digest, RequestID: requestID, Until: until(home)}
	return Result{Outcome: Granted, RequestID: requestID}
}

func until(home Home) time.Time { return home.Issued.Add(Lifetime + Slack) }

// expired also rejects issue times from the future, which would be remembered
// for longer than the table allows.
func (t *Table) expired(home Home) bool {
	age := t.clock.Since(home.Issued)
	return age > Lifetime || age < -Slack
}

func (t *Table) existing(entry Entry, digest string) Result {
	switch {
	case entry.State == Asking:
		return Result{Outcome: Busy}
	case entry.State == Moved:
		return Result{Outcome: Elsewhere, MovedTo: entry.MovedTo}
	case entry.Digest != digest:
		return Result{Outcome: Mismatch}
	default:
		return Result{Outcome: Known, RequestID: entry.RequestID}
	}
}

// Settle ends the question that Begin opened. granted makes
// this daemon the owner; otherwise what was known before stands again.
func (t *Table) Settle(key Key, granted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.State != Asking {
		return
	}
	switch {
	case granted:
		entry.State = Owned
		entry.MovedTo = ""
		t.entries[key] = entry
	case entry.MovedTo != "":
		entry.State = Moved
		t.entries[key] = entry
	default:
		delete(t.entries, key)
	}
}

// Take is asked by another daemon that wants to run key.
//
// The tombstone is written in the same critical section as the decision to
// give the key away. If it were not, a request with the same key that arrives
// here in between would run too, seen as a clearance billed or a reply sent
// twice. A repeated Take by the same daemon is granted again: its first
// answer may have been lost, and no one else can own the key.
func (t *Table) Take(key Key, home Home, digest, asker string) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.State == Moved && entry.MovedTo == asker {
		return Result{Outcome: Granted}
	}
	if entry.State != Absent {
		return t.existing(entry, digest)
	}
	if t.expired(home) {
		return Result{Outcome: Expired}
	}
	t.entries[key] = Entry{State: Moved, Digest: digest, MovedTo: asker, Until: until(home)}
	return Result{Outcome: Granted}
}

// Release gives a key back whose request was not run. The key can then be
// used again.
func (t *Table) Release(key Key, requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.State == Owned && entry.RequestID == requestID {
		delete(t.entries, key)
	}
}

// Len returns the number of keys known.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Expire forgets the keys that no request may use any more.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for key, entry := range t.entries {
		if now.After(entry.Until) && entry.State != Asking {
			delete(t.entries, key)
		}
	}
}

// Handover is a key with its entry, for a successor.
type Handover struct {
	Key   Key
	Entry Entry
}

// Export returns everything a successor needs to answer for this daemon.
func (t *Table) Export() (homes []string, entries []Handover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	homes = append(homes, t.self)
	for home := range t.adopted {
		homes = append(homes, home)
	}
	for key, entry := range t.entries {
		if entry.State == Owned || entry.State == Moved {
			entries = append(entries, Handover{Key: key, Entry: entry})
		}
	}
	return homes, entries
}

// Adopt takes over the keys of a daemon that stopped. What this daemon knows
// itself goes before what is handed over, because a key that it owns was
// handed to it by that daemon.
func (t *Table) Adopt(homes []string, entries []Handover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range entries {
		if t.entries[h.Key].State == Absent {
			t.entries[h.Key] = h.Entry
		}
	}
	for _, home := range homes {
		t.adopted[home] = true
	}
}
