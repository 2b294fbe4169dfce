package capacity

import (
	"time"
)

const (
	// capacityHalfLife is the half-life with which the capacity falls to the completed work. The
	// completions of long streams vary too much to follow them at once, and a capacity that is too
	// low limits organisations without need. It rises at once.
	capacityHalfLife = 2 * time.Second
	// localHalfLife is the half-life with which a daemon that is cut off goes over from its part of
	// the last known demand to that at itself. In a large fleet a daemon has a request of an
	// organisation every few seconds, so over a shorter time the demands there say little.
	localHalfLife = 10 * time.Second
	// fallFraction is how far the demand of an organisation within the last interval must be
	// below its average for the former to count. By the average alone, capacity would stay
	// reserved for an organisation for seconds after it has stopped.
	fallFraction = 0.5
	// minStep is the shortest interval over which such a demand is computed. Over a shorter one
	// small differences between two readers would have a large effect.
	minStep = 500 * time.Millisecond
)

// serviceState is what an Account keeps of one service.
type serviceState struct {
	usage    ServiceUsage
	daemons  int
	capacity float64
	updated  time.Time
	shortage shortage
	shares   shares
	// before is the usage of an earlier update, by beforeDaemons daemons.
	before        ServiceUsage
	beforeAt      time.Time
	beforeDaemons int
	// localShortage, localDemands and localShares are used while no figures of the fleet arrive.
	// localDemands are the demands of organisations at this daemon.
	localShortage shortage
	localDemands  map[Key]float64
	localShares   shares
}

func newServiceState(u ServiceUsage, daemons int, now time.Time) *serviceState {
	return &serviceState{
		usage: u, daemons: daemons, capacity: u.Completed, updated: now, before: u, beforeAt: now, beforeDaemons: daemons,
		shares: unlimited(), localShares: unlimited(),
	}
}

// update sets the usage of the service by the given number of daemons.
func (s *serviceState) update(u ServiceUsage, daemons int, now time.Time, terms map[Key]Terms) {
	// A reader that knows fewer daemons reports less of the demand, which must not look small
	// beside the capacity that another reader has reported.
	known := min(float64(daemons)/float64(max(s.daemons, 1)), 1) * s.capacity
	old := remaining(now.Sub(s.updated), capacityHalfLife)
	s.capacity = max(u.Completed, old*known+(1-old)*u.Completed)
	s.usage, s.updated, s.daemons = u, now, daemons
	recent := s.recent(u, daemons, now)
	s.shortage.update(recent, u.Total().Demand, s.capacity, now)
	s.localShortage, s.localDemands = s.shortage, nil
	s.shares = unlimited()
	if s.shortage.short {
		s.shares = divide(s.capacity, demands(recent), terms)
	}
}

// updateLocal sets the shares of this daemon's own usage in its part of the capacity, with equal
// weights. It is called every localInterval.
func (s *serviceState) updateLocal(own ServiceUsage, now time.Time) {
	n := float64(max(s.daemons, 1))
	if s.localDemands == nil {
		s.localDemands = demands(s.usage)
		for key := range s.localDemands {
			s.localDemands[key] /= n
		}
	}
	old, total := remaining(localInterval, localHalfLife), 0.0
	for key, before := range s.localDemands {
		s.localDemands[key] = old * before
		if before < negligible {
			delete(s.localDemands, key)
		}
	}
	for key, l := range own.Organisations {
		s.localDemands[key] += (1 - old) * l.Demand
	}
	for _, demand := range s.localDemands {
		total += demand
	}
	part := s.capacity / n
	s.localShortage.update(own, total, part, now)
	s.localShares = unlimited()
	if s.localShortage.short {
		s.localShares = divide(part, s.localDemands, nil)
	}
}

// recent returns the usage with the rates of organisations within the last interval where these
// have fallen steeply. They follow from the average at its start and end.
func (s *serviceState) recent(u ServiceUsage, daemons int, now time.Time) ServiceUsage {
	before, fewer, step := s.before, daemons < s.beforeDaemons, now.Sub(s.beforeAt)
	if step >= 0 && step < minStep {
		return u
	}
	s.before, s.beforeAt, s.beforeDaemons = u, now, daemons
	if fewer || step < 0 {
		// The rates have fallen because the reports of some daemons are missing.
		return u
	}
	old := remaining(step, halfLife)
	fallen := func(now, before float64) float64 {
		within := (now - old*before) / (1 - old)
		if within < fallFraction*now {
			return max(within, 0)
		}
		return now
	}
	out := u
	out.Requests, out.Waiting = fallen(u.Requests, before.Requests), fallen(u.Waiting, before.Waiting)
	out.Organisations = make(map[Key]Load, len(u.Organisations))
	for key, l := range u.Organisations {
		earlier := before.Organisations[key]
		out.Organisations[key] = Load{Demand: fallen(l.Demand, earlier.Demand), Refused: fallen(l.Refused, earlier.Refused)}
	}
	return out
}

// demands returns the demand of each organisation.
func demands(u ServiceUsage) map[Key]float64 {
	out := make(map[Key]float64, len(u.Organisations))
	for key, l := range u.Organisations {
		out[key] = l.Demand
	}
	return out
}
