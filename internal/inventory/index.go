package inventory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// index contains the instances that may serve, by service and version, so that the cost of a
// selection does not grow with the number of instances.
type index map[string]map[string]*versionIndex

// versionIndex contains the instances of one version of a service.
type versionIndex struct {
	all     ring
	domains map[string]*ring
}

// ring is a set of entries in the order of entry.position. Daemons that know the same instances
// have the same order, and an instance that comes or goes does not change that of the others.
type ring struct {
	entries []*entry
	// unsorted is set after an append, until the next access.
	unsorted bool
}

// minSortedInsert is the size from which a ring that is in order is kept in order by insertion.
// Smaller rings, and those that are being filled from a whole list, are sorted on access.
const minSortedInsert = 64

// positionOf returns the position of an instance in its rings.
func positionOf(id string) uint64 { return xxhash.Sum64String(id) }

func comparePosition(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.instance.ID, b.instance.ID))
}

func (r *ring) add(e *entry, bulk bool) {
	if bulk || r.unsorted || len(r.entries) < minSortedInsert {
		r.entries = append(r.entries, e)
		r.unsorted = true
		return
	}
	at, _ := slices.BinarySearchFunc(r.entries, e, comparePosition)
	r.entries = slices.Insert(r.entries, at, e)
}

func (r *ring) remove(e *entry) {
	r.sort()
	if at, ok := slices.BinarySearchFunc(r.entries, e, comparePosition); ok {
		r.entries = slices.Delete(r.entries, at, at+1)
	}
}

func (r *ring) sort() {
	if r.unsorted {
		slices.SortFunc(r.entries, comparePosition)
		r.unsorted = false
	}
}

// from calls yield with the first n entries of the ring, beginning with the first one at or
// after start and continuing at the beginning of the ring, until yield returns false.
func (r *ring) from(start uint64, n int, yield func(*entry) bool) {
	if n == 0 {
		return
	}
	r.sort()
	at, _ := slices.BinarySearchFunc(r.entries[:n], start, func(e *entry, position uint64) int {
		return cmp.Compare(e.position, position)
	})
	for i := range n {
		if !yield(r.entries[(at+i)%n]) {
			return
		}
	}
}

// reindex updates the index after a change of an entry. bulk is set while a whole list is
// applied. The lock is held.
func (t *Table) reindex(e *entry, bulk bool) {
	serving := e.serves(e.instance.Service)
	place := indexPlace{service: e.instance.Service, version: e.instance.Version, domain: e.instance.FailureDomain}
	if e.indexed && serving && e.indexPlace == place {
		return
	}
	if e.indexed {
		t.index.remove(e)
	}
	if serving {
		e.indexPlace = place
		t.index.add(e, bulk)
	}
	e.indexed = serving
}

// indexPlace identifies the rings in which an entry is.
type indexPlace struct{ service, version, domain string }

func (x index) add(e *entry, bulk bool) {
	p := e.indexPlace
	versions := x[p.service]
	if versions == nil {
		versions = map[string]*versionIndex{}
		x[p.service] = versions
	}
	v := versions[p.version]
	if v == nil {
		v = &versionIndex{domains: map[string]*ring{}}
		versions[p.version] = v
	}
	domain := v.domains[p.domain]
	if domain == nil {
		domain = &ring{}
		v.domains[p.domain] = domain
	}
	v.all.add(e, bulk)
	domain.add(e, bulk)
}

func (x index) remove(e *entry) {
	p := e.indexPlace
	v := x[p.service][p.version]
	v.all.remove(e)
	if v.domains[p.domain].remove(e); len(v.domains[p.domain].entries) == 0 {
		delete(v.domains, p.domain)
	}
	if len(v.all.entries) == 0 {
		delete(x[p.service], p.version)
	}
}
