package capacity

import (
	"math"
	"time"
)

const (
	// capacityHalfLife is the half-life with which the capacity falls to the completed work. The
	// completions of long streams vary too much to follow them at once, and a capacity that is too
	// low limits organisations without need. It rises at once.
	capacityHalfLife = 2 * time.Second
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
	capacity float64
	updated  time.Time
	shortage shortage
	shares   shares
	// before is the usage of an earlier update, by beforeDaemons daemons.
	before        ServiceUsage
	beforeAt      time.Time
	beforeDaemons int
	// localShortage and localShares are used while no figures of the fleet arrive.
	localShortage shortage
	localShares   shares
}

func newServiceState(u ServiceUsage, daemons int, now time.Time) *serviceState {
	return &serviceState{
		usage: u, capacity: u.Completed, updated: now, before: u, beforeAt: now, beforeDaemons: daemons,
		shares: unlimited(), localShares: unlimited(),
	}
}

// update sets the usage of the service by the given number of daemons.
func (s *serviceState) update(u ServiceUsage, daemons int, now time.Time, terms map[Key]Terms) {
	old := remaining(now.Sub(s.updated), capacityHalfLife)
	s.capacity = max(u.Completed, old*s.capacity+(1-old)*u.Completed)
	s.usage, s.updated = u, now
	recent := s.recent(u, daemons, now)
	s.shortage.update(recent, u.Total().Demand, s.capacity, now)
	s.localShortage = s.shortage
	s.shares = unlimited()
	if s.shortage.short {
		s.shares = divide(s.capacity, demands(recent), terms)
	}
}

// updateLocal sets the shares of this daemon's own usage in its part of the capacity.
func (s *serviceState) updateLocal(own ServiceUsage, part float64, now time.Time) {
	s.localShortage.update(own, own.Total().Demand, part, now)
	s.localShares = unlimited()
	if s.localShortage.short {
		s.localShares = divide(part, demands(own), nil)
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
	out.Requests = fallen(u.Requests, before.Requests)
	out.Organisations = make(map[Key]Load, len(u.Organisations))
	for key, l := range u.Organisations {
		earlier := before.Organisations[key]
		out.Organisations[key] = Load{Demand: fallen(l.Demand, earlier.Demand), Refused: fallen(l.Refused, earlier.Refused)}
	}
	return out
}

// remaining returns which part of an average is left after the given time.
func remaining(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

// demands returns the demand of each organisation.
func demands(u ServiceUsage) map[Key]float64 {
	out := make(map[Key]float64, len(u.Organisations))
	for key, l := range u.Organisations {
		out[key] = l.Demand
	}
	return out
}
