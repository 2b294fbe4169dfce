// Package claim ensures that the requests with one idempotency key run at most
// once across all daemons.
//
// Every key has one home daemon: the incarnation in the key's prefix, which
// the caller got from discovery, or, for a key without a prefix, the
// incarnation that inserted the key's row in the stored table. Only the owner
// of a key runs its request. The home is the first owner. When another daemon
// takes the key over, the previous owner records a tombstone that names the
// new owner, in the same critical section as the decision to grant the key. A
// chain of tombstones therefore leads from the home to the only owner, even if
// messages are repeated or delayed.
package claim

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/eventlog"
)

// A request may run only until Lifetime after its key was issued. Entries are
// kept for LifetimeMargin longer, to allow for clock differences between
// daemons and for daemons that were paused.
const (
	Lifetime       = time.Hour
	LifetimeMargin = time.Hour
)

// Key is an idempotency key. Keys of different organisations are distinct.
type Key struct {
	Organisation string
	Value        string
}

// Home identifies the daemon that is the first owner of a key, and the time at
// which the key was issued.
type Home struct {
	Incarnation string
	Issued      time.Time
}

// Prefix returns the key prefix that discovery gives to callers for a daemon.
// The caller appends "." and a value of its own.
func Prefix(incarnation string, issued time.Time) string {
	return incarnation + "-" + strconv.FormatInt(issued.Unix(), 36)
}

// ParseHome parses the prefix of a key "<incarnation>-<issued>.<own>", where
// issued is a Unix time in seconds in base 36. It returns false if the key has
// no such prefix.
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

// IncarnationLen is the length of an incarnation id in bytes.
const IncarnationLen = 26

// State is the state of a key at one daemon.
type State int

// States of a key at one daemon.
const (
	// Absent: the table has no entry for the key. No request with the key ran
	// here, or the entry was released or has expired.
	Absent State = iota
	// Pending: this daemon is requesting the key from another daemon.
	Pending
	// Owned: this daemon owns the key, and the request RequestID runs or ran
	// here.
	Owned
	// Moved: the entry is a tombstone; the incarnation MovedTo took the key.
	Moved
)

// Entry is the entry of a key in a Table.
type Entry struct {
	State     State
	Digest    string
	RequestID string
	MovedTo   string
	// Until is the time after which Table.Expire may delete the entry.
	Until time.Time
}

// Outcome is the decision of Table.Begin and Table.Take.
type Outcome int

// Outcomes of Table.Begin and Table.Take.
const (
	// Granted: the requesting daemon now owns the key and may run the request.
	Granted Outcome = iota
	// Duplicate: the earlier request RequestID with the key runs or ran at this
	// daemon.
	Duplicate
	// Redirect: the key must be requested from the incarnation MovedTo.
	Redirect
	// Busy: this daemon is requesting the key from another daemon for an earlier
	// request, or has no memory to do so; the caller should retry.
	Busy
	// Mismatch: the key was used with a different request body.
	Mismatch
	// Expired: the key was issued more than Lifetime ago, or too far in the
	// future.
	Expired
	// Full: there is no entry for the key and no memory for one. The key would have been granted otherwise.
	Full
)

// entryBytes is the memory of an entry besides its strings.
const entryBytes = 200

// Result is an Outcome with its details. RequestID is set for Duplicate, and
// MovedTo for Redirect.
type Result struct {
	Outcome   Outcome
	RequestID string
	MovedTo   string
}

// Table holds the keys known to one daemon. It is safe for concurrent use.
//
// Lock order: mu before the lock of logs.
type Table struct {
	self  string
	clock clockwork.Clock

	// limit is the memory of all entries at which no new key is accepted; 0 means no limit.
	limit int
	logs  *eventlog.Log
	// Refused counts keys for which there was no memory.
	Refused atomic.Int64

	mu      sync.Mutex
	entries map[Key]Entry
	// bytes is the memory of all entries.
	bytes int
	// inheritedHomes is the set of stopped incarnations that handed their keys
	// over to this daemon, which now acts as the home of those keys.
	inheritedHomes map[string]bool
}

// NewTable returns an empty table for the incarnation self, which accepts new keys while its entries take less than limit
// bytes; 0 means no limit.
func NewTable(self string, clock clockwork.Clock, limit int) *Table {
	return &Table{self: self, clock: clock, limit: limit, logs: eventlog.New("table", "idempotency_keys"), entries: map[Key]Entry{}, inheritedHomes: map[string]bool{}}
}

// set adds or replaces an entry. The lock is held.
func (t *Table) set(key Key, entry Entry) {
	t.remove(key)
	t.entries[key] = entry
	t.bytes += sizeOf(key, entry)
}

// remove deletes an entry, if there is one. The lock is held.
func (t *Table) remove(key Key) {
	if entry, ok := t.entries[key]; ok {
		t.bytes -= sizeOf(key, entry)
		delete(t.entries, key)
	}
}

func sizeOf(key Key, entry Entry) int {
	return entryBytes + len(key.Organisation) + len(key.Value) + len(entry.Digest) + len(entry.RequestID) + len(entry.MovedTo)
}

// refuseIfFull reports whether there is no memory for a new key. The lock is held.
func (t *Table) refuseIfFull() bool {
	if t.limit == 0 || t.bytes < t.limit {
		return false
	}
	t.Refused.Add(1)
	t.logs.Note("keys.refused", 1, "keys", len(t.entries), "bytes", t.bytes)
	return true
}

// IsHome reports whether this daemon acts as home, either as that incarnation
// itself or because it inherited that incarnation's keys.
func (t *Table) IsHome(home Home) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return home.Incarnation == t.self || t.inheritedHomes[home.Incarnation]
}

// Begin claims key for the request requestID at this daemon. digest identifies
// the request body. Begin decides from the table alone if it has an entry for
// the key other than a tombstone, or if it has none and the key is expired or
// this daemon is its home. Otherwise it marks the key as Pending and returns
// Redirect; the caller must then request the key from MovedTo and call Finish.
func (t *Table) Begin(key Key, home Home, digest, requestID string) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.State == Moved {
		// MovedTo is kept so that Finish can restore the tombstone if the key is
		// not granted.
		to := entry.MovedTo
		t.set(key, Entry{State: Pending, Digest: digest, RequestID: requestID, MovedTo: to, Until: entry.Until})
		return Result{Outcome: Redirect, MovedTo: to}
	}
	if entry.State != Absent {
		return t.resultFor(entry, digest)
	}
	if t.isExpired(home) {
		return Result{Outcome: Expired}
	}
	isHome := home.Incarnation == t.self || t.inheritedHomes[home.Incarnation]
	if t.refuseIfFull() {
		if isHome {
			return Result{Outcome: Full}
		}
		// Only the home knows whether a request with the key ran.
		return Result{Outcome: Busy}
	}
	if !isHome {
		t.set(key, Entry{State: Pending, Digest: digest, RequestID: requestID, Until: expiry(home)})
		return Result{Outcome: Redirect, MovedTo: home.Incarnation}
	}
	t.set(key, Entry{State: Owned, Digest: digest, RequestID: requestID, Until: expiry(home)})
	return Result{Outcome: Granted, RequestID: requestID}
}

// expiry returns the time until which an entry is kept.
func expiry(home Home) time.Time { return home.Issued.Add(Lifetime + LifetimeMargin) }

// isExpired reports whether a key was issued more than Lifetime ago, or more than
// LifetimeMargin in the future. The entry of a key from the future would stay in
// the table for longer than intended.
func (t *Table) isExpired(home Home) bool {
	age := t.clock.Since(home.Issued)
	return age > Lifetime || age < -LifetimeMargin
}

// resultFor returns the result for a request whose key already has an entry.
func (t *Table) resultFor(entry Entry, digest string) Result {
	switch {
	case entry.State == Pending:
		return Result{Outcome: Busy}
	case entry.State == Moved:
		return Result{Outcome: Redirect, MovedTo: entry.MovedTo}
	case entry.Digest != digest:
		return Result{Outcome: Mismatch}
	default:
		return Result{Outcome: Duplicate, RequestID: entry.RequestID}
	}
}

// Finish ends a claim for which Begin returned Redirect. If granted is true,
// this daemon becomes the owner; otherwise the state before Begin is restored.
func (t *Table) Finish(key Key, granted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.State != Pending {
		return
	}
	switch {
	case granted:
		entry.State = Owned
		entry.MovedTo = ""
		t.set(key, entry)
	case entry.MovedTo != "":
		entry.State = Moved
		t.set(key, entry)
	default:
		t.remove(key)
	}
}

// Take handles the request of the daemon newOwner to take over key. If it returns
// Granted, the key's entry here is a tombstone.
//
// The tombstone is written in the same critical section as the decision to
// grant the key. Otherwise a request with the same key that arrives here in
// between would run as well, and an operation would be billed or a reply sent
// twice. A repeated Take by the same daemon is granted again, because the
// response to the first one may have been lost and no other daemon can own the
// key.
func (t *Table) Take(key Key, home Home, digest, newOwner string) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.State == Moved && entry.MovedTo == newOwner {
		return Result{Outcome: Granted}
	}
	if entry.State != Absent {
		return t.resultFor(entry, digest)
	}
	if t.isExpired(home) {
		return Result{Outcome: Expired}
	}
	if t.refuseIfFull() {
		return Result{Outcome: Full}
	}
	t.set(key, Entry{State: Moved, Digest: digest, MovedTo: newOwner, Until: expiry(home)})
	return Result{Outcome: Granted}
}

// Release deletes the entry of a key that is owned for the request requestID.
// It is called if the request was not run, so that the key can be used again.
func (t *Table) Release(key Key, requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.State == Owned && entry.RequestID == requestID {
		t.remove(key)
	}
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Expire deletes the entries whose Until has passed. Pending entries stay until
// Finish.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for key, entry := range t.entries {
		if now.After(entry.Until) && entry.State != Pending {
			t.remove(key)
		}
	}
}

// HandoverEntry is a key and its entry, as sent to the successor of a stopping
// daemon.
type HandoverEntry struct {
	Key   Key
	Entry Entry
}

// Export returns the state that a successor needs to act as the home of this
// daemon's keys: the incarnations whose keys this daemon is home for, and all
// owned keys and tombstones. A key that is being requested counts as owned, since it
// may have been granted, unless a tombstone says where it went.
func (t *Table) Export() (homes []string, entries []HandoverEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	homes = append(homes, t.self)
	for home := range t.inheritedHomes {
		homes = append(homes, home)
	}
	for key, entry := range t.entries {
		if entry.State == Pending {
			entry.State = Owned
			if entry.MovedTo != "" {
				entry.State = Moved
			}
		}
		entries = append(entries, HandoverEntry{Key: key, Entry: entry})
	}
	return homes, entries
}

// Import adds the exported state of a daemon that stopped, and makes this daemon
// act as home for its incarnations. Existing entries take precedence: a key
// that this daemon owns was granted to it by the stopped daemon, whose own
// entry is only the tombstone.
func (t *Table) Import(homes []string, entries []HandoverEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range entries {
		if t.entries[h.Key].State == Absent {
			t.set(h.Key, h.Entry)
		}
	}
	for _, home := range homes {
		t.inheritedHomes[home] = true
	}
}
