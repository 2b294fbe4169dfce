package answer

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// Limits bound the time and the memory for which a Store keeps ended answers.
type Limits struct {
	// Retention is the time for which an answer is kept after its end.
	Retention time.Duration
	// Bytes bounds the total memory of all ended answers. Those that ended
	// first are removed first.
	Bytes int
}

// Store holds the answers of one daemon by request id. It is safe for concurrent
// use.
//
// Lock order: Store.mu before Answer.mu.
type Store struct {
	clock  clockwork.Clock
	limits Limits

	mu      sync.Mutex
	answers map[string]*Answer
}

// NewStore returns an empty store with the given limits.
func NewStore(clock clockwork.Clock, limits Limits) *Store {
	return &Store{clock: clock, limits: limits, answers: map[string]*Answer{}}
}

// Create adds an empty answer for a new request and returns it.
func (s *Store) Create(requestID, organisation string) *Answer {
	a := New(requestID, organisation, s.clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[requestID] = a
	return a
}

// Get returns the answer to a request, and false if there is none.
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

// Sweep removes ended answers that exceed the limits.
func (s *Store) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var ended []*Answer
	total := 0
	for id, a := range s.answers {
		a.mu.Lock()
		over := a.done && now.Sub(a.endedAt) > s.limits.Retention
		if a.done && !over {
			ended = append(ended, a)
			total += a.memoryBytes
		}
		a.mu.Unlock()
		if over {
			delete(s.answers, id)
		}
	}
	slices.SortFunc(ended, func(x, y *Answer) int { return x.endedAt.Compare(y.endedAt) })
	for _, a := range ended {
		if total <= s.limits.Bytes {
			return
		}
		total -= a.memoryBytes
		delete(s.answers, a.RequestID)
	}
}

// Export returns ended answers, most recently ended first, for the daemon that
// takes over after a planned stop. It stops at the first answer with which the
// total memory would exceed limit bytes.
func (s *Store) Export(limit int) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []*Answer
	for _, a := range s.answers {
		if a.Done() {
			ended = append(ended, a)
		}
	}
	slices.SortFunc(ended, func(x, y *Answer) int { return y.endedAt.Compare(x.endedAt) })
	var out []View
	for _, a := range ended {
		if limit -= a.memoryBytes; limit < 0 {
			break
		}
		out = append(out, a.View(-1))
	}
	return out
}

// Import adds ended answers that a stopped daemon handed over. Their retention
// starts again at the time of the import.
func (s *Store) Import(views []View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, v := range views {
		a := New(v.RequestID, v.Organisation, now)
		a.head, a.events, a.err = v.Head, v.Events, v.Err
		a.finish(now)
		s.answers[v.RequestID] = a
	}
}

// FailRunning ends every running answer with err and returns their number.
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
