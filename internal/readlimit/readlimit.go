// Package readlimit bounds what is read of one answer or message of another machine.
package readlimit

import (
	"fmt"
	"io"
	"math"
)

// HeadBytes is the usual limit of the head of an HTTP answer. A parsed head of short lines takes more
// than ten times as much memory.
const HeadBytes = 16 << 10

// None is the limit of a Reader that has none.
const None = math.MaxInt64

// Error means that another machine sent more than it may.
type Error struct {
	Limit int64
	// What is counted, in the plural.
	What string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.What) }

// Reader fails with an *Error once more bytes than its limit were read.
type Reader struct {
	src         io.Reader
	what        string
	limit, left int64
	err         error
}

// NewReader returns a Reader of at most limit bytes, which errors call what.
func NewReader(src io.Reader, what string, limit int64) *Reader {
	return &Reader{src: src, what: what, limit: limit, left: limit}
}

// Reset sets the limit of what is read from now on.
func (r *Reader) Reset(limit int64) { r.limit, r.left, r.err = limit, limit, nil }

// Err returns the *Error that Read has returned since the last Reset, or nil. Parsers may report a
// line that was cut by it as malformed.
func (r *Reader) Err() error { return r.err }

// Read implements io.Reader. It reads one byte beyond the limit, so that an input of just that length
// ends with io.EOF.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left < 0 {
		r.err = &Error{Limit: r.limit, What: r.what}
		return 0, r.err
	}
	if int64(len(p)) > r.left {
		p = p[:r.left+1]
	}
	n, err := r.src.Read(p)
	r.left -= int64(n)
	return n, err
}

// ReadAll reads src to its end, or returns an *Error if it has more than limit bytes.
func ReadAll(src io.Reader, what string, limit int64) ([]byte, error) {
	data, err := io.ReadAll(NewReader(src, what, limit))
	if err != nil {
		return nil, err
	}
	return data, nil
}
