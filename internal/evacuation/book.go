// Package evacuation keeps which failure domains the operator has evacuated: their
// upstream instances get nothing new until the evacuation is lifted. It does no I/O.
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

// Order is the newest word of the operator about one failure domain.
type Order struct {
	FailureDomain string
	// Revision is that of the store at which the order was given or lifted. Of two
	// orders about a failure domain the one with the higher revision counts.
	Revision int64
	// Lifted ends an evacuation.
	Lifted bool
	// Age is how long ago the sender of this order learned of it.
	Age time.Duration
}

// word is an order as it is kept.
type record struct {
	revision int64
	lifted   bool
	learnedAt  time.Time
}

// Book keeps the orders about all failure domains. Lifted ones are kept, too: late news
// of an evacuation that has ended must not bring it back. There are as many entries as
// failure domains.
//
// Lock order: mu is taken alone.
type Book struct {
	clock clockwork.Clock

	mu    sync.Mutex
	loaded bool
	records map[string]record
}

// NewBook returns a book that knows nothing yet.
func NewBook(clock clockwork.Clock) *Book {
	return &Book{clock: clock, records: map[string]record{}}
}

// Known reports whether all orders of some moment are known. Until then any failure
// domain may be evacuated.
func (b *Book) Known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loaded
}

// Learn takes in orders and returns those that were news.
func (b *Book) Learn(orders []Order) []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(orders)
}

// LearnAll takes in all orders that another daemon knows, lifted ones included.
func (b *Book) LearnAll(orders []Order) []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
	return b.merge(orders)
}

// Replace takes in all evacuations in force at a revision of the store. Older ones that
// are not among them have been lifted. It returns what was news.
func (b *Book) Replace(inForce []Order, revision int64) []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
	news := b.merge(inForce)
	for domain, w := range b.records {
		listed := slices.ContainsFunc(inForce, func(o Order) bool { return o.FailureDomain == domain })
		if !listed && !w.lifted && w.revision <= revision {
			news = append(news, b.merge([]Order{{FailureDomain: domain, Revision: revision, Lifted: true}})...)
		}
	}
	return news
}

// Confirm takes in all evacuations that a copy of the store has which may be older than what
// is known: those of failure domains about which nothing is known, and those known to be in
// force. It returns what was news.
func (b *Book) Confirm(inForce []Order) []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
	return b.merge(slices.DeleteFunc(slices.Clone(inForce), func(o Order) bool {
		old, known := b.records[o.FailureDomain]
		return known && old.lifted != o.Lifted
	}))
}

// learn returns the orders that say something new of whether a failure domain is
// evacuated. The lock is held.
func (b *Book) merge(orders []Order) []Order {
	var news []Order
	for _, o := range orders {
		old, ok := b.records[o.FailureDomain]
		if ok && old.revision >= o.Revision {
			continue
		}
		w := record{revision: o.Revision, lifted: o.Lifted, learnedAt: b.clock.Now().Add(-o.Age)}
		b.records[o.FailureDomain] = w
		if was := ok && !old.lifted; was == o.Lifted {
			news = append(news, o)
		}
	}
	return news
}

// Orders returns the newest order about each failure domain, by name.
func (b *Book) Orders() []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Order, 0, len(b.records))
	for domain, w := range b.records {
		out = append(out, Order{FailureDomain: domain, Revision: w.revision, Lifted: w.lifted, Age: b.clock.Since(w.learnedAt)})
	}
	slices.SortFunc(out, func(x, y Order) int { return cmp.Compare(x.FailureDomain, y.FailureDomain) })
	return out
}

// InForce returns the evacuations in force, by failure domain.
func (b *Book) InForce() []Order {
	return slices.DeleteFunc(b.Orders(), func(o Order) bool { return o.Lifted })
}

// noneInForce is the sum of a book without evacuations.
const emptyChecksum = 1

// Sum is equal at daemons that know the same evacuations in force; 0 is not known. The
// revision at which one was lifted is left out: a daemon that reads all rows knows only
// that it has been.
func (b *Book) Sum() uint64 {
	if !b.Known() {
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
