package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"math"
	"strings"

	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

const (
	// maxFrameHeader limits the header of a frame, which has the name of a method and an error text.
	maxFrameHeader = 64 << 10
	// maxRoutesBody limits the body of a frame of the Routes service, and maxPeerBody that of the Peer
	// service, in which a daemon that stops hands over its answers.
	maxRoutesBody = 8 << 20
	maxPeerBody   = 32 << 20
	// maxTunnelMessage limits a TunnelRequest and a TunnelReply.
	maxTunnelMessage = 4 << 10
	// maxCalls limits the calls of one connection that are handled at once. Calls beyond it are not
	// read until others have ended.
	maxCalls = 1024
)

// maxBody returns the limit of the body of a frame.
func maxBody(method string) int64 {
	if strings.HasPrefix(method, serviceName+".") {
		return maxPeerBody
	}
	return maxRoutesBody
}

// messageReader counts the bytes that a gob decoder consumes, and fails with a *readlimit.Error once
// they exceed a limit. It implements io.ByteReader, so that the decoder does not add a buffer of its
// own and read past the current value. The decoder reads the length of a message and then asks for as
// many bytes, so a message that is too long fails before it is read.
type messageReader struct {
	*bufio.Reader
	bytes int64
	// end is the number of bytes at which limit is exceeded.
	end   int64
	limit readlimit.Error
	// hold, unless nil, is called before a message of n bytes is read. It returns false if there is no memory.
	hold func(n int) bool
	// heldTo is the number of bytes up to which hold has been called.
	heldTo int64
}

// errNoMessageMemory ends a connection whose message does not fit into the memory.
var errNoMessageMemory = errors.New("the memory for messages is used up")

// newMessageReader returns a reader without a limit.
func newMessageReader(r *bufio.Reader) *messageReader {
	return &messageReader{Reader: r, end: math.MaxInt64}
}

// setLimit limits what is read from now on.
func (r *messageReader) setLimit(limit int64, what string) {
	r.end, r.limit = r.bytes+limit, readlimit.Error{Limit: limit, What: what}
}

// exceeded returns the error for n more bytes, or nil.
func (r *messageReader) exceeded(n int) error {
	if int64(n) <= r.end-r.bytes {
		return nil
	}
	limited := r.limit
	return &limited
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if err := r.exceeded(len(p)); err != nil {
		return 0, err
	}
	if r.hold != nil && r.bytes >= r.heldTo {
		if !r.hold(len(p)) {
			return 0, errNoMessageMemory
		}
		r.heldTo = r.bytes + int64(len(p))
	}
	n, err := r.Reader.Read(p)
	r.bytes += int64(n)
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *messageReader) ReadByte() (byte, error) {
	if err := r.exceeded(1); err != nil {
		return 0, err
	}
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.bytes++
	}
	return b, err
}

// decodeTunnelMessage decodes a TunnelRequest or a TunnelReply.
func decodeTunnelMessage(r *bufio.Reader, to any) error {
	limited := newMessageReader(r)
	limited.setLimit(maxTunnelMessage, "bytes in a message about a tunnel")
	return gob.NewDecoder(limited).Decode(to)
}
