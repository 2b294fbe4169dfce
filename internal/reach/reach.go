// Package reach decides whether a daemon is cut off from the instances of a service: its own
// connections fail while other daemons reach the same instances. It makes the decisions only; its
// owner connects to instances and asks other daemons.
package reach

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// minFailed is the number of instances that must have failed before other daemons are asked, if
	// the service has so many. One that failed alone has probably ended.
	minFailed = 2
	// checkInterval is the shortest time between two checks of a service. It doubles with each check
	// in which no other daemon reached the instances, up to maxCheckInterval.
	checkInterval    = 400 * time.Millisecond
	maxCheckInterval = 3 * time.Second
	// silenceCheckInterval is the same for checks because of silence.
	silenceCheckInterval = 500 * time.Millisecond
	// silentAfter is the time without a sign of life of a whole service after which it is checked
	// although no connection has failed. Open connections that lose all packets fail much later.
	silentAfter = 400 * time.Millisecond
	// failureTTL is how long a failed connection counts.
	failureTTL = 3 * time.Second
	// probeInterval is the time between two direct connections tried while the daemon is cut off.
	probeInterval = 200 * time.Millisecond
	// minProbes consecutive answers over new connections end the cut. After a cut that follows the one before
	// within flapTime, twice as many are needed as then, up to maxProbes.
	minProbes = 2
	maxProbes = 6
	flapTime  = 10 * time.Second
)

// Evidence is what a check of a service was based on, for the log.
type Evidence struct {
	// Failed are the instances to which direct connections failed, and Peers the number of daemons
	// that reach some of them.
	Failed []string
	Peers  int
}

// service is the state of one service.
type service struct {
	// failed has the last failure by instance, as far as no answer has refuted it.
	failed map[string]failure
	// waiting is the number of requests without an answer so far. heardAt is when the service last
	// gave a sign of life, or the first of the waiting requests was sent.
	waiting int
	heardAt time.Time
	// checked is closed at the end of the check in progress; nil if there is none.
	checked   chan struct{}
	checkedAt time.Time
	// fruitless counts consecutive checks in which no other daemon reached the failed instances.
	fruitless int

	cut   bool
	since time.Time
	// endedAt is when the last cut ended.
	endedAt time.Time
	// probes counts consecutive successful probes, of which needed end the cut.
	probes, needed int
	probedAt       time.Time
}

// failure is a direct connection that could not be opened, or broke before an answer began.
type failure struct {
	at time.Time
	// openedAt is when the connection was opened. reused is set if it had given an answer before.
	openedAt time.Time
	reused   bool
}

// isRefuted reports whether an answer over a connection that was opened at a time shows that the
// failure was not one of the path. Old connections may live on while new ones fail.
func (f failure) isRefuted(openedAt time.Time) bool {
	return f.reused || !openedAt.Before(f.openedAt)
}

// Tracker tracks the services that a daemon uses.
//
// Lock order: no other lock is taken while mu is held.
type Tracker struct {
	clock clockwork.Clock

	mu       sync.Mutex
	services map[string]*service
}

// NewTracker returns a tracker that knows of no failure.
func NewTracker(clock clockwork.Clock) *Tracker {
	return &Tracker{clock: clock, services: map[string]*service{}}
}

// get returns the state of a service. The lock is held.
func (t *Tracker) get(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{failed: map[string]failure{}, needed: minProbes}
		t.services[name] = s
	}
	return s
}

// Reached records that an instance has begun an answer over a direct connection that was opened at a
// time. It reports whether that ends a cut.
func (t *Tracker) Reached(name string, openedAt time.Time) (restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.get(name), t.clock.Now()
	s.heardAt = now
	maps.DeleteFunc(s.failed, func(_ string, f failure) bool { return f.isRefuted(openedAt) })
	if len(s.failed) == 0 {
		s.fruitless = 0
	}
	if !s.cut || openedAt.Before(s.since) || now.Sub(s.probedAt) < probeInterval/2 {
		return false
	}
	s.probedAt = now
	if s.probes++; s.probes < s.needed {
		return false
	}
	s.cut, s.endedAt = false, now
	return true
}

// Failed records that a direct connection to an instance, opened at a time, could not be opened or
// broke before an answer began. reused is set if it had given an answer before.
func (t *Tracker) Failed(name, instance string, openedAt time.Time, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	s.failed[instance] = failure{at: t.clock.Now(), openedAt: openedAt, reused: reused}
	if !reused {
		s.probes = 0
	}
}

// Sent records that a request was sent over a direct connection, and Answered that its answer began
// or that it ended without one.
func (t *Tracker) Sent(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	if s.waiting++; s.waiting == 1 {
		s.heardAt = t.clock.Now()
	}
}

// Answered is documented at Sent. heard is set if the instance gave a sign of life.
func (t *Tracker) Answered(name string, heard bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	s.waiting--
	if heard {
		s.heardAt = t.clock.Now()
	}
}

// Heard records a sign of life of a service on a direct connection.
func (t *Tracker) Heard(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).heardAt = t.clock.Now()
}

// HeardSince reports whether the service has given a sign of life after a time. Without one, a
// request that got no answer says nothing about its instance.
func (t *Tracker) HeardSince(name string, after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	return !s.cut && len(s.failed) == 0 && s.heardAt.After(after)
}

// Due returns the services that need a check now.
func (t *Tracker) Due() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var due []string
	for name, s := range t.services {
		maps.DeleteFunc(s.failed, func(_ string, f failure) bool { return now.Sub(f.at) > failureTTL })
		if s.cut || s.checked != nil {
			continue
		}
		failing := len(s.failed) > 0 && now.Sub(s.checkedAt) >= s.checkInterval()
		silent := s.waiting > 0 && now.Sub(s.heardAt) >= silentAfter && now.Sub(s.checkedAt) >= silenceCheckInterval
		if failing || silent {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// checkInterval returns the shortest time between two checks, which grows with fruitless ones.
func (s *service) checkInterval() time.Duration {
	return min(checkInterval<<max(min(s.fruitless, maxFruitless)-1, 0), maxCheckInterval)
}

// maxFruitless keeps the shift above from overflowing.
const maxFruitless = 8

// Fruitless returns the number of consecutive checks in which no other daemon reached the failed
// instances.
func (t *Tracker) Fruitless(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(name).fruitless
}

// BeginCheck begins a check of a service, which EndCheck ends. It returns false if one is in
// progress or the daemon is known to be cut off.
func (t *Tracker) BeginCheck(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	if s.cut || s.checked != nil {
		return false
	}
	s.checked, s.checkedAt = make(chan struct{}), t.clock.Now()
	return true
}

// ProbesNeeded returns the number of further instances to connect to before other daemons are asked.
func (t *Tracker) ProbesNeeded(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minFailed-len(t.get(name).failed), 1)
}

// HasFailed reports whether a direct connection to an instance has failed.
func (t *Tracker) HasFailed(name, instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, failed := t.get(name).failed[instance]
	return failed
}

// FailedInstances returns the instances to ask other daemons about, the latest failures first. There
// are none if too few of the instances of the service, count in all, have failed.
func (t *Tracker) FailedInstances(name string, count int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	if len(s.failed) < min(minFailed, max(count, 1)) {
		return nil
	}
	return slices.SortedFunc(maps.Keys(s.failed), func(a, b string) int { return s.failed[b].at.Compare(s.failed[a].at) })
}

// EndCheck ends a check. peers is the number of other daemons that reach instances which failed
// here. It reports whether the daemon is now known to be cut off.
func (t *Tracker) EndCheck(name string, peers int) (cut bool, e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.get(name), t.clock.Now()
	if s.checked != nil {
		close(s.checked)
		s.checked = nil
	}
	if len(s.failed) > 0 && peers == 0 {
		s.fruitless++
	}
	// An instance may have answered since the peers were asked.
	if peers == 0 || len(s.failed) == 0 || s.cut {
		return false, e
	}
	e = Evidence{Failed: slices.Sorted(maps.Keys(s.failed)), Peers: peers}
	if !s.endedAt.IsZero() && now.Sub(s.endedAt) < flapTime {
		s.needed = min(2*s.needed, maxProbes)
	} else {
		s.needed = minProbes
	}
	s.fruitless = 0
	s.cut, s.since, s.probes, s.probedAt = true, now, 0, now
	return true, e
}

// Checked returns a channel that is closed at the end of the check in progress; nil if there is
// none.
func (t *Tracker) Checked(name string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(name).checked
}

// CutOff reports whether the daemon is cut off from a service, and since when.
func (t *Tracker) CutOff(name string) (since time.Time, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok || !s.cut {
		return time.Time{}, false
	}
	return s.since, true
}

// IsSilent reports whether the daemon is cut off from a service, and open connections to it have given
// no sign of life since. If they have, the cut affects new connections only.
func (t *Tracker) IsSilent(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	return s.cut && !s.heardAt.After(s.since)
}

// CutOffServices returns the services from which the daemon is cut off.
func (t *Tracker) CutOffServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, s := range t.services {
		if s.cut {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// ProbeDue reports whether a direct connection to a service from which the daemon is cut off is due,
// and counts it as tried.
func (t *Tracker) ProbeDue(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.get(name), t.clock.Now()
	if !s.cut || now.Sub(s.checkedAt) < probeInterval {
		return false
	}
	s.checkedAt = now
	return true
}
