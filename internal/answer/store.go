package answer

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// Limits bound what a Store keeps of answers that have ended.
type Limits struct {
	// Retention is how long an ended answer is kept.
	Retention time.Duration
	// Bytes bounds all ended answers together; the oldest go first.
	Bytes int
}

// Store finds answers by request id.
//
// Lock order: the store's mu is taken before an answer's.
type Store struct {
	clock  clockwork.Clock
	limits Limits

	mu      sync.Mutex
	answers map[string]*Answer
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock, limits Limits) *Store {
	return &Store{clock: clock, limits: limits, answers: map[string]*Answer{}}
}

// Create adds an answer for a new request.
func (s *Store) Create(requestID, organisation string) *Answer {
	a := New(requestID, organisation, s.clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[requestID] = a
	return a
}

// Get finds an answer.
func (s *Store) Get(requestID string) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[requestID]
	return a, ok
}

// Running returns the number of answers that have not ended.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.answers {
		if !a.Done() {
			n++
		}
	}
	return n
}

// Sweep drops ended answers that are over the limits.
func (s *Store) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var ended []*Answer
	total := 0
	for id, a := range s.answers {
		a.mu.Lock()
		over := a.done && now.Sub(a.ended) > s.limits.Retention
		if a.done && !over {
			ended = append(ended, a)
			total += a.bytes
		}
		a.mu.Unlock()
		if over {
			delete(s.answers, id)
		}
	}
	slices.SortFunc(ended, func(x, y *Answer) int { return x.ended.Compare(y.ended) })
	for _, a := range ended {
		if total <= s.limits.Bytes {
			return
		}
		total -= a.bytes
		delete(s.answers, a.RequestID)
	}
}

// Export returns ended answers up to a number of bytes, newest first, for the
// daemon that takes over after a planned stop.
func (s *Store) Export(limit int) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []*Answer
	for _, a := range s.answers {
		if a.Done() {
			ended = append(ended, a)
		}
	}
	slices.SortFunc(ended, func(x, y *Answer) int { return y.ended.Compare(x.ended) })
	var out []View
	for _, a := range ended {
		if limit -= a.bytes; limit < 0 {
			break
		}
		out = append(out, a.View(-1))
	}
	return out
}

// Import adds answers handed over by a daemon that stopped.
func (s *Store) Import(views []View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, v := range views {
		a := New(v.RequestID, v.Organisation, now)
		a.head, a.events, a.err = v.Head, v.Events, v.Err
		a.end(now)
		s.answers[v.RequestID] = a
	}
}

// FailRunning ends every running answer with err and returns how many.
func (s *Store) FailRunning(err *fault.Error) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.answers {
		if !a.Done() {
			a.Fail(err, s.clock.Now())
			n++
		}
	}
	return n
}
