// Package inventory keeps the table of upstream instances: the listed instances, their load
// and health, and the requests that this daemon has sent to them.
package inventory

import "time"

// Instance is one incarnation of an upstream server as the platform lists it. After the server
// has exited, its address may be assigned to another one.
type Instance struct {
	ID string
	// Born is the start time of the server in milliseconds of its own clock; 0 means unknown.
	// A server that restarts may keep its ID. A later start time means another incarnation, to
	// which nothing that is known of the earlier one applies.
	Born          int64
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the server's software, which roll-outs change.
	Version string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Leaving instances get no new requests.
	Leaving bool
}

// Incarnation identifies one start of a server. A server that restarts may keep its ID.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the ID and start time of the instance.
func (i Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, Born: i.Born} }

// Change is a change of one entry of the list.
type Change struct {
	ID string
	// Instance is nil if the entry was removed or Unreadable is set.
	Instance *Instance
	// Unreadable is set if the entry does not describe a usable server.
	Unreadable bool
	// Warming is the remaining warm-up time when the instance last wrote its entry; 0 if it is
	// warm.
	Warming time.Duration
}

// Load is the load that an instance reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how much longer than usual work takes on the instance's machine at this
	// moment, as a factor; 0 means unknown. Only instances that share their machine with other
	// programs report it.
	Slowdown float64
}
