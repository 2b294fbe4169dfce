// Package evacuation records which failure domains the operator has evacuated. Their upstream
// instances get no new requests until the evacuation is lifted. The package does no I/O.
package evacuation

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// Order is an operator's order to evacuate a failure domain or to lift its evacuation.
type Order struct {
	FailureDomain string
	// Revision is the revision of the store at which the evacuation was ordered or lifted. Of
	// two orders for a failure domain, the one with the higher revision applies.
	Revision int64
	// Lifted is set if the order ends an evacuation.
	Lifted bool
	// Age is how long ago the sender of this order learned of it.
	Age time.Duration
}

// record is a stored order.
type record struct {
	revision  int64
	lifted    bool
	learnedAt time.Time
}

// Registry keeps the newest order of each failure domain. Orders that lift an evacuation are
// kept, too, so that a delayed message about the evacuation cannot restore it. There is at
// most one record per failure domain.
//
// Lock order: no other lock is taken while mu is held.
type Registry struct {
	clock clockwork.Clock

	mu      sync.Mutex
	loaded  bool
	records map[string]record
}

// NewRegistry returns an empty registry, for which Loaded returns false.
func NewRegistry(clock clockwork.Clock) *Registry {
	return &Registry{clock: clock, records: map[string]record{}}
}

// Loaded reports whether all orders in force at some point in time have been merged. Until
// then any failure domain may be evacuated.
func (b *Registry) Loaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loaded
}

// Merge merges orders and returns those that changed something.
func (b *Registry) Merge(orders []Order) []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(orders)
}

// MergeAll merges all orders that another daemon knows, including those that lift an
// evacuation, and returns those that changed something.
func (b *Registry) MergeAll(orders []Order) []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
	return b.merge(orders)
}

// Replace merges all evacuations in force at a revision of the store. Known evacuations up to
// this revision that are not among them are lifted. It returns the orders that changed
// something.
func (b *Registry) Replace(inForce []Order, revision int64) []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
	changed := b.merge(inForce)
	for domain, r := range b.records {
		listed := slices.ContainsFunc(inForce, func(o Order) bool { return o.FailureDomain == domain })
		if !listed && !r.lifted && r.revision <= revision {
			changed = append(changed, b.merge([]Order{{FailureDomain: domain, Revision: revision, Lifted: true}})...)
		}
	}
	return changed
}

// MergeStale merges all evacuations in force according to a store that has been restored from an
// older backup. It ignores those of failure domains whose evacuation is known to be lifted, and
// lifts none. It returns the orders that changed something.
func (b *Registry) MergeStale(inForce []Order) []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
	return b.merge(slices.DeleteFunc(slices.Clone(inForce), func(o Order) bool {
		old, known := b.records[o.FailureDomain]
		return known && old.lifted != o.Lifted
	}))
}

// merge stores newer orders and returns those that start or end an evacuation. The lock is
// held.
func (b *Registry) merge(orders []Order) []Order {
	var changed []Order
	for _, o := range orders {
		old, ok := b.records[o.FailureDomain]
		if ok && old.revision >= o.Revision {
			continue
		}
		r := record{revision: o.Revision, lifted: o.Lifted, learnedAt: b.clock.Now().Add(-o.Age)}
		b.records[o.FailureDomain] = r
		if was := ok && !old.lifted; was == o.Lifted {
			changed = append(changed, o)
		}
	}
	return changed
}

// Orders returns the newest order of each failure domain, sorted by the name of the domain.
func (b *Registry) Orders() []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Order, 0, len(b.records))
	for domain, r := range b.records {
		out = append(out, Order{FailureDomain: domain, Revision: r.revision, Lifted: r.lifted, Age: b.clock.Since(r.learnedAt)})
	}
	slices.SortFunc(out, func(x, y Order) int { return cmp.Compare(x.FailureDomain, y.FailureDomain) })
	return out
}

// InForce returns the evacuations in force, sorted by the name of the failure domain.
func (b *Registry) InForce() []Order {
	return slices.DeleteFunc(b.Orders(), func(o Order) bool { return o.Lifted })
}

// emptyChecksum is the checksum if there are no evacuations in force. It differs from 0, which
// means that Loaded is false.
const emptyChecksum = 1

// Checksum returns a checksum that is equal at daemons with the same evacuations in force; 0
// means that Loaded is false. It ignores the revisions at which evacuations were lifted,
// because a daemon that reads the whole store learns only that they were lifted.
func (b *Registry) Checksum() uint64 {
	if !b.Loaded() {
		return 0
	}
	sum := uint64(emptyChecksum)
	for _, o := range b.InForce() {
		h := xxhash.New()
		_, _ = h.WriteString(o.FailureDomain)
		var revision [8]byte
		binary.LittleEndian.PutUint64(revision[:], uint64(o.Revision))
		_, _ = h.Write(revision[:])
		sum += h.Sum64()
	}
	return sum
}
