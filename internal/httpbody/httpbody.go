// Package httpbody reads the bodies of callers' requests.
package httpbody

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Body is a body in pieces. A body that arrives is not copied while it grows.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, piece := range b {
		n += len(piece)
	}
	return n
}

// Bytes returns the whole body.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

const (
	minPiece = 4 << 10
	maxPiece = 256 << 10
	// growth is the reciprocal of the fraction of a body of unknown length that its next piece may add.
	growth = 4
)

// Read reads a body of a known length, or -1, to its end. take is called before n bytes of memory are used, and
// may wait; its error ends the read. It may be nil.
func Read(body io.Reader, length int64, take func(n int) error) (Body, error) {
	out := Body{}
	for total := 0; ; {
		size := max(minPiece, min(total/growth, maxPiece))
		if length >= 0 {
			size = int(min(int64(max(total, minPiece)), maxPiece, length-int64(total)))
		}
		if size <= 0 {
			return out, readEnd(body)
		}
		if take != nil {
			if err := take(size); err != nil {
				return out, err
			}
		}
		piece, err := readPiece(body, size)
		if total += len(piece); len(piece) > 0 {
			out = append(out, piece)
		}
		switch {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return out, err
		}
	}
}

// readPiece reads size bytes, or fewer before an error. Unlike io.ReadFull, it keeps the error of a body that
// ends before its length.
func readPiece(body io.Reader, size int) ([]byte, error) {
	piece, n := make([]byte, size), 0
	for n < size {
		m, err := body.Read(piece[n:])
		n += m
		if err != nil {
			return piece[:n], err
		}
	}
	return piece, nil
}

// readEnd reads the end of a body whose bytes have all been read.
func readEnd(body io.Reader) error {
	if _, err := readPiece(body, 1); err != io.EOF {
		return err
	}
	return nil
}

// ReadUntil is Read of the body of the request that w answers. If it does not end before the deadline,
// the error is os.ErrDeadlineExceeded: a caller that stops in the middle of a body would hold the
// request and its memory. A zero deadline means no limit.
func ReadUntil(w http.ResponseWriter, body io.Reader, length int64, deadline time.Time, take func(n int) error) (Body, error) {
	control := http.NewResponseController(w)
	hasDeadline := !deadline.IsZero() && control.SetReadDeadline(deadline) == nil
	data, err := Read(body, length, take)
	if hasDeadline && err == nil {
		// Some writers do not support deadlines. One that accepted the first accepts this one
		// too.
		_ = control.SetReadDeadline(time.Time{})
	}
	return data, err
}
