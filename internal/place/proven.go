package place

import (
	"cmp"
	"slices"
	"time"
)

// Proof says how far an instance can be trusted to answer a request.
type Proof struct {
	// Unproven instances have recently lost an answer or were found faulty, at LostAt, or have just
	// started.
	Unproven bool
	LostAt   time.Time
}

// hasRoom reports whether the instance probably has a free slot. All slots count, because a request
// for which there was no slot after all is refused and goes elsewhere, whereas a lost answer cannot
// be had again.
func (c Candidate) hasRoom() bool {
	return c.Slots <= 0 || max(c.Load, float64(c.Open))+1 <= float64(c.Slots)
}

// Proven returns the instances for a request that must not run twice: the proven ones with a free
// slot. Otherwise, the following give way, in this order:
//
//  1. Requests that may be repeated. They are placed by load alone, so they go to the unproven
//     instances, which have less of it, and leave the slots of the proven ones.
//  2. The request itself: it goes to the unproven instance with a free slot whose last loss or
//     fault is the least recent; one that has only just started comes before those.
//  3. The proven instances: without any free slot, the request is placed among all.
//
// Without a proven instance, or without an unproven one, all are returned.
func Proven(all []Candidate) []Candidate {
	var proven, withRoom, unproven []Candidate
	for _, c := range all {
		switch {
		case c.Unproven && c.hasRoom():
			unproven = append(unproven, c)
		case !c.Unproven:
			proven = append(proven, c)
			if c.hasRoom() {
				withRoom = append(withRoom, c)
			}
		}
	}
	switch {
	case len(proven) == 0 || len(proven) == len(all):
		return all
	case len(withRoom) > 0:
		return withRoom
	case len(unproven) > 0:
		return []Candidate{slices.MinFunc(unproven, func(a, b Candidate) int {
			return cmp.Or(a.LostAt.Compare(b.LostAt), cmp.Compare(a.load(), b.load()))
		})}
	}
	return all
}
