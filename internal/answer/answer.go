// Package answer holds the answers of requests while they are generated and
// for a while after, so that a caller whose connection was cut, or who sends
// the same idempotency key again, reads the same answer and nothing runs
// again.
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

// Head is what is known before the first token.
type Head struct {
	Version config.VersionRef
	// Session and Resume are signed tokens.
	Session string
	Resume  string
	Created time.Time
	// HTTP is set for the answer of a plain service.
	HTTP *HTTPHead
}

// HTTPHead is the status line and headers of a plain service's answer.
type HTTPHead struct {
	Status int
	Header http.Header
}

// Event is one piece of an answer. Offsets count from 0 without gaps.
type Event struct {
	Offset       int
	Delta        string
	FinishReason string
	Usage        *upstream.Usage
}

// View is a part of an answer.
type View struct {
	RequestID    string
	Organisation string
	// Head is nil until the answer has started.
	Head   *Head
	Events []Event
	// Done is true when nothing follows Events.
	Done bool
	// Err is set when the request failed.
	Err *fault.Error
}

// Answer is one answer. Writers append; any number of readers wait.
type Answer struct {
	RequestID    string
	Organisation string

	mu     sync.Mutex
	head   *Head
	events []Event
	// packed replaces events once the answer has ended.
	packed  *packed
	bytes   int
	done    bool
	err     *fault.Error
	ended   time.Time
	readers int
	idle    time.Time
	changed chan struct{}
}

// New returns an empty answer.
func New(requestID, organisation string, now time.Time) *Answer {
	return &Answer{RequestID: requestID, Organisation: organisation, idle: now, changed: make(chan struct{})}
}

func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Start sets the head. Only the first call has an effect.
func (a *Answer) Start(h Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil || a.done {
		return
	}
	a.head = &h
	a.notify()
}

// Append adds an event; one with a FinishReason ends the answer.
func (a *Answer) Append(e Event, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	e.Offset = len(a.events)
	a.events = append(a.events, e)
	if e.FinishReason != "" {
		a.end(now)
	}
	a.notify()
}

// end marks the answer as ended and packs it.
func (a *Answer) end(now time.Time) {
	a.done = true
	a.ended = now
	a.packed = pack(a.events)
	a.bytes = a.packed.size()
	a.events = nil
}

// Fail ends the answer with an error.
func (a *Answer) Fail(err *fault.Error, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	e := *err
	e.RequestID = a.RequestID
	a.err = &e
	a.end(now)
	a.notify()
}

// Started reports whether readers have been shown a head.
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

// View returns the answer from the event after offset after on; -1 is from
// the start.
func (a *Answer) View(after int) View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view(after)
}

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

// Wait returns as soon as there is something after offset after, the head is
// newly known, or the answer has ended. haveHead tells whether the reader
// knows the head.
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

// Attach counts a reader in; the returned function counts it out.
func (a *Answer) Attach(now func() time.Time) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		a.idle = now()
	}
}

// Abandoned reports whether nobody has read the answer for at least grace.
func (a *Answer) Abandoned(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && now.Sub(a.idle) >= grace
}

// Owner returns the organisation that the answer belongs to.
func (a *Answer) Owner() string { return a.Organisation }
