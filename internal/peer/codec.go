package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

// frameConn reads and writes frames of a header and a body, both gob values, on one connection
// and counts their bytes per method. The default codecs of net/rpc use the same encoding but
// do not count.
type frameConn struct {
	conn    net.Conn
	traffic *Traffic
	reader  *messageReader
	dec     *gob.Decoder
	buffer  *bufio.Writer
	writer  *countingWriter
	enc     *gob.Encoder
	// frameStart is reader.bytes at the start of the frame being read, and method its net/rpc
	// method. Only the reading goroutine uses them.
	frameStart int64
	method     string
	// limited is the *readlimit.Error that ended the connection; nil if none did.
	limited atomic.Pointer[readlimit.Error]
}

func newFrameConn(conn net.Conn, traffic *Traffic) *frameConn {
	f := &frameConn{conn: conn, traffic: traffic, reader: newMessageReader(bufio.NewReader(conn)), buffer: bufio.NewWriter(conn)}
	f.writer = &countingWriter{dst: f.buffer}
	f.dec, f.enc = gob.NewDecoder(f.reader), gob.NewEncoder(f.writer)
	return f
}

// write sends a header and a body as one frame. It fails if the connection does not accept the
// frame within CallTimeout. net/rpc calls it with a lock held that all calls on the connection
// need: without the deadline a peer that stops reading would block these calls, and with them
// the heartbeat round, until the peer exits.
func (f *frameConn) write(method string, header, body any) error {
	start := f.writer.bytes
	if err := f.conn.SetWriteDeadline(time.Now().Add(CallTimeout)); err != nil {
		return err
	}
	if err := f.enc.Encode(header); err != nil {
		return err
	}
	if err := f.enc.Encode(body); err != nil {
		return err
	}
	if err := f.buffer.Flush(); err != nil {
		return err
	}
	f.traffic.addSent(method, f.writer.bytes-start)
	return nil
}

// readHeader reads the header of a frame. The caller then sets f.method from it.
func (f *frameConn) readHeader(header any) error {
	f.frameStart = f.reader.bytes
	f.reader.setLimit(maxFrameHeader, "bytes in the header of a call")
	return f.decode(header)
}

// readBody reads the body of a frame; a nil body discards it.
func (f *frameConn) readBody(body any) error {
	f.reader.setLimit(maxBody(f.method), "bytes in a call")
	err := f.decode(body)
	f.traffic.addReceived(f.method, f.reader.bytes-f.frameStart)
	return err
}

// decode decodes a value. It closes the connection if the value is too long or was refused, since net/rpc would answer
// the call and read on.
func (f *frameConn) decode(value any) error {
	err := f.dec.Decode(value)
	var limited *readlimit.Error
	if errors.As(err, &limited) {
		f.limited.Store(limited)
	}
	if limited != nil || errors.Is(err, errMessageRefused) {
		f.Close()
	}
	return err
}

// Close closes the connection.
func (f *frameConn) Close() error { return f.conn.Close() }

// countingWriter counts the bytes written to dst.
type countingWriter struct {
	dst   io.Writer
	bytes int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.dst.Write(p)
	w.bytes += int64(n)
	return n, err
}

// clientCodec is the client side of a connection; it implements rpc.ClientCodec.
type clientCodec struct{ *frameConn }

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	c.method = r.ServiceMethod
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec is the server side of a connection; it implements rpc.ServerCodec.
//
// Lock order: no other lock of this package is taken while mu is held.
type serverCodec struct {
	*frameConn
	conn *serverConn
	// slots has an element for each call that is being handled.
	slots chan struct{}

	mu sync.Mutex
	// calls are the calls that are being read or handled. Their keys take the place of the numbers that the client
	// has given them, which it may use more than once.
	calls map[uint64]serverCall
	// last is the key of the call that was begun last.
	last uint64
}

// serverCall is a call that is being read or handled.
type serverCall struct {
	// seq is the client's number of the call, and held what the call takes of the budget for messages. handled is set
	// if it counts as one that is being handled.
	seq     uint64
	held    int
	handled bool
}

// newServerCodec returns the codec of calls on conn, which is c or reads from it.
func newServerCodec(c *serverConn, conn net.Conn, traffic *Traffic) *serverCodec {
	out := &serverCodec{frameConn: newFrameConn(conn, traffic), conn: c, slots: make(chan struct{}, maxCalls), calls: map[uint64]serverCall{}}
	out.reader.hold = c.holdMessage
	return out
}

// ReadRequestHeader implements rpc.ServerCodec. net/rpc calls WriteResponse once for each header.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	if err := c.readHeader(r); err != nil {
		<-c.slots
		return c.noteRefused(err)
	}
	c.conn.begin()
	c.method = r.ServiceMethod
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	c.calls[c.last] = serverCall{seq: r.Seq}
	r.Seq = c.last
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.readBody(body)
	c.conn.endReading()
	if err == nil {
		c.conn.prove()
		c.conn.server.beginCall()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[c.last]
	call.held, call.handled = c.conn.takeHeld(), err == nil
	c.calls[c.last] = call
	return c.noteRefused(err)
}

// noteRefused counts the message that an error is about, if it was refused.
func (c *serverCodec) noteRefused(err error) error {
	if errors.Is(err, errMessageRefused) {
		c.conn.server.MessagesRefused.Add(1)
		c.conn.server.logs.Note("peer.message_refused", 1, "method", c.method, "address", c.conn.RemoteAddr().String(), "reason", err)
	}
	return err
}

// WriteResponse implements rpc.ServerCodec. A failed write closes the connection: a partial
// frame may have been sent, after which the client cannot decode further frames.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.mu.Lock()
	call := c.calls[r.Seq]
	delete(c.calls, r.Seq)
	c.mu.Unlock()
	r.Seq = call.seq
	defer func() {
		c.conn.release(call.held)
		if call.handled {
			c.conn.server.endCall()
		}
		c.conn.end()
		<-c.slots
	}()
	err := c.write(r.ServiceMethod, r, body)
	if err != nil {
		c.Close()
	}
	return err
}
