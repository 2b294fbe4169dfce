package forward

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// errOutOfOrder means that an event does not follow those that were passed on before.
var errOutOfOrder = errors.New("an event out of order")

// eventSequence checks that the events of all runs of a stream follow each other. IDs that are no numbers
// only have to differ from the one before.
type eventSequence struct {
	// last is the ID of the last event; empty before the first one that has an ID.
	last string
	// step is the difference between two IDs of one run, if it has always been the same. steps counts the
	// differences, and varies is set if they are not the same.
	step   uint64
	steps  int
	varies bool
	// assumed stands for the step while none is known: that of the other streams of the route or, if these are
	// too few, the first ID of a stream that has begun here. assumesNone is set if the steps of those vary.
	assumed     uint64
	assumesNone bool
	// begins is set until the first ID of a run.
	begins bool
	// unidentified is set while an event with data has come after the last one with an ID.
	unidentified bool
}

// newEventSequence returns the sequence of a stream that goes on after the event with an ID; empty for its
// beginning. route is what is known of the streams of its route.
func newEventSequence(after string, route routeStep) eventSequence {
	s := eventSequence{last: after, begins: true}
	switch {
	case route.varies:
		s.assumesNone = true
	case route.streams >= minStepStreams:
		s.assumed = route.step
	}
	return s
}

// beginRun is called before the first event of a run.
func (s *eventSequence) beginRun() { s.begins = true }

// mayResume reports whether a run can go on after the last event. Otherwise its events would come twice.
func (s *eventSequence) mayResume() bool { return !s.unidentified }

// add returns an error that wraps errOutOfOrder if an event may not be passed on.
func (s *eventSequence) add(e event) error {
	if e.id == "" {
		s.unidentified = s.unidentified || e.hasData
		return nil
	}
	begins := s.begins && s.last != ""
	if s.last != "" && e.id == s.last {
		return fmt.Errorf("%w: %q comes twice", errOutOfOrder, e.id)
	}
	last, lastIsNumber := eventNumber(s.last)
	next, isNumber := eventNumber(e.id)
	switch {
	case isNumber && s.last == "" && s.assumed == 0 && !s.assumesNone:
		s.assumed = next
	case isNumber && lastIsNumber:
		switch {
		case next <= last:
			return fmt.Errorf("%w: %d after %d", errOutOfOrder, next, last)
		case begins && s.isGap(next-last):
			return fmt.Errorf("%w: %d after %d leaves events out", errOutOfOrder, next, last)
		case !begins:
			s.noteStep(next - last)
		}
	}
	s.last, s.begins, s.unidentified = e.id, false, false
	return nil
}

// isGap reports whether an ID at a distance from the one before leaves others out.
func (s *eventSequence) isGap(distance uint64) bool {
	if s.steps == 0 {
		return s.assumed > 0 && distance > s.assumed
	}
	return !s.varies && distance > s.step
}

func (s *eventSequence) noteStep(step uint64) {
	s.varies = s.varies || s.steps > 0 && step != s.step
	s.step = step
	s.steps++
}

// eventNumber returns the number that an ID is.
func eventNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(strings.TrimSpace(id), 10, 64)
	return n, err == nil
}

// minStepStreams is the number of streams of a route after which their common step is used for others.
const minStepStreams = 8

// stepTable knows the step of the IDs of each route's streams.
//
// Lock order: mu is taken alone.
type stepTable struct {
	mu     sync.Mutex
	routes map[string]*routeStep
}

// routeStep is the step of a number of streams; varies is set if it was not always the same.
type routeStep struct {
	streams int
	step    uint64
	varies  bool
}

func newStepTable() *stepTable { return &stepTable{routes: map[string]*routeStep{}} }

// of returns what is known of a route's streams.
func (t *stepTable) of(route string) routeStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.routes[route]; r != nil {
		return *r
	}
	return routeStep{}
}

// note records a stream that has ended.
func (t *stepTable) note(route string, s *eventSequence) {
	if s.steps == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			return
		}
		r = &routeStep{step: s.step}
		t.routes[route] = r
	}
	r.streams++
	r.varies = r.varies || s.varies || s.step != r.step
}
