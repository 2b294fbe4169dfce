// Package eventlog logs events that clients can cause as often as they like, at most one line of each event a second.
package eventlog

import (
	"log/slog"
	"sync"
	"time"
)

// interval is the shortest time between two log lines about the same event.
const interval = time.Second

// Log logs events of one source.
type Log struct {
	source []any

	mu     sync.Mutex
	events map[string]*event
}

type event struct {
	loggedAt time.Time
	// count is the number of events that were not logged yet.
	count int
}

// New returns a log whose lines begin with the attributes of a source.
func New(source ...any) *Log { return &Log{source: source, events: map[string]*event{}} }

// Note counts events. attributes are those of the last one.
func (l *Log) Note(name string, count int, attributes ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.events[name]
	if !ok {
		e = &event{}
		l.events[name] = e
	}
	e.count += count
	if now := time.Now(); now.Sub(e.loggedAt) >= interval {
		attributes = append([]any{"count", e.count}, attributes...)
		slog.Warn(name, append(append([]any{}, l.source...), attributes...)...)
		e.loggedAt, e.count = now, 0
	}
}
