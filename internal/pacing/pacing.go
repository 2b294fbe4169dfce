// Package pacing divides the requests to an upstream instance among the daemons if the instance
// accepts few of them, because it warms up or has a limit.
//
// Such an instance is less busy than others, so that every daemon by itself would choose it
// for every request and the fleet would overload it. The daemons need no coordination: each
// instance has a few owners, determined by rendezvous hashing, and each owner sends at its own
// pace. The package does no I/O.
package pacing

import (
	"math/rand/v2"
	"time"
)

// minOwners is the minimum number of owners of an instance if there are that many daemons.
// With several owners, the instance is still used if one of them is frozen or has no callers.
const minOwners = 3

// OwnerCount returns how many of the given number of daemons may send to an instance that
// accepts rate requests per second from all daemons together.
func OwnerCount(rate float64, daemons int) int {
	return max(min(max(int(rate), minOwners), daemons), 1)
}

// Share is one daemon's share of the rate of an instance. Its zero value is no share.
type Share struct {
	// Interval is the time between two requests of this daemon.
	Interval time.Duration
	// Phase is the offset of the daemon's turns within an interval, as a fraction of it. The
	// phases of an instance's owners are spread evenly.
	Phase float64
}

// ShareOf returns the share of the owner with the given rank, counted from 0, of an instance
// that accepts rate requests per second.
func ShareOf(rate float64, rank, owners int) Share {
	if rate <= 0 {
		return Share{}
	}
	return Share{
		Interval: time.Duration(float64(owners) / rate * float64(time.Second)),
		Phase:    (float64(rank) + rand.Float64()) / float64(owners),
	}
}

// Pacer determines when one owner may send to one instance. Its zero value allows a request at
// once.
type Pacer struct{ next time.Time }

// Start sets the first turn according to the share's phase, so that owners that learn of an
// instance at the same time do not send to it at the same time.
func (p *Pacer) Start(now time.Time, share Share) {
	p.next = now.Add(time.Duration(share.Phase * float64(share.Interval)))
}

// Adjust changes the interval: the next turn comes after at most one new interval. Turns
// already reserved no longer count.
func (p *Pacer) Adjust(now time.Time, interval time.Duration) {
	if latest := now.Add(interval); p.next.After(latest) {
		p.next = latest
	}
}

// Wait returns the time until the next turn.
func (p *Pacer) Wait(now time.Time) time.Duration { return max(p.next.Sub(now), 0) }

// Overdue returns how long ago the next turn became available.
func (p *Pacer) Overdue(now time.Time) time.Duration { return max(now.Sub(p.next), 0) }

// Take reserves the next turn and returns the time until then.
func (p *Pacer) Take(now time.Time, interval time.Duration) time.Duration {
	wait := p.Wait(now)
	p.next = now.Add(wait + interval)
	return wait
}
