// Package shift moves the traffic of a service from the old version of its
// instances to a new one, a share of the sessions at a time, and back when the
// new version turns out bad. Decisions are functions of what is known; the
// daemon that holds the duty writes them, all daemons follow.
package shift

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is how far a roll-out is.
type Phase string

// Phases. Completed and RolledBack are final.
const (
	Running    Phase = "running"
	Completed  Phase = "completed"
	RolledBack Phase = "rolled_back"
)

// Order is the operator's wish to move a service to a version.
type Order struct {
	// ID orders the orders; a later one has a larger ID.
	ID      int64
	Service string
	To      string
	// Allowed is the time from the order in which it should be done.
	Allowed time.Duration
	// Age is how long ago the order was given, as far as its teller knows.
	Age time.Duration
	// Era rises when the store that holds the orders comes back from an older copy. An
	// order of an earlier era that is found there again, or written again, has another ID
	// then, which is Restated; 0 is none.
	Era      int64
	Restated int64
}

// newest is the highest ID of the order.
func (o Order) newest() int64 { return max(o.ID, o.Restated) }

// restates reports whether an order is an earlier one, as a later era has it.
func (o Order) restates(earlier Order) bool {
	return o.Era > earlier.Era && o.sameWish(earlier)
}

// sameWish reports whether two orders ask for the same.
func (o Order) sameWish(other Order) bool {
	return o.Service == other.Service && o.To == other.To && o.Allowed == other.Allowed
}

// State is a roll-out as all daemons know it.
type State struct {
	Order   int64  `json:"order"`
	Service string `json:"service"`
	To      string `json:"to"`
	Phase   Phase  `json:"phase"`
	// Share is the part of the sessions that use the new version, 0 to 1.
	Share float64 `json:"share"`
	// Held are the hashes of sessions inside the first share that were under
	// way on the old version; they stay there until the share grows.
	Held []uint64 `json:"held,omitempty"`
	// FreshBefore is the number of requests that the new version had answered
	// when all sessions moved to it.
	FreshBefore int `json:"fresh_before,omitempty"`
	// MovedMS is how long after the order all sessions moved, in milliseconds.
	MovedMS int64 `json:"moved_ms,omitempty"`
	// Stopped is set once the evidence of all daemons condemned the version
	// while nobody held the duty; its next holder rolls it back.
	Stopped bool `json:"stopped,omitempty"`
	// Told is set once the operator has been told of a final phase. Until then
	// the duty is not done, whoever holds it.
	Told bool `json:"told,omitempty"`
	// Withdrawn are versions that earlier orders asked for and that were rolled
	// back or never completed. Their servers may run for some time.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// OrderedMS is when the order was given, in milliseconds of the store's
	// clock; 0 is not known.
	OrderedMS int64 `json:"ordered_ms,omitempty"`
	// Restated is the ID of the order in a later era of the store, 0 where it has none.
	Restated int64 `json:"restated,omitempty"`
	// Step counts the changes, so that an older state never replaces a newer.
	Step int `json:"step"`
}

// AfterTelling is the state once the operator knows of it.
func (s State) AfterTelling() State {
	s.Told = true
	s.Step++
	return s
}

const (
	// settle is how long every session stays on the old version after the
	// order, while the daemons learn of it and tell which sessions are under
	// way.
	settle = 1200 * time.Millisecond
	// drainLeft is the time before the end, three looks of the duty, at which the
	// roll-out is completed
	// even if old instances still work: cutting a few long streams, which can
	// be resumed, costs less than a roll-out that is late.
	drainLeft = 1 * time.Second
)

// Known is what the holder of the duty knows when it decides.
type Known struct {
	// Elapsed is the time since the order.
	Elapsed time.Duration
	Fresh   Counts
	Old     Counts
	// OldInFlight is the number of requests of all daemons at old instances.
	OldInFlight int
	// Held are sessions under way that began on the old version.
	Held []uint64
}

// Next decides the next state of a running roll-out, of which the new version may
// get at most a limited part of the requests.
func Next(s State, o Order, k Known, limit Exposure) State {
	if s.Phase != Running {
		return s
	}
	next := s
	switch {
	case s.Stopped || Bad(k.Fresh, k.Old) || unresolved(s, o, k, limit):
		next.Phase, next.Share, next.Held = RolledBack, 0, nil
	case s.Share >= 1:
		drained := k.OldInFlight == 0 || k.Elapsed >= o.Allowed-drainLeft
		if drained && proven(s, o, k) {
			next.Phase = Completed
		}
	default:
		next.Share = limit.share(s.Share, o, k)
		next.Held = nil
		if next.Share > 0 && next.Share < 1 {
			// A daemon learns of the first share a moment after it told of its
			// sessions. One that begins there meanwhile, one a roll-out at 435
			// requests a second, uses the old version; each look adds them.
			next.Held = union(s.Held, k.Held)
		}
	}
	if s.Share < 1 && next.Share >= 1 {
		next.FreshBefore = k.Fresh.Total().Requests
		next.MovedMS = k.Elapsed.Milliseconds()
	}
	if !same(next, s) {
		next.Step++
	}
	return next
}

// unresolvedLate is how long a version that could move, and is held back, gets for more
// answers: one look more at its evidence.
const unresolvedLate = 300 * time.Millisecond

// unresolved reports whether a version that something speaks against has had its time on
// the first share, and could move now if nothing did. Kept there it would answer a few
// callers badly for good; the operator can order it again.
func unresolved(s State, o Order, k Known, limit Exposure) bool {
	if s.Share >= 1 || s.Share == 0 || !Suspect(k.Fresh, k.Old) {
		return false
	}
	k.Elapsed -= unresolvedLate
	return limit.fits(o, k)
}

const (
	// provenPart of all requests, and provenMost at most, must have been answered
	// by the new version since all sessions moved, before the old one is given
	// up: a version that fails a third of one kind of request fails five of them.
	provenPart = 0.015
	provenMost = 50
	// provenLate is how long after all sessions moved, and after the time allowed,
	// a version without that many requests is given the benefit of the doubt.
	provenLate = 5 * time.Second
)

// proven reports whether a version may be completed: it has answered enough under
// the load of all requests, and nothing speaks against it.
//
// A version that fails one kind of request may have shown too little on the first
// share, and may not be completed before the answers to all sessions are counted. Late
// is better than that. A holder that takes the duty after the time is over moves all
// sessions first, so the benefit of the doubt begins when they move.
func proven(s State, o Order, k Known) bool {
	if Suspect(k.Fresh, k.Old) {
		return false
	}
	fresh, old := k.Fresh.Total().Requests, k.Old.Total().Requests
	if fresh == s.FreshBefore && k.OldInFlight > 0 {
		// All sessions prefer it and none of them is there: it has no instances.
		return false
	}
	needed := min(int(provenPart*float64(fresh+old)), provenMost)
	moved := time.Duration(s.MovedMS) * time.Millisecond
	return fresh-s.FreshBefore >= needed || k.Elapsed > max(moved, o.Allowed)+provenLate
}

// union returns the sorted elements of a and b, each once.
func union(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func same(a, b State) bool {
	return a.Phase == b.Phase && a.Share == b.Share && slices.Equal(a.Held, b.Held)
}

// Hash is the place of a session in the order in which sessions move.
func Hash(session string) uint64 { return xxhash.Sum64String(session) }

// within reports whether a session is in the first share of them.
func within(hash uint64, share float64) bool {
	return float64(hash>>11)/(1<<53) < share
}
