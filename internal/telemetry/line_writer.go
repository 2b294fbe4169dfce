package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLength is the number of lines that can wait for a slow writer. It holds the
	// lines that a busy daemon logs in some seconds.
	queueLength = 4096
	// requestLinesPerSecond limits the lines about requests. It is ten times the rate at a
	// daemon's usual load, and writing at this rate uses under a hundredth of a core.
	requestLinesPerSecond = 400
	// otherLinesPerSecond limits all other lines. These are few; they record the daemon's
	// state and decisions, which explain the outcome of the requests logged near them.
	otherLinesPerSecond = 100
)

// requestAttribute is the log attribute that marks a line about one request.
var requestAttribute = []byte(" request=")

// LineWriter writes log lines in the background. A line that exceeds the queue or a rate
// limit is dropped and counted, so that a slow reader of the logs never delays a request.
type LineWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewLineWriter returns a LineWriter that writes to w until Close.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It queues line and never blocks or fails.
func (l *LineWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (l *LineWriter) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines and stops the writer. Write must not be called after Close.
func (l *LineWriter) Close() {
	close(l.lines)
	<-l.done
}

func (l *LineWriter) run(w io.Writer) {
	defer close(l.done)
	second, reported := time.Now(), int64(0)
	requests, others := 0, 0
	for line := range l.lines {
		if now := time.Now(); now.Sub(second) >= time.Second {
			second, requests, others = now, 0, 0
			if dropped := l.dropped.Load(); dropped > reported {
				fmt.Fprintf(w, "time=%s level=WARN msg=log.dropped lines=%d\n", now.Format(time.RFC3339Nano), dropped-reported)
				reported = dropped
			}
		}
		// Separate counts: with a common limit, a burst of refused requests would drop
		// the only line in that second that says which configuration came into force or
		// that the store was lost.
		written, limit := &others, otherLinesPerSecond
		if bytes.Contains(line, requestAttribute) {
			written, limit = &requests, requestLinesPerSecond
		}
		if *written++; *written > limit {
			l.dropped.Add(1)
			continue
		}
		// A failure to write the log cannot be logged; it only shows in the count.
		if _, err := w.Write(line); err != nil {
			l.dropped.Add(1)
		}
	}
}
