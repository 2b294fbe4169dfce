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
	// Told is set once the operator has been told of a final phase. Until then
	// the duty is not done, whoever holds it.
	Told bool `json:"told,omitempty"`
	// Withdrawn are versions that earlier orders asked for and that were rolled
	// back or never completed. Their servers may run for some time.
	Withdrawn []string `json:"withdrawn,omitempty"`
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
	// FirstShare is the part of the sessions that tries the new version in the
	// first half. A bad version then gets half of the exposure that is allowed
	// (15 in 100) even if nothing is noticed until the second half.
	FirstShare = 0.08
	// leastEvidence is the number of requests that the new version must have
	// answered before its share grows, while there is time.
	leastEvidence = 15
	// drainLeft is the time before the end at which the roll-out is completed
	// even if old instances still work: cutting a few long streams, which can
	// be resumed, costs less than a roll-out that is late.
	drainLeft = 700 * time.Millisecond
)

// stages are the shares of the second half, by the part of the allowed time
// that must have passed. Sessions may move only after one half.
var stages = []struct{ from, share float64 }{
	{0.51, 0.3}, {0.59, 0.65}, {0.67, 1},
}

// lateEvidence is the part of the allowed time after which the share grows
// without the evidence asked for: a service with little traffic has none.
const lateEvidence = 0.62

// Known is what the holder of the duty knows when it decides.
type Known struct {
	// Elapsed is the time since the order.
	Elapsed time.Duration
	Fresh   Counts
	Old     Counts
	// OldInFlight is the number of requests of all daemons at old instances.
	OldInFlight int
	// Held are sessions that were under way on the old version.
	Held []uint64
}

// Next decides the next state of a running roll-out.
func Next(s State, o Order, k Known) State {
	if s.Phase != Running {
		return s
	}
	next := s
	switch {
	case Bad(k.Fresh, k.Old):
		next.Phase, next.Share, next.Held = RolledBack, 0, nil
	case s.Share >= 1:
		if k.OldInFlight == 0 || k.Elapsed >= o.Allowed-drainLeft {
			next.Phase = Completed
		}
	default:
		next.Share = share(s.Share, o, k)
		switch {
		case s.Share == 0 && next.Share > 0:
			next.Held = k.Held
		case next.Share > FirstShare:
			next.Held = nil
		}
	}
	if !same(next, s) {
		next.Step++
	}
	return next
}

func same(a, b State) bool {
	return a.Phase == b.Phase && a.Share == b.Share && slices.Equal(a.Held, b.Held)
}

func share(now float64, o Order, k Known) float64 {
	passed := float64(k.Elapsed) / float64(o.Allowed)
	enough := k.Fresh.Total().Requests >= leastEvidence || passed >= lateEvidence
	out := now
	for _, stage := range stages {
		if passed >= stage.from && enough && stage.share > out {
			// One stage at a time, so that each is looked at.
			return stage.share
		}
	}
	if now == 0 && k.Elapsed >= settle {
		return FirstShare
	}
	return out
}

// Hash is the place of a session in the order in which sessions move.
func Hash(session string) uint64 { return xxhash.Sum64String(session) }

// within reports whether a session is in the first share of them.
func within(hash uint64, share float64) bool {
	return float64(hash>>11)/(1<<53) < share
}
