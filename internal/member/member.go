// Package member keeps the tables of daemons and upstreams: who is there, who
// is leaving, and which daemon has which duty.
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

// State is what is known of a daemon incarnation.
type State int

// States of incarnations, in the order in which they replace each other.
// Suspect can be refuted by the incarnation itself with a higher version;
// Leaving and Left are never undone.
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

// Daemon is a daemon incarnation.
type Daemon struct {
	Incarnation   string
	PeerAddress   string
	CallerURL     string
	FailureDomain string
	Site          string
	// LinkMbps is what the link of its instance carries, in Mbit/s; 0 is not known.
	LinkMbps float64
	State    State
	// Version rises when the incarnation refutes a suspicion.
	Version uint64
	// Successor answers for the keys of an incarnation that has left.
	Successor string
}

// replaces reports whether news d goes before old.
func (d Daemon) replaces(old Daemon) bool {
	if d.State >= Leaving || old.State >= Leaving {
		return d.State > old.State
	}
	if d.Version != old.Version {
		return d.Version > old.Version
	}
	return d.State > old.State
}

// record is a daemon with what only this process knows.
type record struct {
	daemon Daemon
	// sends counts how often the news was passed on.
	sends int
	// since is when the present state was learned.
	since time.Time
}

// Options are the settings of a Registry.
type Options struct {
	// Watched is how many daemons each daemon sends heartbeats to because it
	// is responsible for noticing their failure.
	Watched int
	// Random is how many others get a heartbeat so that news spreads.
	Random int
	// EventsPerMessage bounds the news in one heartbeat.
	EventsPerMessage int
	// Repeats times the logarithm of the number of daemons is how often a daemon
	// passes a piece of news on.
	Repeats int
	// ForgetAfter is how long an incarnation that left is remembered.
	ForgetAfter time.Duration
}

// Registry is the table of daemons.
//
// Lock order: mu is taken alone.
type Registry struct {
	clock   clockwork.Clock
	options Options

	mu      sync.Mutex
	self    Daemon
	records map[string]*record
	random  *rand.Rand
	epoch   uint64
	// changedAt is when epoch last rose.
	changedAt time.Time
	digest    uint64
	// sorted has every daemon by incarnation. It is replaced, never changed,
	// when a daemon comes, goes or changes state.
	sorted []Daemon
}

// NewRegistry returns a registry that knows only self.
func NewRegistry(self Daemon, clock clockwork.Clock, options Options, random *rand.Rand) *Registry {
	r := &Registry{clock: clock, options: options, self: self, records: map[string]*record{}, random: random}
	r.records[self.Incarnation] = &record{daemon: self, since: clock.Now()}
	r.refresh()
	return r
}

// Self returns this daemon's own entry.
func (r *Registry) Self() Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetSelf changes this daemon's own entry.
func (r *Registry) SetSelf(change func(*Daemon)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.self)
	rec := r.records[r.self.Incarnation]
	rec.daemon, rec.sends, rec.since = r.self, 0, r.clock.Now()
	r.refresh()
}

// Learn takes in news. A suspicion of this daemon itself is refuted: other
// daemons would otherwise keep it out for good after a pause or a cut.
func (r *Registry) Learn(news []Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, d := range news {
		changed = r.learn(d) || changed
	}
	if changed {
		r.refresh()
	}
}

func (r *Registry) learn(d Daemon) bool {
	if d.Incarnation == "" {
		return false
	}
	if d.Incarnation == r.self.Incarnation {
		return r.refute(d)
	}
	rec, known := r.records[d.Incarnation]
	if !known {
		r.records[d.Incarnation] = &record{daemon: d, since: r.clock.Now()}
		return true
	}
	if !d.replaces(rec.daemon) {
		return false
	}
	if d.Successor == "" {
		d.Successor = rec.daemon.Successor
	}
	rec.daemon, rec.sends, rec.since = d, 0, r.clock.Now()
	return true
}

func (r *Registry) refute(d Daemon) bool {
	if d.State != Suspect || d.Version < r.self.Version {
		return false
	}
	r.self.Version = d.Version + 1
	rec := r.records[r.self.Incarnation]
	rec.daemon, rec.sends = r.self, 0
	return true
}

// refresh recomputes what depends on the set of daemons.
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

// Digest is equal at daemons that know the same.
func (r *Registry) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// Epoch changes whenever a daemon comes, goes or changes state.
func (r *Registry) Epoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// ChangedAt is when what is known of daemons last changed.
func (r *Registry) ChangedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedAt
}

// Suspect notes that a daemon does not answer.
func (r *Registry) Suspect(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[incarnation]
	if !ok || rec.daemon.State != Alive {
		return
	}
	d := rec.daemon
	d.State = Suspect
	if r.learn(d) {
		r.refresh()
	}
}

// Get returns what is known of an incarnation.
func (r *Registry) Get(incarnation string) (Daemon, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[incarnation]
	if !ok {
		return Daemon{}, false
	}
	return rec.daemon, true
}

// All returns every known daemon, by incarnation.
func (r *Registry) All() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(func(Daemon) bool { return true })
}

// Live returns the daemons that take part in duties: alive ones.
func (r *Registry) Live() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(func(d Daemon) bool { return d.State == Alive })
}

func (r *Registry) list(keep func(Daemon) bool) []Daemon {
	out := make([]Daemon, 0, len(r.sorted))
	for _, d := range r.sorted {
		if keep(d) {
			out = append(out, d)
		}
	}
	return out
}

// Incarnations returns the ids of daemons.
func Incarnations(daemons []Daemon) []string {
	out := make([]string, len(daemons))
	for i, d := range daemons {
		out[i] = d.Incarnation
	}
	return out
}

// Dead returns the incarnations that left, or have been suspect for at least
// grace.
func (r *Registry) Dead(grace time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var out []string
	for id, rec := range r.records {
		gone := rec.daemon.State == Left || (rec.daemon.State == Suspect && now.Sub(rec.since) >= grace)
		if gone && id != r.self.Incarnation {
			out = append(out, id)
		}
	}
	return out
}

// Duty reports whether this daemon is the one to try for a duty.
func (r *Registry) Duty(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, top := "", uint64(0)
	for _, d := range r.sorted {
		if d.State != Alive {
			continue
		}
		if w := weight("duty/"+name, d.Incarnation); best == "" || w > top {
			best, top = d.Incarnation, w
		}
	}
	return best == r.self.Incarnation
}

// Firsts returns the first n of the live daemons that keep accepts, in an order
// that all daemons share and that moves little when one comes or goes.
func (r *Registry) Firsts(name string, n int, keep func(Daemon) bool) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := r.list(func(d Daemon) bool { return d.State == Alive && keep(d) })
	slices.SortFunc(live, func(a, b Daemon) int {
		return cmp.Compare(weight(name, b.Incarnation), weight(name, a.Incarnation))
	})
	return live[:min(n, len(live))]
}

// Targets returns the daemons to send a heartbeat to: the next ones on a ring,
// whose failure this daemon is to notice, and a few random ones.
func (r *Registry) Targets() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, _ := slices.BinarySearchFunc(r.sorted, r.self.Incarnation, func(d Daemon, id string) int {
		return cmp.Compare(d.Incarnation, id)
	})
	n := len(r.sorted)
	wanted := r.options.Watched + r.options.Random
	var out []Daemon
	for i := 1; i < n && len(out) < wanted; i++ {
		if len(out) == r.options.Watched && n-i > wanted {
			break
		}
		if d := r.sorted[(at+i)%n]; d.State != Left {
			out = append(out, d)
		}
	}
	return r.addRandom(out, wanted)
}

// addRandom fills targets up with daemons drawn at random.
func (r *Registry) addRandom(targets []Daemon, wanted int) []Daemon {
	const tries = 32
	for range tries {
		if len(targets) >= wanted || len(r.sorted) <= wanted {
			break
		}
		d := r.sorted[r.random.IntN(len(r.sorted))]
		known := slices.ContainsFunc(targets, func(t Daemon) bool { return t.Incarnation == d.Incarnation })
		if d.State != Left && d.Incarnation != r.self.Incarnation && !known {
			targets = append(targets, d)
		}
	}
	return targets
}

// News returns what to tell the next heartbeat's receiver. Passed on three times
// the logarithm of the number of daemons, a piece reaches all of them with high
// probability.
func (r *Registry) News() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.options.Repeats * bits.Len(uint(len(r.records)))
	var fresh []*record
	for _, rec := range r.records {
		if rec.sends < limit {
			fresh = append(fresh, rec)
		}
	}
	slices.SortFunc(fresh, func(a, b *record) int { return cmp.Compare(a.sends, b.sends) })
	var out []Daemon
	for _, rec := range fresh[:min(len(fresh), r.options.EventsPerMessage)] {
		rec.sends++
		out = append(out, rec.daemon)
	}
	return out
}

// Forget drops incarnations that left long ago, and those suspect for as
// long.
func (r *Registry) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	changed := false
	for id, rec := range r.records {
		gone := rec.daemon.State == Left || rec.daemon.State == Suspect
		if gone && now.Sub(rec.since) > r.options.ForgetAfter {
			delete(r.records, id)
			changed = true
		}
	}
	if changed {
		r.refresh()
	}
}
