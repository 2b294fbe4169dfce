package forward

import (
	"maps"
	"slices"
	"sync"
)

// attemptSet is a set of attempts that may be ended from outside.
//
// Lock order: no other lock is taken while mu is held.
type attemptSet struct {
	mu  sync.Mutex
	all map[*attempt]struct{}
}

func (s *attemptSet) add(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*attempt]struct{}{}
	}
	s.all[a] = struct{}{}
}

func (s *attemptSet) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, a)
}

// matching returns the attempts for which match returns true. match is called without the lock.
func (s *attemptSet) matching(match func(*attempt) bool) []*attempt {
	s.mu.Lock()
	all := slices.Collect(maps.Keys(s.all))
	s.mu.Unlock()
	return slices.DeleteFunc(all, func(a *attempt) bool { return !match(a) })
}
