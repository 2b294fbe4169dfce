package peer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

// messageReader reads messages of gob, and hands each one to the decoder once it is whole and there is memory for
// what the decoder makes of it. It implements io.ByteReader, so that the decoder does not add a buffer of its own.
type messageReader struct {
	source *bufio.Reader
	// rest is what the decoder has not read of the current message, its length included.
	rest []byte
	// bytes counts the bytes that the decoder has read. end is the number of bytes at which limit is exceeded.
	bytes int64
	end   int64
	limit readlimit.Error
	// scanner determines what a message takes when it is decoded.
	scanner gobScanner
	// hold, unless nil, is called before a message of n bytes is read, and again before one that takes n more bytes
	// is decoded. It returns false if there is no memory.
	hold func(n int) bool
}

// errMessageRefused ends a connection with a message that is not decoded. Its cause is another error, such as
// errNoMessageMemory.
var (
	errMessageRefused  = errors.New("message refused")
	errNoMessageMemory = errors.New("the memory for messages is used up")
)

// messageChunk is what is allocated of a message before its bytes arrive.
const messageChunk = 16 << 10

// newMessageReader returns a reader without a limit.
func newMessageReader(r *bufio.Reader) *messageReader {
	return &messageReader{source: r, end: math.MaxInt64}
}

// setLimit limits what is read from now on.
func (r *messageReader) setLimit(limit int64, what string) {
	r.end, r.limit = r.bytes+limit, readlimit.Error{Limit: limit, What: what}
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	if len(r.rest) == 0 {
		r.rest = nil
	}
	r.bytes += int64(n)
	return n, nil
}

// ReadByte implements io.ByteReader.
func (r *messageReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

// next reads the next message.
func (r *messageReader) next() error {
	length, prefix, err := r.readLength()
	if err != nil {
		return err
	}
	if length > uint64(max(r.end-r.bytes-int64(len(prefix)), 0)) {
		limited := r.limit
		return &limited
	}
	if !r.mayHold(int(length)) {
		return refused(errNoMessageMemory)
	}
	message, err := r.readRest(prefix, int(length))
	if err != nil {
		return err
	}
	cost, err := r.scanner.scan(message[len(prefix):])
	if err != nil {
		return refused(err)
	}
	if !r.mayHold(cost) {
		return refused(errNoMessageMemory)
	}
	r.rest = message
	return nil
}

func refused(why error) error { return fmt.Errorf("%w: %w", errMessageRefused, why) }

func (r *messageReader) mayHold(n int) bool { return r.hold == nil || r.hold(n) }

// readLength reads the length of a message, and returns its encoding, too.
func (r *messageReader) readLength() (length uint64, prefix []byte, err error) {
	first, err := r.source.ReadByte()
	if err != nil {
		return 0, nil, err
	}
	prefix = append(prefix, first)
	for range gobUintBytes(first) {
		b, err := r.source.ReadByte()
		if err != nil {
			return 0, nil, noEOF(err)
		}
		prefix = append(prefix, b)
	}
	scan := gobCursor{rest: prefix}
	length = scan.uint()
	return length, prefix, scan.err
}

// readRest reads a message of the given length and appends it to its prefix. Memory is allocated as bytes arrive.
func (r *messageReader) readRest(prefix []byte, length int) ([]byte, error) {
	message, end := prefix, len(prefix)+length
	for len(message) < end {
		n := min(max(len(message), messageChunk), end-len(message))
		message = slices.Grow(message, n)
		read, err := io.ReadFull(r.source, message[len(message):len(message)+n])
		message = message[:len(message)+read]
		if err != nil {
			return nil, noEOF(err)
		}
	}
	return message, nil
}

// noEOF returns the error of a read in the middle of a message.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
