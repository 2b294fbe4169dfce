package capacity

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// halfLife is the half-life of the averages that give the rates of a Meter. A shorter one
	// makes the demand of an organisation with some ten requests per second vary by more than a
	// fifth; with a longer one a change takes more than two seconds to show.
	halfLife = 1 * time.Second
	// maxMetered bounds the services and the organisations of a service that a Meter counts.
	maxMetered = 64
	// maxWork bounds the work of one request in seconds, so that a wrong estimate cannot
	// outweigh all other requests for long.
	maxWork = 600
	// negligible is the rate below which an organisation or a service without waiting requests is
	// forgotten. A single request of 10 ms falls below it within 7 half-lives, and 1.4% of its work
	// is then not counted.
	negligible = 1e-4
)

// rate is an exponentially weighted average of amounts per second.
type rate struct {
	value float64
	at    time.Time
}

// add adds an amount.
func (r *rate) add(amount float64, now time.Time) {
	r.value = r.get(now) + amount*math.Ln2/halfLife.Seconds()
}

// get returns the rate at the given time and moves the average there. A clock that jumps back
// does not change the value.
func (r *rate) get(now time.Time) float64 {
	r.value *= remaining(now.Sub(r.at), halfLife)
	r.at = now
	return r.value
}

// remaining returns which part of an average is left after the given time.
func remaining(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

// meteredService is what a Meter counts for one service.
type meteredService struct {
	completed, requests rate
	// waiting is the number of requests that wait since waitingAt, and meanWaiting its average until
	// then.
	waiting       int
	meanWaiting   float64
	waitingAt     time.Time
	organisations map[Key]*meteredLoad
}

type meteredLoad struct{ demand, refused rate }

// Counters are the total numbers of events that a Meter has counted.
type Counters struct {
	Arrived  int64 `json:"arrived"`
	Finished int64 `json:"finished"`
	Refused  int64 `json:"refused"`
}

// Meter counts the work that arrives at this daemon, is finished, refused or waits. A nil Meter
// counts nothing.
//
// Lock order: no other lock is taken while mu is held; counts is called before.
type Meter struct {
	clock  clockwork.Clock
	counts func(service string) bool

	mu       sync.Mutex
	services map[Key]*meteredService
	counters Counters
}

// NewMeter returns a Meter. counts tells of which services the work is counted.
func NewMeter(clock clockwork.Clock, counts func(service string) bool) *Meter {
	return &Meter{clock: clock, counts: counts, services: map[Key]*meteredService{}}
}

// Arrived counts a request with the given work, the expected time of the request at an instance
// of usual speed in seconds. A request that a caller sends again arrives again.
func (m *Meter) Arrived(service, organisation string, work float64) {
	m.with(service, func(s *meteredService, now time.Time) {
		m.counters.Arrived++
		s.requests.add(1, now)
		s.load(organisation, now).demand.add(validWork(work), now)
	})
}

// Finished counts work that an instance has completed, in the units of Arrived.
func (m *Meter) Finished(service string, work float64) {
	m.with(service, func(s *meteredService, now time.Time) {
		m.counters.Finished++
		s.completed.add(validWork(work), now)
	})
}

// Refused counts a request that was refused for want of capacity.
func (m *Meter) Refused(service, organisation string) {
	m.with(service, func(s *meteredService, now time.Time) {
		m.counters.Refused++
		s.load(organisation, now).refused.add(1, now)
	})
}

// SetWaiting sets how many requests wait at this daemon until an instance can start them.
func (m *Meter) SetWaiting(service string, requests int) {
	m.with(service, func(s *meteredService, now time.Time) {
		s.averageWaiting(now)
		s.waiting = max(requests, 0)
	})
}

// Counters returns the numbers of events counted so far.
func (m *Meter) Counters() Counters {
	if m == nil {
		return Counters{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

// Usage returns the usage of this daemon and forgets services and organisations without any.
func (m *Meter) Usage() Usage {
	out := Usage{Daemons: 1, Services: map[Key]ServiceUsage{}}
	if m == nil {
		return out
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for key, s := range m.services {
		u := ServiceUsage{
			Completed: s.completed.get(now), Requests: s.requests.get(now), Waiting: s.averageWaiting(now),
			Organisations: make(map[Key]Load, len(s.organisations)),
		}
		for organisation, l := range s.organisations {
			load := Load{Demand: l.demand.get(now), Refused: l.refused.get(now)}
			if load.Demand < negligible && load.Refused < negligible {
				delete(s.organisations, organisation)
				continue
			}
			u.Organisations[organisation] = load
		}
		if s.waiting == 0 && u.Waiting < negligible && len(u.Organisations) == 0 && u.Completed < negligible && u.Requests < negligible {
			delete(m.services, key)
			continue
		}
		out.Services[key] = u
	}
	return out
}

// with calls f with a service, unless it is not counted or too many others are.
func (m *Meter) with(service string, f func(*meteredService, time.Time)) {
	if m == nil || !m.counts(service) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := KeyOf(service)
	s, ok := m.services[key]
	if !ok {
		if len(m.services) >= maxMetered {
			return
		}
		s = &meteredService{organisations: map[Key]*meteredLoad{}, waitingAt: m.clock.Now()}
		m.services[key] = s
	}
	f(s, m.clock.Now())
}

// averageWaiting moves the average of the waiting requests to the given time and returns it.
func (s *meteredService) averageWaiting(now time.Time) float64 {
	old := remaining(now.Sub(s.waitingAt), halfLife)
	s.meanWaiting = old*s.meanWaiting + (1-old)*float64(s.waiting)
	s.waitingAt = now
	return s.meanWaiting
}

// load returns the load of an organisation. If there are too many, the one with the lowest demand
// is added to OtherOrganisations to make room.
func (s *meteredService) load(organisation string, now time.Time) *meteredLoad {
	key := KeyOf(organisation)
	if l, ok := s.organisations[key]; ok {
		return l
	}
	if len(s.organisations) >= maxMetered {
		s.foldSmallest(now)
	}
	l := &meteredLoad{}
	s.organisations[key] = l
	return l
}

func (s *meteredService) foldSmallest(now time.Time) {
	smallest, lowest := OtherOrganisations, math.Inf(1)
	for key, l := range s.organisations {
		if key != OtherOrganisations && l.demand.get(now) < lowest {
			smallest, lowest = key, l.demand.value
		}
	}
	folded := s.organisations[smallest]
	delete(s.organisations, smallest)
	rest, ok := s.organisations[OtherOrganisations]
	if !ok {
		rest = &meteredLoad{}
		s.organisations[OtherOrganisations] = rest
	}
	rest.demand = rate{value: rest.demand.get(now) + folded.demand.get(now), at: now}
	rest.refused = rate{value: rest.refused.get(now) + folded.refused.get(now), at: now}
}

// validWork returns a work that is a number within bounds.
func validWork(work float64) float64 {
	if !(work > 0) {
		return 0
	}
	return min(work, maxWork)
}
