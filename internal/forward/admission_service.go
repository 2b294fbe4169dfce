package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/place"
)

const (
	// objectivePeriod is for how long at least an objective counts towards the shortest one of a
	// service.
	objectivePeriod = 10 * time.Second
	// defaultObjective is used for routes that declare none.
	defaultObjective = time.Second
	// stallFraction is the fraction of the objective after which a queue that has granted nothing
	// sends its first request in any case, within the bounds below. The figures that it waits for
	// may be wrong.
	stallFraction      = 0.25
	minStall, maxStall = 100 * time.Millisecond, time.Second
	// occupancyWeight is the weight of a new sample in the mean time that a request takes a slot.
	occupancyWeight = 0.05
)

// serviceLoad is what this daemon knows of the load of a service.
//
// Lock order: mu is taken alone.
type serviceLoad struct {
	name string
	// waiting is the number of requests that wait for the service.
	waiting atomic.Int64

	mu    sync.Mutex
	share capacityShare
	// rate is this daemon's part of the work that the instances can do per second. Work is the time
	// of answers including that in the queues of instances, so that the instances do as much per
	// second as they can have requests.
	rate float64
	// occupancy is the mean time from the sending of a request to the end of its answer.
	occupancy time.Duration
	// objective is the shortest one since objectiveSince, lastObjective that of the period before.
	objective, lastObjective time.Duration
	objectiveSince           time.Time
	// grantedAt is when a request was last granted, or began to wait in an empty queue.
	grantedAt time.Time
}

// expectedRate implements limit.QueueOptions.ExpectedRate.
func (s *serviceLoad) expectedRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate
}

// setRate sets what expectedRate returns.
func (s *serviceLoad) setRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rate
}

// noteObjective records the objective of a request and returns the shortest recent one.
func (s *serviceLoad) noteObjective(objective time.Duration, now time.Time) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.objectiveSince) > objectivePeriod {
		s.lastObjective, s.objective, s.objectiveSince = s.objective, objective, now
	}
	s.objective = min(s.objective, objective)
	if s.lastObjective > 0 {
		return min(s.objective, s.lastObjective)
	}
	return s.objective
}

// noteEnded records the end of an attempt. occupancy is the time that it took a slot; 0 if it is
// not known.
func (s *serviceLoad) noteEnded(instance string, occupancy time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.noteEnded(instance, now)
	if occupancy <= 0 {
		return
	}
	if s.occupancy == 0 {
		s.occupancy = occupancy
	}
	s.occupancy += time.Duration(occupancyWeight * float64(occupancy-s.occupancy))
}

// noteQueued records that a request begins to wait. first is set if no other one waits.
func (s *serviceLoad) noteQueued(first bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.grantedAt = now
	}
}

// noteGranted records that a request is sent.
func (s *serviceLoad) noteGranted(instance string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.take(instance, now)
	s.grantedAt = now
}

// free returns the candidates to which this daemon may send a request now. If requests wait and
// none has been granted for too long, these are all candidates.
func (s *serviceLoad) free(all []place.Candidate, r capacityRule, granted map[string]int, fleet fleetView, random func() float64, now time.Time) []place.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.occupancy = s.occupancy
	if s.rate > 0 {
		r.backlog = time.Duration(float64(s.waiting.Load()) * float64(s.occupancy) / s.rate)
	}
	free, sum := r.freeInstances(all, granted)
	sum.room *= fleet.scale
	sum.total *= fleet.scale
	s.rate = sum.total * fleet.fraction
	if r.keepsPrompts && len(free) > 0 {
		return all
	}
	if chosen := s.share.choose(all, free, sum, fleet.fraction, random, now); len(chosen) > 0 {
		return chosen
	}
	stall := min(max(time.Duration(stallFraction*float64(r.objective)), minStall), maxStall)
	if s.waiting.Load() > 0 && now.Sub(s.grantedAt) >= stall {
		return all
	}
	return nil
}

// fleetView relates a sample of instances to the service and this daemon to the fleet.
type fleetView struct {
	// scale is the number of instances of the service by those in the sample, and fraction this
	// daemon's part of the free capacity.
	scale, fraction float64
}
