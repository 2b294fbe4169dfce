// Package answer stores the answers to requests in memory while they are
// generated and for a limited time afterwards. A caller whose connection broke,
// or who repeats an idempotency key, reads the stored answer, and the request
// does not run again.
package answer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// Head is the part of an answer that is known before its first token.
type Head struct {
	Version config.VersionRef
	// Session and Resume are the signed session and resume tokens; see package
	// session.
	Session string
	Resume  string
	Created time.Time
	// HTTP is set if the answer comes from a plain HTTP service.
	HTTP *HTTPHead
}

// HTTPHead is the status code and the headers of a plain HTTP service's
// response.
type HTTPHead struct {
	Status int
	Header http.Header
}

// Event is one piece of an answer. Offset is its index in the answer, from 0.
// Only the last event of a complete answer has a FinishReason.
type Event struct {
	Offset       int
	Delta        string
	FinishReason string
	Usage        *upstream.Usage
}

// View is a snapshot of an answer from a given offset on.
type View struct {
	RequestID    string
	Organisation string
	// Head is nil until Answer.Start is called.
	Head   *Head
	Events []Event
	// Done is true if the answer has ended; no events follow Events.
	Done bool
	// Err is set if the request failed.
	Err *fault.Error
}

// Answer is the answer to one request. Its methods may be called concurrently
// by writers and any number of readers.
type Answer struct {
	RequestID    string
	Organisation string

	mu     sync.Mutex
	head   *Head
	events []Event
	// packed replaces events once the answer has ended.
	packed *packed
	// memoryBytes is the approximate memory use, set once the answer has ended.
	memoryBytes int
	done        bool
	err         *fault.Error
	endedAt     time.Time
	readers     int
	// idleSince is the time of creation or of the last removal of a reader.
	idleSince time.Time
	changed   chan struct{}
}

// New returns an empty answer to the request requestID.
func New(requestID, organisation string, now time.Time) *Answer {
	return &Answer{RequestID: requestID, Organisation: organisation, idleSince: now, changed: make(chan struct{})}
}

// notifyWaiters wakes all callers of Wait. The caller holds mu.
func (a *Answer) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Start sets the head. It has no effect if the head is already set or the answer
// has ended.
func (a *Answer) Start(h Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil || a.done {
		return
	}
	a.head = &h
	a.notifyWaiters()
}

// Append adds an event and sets its Offset. An event with a FinishReason ends
// the answer; events after the end are ignored.
func (a *Answer) Append(e Event, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	e.Offset = len(a.events)
	a.events = append(a.events, e)
	if e.FinishReason != "" {
		a.finish(now)
	}
	a.notifyWaiters()
}

// finish marks the answer as ended and packs its events. The caller holds mu.
func (a *Answer) finish(now time.Time) {
	a.done = true
	a.endedAt = now
	a.packed = pack(a.events)
	a.memoryBytes = a.packed.memoryBytes()
	a.events = nil
}

// Fail ends the answer with an error. It has no effect if the answer has ended.
func (a *Answer) Fail(err *fault.Error, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	e := *err
	e.RequestID = a.RequestID
	a.err = &e
	a.finish(now)
	a.notifyWaiters()
}

// Started reports whether the head is set. If it is, readers may have received it.
func (a *Answer) Started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head != nil
}

// Done reports whether the answer has ended.
func (a *Answer) Done() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// View returns a snapshot of the answer with the events whose offset is greater
// than after; -1 returns all events.
func (a *Answer) View(after int) View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view(after)
}

// view is View for a caller that holds mu.
func (a *Answer) view(after int) View {
	v := View{RequestID: a.RequestID, Organisation: a.Organisation, Head: a.head, Done: a.done, Err: a.err}
	events := a.events
	if a.packed != nil {
		events = a.packed.unpack()
	}
	if next := after + 1; next < len(events) {
		v.Events = events[next:len(events):len(events)]
	}
	return v
}

// Wait blocks until there are events whose offset is greater than after, the
// head is set and haveHead is false, or the answer has ended. haveHead is true
// if the reader already has the head. If ctx ends first, Wait returns its error.
func (a *Answer) Wait(ctx context.Context, after int, haveHead bool) (View, error) {
	for {
		a.mu.Lock()
		v, changed := a.view(after), a.changed
		a.mu.Unlock()
		if len(v.Events) > 0 || v.Done || (v.Head != nil && !haveHead) {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return View{}, ctx.Err()
		}
	}
}

// Attach adds a reader to the number of current readers; the returned function
// removes it.
func (a *Answer) Attach(now func() time.Time) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		a.idleSince = now()
	}
}

// Abandoned reports whether the answer has had no reader for at least grace.
func (a *Answer) Abandoned(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && now.Sub(a.idleSince) >= grace
}

// Owner returns the organisation that the answer belongs to.
func (a *Answer) Owner() string { return a.Organisation }
