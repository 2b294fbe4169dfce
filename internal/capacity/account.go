package capacity

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// fleetTTL is how long a daemon goes by the last figures of the fleet. It is that of the
	// reports which they sum up, three times the interval of the exchange.
	fleetTTL = reportTTL
	// localInterval is how often a daemon without recent figures of the fleet divides its own
	// part of the capacity.
	localInterval = 250 * time.Millisecond
)

// Service is the state of a service over all daemons.
type Service struct {
	// Known is false if no figures have arrived since the start.
	Known bool
	// Completed and Demand are work per second. Capacity is the most work per second completed
	// within the last seconds: what the service can complete, while it is short of capacity.
	Completed, Demand, Capacity float64
	// Requests and Refused are requests per second.
	Requests, Refused float64
	// Waiting is the number of waiting requests, averaged over about a second.
	Waiting int
	// Short reports whether the service is short of capacity.
	Short bool
	// Isolated is set if the figures are too old, so that this daemon goes by its own part of the
	// last known capacity.
	Isolated bool
	// Age is the age of the data.
	Age time.Duration
}

// Change tells that a service has become short of capacity or is no longer.
type Change struct {
	Key Key
	Service
}

// Account holds the usage of all daemons. A nil or empty Account limits nobody.
//
// Lock order: mu is taken before that of the Meter; limits is called before.
type Account struct {
	clock  clockwork.Clock
	meter  *Meter
	limits func(service string) bool

	mu    sync.Mutex
	terms map[Key]Terms
	// receivedAt is when the last figures arrived, dataAge how old they were then, and daemons how
	// many daemons they are of.
	receivedAt time.Time
	dataAge    time.Duration
	daemons    int
	services   map[Key]*serviceState
	localAt    time.Time
}

// NewAccount returns an empty Account. meter is that of this daemon; limits tells at which
// services organisations are limited.
func NewAccount(clock clockwork.Clock, meter *Meter, limits func(service string) bool) *Account {
	return &Account{clock: clock, meter: meter, limits: limits, services: map[Key]*serviceState{}}
}

// SetTerms sets the terms of organisations by name.
func (a *Account) SetTerms(terms map[string]Terms) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.terms = make(map[Key]Terms, len(terms))
	for name, t := range terms {
		a.terms[KeyOf(name)] = t
	}
}

// SetFleet replaces the usage of all daemons and returns the services whose shortage of capacity
// has begun or ended.
func (a *Account) SetFleet(u Usage, now time.Time) []Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receivedAt, a.dataAge, a.daemons = now, u.Age, max(u.Daemons, 1)
	var changes []Change
	for key, usage := range u.Services {
		s, ok := a.services[key]
		if !ok {
			s = newServiceState(usage, u.Daemons, now)
			a.services[key] = s
		}
		wasShort := s.shortage.short
		s.update(usage, u.Daemons, now, a.terms)
		if s.shortage.short != wasShort {
			changes = append(changes, Change{Key: key, Service: a.service(s, now)})
		}
	}
	for key, s := range a.services {
		if _, ok := u.Services[key]; ok {
			continue
		}
		delete(a.services, key)
		if s.shortage.short {
			changes = append(changes, Change{Key: key})
		}
	}
	return changes
}

// Service returns the state of a service.
func (a *Account) Service(name string) Service {
	if a == nil {
		return Service{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.refresh(now)
	s, ok := a.services[KeyOf(name)]
	if !ok {
		return Service{}
	}
	return a.service(s, now)
}

// Organisations returns the load of each organisation at a service over all daemons.
func (a *Account) Organisations(service string) map[Key]Load {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[KeyOf(service)]
	if !ok {
		return nil
	}
	return maps.Clone(s.usage.Organisations)
}

// Daemons returns how many daemons the figures are of; 0 if there are none.
func (a *Account) Daemons() int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.daemons
}

// Isolated reports whether figures have arrived before, but are too old by now.
func (a *Account) Isolated() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.daemons > 0 && a.isolated(a.clock.Now())
}

// ShortServices returns how many services are short of capacity.
func (a *Account) ShortServices() int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now, short := a.clock.Now(), 0
	a.refresh(now)
	for _, s := range a.services {
		if a.service(s, now).Short {
			short++
		}
	}
	return short
}

// Share returns which fraction of its offered work an organisation may start at this daemon, and
// whether that is less than all of it.
func (a *Account) Share(service, organisation string) (fraction float64, limited bool) {
	return a.ShareOf(service, KeyOf(organisation))
}

// ShareOf is Share by the key of the organisation.
func (a *Account) ShareOf(service string, organisation Key) (fraction float64, limited bool) {
	if a == nil || !a.limits(service) {
		return 1, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.refresh(now)
	s, ok := a.services[KeyOf(service)]
	if !ok {
		return 1, false
	}
	if a.isolated(now) {
		return s.localShares.of(organisation)
	}
	return s.shares.of(organisation)
}

// service returns the state of a service with the lock held.
func (a *Account) service(s *serviceState, now time.Time) Service {
	total := s.usage.Total()
	out := Service{
		Known: true, Completed: s.usage.Completed, Demand: total.Demand, Capacity: s.capacity, Requests: s.usage.Requests,
		Refused: total.Refused, Waiting: int(math.Round(s.usage.Waiting)), Short: s.shortage.short, Isolated: a.isolated(now), Age: a.dataAge + now.Sub(a.receivedAt),
	}
	if out.Isolated {
		out.Short = s.localShortage.short
	}
	return out
}

// isolated reports whether the figures of the fleet are too old.
func (a *Account) isolated(now time.Time) bool { return now.Sub(a.receivedAt) > fleetTTL }

// refresh divides this daemon's part of the last known capacity between its own organisations
// while no figures of the fleet arrive.
func (a *Account) refresh(now time.Time) {
	if now.Before(a.receivedAt) {
		// The clock has jumped back. Otherwise the figures would stay recent until it has caught up.
		a.receivedAt = now
	}
	if now.Before(a.localAt) {
		a.localAt = now.Add(-localInterval)
	}
	if a.daemons == 0 || !a.isolated(now) || now.Sub(a.localAt) < localInterval {
		return
	}
	a.localAt = now
	own := a.meter.Usage().Bounded()
	for key, s := range a.services {
		s.updateLocal(own.Services[key], now)
	}
}
