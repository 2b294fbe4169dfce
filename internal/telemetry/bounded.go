package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is how many lines wait for a writer that is slow: some
	// seconds of a busy daemon.
	queueLength = 4096
	// linesPerSecond bounds the lines about requests that are kept: ten times what a
	// daemon at its usual load writes, and under a hundredth of a core.
	requestLinesPerSecond = 400
	// othersPerSecond bounds all other lines. They tell of what a daemon believes and
	// decides, are few, and explain what became of the requests beside them.
	otherLinesPerSecond = 100
)

// aboutRequest is in each line about one request.
var requestAttribute = []byte(" request=")

// Bounded writes lines in the background. A line that finds no room is dropped
// and counted, so that a slow reader of the logs never holds up a request.
type LineWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewBounded returns a writer in front of w.
func NewLineWriter(w io.Writer) *LineWriter {
	b := &LineWriter{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write implements io.Writer; it never blocks and never fails.
func (b *LineWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were not written.
func (b *LineWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits and ends. Nothing may be written after it.
func (b *LineWriter) Close() {
	close(b.lines)
	<-b.done
}

func (b *LineWriter) run(w io.Writer) {
	defer close(b.done)
	second, reported := time.Now(), int64(0)
	requests, others := 0, 0
	for line := range b.lines {
		if now := time.Now(); now.Sub(second) >= time.Second {
			second, requests, others = now, 0, 0
			if dropped := b.dropped.Load(); dropped > reported {
				fmt.Fprintf(w, "time=%s level=WARN msg=log.dropped lines=%d\n", now.Format(time.RFC3339Nano), dropped-reported)
				reported = dropped
			}
		}
		// Counted together, a burst of refusals drops the one line that tells which
		// configuration came into force, or what was lost, in that second.
		written, most := &others, otherLinesPerSecond
		if bytes.Contains(line, requestAttribute) {
			written, most = &requests, requestLinesPerSecond
		}
		if *written++; *written > most {
			b.dropped.Add(1)
			continue
		}
		// Nobody can be told that the log cannot be written; the count says so.
		if _, err := w.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}
