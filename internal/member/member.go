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
	State    State
	// Version is incremented when the incarnation refutes a suspicion.
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
	// RandomTargets is the number of further daemons, drawn at random, that get a heartbeat in
	// every round, so that updates spread quickly.
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
	// sorted has all daemons ordered by incarnation. Each change of the table replaces the
	// slice; its elements are never modified.
	sorted []Daemon
}

// NewRegistry returns a registry that contains only self.
func NewRegistry(self Daemon, clock clockwork.Clock, options Options, random *rand.Rand) *Registry {
	r := &Registry{clock: clock, options: options, self: self, records: map[string]*record{}, rng: random}
	r.records[self.Incarnation] = &record{daemon: self, learnedAt: clock.Now()}
	r.refresh()
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
	rec.daemon, rec.transmissions, rec.learnedAt = r.self, 0, r.clock.Now()
	r.refresh()
}

// Merge merges received updates into the table. A suspicion of this daemon itself is refuted;
// without that, other daemons would exclude it permanently after a pause of the process or a
// network partition.
func (r *Registry) Merge(updates []Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, d := range updates {
		changed = r.merge(d) || changed
	}
	if changed {
		r.refresh()
	}
}

// merge merges one update and reports whether the table changed.
func (r *Registry) merge(d Daemon) bool {
	if d.Incarnation == "" {
		return false
	}
	if d.Incarnation == r.self.Incarnation {
		return r.refute(d)
	}
	rec, known := r.records[d.Incarnation]
	if !known {
		r.records[d.Incarnation] = &record{daemon: d, learnedAt: r.clock.Now()}
		return true
	}
	if !d.supersedes(rec.daemon) {
		return false
	}
	if d.Successor == "" {
		d.Successor = rec.daemon.Successor
	}
	rec.daemon, rec.transmissions, rec.learnedAt = d, 0, r.clock.Now()
	return true
}

// refute increments the version of this daemon's own entry if d suspects it, and reports
// whether it did.
func (r *Registry) refute(d Daemon) bool {
	if d.State != Suspect || d.Version < r.self.Version {
		return false
	}
	r.self.Version = d.Version + 1
	rec := r.records[r.self.Incarnation]
	rec.daemon, rec.transmissions = r.self, 0
	return true
}

// refresh recomputes epoch, digest and sorted after a change of the table.
func (r *Registry) refresh() {
	r.epoch++
	r.changedAt = r.clock.Now()
	r.digest = 0
	r.sorted = make([]Daemon, 0, len(r.records))
	for _, rec := range r.records {
		d := rec.daemon
		r.sorted = append(r.sorted, d)
		r.digest ^= xxhash.Sum64String(d.Incarnation + d.State.String() + string(rune(d.Version)))
	}
	slices.SortFunc(r.sorted, func(a, b Daemon) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
}

// Digest returns a digest of incarnations, states and versions. Daemons with the same table
// have the same digest.
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
		r.refresh()
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

// RanksFirst reports whether this daemon ranks first among the live daemons for a duty.
// Daemons with different tables may get different results, so two of them may perform the duty
// at the same time.
func (r *Registry) RanksFirst(duty string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, bestWeight := "", uint64(0)
	for _, d := range r.sorted {
		if d.State != Alive {
			continue
		}
		if w := weight("duty/"+duty, d.Incarnation); best == "" || w > bestWeight {
			best, bestWeight = d.Incarnation, w
		}
	}
	return best == r.self.Incarnation
}

// TopRanked returns the first n live daemons that keep accepts, in rendezvous order for name.
// All daemons with the same table get the same order, and a daemon that comes or goes does not
// change the order of the others. keep is called with the registry locked and must not call
// its methods.
func (r *Registry) TopRanked(name string, n int, keep func(Daemon) bool) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := r.list(func(d Daemon) bool { return d.State == Alive && keep(d) })
	slices.SortFunc(live, func(a, b Daemon) int {
		return cmp.Compare(weight(name, b.Incarnation), weight(name, a.Incarnation))
	})
	return live[:min(n, len(live))]
}

// HeartbeatTargets returns the daemons to send the next heartbeat to: the next ones on the
// ring of daemons sorted by incarnation, whose failure this daemon detects, and some drawn at
// random. In a small installation these are all other daemons that have not left.
func (r *Registry) HeartbeatTargets() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	self, _ := slices.BinarySearchFunc(r.sorted, r.self.Incarnation, func(d Daemon, id string) int {
		return cmp.Compare(d.Incarnation, id)
	})
	n := len(r.sorted)
	wanted := r.options.RingTargets + r.options.RandomTargets
	var out []Daemon
	for i := 1; i < n && len(out) < wanted; i++ {
		// Further targets are drawn at random, unless few daemons remain.
		if len(out) == r.options.RingTargets && n-i > wanted {
			break
		}
		if d := r.sorted[(self+i)%n]; d.State != Left {
			out = append(out, d)
		}
	}
	return r.addRandom(out, wanted)
}

// addRandom appends daemons drawn at random until there are wanted targets. The number of
// draws is bounded, as most draws may hit daemons that have left or are already targets.
func (r *Registry) addRandom(targets []Daemon, wanted int) []Daemon {
	const tries = 32
	for range tries {
		if len(targets) >= wanted || len(r.sorted) <= wanted {
			break
		}
		d := r.sorted[r.rng.IntN(len(r.sorted))]
		known := slices.ContainsFunc(targets, func(t Daemon) bool { return t.Incarnation == d.Incarnation })
		if d.State != Left && d.Incarnation != r.self.Incarnation && !known {
			targets = append(targets, d)
		}
	}
	return targets
}

// NextUpdates returns the updates to send in the next heartbeat, least often sent first, and
// counts them as sent. With a RetransmitFactor of 3 an update reaches all daemons with high
// probability.
func (r *Registry) NextUpdates() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.options.RetransmitFactor * bits.Len(uint(len(r.records)))
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
			delete(r.records, id)
			changed = true
		}
	}
	if changed {
		r.refresh()
	}
}
