package shift

import "time"

// WaitingRequest is a request that waits for the head of its answer. The requests that wait show
// that a version is many times slower before it has answered them.
type WaitingRequest struct {
	Version, Instance, Route, Model string
	// Expected is the latency expected from the work of the instance; 0 if unknown.
	Expected time.Duration
	SentAt   time.Time
	// Counts reports whether the wait is evidence about the version. It is called without a lock
	// of the Tracker.
	Counts func() bool
}

// Await records a request that waits at an instance of a service, if its version is being rolled
// out. The returned function ends the wait.
func (t *Tracker) Await(service string, w WaitingRequest) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.services[service]
	if !ok || r.state.Phase != Running || r.order.To != w.Version {
		return func() {}
	}
	r.waiting[&w] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(r.waiting, &w)
	}
}

// countWaiting counts requests that wait now.
func (t *Tracker) countWaiting(requests []*WaitingRequest) Counts {
	counts := Counts{}
	for _, w := range requests {
		if w.Counts() {
			key := Observation{Route: w.Route, Model: w.Model, Instance: w.Instance}.timesKey()
			counts.addWaiting(key, t.clock.Since(w.SentAt), w.Expected)
		}
	}
	return counts
}
