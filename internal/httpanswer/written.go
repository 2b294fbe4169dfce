package httpanswer

import (
	"io"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
)

// writeTimeout bounds the wait for the rest of a request after the server has ended the connection. A sound server may
// be silent for one and a half seconds.
const writeTimeout = 2 * time.Second

// requestWrite is the writing of a request on a connection.
type requestWrite struct {
	conn dial.Conn
	done chan struct{}
	err  error
}

// await waits until the server has received the whole request. It returns an error if it does not take it.
func (w *requestWrite) await() error {
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		if w.err != nil {
			return w.err
		}
		return dial.AwaitDelivery(w.conn, writeTimeout)
	case <-timer.C:
		return io.ErrUnexpectedEOF
	}
}

// traceWrites makes connections end properly only after the whole request has been written: an answer without a length
// that ends before that may be a part.
func traceWrites(trace *httptrace.ClientTrace) {
	// net/http may send a request again, on another connection.
	var mu sync.Mutex
	var current *requestWrite
	trace.GotConn = func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(dial.Conn)
		if !ok {
			return
		}
		w := &requestWrite{conn: conn, done: make(chan struct{})}
		conn.SetEndCheck(w.await)
		mu.Lock()
		defer mu.Unlock()
		current = w
	}
	trace.WroteRequest = func(info httptrace.WroteRequestInfo) {
		mu.Lock()
		defer mu.Unlock()
		if current != nil {
			current.err = info.Err
			close(current.done)
			current = nil
		}
	}
}
