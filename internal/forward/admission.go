package forward

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

const (
	// checkInterval is the time between two checks of the queues, in addition to those at the end
	// of each attempt. Capacity also becomes known from other daemons and as prompts are
	// processed.
	checkInterval = 50 * time.Millisecond
	// queueTries is the number of requests tried at each check. The first ones may have tried the
	// instances that have free capacity already.
	queueTries = 4
	// fairSlack is the number of requests by which an organisation may exceed its fair part of a
	// daemon's capacity. Callers choose daemons at random, so that an organisation has a few more
	// requests than others at some daemon most of the time.
	fairSlack = 3.0
	// maxWaiting bounds a queue.
	maxWaiting = 1024
	// maxServices bounds the services of which the load is kept.
	maxServices = 256
)

// Meter counts the demand and the completed work of services. Work is the expected time of a
// request at an instance, in seconds.
type Meter interface {
	Arrived(service, organisation string, work float64)
	Finished(service string, work float64)
	Refused(service, organisation string)
	SetWaiting(service string, requests int)
}

// Account knows the use of services by all daemons.
type Account interface {
	// Share returns which fraction of its work an organisation may start while it is limited.
	Share(service, organisation string) (fraction float64, limited bool)
}

type noMeter struct{}

func (noMeter) Arrived(string, string, float64) {}
func (noMeter) Finished(string, float64)        {}
func (noMeter) Refused(string, string)          {}
func (noMeter) SetWaiting(string, int)          {}

type noAccount struct{}

func (noAccount) Share(string, string) (float64, bool) { return 1, false }

// admission holds the queues of requests that wait for capacity.
//
// Lock order: the lock of a queue, then mu or the lock of a serviceLoad. mu and those locks are
// taken alone.
type admission struct {
	clock     clockwork.Clock
	returning returningCallers
	// checking is set while checkLoop runs.
	checking atomic.Bool
	// waiting is the number of waiting requests.
	waiting atomic.Int64

	mu       sync.Mutex
	queues   map[queueKey]*sharedQueue
	services map[string]*serviceLoad
	// granted is the number of requests by instance that were granted and are not yet counted in
	// the inventory.
	granted map[string]int
}

type queueKey struct{ service, version string }

// sharedQueue is a queue that is kept while requests use it.
type sharedQueue struct {
	*limit.Queue
	key   queueKey
	users int
}

func newAdmission(clock clockwork.Clock) *admission {
	return &admission{
		clock: clock, returning: returningCallers{told: map[callerKey]time.Time{}},
		queues: map[queueKey]*sharedQueue{}, services: map[string]*serviceLoad{}, granted: map[string]int{},
	}
}

func (a *admission) service(name string) *serviceLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[name]
	if !ok {
		if len(a.services) >= maxServices {
			a.services = map[string]*serviceLoad{}
		}
		s = &serviceLoad{name: name}
		a.services[name] = s
	}
	return s
}

// acquireQueue returns the queue in front of a version of a service. The caller must release it.
func (a *admission) acquireQueue(s *serviceLoad, version string) *sharedQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := queueKey{service: s.name, version: version}
	q, ok := a.queues[key]
	if !ok {
		q = &sharedQueue{key: key, Queue: limit.NewQueueWith(a.clock, limit.QueueOptions{
			ExpectedRate: s.expectedRate, Tries: queueTries, FairSlack: fairSlack, MaxWaiting: maxWaiting,
		})}
		a.queues[key] = q
	}
	q.users++
	return q
}

func (a *admission) releaseQueue(q *sharedQueue) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.users--; q.users == 0 {
		delete(a.queues, q.key)
	}
}

// check grants the waiting requests of a service, or of all if service is empty, as far as there
// is capacity.
func (a *admission) check(service string) {
	if a.waiting.Load() == 0 {
		return
	}
	a.mu.Lock()
	queues := make([]*sharedQueue, 0, len(a.queues))
	for key, q := range a.queues {
		if service == "" || key.service == service {
			queues = append(queues, q)
		}
	}
	a.mu.Unlock()
	for _, q := range queues {
		q.GrantWaiting()
	}
}

// noteWaiting counts a request that begins or ends to wait, and returns the number of those that
// wait for its service. While any waits, checkLoop runs.
func (a *admission) noteWaiting(s *serviceLoad, change int64) int {
	a.waiting.Add(change)
	n := s.waiting.Add(change)
	if change > 0 && a.checking.CompareAndSwap(false, true) {
		go a.checkLoop()
	}
	return int(n)
}

func (a *admission) checkLoop() {
	for {
		a.clock.Sleep(checkInterval)
		if a.waiting.Load() > 0 {
			a.check("")
			continue
		}
		a.checking.Store(false)
		if a.waiting.Load() == 0 || !a.checking.CompareAndSwap(false, true) {
			return
		}
	}
}

// noteGranted counts a request that will be sent to an instance, and noteBegun one that the
// inventory counts or that is not sent.
func (a *admission) noteGranted(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granted[instance]++
}

func (a *admission) noteBegun(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.granted[instance]--; a.granted[instance] <= 0 {
		delete(a.granted, instance)
	}
}

// grantedCounts returns the number of requests by instance that were granted and have not begun.
func (a *admission) grantedCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.granted)
}
