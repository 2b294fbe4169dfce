package httplisten

import (
	"log/slog"
	"sync"
	"time"
)

// logInterval is the shortest time between two log lines about the same event of a listener.
const logInterval = time.Second

// eventLog logs events that clients cause, at most one line of each for each interval.
type eventLog struct {
	listener string

	mu     sync.Mutex
	events map[string]*loggedEvent
}

type loggedEvent struct {
	loggedAt time.Time
	// count is the number of events that were not logged yet.
	count int
}

// note counts events. attributes are those of the last one.
func (l *eventLog) note(event string, count int, attributes ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = map[string]*loggedEvent{}
	}
	e, ok := l.events[event]
	if !ok {
		e = &loggedEvent{}
		l.events[event] = e
	}
	e.count += count
	if now := time.Now(); now.Sub(e.loggedAt) >= logInterval {
		slog.Warn(event, append([]any{"listener", l.listener, "count", e.count}, attributes...)...)
		e.loggedAt, e.count = now, 0
	}
}
