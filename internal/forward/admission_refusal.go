package forward

import (
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

const (
	// maxRetryFraction is the largest fraction of the remaining time that a refused caller is told
	// to wait. Callers wait no longer, and need the rest for the answer.
	maxRetryFraction = 1.0 / 3
	// minRetryFraction is the smallest part of the expected wait that a caller is told to wait.
	// Those refused together return spread over the rest.
	minRetryFraction = 0.6
	// returnTolerance is by how much earlier than told a caller may return. Retry-After has a
	// resolution of a millisecond, and clocks differ.
	returnTolerance = 10 * time.Millisecond
	// returnWindow is for how long after the told time a caller still counts as returning.
	returnWindow = 5 * time.Second
	// maxReturning bounds the refused requests that are remembered.
	maxReturning = 2048
	// serviceTimeFraction is the largest fraction of the whole time of a request that its answer
	// is assumed to take. The estimate is a mean for all requests of a route, so that it alone
	// must not be a reason to refuse one.
	serviceTimeFraction = 0.75
)

// retryAfter returns the time that a refused caller is told to wait: until capacity is expected,
// with random jitter, at most maxRetryFraction of the remaining time. random is in [0, 1).
func retryAfter(expected, remaining time.Duration, random float64) time.Duration {
	wait := min(float64(expected), maxRetryFraction*float64(remaining))
	return time.Duration(max(wait, 0) * (minRetryFraction + (1-minRetryFraction)*random))
}

// boundedServiceTime returns the time that an answer is assumed to take when a request is
// refused for its deadline.
func boundedServiceTime(mean, whole time.Duration) time.Duration {
	return min(mean, time.Duration(serviceTimeFraction*float64(whole)))
}

// callerKey identifies the repetitions of a request.
type callerKey = quarantine.Digest

// returningCallers remembers which requests were refused and when their callers were told to
// return.
//
// Lock order: mu is taken alone.
type returningCallers struct {
	mu   sync.Mutex
	told map[callerKey]time.Time
}

// noteTold records when a refused caller was told to return. Beyond the bound, the caller is not
// remembered and returns as one that comes for the first time.
func (r *returningCallers) noteTold(key callerKey, at, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.told) >= maxReturning {
		for k, told := range r.told {
			if now.Sub(told) > returnWindow {
				delete(r.told, k)
			}
		}
	}
	if len(r.told) < maxReturning {
		r.told[key] = at
	}
}

// takeReturning reports whether a caller returns as it was told. A caller that returns early
// loses its claim.
func (r *returningCallers) takeReturning(key callerKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.told[key]
	if !ok {
		return false
	}
	delete(r.told, key)
	return !now.Before(at.Add(-returnTolerance)) && now.Sub(at) <= returnWindow
}
