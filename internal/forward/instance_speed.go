package forward

import (
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

// minSpeedWork is the work below which the time to a first event says little about an engine: it
// is then mostly network latency and a few generation steps.
const minSpeedWork = 1000

// placesByTime reports whether the request is placed by the expected time at each instance.
func (q *request) placesByTime() bool {
	return q.Overload != nil && q.Overload.InstanceSpeed(q.service.Name)
}

// placementRequest returns what place.Soonest needs to know of the request.
func (q *request) placementRequest() place.Request {
	usual := q.Table.Usual(q.service.Name)
	r := place.Request{Engine: q.service.Engine, Hold: usual.Hold, Objective: q.route.Objective}
	if r.Engine {
		const work = 1e6
		r.Key = q.placementKey()
		r.PerWork = q.prefillRate.Estimate(work, time.Now()).Seconds() / work
		daemons := time.Duration(max(q.DaemonCount(), 1))
		r.Tokens, r.Capacity = q.memory(), float64(q.service.KVCapacity)
		r.Unseen = q.Table.UnseenFor() * (daemons - 1) / daemons
	}
	return r
}

// memory returns the tokens that the request takes in the KV cache of an engine: its prompt, and
// the answer that is expected.
func (q *request) memory() float64 { return float64(q.headers.TokensIn + q.expectedTokens()) }

// countsMemory reports whether the memory of engines counts for the placement.
func (q *request) countsMemory() bool { return q.service.KVCapacity > 0 && q.placesByTime() }

// othersTokens returns the memory that a request of another daemon takes on average at an instance
// to which this daemon has sent none. Daemons exchange the number of their requests, not their
// sizes.
func (q *request) othersTokens() float64 {
	if !q.countsMemory() {
		return 0
	}
	if usual := q.Table.Usual(q.service.Name).Tokens; usual > 0 {
		return usual
	}
	return q.memory()
}

// holdMemory counts the memory that the attempt takes at the instance.
func (a *attempt) holdMemory() {
	if a.countsMemory() {
		a.tokens = a.memory()
		a.Table.HoldTokens(a.instance, a.tokens)
	}
}

// releaseMemory ends what holdMemory began.
func (a *attempt) releaseMemory() {
	if a.tokens > 0 {
		a.Table.ReleaseTokens(a.instance, a.tokens)
	}
}

// noteSpeed records what the end of the attempt says about the speed of the instance. An attempt
// that timed out gives a lower bound. The speed of an instance that warms up is not its usual one.
func (a *attempt) noteSpeed(outcome inventory.Outcome) {
	if !a.byTime || a.warming || outcome != inventory.OutcomeSuccess && outcome != inventory.OutcomeTimeout {
		return
	}
	now := time.Now()
	timedOut := outcome == inventory.OutcomeTimeout
	a.mu.Lock()
	headAt, pace := a.headAt, time.Duration(0)
	if a.eventCount >= minPaceEvents && !a.dropped {
		pace = a.lastEventAt.Sub(headAt) / time.Duration(a.eventCount)
	}
	a.mu.Unlock()
	if !timedOut && !a.dropped {
		a.Table.ObserveHold(a.service.Name, now.Sub(a.sentAt))
	}
	if !a.service.Engine {
		// The time of an answer that is passed on while it is read depends on the caller, too.
		if a.route.Kind != catalog.Stream && !a.headSent {
			kind := speed.Kind{Measure: speed.PlainAnswer, Name: a.service.Name, Model: a.route.Name}
			a.Table.ObserveSpeed(a.instance, kind, now.Sub(a.sentAt).Seconds()/a.crowding, timedOut)
		}
		return
	}
	firstEvent := headAt.Sub(a.sentAt)
	if timedOut && headAt.IsZero() {
		firstEvent = now.Sub(a.sentAt)
	}
	if a.queuedPrefill+a.prefill >= minSpeedWork {
		multiple := firstEvent.Seconds() / a.expectedFirstEvent.Seconds()
		// A model that the caller names is not used: there would be a mean for each name.
		kind := speed.Kind{Measure: speed.FirstEvent, Name: a.service.Name, Model: a.model}
		a.Table.ObserveSpeed(a.instance, kind, multiple, timedOut)
	}
	if pace > 0 {
		a.Table.ObserveSpeed(a.instance, speed.Kind{Measure: speed.EventTime, Name: a.route.Name, Model: a.model}, pace.Seconds(), false)
	}
}

// crowding returns how many times as long a plain answer takes because requests wait for slots.
func crowding(c place.Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	return 1 + max(c.Load+1-slots, 0)/slots
}
