// Package pacing shares out among daemons the requests that an upstream instance takes
// while it takes few: it warms up, or names a limit.
//
// It answers the load that a fleet brings to such an instance, which is less busy than
// others, so each daemon by itself would choose it for every request. Nothing is asked of
// other daemons: each instance has a few owners, found by rendezvous hashing, and each owner
// sends at its own pace. The package does no I/O.
package pacing

import (
	"math/rand/v2"
	"time"
)

// leastOwners is the least number of owners of an instance, if there are as many daemons:
// one that is frozen, or has no callers, does not keep the instance from being used.
const minOwners = 3

// Owners is the number of daemons, of some, that may send to an instance which is to get
// rate requests a second of all of them.
func Owners(rate float64, daemons int) int {
	return max(min(max(int(rate), minOwners), daemons), 1)
}

// Part is one daemon's part of what an instance is to get. Its zero value is no part.
type Part struct {
	// Interval is the time between two requests of this daemon.
	Interval time.Duration
	// Phase is when, from 0 to 1, the daemon's turns come within an interval. Those of
	// an instance's owners are spread evenly.
	Phase float64
}

// PartOf is the part of the owner with some rank, from 0, of an instance that is to get rate
// requests a second.
func PartOf(rate float64, rank, owners int) Part {
	if rate <= 0 {
		return Part{}
	}
	return Part{
		Interval: time.Duration(float64(owners) / rate * float64(time.Second)),
		Phase:    (float64(rank) + rand.Float64()) / float64(owners),
	}
}

// Pace is when one owner may send to one instance. Its zero value may send at once.
type Pacer struct{ next time.Time }

// Start begins a pace at the owner's moment of the first interval, so that owners that learn
// of an instance together do not send to it together.
func (p *Pacer) Start(now time.Time, part Part) {
	p.next = now.Add(time.Duration(part.Phase * float64(part.Interval)))
}

// Adjust goes on at another interval. Requests that were reserved count no more.
func (p *Pacer) Adjust(now time.Time, interval time.Duration) {
	if latest := now.Add(interval); p.next.After(latest) {
		p.next = latest
	}
}

// Wait is the time until the next request may be sent.
func (p *Pacer) Wait(now time.Time) time.Duration { return max(p.next.Sub(now), 0) }

// Open is for how long the next request may have been sent already.
func (p *Pacer) Overdue(now time.Time) time.Duration { return max(now.Sub(p.next), 0) }

// Take reserves the next moment at which a request may be sent, and returns the time until
// then.
func (p *Pacer) Take(now time.Time, interval time.Duration) time.Duration {
	wait := p.Wait(now)
	p.next = now.Add(wait + interval)
	return wait
}
