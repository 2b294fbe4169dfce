package forward

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
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
	// first is the first ID of a stream that has begun here, which stands for the step while none is known.
	first uint64
	// begins is set until the first ID of a run.
	begins bool
	// unidentified is set once an event with data has come that no ID says to be resumed after.
	unidentified bool
}

// newEventSequence returns the sequence of a stream that goes on after the event with an ID; empty for its
// beginning.
func newEventSequence(after string) eventSequence { return eventSequence{last: after, begins: true} }

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
	case isNumber && s.last == "":
		s.first = next
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
	s.last, s.begins = e.id, false
	return nil
}

// isGap reports whether an ID at a distance from the one before leaves others out.
func (s *eventSequence) isGap(distance uint64) bool {
	if s.steps == 0 {
		return s.first > 0 && distance > s.first
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
