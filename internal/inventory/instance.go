// Package inventory is the table of upstream instances: which there are, what
// is believed of their load and health, and what this daemon has sent them.
package inventory

import "time"

// Instance is one life of an upstream server as the platform lists it. Its address
// may be given to another server once it is gone.
type Instance struct {
	ID string
	// Born is when the server started, in milliseconds of its own time of day; 0
	// is not known. A server that starts again may keep its ID: the later start is
	// another life, of which nothing is known.
	Born          int64
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of its software, which roll-outs move.
	Version string
	// Slots is the number of requests it works on at once.
	Slots int
	// Leaving instances get nothing new.
	Leaving bool
}

// Life names one life of a server. A server that starts again may keep its ID.
type Life struct {
	ID   string
	Born int64
}

// Life returns the instance's life.
func (i Instance) Life() Life { return Life{ID: i.ID, Born: i.Born} }

// Change is news of one instance from the list.
type Change struct {
	ID string
	// Instance is nil when the list does not have it any more, or Unreadable is
	// set.
	Instance *Instance
	// Unreadable entries name no server that could be used.
	Unreadable bool
	// Warming is for how long the instance is still cold, as it said when it last wrote
	// its entry; 0 is not.
	Warming time.Duration
}

// Load is what an instance says of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
