package forward

import (
	"math"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/place"
)

const (
	// queuedFraction is the fraction of the objective by which work that is queued at an instance
	// may delay a first event. Queued work keeps the instance busy until the daemons notice that
	// it has free capacity; the rest of the objective is left for the request itself.
	queuedFraction = 0.3
	// backlogFraction is the fraction of the backlog of this daemon that is added, up to
	// maxQueuedFraction of the objective. Daemons with longer queues so get more of the capacity;
	// otherwise each would keep the part that it had when capacity became short.
	backlogFraction   = 0.15
	maxQueuedFraction = 0.75
	// maxQueuedPerSlot bounds the requests queued at an instance, as a multiple of its slots.
	// Servers with short requests refuse longer queues.
	maxQueuedPerSlot = 1.0
	// viewInterval is the time between two reports of the work of other daemons. Between them,
	// all daemons see the same free capacity.
	viewInterval = 500 * time.Millisecond
	// ampleFraction is the fraction of the whole capacity that must be free for this daemon to
	// use as much of it as it needs. Below, it uses only its share.
	ampleFraction = 0.5
	// implausibleOpen is the number of open requests, as a multiple of the slots, from which on a
	// figure is ignored. An instance refuses requests long before it has as many.
	implausibleOpen = 16
	// implausibleDelay is the delay by queued prompts from which on that figure is ignored. It
	// exceeds the longest timeout of a caller.
	implausibleDelay = 2 * time.Minute
)

// capacityRule determines how many requests an instance may be sent.
type capacityRule struct {
	// objective is the shortest objective of the requests for the service. One that is longer for
	// some routes would let their requests take all capacity from those of the others.
	objective time.Duration
	// occupancy is the mean time that a request takes at an instance; 0 means unknown.
	occupancy time.Duration
	// prefillRate is the work of prompts that an engine processes per second.
	prefillRate float64
	// backlog is the time in which this daemon's part of the capacity does the work that waits here.
	backlog time.Duration
	// engine is set for services whose requests last for seconds, so that the open requests
	// that daemons exchange are accurate.
	engine bool
	// keepsPrompts is set if prompts have engines that their hash prefers. As long as any engine has
	// free capacity they go there. Prompts that are spread over the free engines keep all of these
	// processing prompts, which doubles the time of the answers that they generate.
	keepsPrompts bool
}

// maxDelay returns by how much work that is queued at an instance may delay a first event.
func (r capacityRule) maxDelay() time.Duration {
	delay := queuedFraction*float64(r.objective) + backlogFraction*float64(r.backlog)
	return time.Duration(min(delay, maxQueuedFraction*float64(r.objective)))
}

// capacity returns the number of requests that an instance may have, including queued ones.
func (r capacityRule) capacity(slots int) float64 {
	queued := 0.0
	if r.occupancy > 0 {
		queued = min(float64(r.maxDelay())/float64(r.occupancy), maxQueuedPerSlot)
	}
	return float64(slots) * (1 + queued)
}

// room returns how many more requests the instance may be sent; at most 0 if none. granted is
// the number of requests that this daemon is about to send there.
func (r capacityRule) room(c *place.Candidate, granted int) float64 {
	delay := c.Waiting / r.prefillRate
	if delay > r.maxDelay().Seconds() && delay < implausibleDelay.Seconds() {
		return 0
	}
	if c.Slots <= 0 {
		return 1
	}
	open := float64(c.Open)
	if !r.engine || c.Open > implausibleOpen*c.Slots || c.Open < 0 {
		// The last report of the instance itself is newer, or the only plausible one.
		open = c.Load
	}
	if math.IsNaN(open) || open > float64(implausibleOpen*c.Slots) {
		open = 0
	}
	return r.capacity(c.Slots) - open - float64(granted)
}

// freeCapacity is the capacity for requests at the instances that a request may use.
type freeCapacity struct {
	// total and room are the requests that the instances may have, and how many more.
	total, room float64
}

// freeInstance is a candidate with free capacity, by its index, and the number of requests that it
// may be sent.
type freeInstance struct {
	index int
	room  float64
}

// freeInstances returns the candidates with free capacity, and the capacity of all. granted is
// the number of requests by instance that this daemon is about to send. A candidate
// that is due for a probe counts as free, since the probe decides whether its limit applies.
func (r capacityRule) freeInstances(all []place.Candidate, granted map[string]int) ([]freeInstance, freeCapacity) {
	var sum freeCapacity
	free := make([]freeInstance, 0, len(all))
	capacity, slots := 0.0, -1
	for i := range all {
		c := &all[i]
		if c.Slots != slots {
			slots = c.Slots
			capacity = r.capacity(max(slots, 1))
		}
		room := r.room(c, granted[c.ID])
		sum.total += capacity
		sum.room += max(room, 0)
		if room >= 1 || room > 0 && c.Open == 0 || c.ProbeDue {
			free = append(free, freeInstance{index: i, room: room})
		}
	}
	return free, sum
}

// choices is the number of instances among which a request is placed while capacity is short.
const choices = 3

// spread returns a few of the free instances: those drawn at random by their room, and the one
// that has most of the prompt cached.
//
// All daemons see the same instances as free. If each placed its requests at the best one, its
// queue would grow to many times its room before the next report. With few random choices, an
// instance is sent at most that many times its room.
func spread(all []place.Candidate, free []freeInstance, random func() float64) []place.Candidate {
	if len(free) <= choices {
		return candidatesOf(all, free)
	}
	cached, most := 0, 0
	for i, f := range free {
		c := &all[f.index]
		if c.Prefill < all[free[cached].index].Prefill {
			cached = i
		}
		if c.Prefill > all[free[most].index].Prefill {
			most = i
		}
	}
	out := make([]place.Candidate, 0, choices+1)
	if c := all[free[cached].index]; c.Prefill < all[free[most].index].Prefill {
		out = append(out, c)
		free[cached].room = 0
	}
	for range choices {
		sum := 0.0
		for _, f := range free {
			sum += max(f.room, 0)
		}
		point := random() * sum
		for i, f := range free {
			if point -= max(f.room, 0); point < 0 {
				out = append(out, all[f.index])
				free[i].room = 0
				break
			}
		}
	}
	return out
}

// candidatesOf returns the candidates with free capacity.
func candidatesOf(all []place.Candidate, free []freeInstance) []place.Candidate {
	if len(free) == len(all) {
		return all
	}
	out := make([]place.Candidate, 0, len(free))
	for _, f := range free {
		out = append(out, all[f.index])
	}
	return out
}

// capacityShare limits the requests that this daemon sends to free capacity that all daemons
// see. Its part of it becomes available in the course of viewInterval.
type capacityShare struct {
	// requests is the number that may be sent as of at.
	requests float64
	at       time.Time
	// ended is the number of requests of this daemon by instance that have ended since endedAt and
	// were not replaced. Their capacity is known to this daemon alone until the next report.
	ended   map[string]int
	endedAt time.Time
}

// isAmple reports whether so much capacity is free that a daemon may use as much as it needs.
func (f freeCapacity) isAmple() bool { return f.room >= ampleFraction*f.total }

// choose returns the free instances that this daemon may use. fraction is its part of the free
// capacity.
func (s *capacityShare) choose(all []place.Candidate, free []freeInstance, f freeCapacity, fraction float64, random func() float64, now time.Time) []place.Candidate {
	if f.isAmple() {
		return candidatesOf(all, free)
	}
	for _, i := range free {
		if c := all[i.index]; c.ProbeDue {
			return []place.Candidate{c}
		}
	}
	part := f.room * fraction
	switch elapsed := now.Sub(s.at); {
	case s.at.IsZero():
		s.requests = max(part, 1)
	case elapsed > 0:
		s.requests += part * float64(elapsed) / float64(viewInterval)
	}
	s.at = now
	s.requests = min(s.requests, max(part, 1))
	if s.requests >= 1 {
		return spread(all, free, random)
	}
	var own []place.Candidate
	if now.Sub(s.endedAt) < viewInterval {
		for _, f := range free {
			if c := all[f.index]; s.ended[c.ID] > 0 {
				own = append(own, c)
			}
		}
	}
	return own
}

// take counts a request that is sent to an instance.
func (s *capacityShare) take(instance string, now time.Time) {
	if s.ended[instance] > 0 && now.Sub(s.endedAt) < viewInterval {
		s.ended[instance]--
		return
	}
	s.requests = max(s.requests-1, 0)
}

// noteEnded counts the end of a request of this daemon.
func (s *capacityShare) noteEnded(instance string, now time.Time) {
	if now.Sub(s.endedAt) >= viewInterval {
		s.ended, s.endedAt = map[string]int{}, now
	}
	s.ended[instance]++
}
