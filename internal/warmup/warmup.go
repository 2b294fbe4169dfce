// Package warmup shares out what an upstream instance bears while it warms up. A cold
// instance that gets more ends.
//
// It answers the load that a fleet brings to an instance that has just started: it has
// nothing to do, so each daemon by itself would choose it for every request. Nothing is
// asked of other daemons: each instance has a few owners, found by rendezvous hashing, and
// each owner sends at its own pace. The package does no I/O.
package warmup

import (
	"math/rand/v2"
	"time"
)

// plannedPart is the part of the rate that is shared out. Daemons that differ in what they
// know of the fleet do not have the same owners, so that there may be more of them for a
// while.
const plannedPart = 0.7

// Owners is the number of daemons, of some, that may send to an instance which bears rate
// requests a second.
func Owners(rate float64, daemons int) int {
	return max(min(int(plannedPart*rate), daemons), 1)
}

// Interval is the time between two requests of one owner.
func Interval(rate float64, owners int) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(owners) / (plannedPart * rate) * float64(time.Second))
}

// Pace is when one owner may send to one instance. Its zero value may send at once.
type Pace struct{ next time.Time }

// Start begins a pace at a random moment of the first interval, so that owners that learn
// of an instance together do not send to it together.
func (p *Pace) Start(now time.Time, interval time.Duration) {
	if interval > 0 {
		p.next = now.Add(rand.N(interval))
	}
}

// Wait is the time until the next request may be sent.
func (p *Pace) Wait(now time.Time) time.Duration { return max(p.next.Sub(now), 0) }

// Take reserves the next moment at which a request may be sent, and returns the time until
// then.
func (p *Pace) Take(now time.Time, interval time.Duration) time.Duration {
	wait := p.Wait(now)
	p.next = now.Add(wait + interval)
	return wait
}
