package httpbody

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

const (
	// bodyCopies is how many times a body is in memory at most: as it arrived, in one piece, decoded, and encoded
	// for an upstream instance.
	bodyCopies = 4
	// elementCost is the memory of an element of JSON besides its text, for each of the characters that begin one
	// or separate two.
	elementCost = 64
	// memoryWait is how long a body waits for memory, and memoryInterval the time between two attempts.
	memoryWait     = 500 * time.Millisecond
	memoryInterval = 10 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests for whose body there is no memory.
	memoryRetryAfter = time.Second
)

// Receiver reads whole bodies of requests, whose memory together is limited.
type Receiver struct {
	// MaxBytes limits the length of a body. Timeout limits the time in which it arrives; 0 means no limit.
	MaxBytes int64
	Timeout  time.Duration
	// Memory is the budget for bodies and what is decoded from them.
	Memory *limit.ByteBudget
	// Refused counts bodies for which there was no memory.
	Refused *atomic.Int64
}

// Received is a body in memory.
type Received struct {
	Data []byte

	receiver Receiver
	taken    int
}

var errNoMemory = errors.New("no memory for the body")

// Receive reads the body of a request. The caller must call Release of the result when the body and what was decoded
// from it are not used any more. The error is a *fault.Error.
func (r Receiver) Receive(w http.ResponseWriter, request *http.Request) (*Received, error) {
	deadline := time.Time{}
	if r.Timeout > 0 {
		deadline = time.Now().Add(r.Timeout)
	}
	out := &Received{receiver: r}
	body, err := ReadUntil(w, http.MaxBytesReader(w, request.Body, r.MaxBytes), request.ContentLength, deadline, func(n int) error {
		return out.take(request, bodyCopies*n)
	})
	if err != nil {
		out.Release()
		return nil, r.toFault(err)
	}
	out.Data = body.Bytes()
	return out, nil
}

func (r Receiver) toFault(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.BodyTooLarge, "body: longer than %d bytes", r.MaxBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.SlowRequest, "body: did not come within %v", r.Timeout)
	case errors.Is(err, errNoMemory):
		return fault.New(fault.NoCapacity, "body: the memory for bodies is used up").WithRetryAfter(memoryRetryAfter)
	default:
		return fault.New(fault.BadRequest, "body: %v", err)
	}
}

// take counts n more bytes, and waits briefly until they fit into the budget.
func (b *Received) take(request *http.Request, n int) error {
	for waited := time.Duration(0); !b.receiver.Memory.Take(n); waited += memoryInterval {
		if waited >= memoryWait || request.Context().Err() != nil {
			b.receiver.Refused.Add(1)
			slog.Info("body.refused", "path", request.URL.Path, "bytes", n, "taken", b.taken)
			return errNoMemory
		}
		time.Sleep(memoryInterval)
	}
	b.taken += n
	return nil
}

// DecodeJSON decodes the body. unknownFields is set if fields that out does not have are ignored. The error is a
// *fault.Error.
func (b *Received) DecodeJSON(request *http.Request, out any, unknownFields bool) error {
	cost := elementCost * elements(b.Data)
	if cost > b.receiver.Memory.Limit()-bodyCopies*len(b.Data) {
		return fault.New(fault.BodyTooLarge, "body: has too many elements")
	}
	if err := b.take(request, cost); err != nil {
		return b.receiver.toFault(err)
	}
	decode := func() error { return json.Unmarshal(b.Data, out) }
	if !unknownFields {
		decoder := json.NewDecoder(bytes.NewReader(b.Data))
		decoder.DisallowUnknownFields()
		decode = func() error { return decoder.Decode(out) }
	}
	if err := decode(); err != nil {
		return fault.New(fault.BadRequest, "body: %v", err)
	}
	return nil
}

// elements returns the number of characters in JSON that begin or separate elements.
func elements(text []byte) int {
	n, inString, escaped := 0, false, false
	for _, c := range text {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '[', c == '{', c == ',':
			n++
		}
	}
	return n
}

// Release frees the memory of the body.
func (b *Received) Release() {
	if b != nil {
		b.receiver.Memory.Release(b.taken)
		b.taken, b.Data = 0, nil
	}
}
