// Package capacity accounts for the capacity of services over all daemons: a Meter counts the
// work of one daemon, a Sum adds up the usage that daemons report, and an Account holds the
// figures of the fleet and divides a service that is short of capacity between organisations by
// weighted max-min fairness. It does no I/O.
package capacity

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Key identifies a service or an organisation by a hash of its name, so that the figures of an
// organisation have the same size whatever its name. With 1,000 organisations, two have the same
// key with a probability of 1 in 8,600; they then share one share.
type Key uint32

// OtherOrganisations is the key under which organisations beyond the bound are summed.
const OtherOrganisations Key = 0

// KeyOf returns the key of a name.
func KeyOf(name string) Key {
	h := fnv.New32a()
	// The Write method of a hash never returns an error.
	_, _ = h.Write([]byte(name))
	if k := Key(h.Sum32()); k != OtherOrganisations {
		return k
	}
	return 1
}

const (
	// MaxServices and MaxOrganisations bound the services, and the organisations of each, in a
	// Usage.
	MaxServices      = 32
	MaxOrganisations = 32
)

// Load is what an organisation asks of a service.
type Load struct {
	// Demand is the offered work per second, and Refused the refused requests per second.
	Demand, Refused float64
}

// ServiceUsage is the usage of one service.
type ServiceUsage struct {
	// Completed is the completed work per second, and Requests the arriving requests per second.
	Completed, Requests float64
	// Waiting is the average number of requests that wait at daemons. At a daemon with few
	// requests, the number at one moment says little.
	Waiting float64
	// Organisations is the load of each organisation; that of the ones beyond the bound is
	// summed under OtherOrganisations.
	Organisations map[Key]Load
}

// Usage is the usage of services by one or more daemons. Work is the expected time of a request
// at an instance of usual speed, in seconds.
type Usage struct {
	// Daemons is the number of daemons whose usage is included.
	Daemons int
	// Age is the age of the oldest included figure.
	Age      time.Duration
	Services map[Key]ServiceUsage
}

// Total returns the load of all organisations.
func (s ServiceUsage) Total() Load {
	var out Load
	for _, l := range s.Organisations {
		out.Demand += l.Demand
		out.Refused += l.Refused
	}
	return out
}

// Add adds the figures of other.
func (u *Usage) Add(other Usage) {
	u.Daemons += other.Daemons
	u.Age = max(u.Age, other.Age)
	if u.Services == nil {
		u.Services = make(map[Key]ServiceUsage, len(other.Services))
	}
	for key, added := range other.Services {
		s := u.Services[key]
		s.Completed += added.Completed
		s.Requests += added.Requests
		s.Waiting += added.Waiting
		if s.Organisations == nil {
			s.Organisations = make(map[Key]Load, len(added.Organisations))
		}
		for organisation, l := range added.Organisations {
			sum := s.Organisations[organisation]
			sum.Demand += l.Demand
			sum.Refused += l.Refused
			s.Organisations[organisation] = sum
		}
		u.Services[key] = s
	}
}

// Bounded returns the usage of the MaxServices services with the highest demand, each with the
// MaxOrganisations organisations with the highest demand and the sum of the others.
func (u Usage) Bounded() Usage {
	out := Usage{Daemons: u.Daemons, Age: u.Age, Services: make(map[Key]ServiceUsage, min(len(u.Services), MaxServices))}
	demand := func(s ServiceUsage) float64 { return s.Total().Demand }
	for _, key := range top(u.Services, MaxServices, demand) {
		s := u.Services[key]
		s.Organisations = boundLoads(s.Organisations)
		out.Services[key] = s
	}
	return out
}

// boundLoads returns the loads of the MaxOrganisations organisations with the highest demand and
// the sum of the others.
func boundLoads(all map[Key]Load) map[Key]Load {
	rest, hasRest := all[OtherOrganisations]
	named := maps.Clone(all)
	delete(named, OtherOrganisations)
	if len(named) <= MaxOrganisations {
		return all
	}
	out := make(map[Key]Load, MaxOrganisations+1)
	for _, key := range top(named, MaxOrganisations, func(l Load) float64 { return l.Demand }) {
		out[key] = named[key]
		delete(named, key)
	}
	for _, l := range named {
		hasRest = true
		rest.Demand += l.Demand
		rest.Refused += l.Refused
	}
	if hasRest {
		out[OtherOrganisations] = rest
	}
	return out
}

// top returns up to n keys with the highest values, in that order.
func top[V any](all map[Key]V, n int, value func(V) float64) []Key {
	values := make(map[Key]float64, len(all))
	for key, v := range all {
		values[key] = value(v)
	}
	ranked := slices.SortedFunc(maps.Keys(all), func(a, b Key) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), cmp.Compare(a, b))
	})
	return ranked[:min(n, len(ranked))]
}
