package capacity

import "time"

const (
	// A service is short of capacity if its demand exceeds its capacity by shortMargin, while its
	// requests wait for longDelay on average or refusedFraction of them is refused. The delay is a
	// small part of the objectives of callers, which are 150 ms and more.
	shortMargin     = 1.05
	longDelay       = 50 * time.Millisecond
	refusedFraction = 0.01
	// minRefused is the rate of refused requests, per second, below which there are none: the rate
	// falls below it within seven seconds of a single refusal.
	minRefused = 0.01
	// The shortage lasts while the wait or the refusals are above calmFraction of these, and for
	// calmTime after, so that one report without them does not end it.
	calmFraction = 0.25
	calmTime     = 1500 * time.Millisecond
)

// shortage tells whether a service is short of capacity, with hysteresis.
type shortage struct {
	short bool
	// evidentAt is when requests last waited or were refused while the service was short.
	evidentAt time.Time
}

// update sets the state by the recent usage, the average demand and the capacity of the service.
// A long queue that gets shorter keeps the state. It limits nobody, because the demand is then
// below the capacity.
func (s *shortage) update(recent ServiceUsage, demand, capacity float64, now time.Time) {
	if now.Before(s.evidentAt) {
		s.evidentAt = now
	}
	switch {
	case !s.short && demand > shortMargin*capacity && evident(recent, 1):
		s.short, s.evidentAt = true, now
	case s.short && evident(recent, calmFraction):
		s.evidentAt = now
	case s.short && now.Sub(s.evidentAt) >= calmTime:
		s.short = false
	}
}

// evident reports whether the average wait or the refusals exceed the given fraction of their
// thresholds. By Little's law the average wait is the number of waiting requests divided by the
// rate at which requests arrive.
func evident(u ServiceUsage, fraction float64) bool {
	waits := u.Waiting > fraction*longDelay.Seconds()*u.Requests
	return waits || u.Total().Refused > max(fraction*refusedFraction*u.Requests, minRefused)
}
