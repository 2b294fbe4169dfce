// Package member keeps two tables: the daemons, with gossip membership and failure detection,
// and the upstreams. It also ranks daemons for duties, which are tasks that one daemon
// performs for all. If two daemons must never perform a duty at the same time, the ranking only
// decides which ones try to acquire the duty's lease; see package lease.
package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// State is the state of a daemon incarnation.
type State int

// States of an incarnation, in the order in which they supersede each other. The incarnation
// refutes Suspect with a higher version. Leaving is followed only by Left, which is final.
const (
	Alive State = iota
	Suspect
	Leaving
	Left
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "left"}[s]
}

// Daemon is the membership entry of a daemon incarnation, that is of one process.
type Daemon struct {
	Incarnation   string
	PeerAddress   string
	CallerURL     string
	FailureDomain string
	Site          string
	// LinkMbps is the capacity of the network link of its instance in Mbit/s; 0 if unknown.
	LinkMbps float64
	// CPUShare is the part of a processor core that its instance has, and MemoryMB its memory in
	// MB; 0 if unknown.
	CPUShare float64
	MemoryMB int
	// Started is when it started, in Unix milliseconds of its own clock; 0 if unknown.
	Started int64
	State   State
	// CutOff are the services whose instances it does not reach, though others do.
	CutOff []string
	// Version is incremented when the incarnation refutes a suspicion or changes its entry.
	Version uint64
	// Successor is the incarnation that answers for the idempotency keys of one that has left.
	Successor string
}

// supersedes reports whether d replaces old. If either is Leaving or Left, d must have a later
// state. Otherwise it must have a higher version, or the same version and a later state.
func (d Daemon) supersedes(old Daemon) bool {
	if d.State >= Leaving || old.State >= Leaving {
		return d.State > old.State
	}
	if d.Version != old.Version {
		return d.Version > old.Version
	}
	return d.State > old.State
}

// record is a membership entry with data that is local to this process.
type record struct {
	daemon Daemon
	// transmissions counts the heartbeats in which the entry has been sent since it last
	// changed.
	transmissions int
	// learnedAt is when this daemon learned the present entry. A refutation of a suspicion of
	// this daemon itself does not reset it.
	learnedAt time.Time
}

// Options are the parameters of a Registry.
type Options struct {
	// RingTargets is the number of daemons, next on the ring, to which each daemon sends a
	// heartbeat in every round. Each daemon detects the failure of its ring targets.
	RingTargets int
	// RandomTargets is the number of further daemons, drawn at random and kept for some rounds,
	// that get a heartbeat in every round, so that updates spread quickly.
	RandomTargets int
	// MaxUpdates is the maximum number of membership updates in one heartbeat.
	MaxUpdates int
	// RetransmitFactor times the binary logarithm of the number of daemons is how many times a
	// daemon sends each update.
	RetransmitFactor int
	// ForgetAfter is how long an incarnation that left or is suspect stays in the table.
	ForgetAfter time.Duration
}

// Registry is the membership table of the daemons.
//
// Lock order: no other lock is taken while mu is held. Callers may hold locks of their own, as
// inventory.Table, rollout.Controller, limit.Allocator and limit.OrganisationLimiter do.
type Registry struct {
	clock   clockwork.Clock
	options Options

	mu      sync.Mutex
	self    Daemon
	records map[string]*record
	rng     *rand.Rand
	// epoch is the number of changes of the table.
	epoch uint64
	// changedAt is when epoch was last incremented.
	changedAt time.Time
	digest    uint64
	// sorted has all daemons ordered by incarnation, and states how many are in each state.
	sorted []Daemon
	states [Left + 1]int
	// neighbours are the incarnations that get heartbeats besides the ring targets, drawn when
	// the table had neighboursOf daemons. round counts the rounds of heartbeats.
	neighbours   []string
	neighboursOf int
	round        int
}

// NewRegistry returns a registry that contains only self.
func NewRegistry(self Daemon, clock clockwork.Clock, options Options, random *rand.Rand) *Registry {
	r := &Registry{clock: clock, options: options, self: self, records: map[string]*record{}, rng: random}
	r.records[self.Incarnation] = &record{daemon: self, learnedAt: clock.Now()}
	r.insert(self)
	r.noteChange()
	return r
}

// Self returns the entry of this daemon.
func (r *Registry) Self() Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetSelf changes the entry of this daemon.
func (r *Registry) SetSelf(change func(*Daemon)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.self)
	rec := r.records[r.self.Incarnation]
	r.replace(rec, r.self)
	rec.learnedAt = r.clock.Now()
	r.noteChange()
}

// Merge merges received updates into the table. A suspicion of this daemon itself is refuted;
// without that, other daemons would exclude it permanently after a pause of the process or a
// network partition.
func (r *Registry) Merge(updates []Daemon) { r.mergeAll(updates, 0) }

// MergeTable merges the whole table of a peer. Unlike those of Merge, its entries are not sent
// on: the peer, or the daemon that it has them from, does so.
func (r *Registry) MergeTable(all []Daemon) { r.mergeAll(all, maxTransmissions) }

// maxTransmissions is more than any entry is transmitted.
const maxTransmissions = 1 << 16

// mergeAll merges entries that have been transmitted the given number of times.
func (r *Registry) mergeAll(entries []Daemon, transmissions int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, d := range entries {
		if r.merge(d) {
			changed = true
			if d.Incarnation != r.self.Incarnation {
				r.records[d.Incarnation].transmissions = transmissions
			}
		}
	}
	if changed {
		r.noteChange()
	}
}

// merge merges one update and reports whether the table changed.
func (r *Registry) merge(d Daemon) bool {
	if d.Incarnation == "" || d.State < Alive || d.State > Left {
		return false
	}
	if d.Incarnation == r.self.Incarnation {
		return r.refute(d)
	}
	rec, known := r.records[d.Incarnation]
	if !known {
		r.records[d.Incarnation] = &record{daemon: d, learnedAt: r.clock.Now()}
		r.insert(d)
		return true
	}
	if !d.supersedes(rec.daemon) {
		return false
	}
	if d.Successor == "" {
		d.Successor = rec.daemon.Successor
	}
	r.replace(rec, d)
	rec.learnedAt = r.clock.Now()
	return true
}

// refute increments the version of this daemon's own entry if d suspects it, and reports
// whether it did.
func (r *Registry) refute(d Daemon) bool {
	if d.State != Suspect || d.Version < r.self.Version {
		return false
	}
	r.self.Version = d.Version + 1
	r.replace(r.records[r.self.Incarnation], r.self)
	return true
}

// noteChange counts a change of the table.
func (r *Registry) noteChange() {
	r.epoch++
	r.changedAt = r.clock.Now()
}

// position returns the index of an incarnation in sorted, or where it would be inserted.
func (r *Registry) position(incarnation string) (int, bool) {
	return slices.BinarySearchFunc(r.sorted, incarnation, func(d Daemon, id string) int {
		return cmp.Compare(d.Incarnation, id)
	})
}

// insert adds a daemon to sorted, states and digest.
func (r *Registry) insert(d Daemon) {
	at, _ := r.position(d.Incarnation)
	r.sorted = slices.Insert(r.sorted, at, d)
	r.states[d.State]++
	r.digest ^= d.hash()
}

// replace replaces the daemon of a record, in sorted, states and digest too.
func (r *Registry) replace(rec *record, d Daemon) {
	at, _ := r.position(d.Incarnation)
	r.sorted[at] = d
	r.states[rec.daemon.State]--
	r.states[d.State]++
	r.digest ^= rec.daemon.hash() ^ d.hash()
	rec.daemon, rec.transmissions = d, 0
}

// remove removes the daemon of a record from sorted, states and digest.
func (r *Registry) remove(rec *record) {
	at, _ := r.position(rec.daemon.Incarnation)
	r.sorted = slices.Delete(r.sorted, at, at+1)
	r.states[rec.daemon.State]--
	r.digest ^= rec.daemon.hash()
}

// hash returns the daemon's part of the digest.
func (d Daemon) hash() uint64 {
	return xxhash.Sum64String(d.Incarnation + d.State.String() + d.Successor + string(rune(d.Version)))
}

// Digest returns a digest of incarnations, states, successors and versions. Daemons with the same
// table have the same digest.
func (r *Registry) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// Epoch returns a number that changes with every change of the table.
func (r *Registry) Epoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// ChangedAt returns when the table last changed.
func (r *Registry) ChangedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedAt
}

// Suspect marks an alive daemon as suspect because it does not answer.
func (r *Registry) Suspect(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[incarnation]
	if !ok || rec.daemon.State != Alive {
		return
	}
	d := rec.daemon
	d.State = Suspect
	if r.merge(d) {
		r.noteChange()
	}
}

// Get returns the entry of an incarnation.
func (r *Registry) Get(incarnation string) (Daemon, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[incarnation]
	if !ok {
		return Daemon{}, false
	}
	return rec.daemon, true
}

// All returns all daemons, ordered by incarnation.
func (r *Registry) All() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(func(Daemon) bool { return true })
}

// Live returns the daemons in state Alive, ordered by incarnation. Only these take part in
// duties.
func (r *Registry) Live() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(func(d Daemon) bool { return d.State == Alive })
}

// LiveCount returns the number of daemons in state Alive.
func (r *Registry) LiveCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[Alive]
}

// PresentCount returns the number of daemons that have not left.
func (r *Registry) PresentCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sorted) - r.states[Left]
}

// Count returns the number of all daemons in the table.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sorted)
}

// IsKnownAddress reports whether a daemon that has not left has the given peer address.
func (r *Registry) IsKnownAddress(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.sorted, func(d Daemon) bool { return d.PeerAddress == address && d.State != Left })
}

// list returns the daemons that keep accepts.
func (r *Registry) list(keep func(Daemon) bool) []Daemon {
	out := make([]Daemon, 0, len(r.sorted))
	for _, d := range r.sorted {
		if keep(d) {
			out = append(out, d)
		}
	}
	return out
}

// Incarnations returns the incarnations of daemons.
func Incarnations(daemons []Daemon) []string {
	out := make([]string, len(daemons))
	for i, d := range daemons {
		out[i] = d.Incarnation
	}
	return out
}

// Dead returns the other incarnations that have left, or have been suspect for at least grace.
func (r *Registry) Dead(grace time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var out []string
	for id, rec := range r.records {
		dead := rec.daemon.State == Left || (rec.daemon.State == Suspect && now.Sub(rec.learnedAt) >= grace)
		if dead && id != r.self.Incarnation {
			out = append(out, id)
		}
	}
	return out
}

// hasUpdates reports whether there are updates to send.
func (r *Registry) hasUpdates() bool {
	limit := r.maxRetransmits()
	for _, rec := range r.records {
		if rec.transmissions < limit {
			return true
		}
	}
	return false
}

// maxRetransmits returns how often each update is sent.
func (r *Registry) maxRetransmits() int {
	return r.options.RetransmitFactor * bits.Len(uint(len(r.records)))
}

// NextUpdates returns the updates to send in the next heartbeat, least often sent first, and
// counts them as sent. With a RetransmitFactor of 3 an update reaches all daemons with high
// probability.
func (r *Registry) NextUpdates() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.maxRetransmits()
	var pending []*record
	for _, rec := range r.records {
		if rec.transmissions < limit {
			pending = append(pending, rec)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int { return cmp.Compare(a.transmissions, b.transmissions) })
	var out []Daemon
	for _, rec := range pending[:min(len(pending), r.options.MaxUpdates)] {
		rec.transmissions++
		out = append(out, rec.daemon)
	}
	return out
}

// RemoveExpired removes incarnations that left, or became suspect, more than ForgetAfter ago.
func (r *Registry) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	changed := false
	for id, rec := range r.records {
		inactive := rec.daemon.State == Left || rec.daemon.State == Suspect
		if inactive && now.Sub(rec.learnedAt) > r.options.ForgetAfter {
			r.remove(rec)
			delete(r.records, id)
			changed = true
		}
	}
	if changed {
		r.noteChange()
	}
}
