package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"time"
)

// frameConn reads and writes frames of a header and a body, both gob values, on one connection
// and counts their bytes per method. The default codecs of net/rpc use the same encoding but
// do not count.
type frameConn struct {
	conn    net.Conn
	traffic *Traffic
	reader  *countingReader
	dec     *gob.Decoder
	buffer  *bufio.Writer
	writer  *countingWriter
	enc     *gob.Encoder
	// frameStart is reader.bytes at the start of the frame being read, and method its net/rpc
	// method. Only the reading goroutine uses them.
	frameStart int64
	method     string
}

func newFrameConn(conn net.Conn, traffic *Traffic) *frameConn {
	f := &frameConn{conn: conn, traffic: traffic, reader: &countingReader{Reader: bufio.NewReader(conn)}, buffer: bufio.NewWriter(conn)}
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
	return f.dec.Decode(header)
}

// readBody reads the body of a frame; a nil body discards it.
func (f *frameConn) readBody(body any) error {
	err := f.dec.Decode(body)
	f.traffic.addReceived(f.method, f.reader.bytes-f.frameStart)
	return err
}

// Close closes the connection.
func (f *frameConn) Close() error { return f.conn.Close() }

// countingReader counts the bytes that the decoder consumes. It implements io.ByteReader, so
// that the decoder does not add a buffer of its own and read past the current value.
type countingReader struct {
	*bufio.Reader
	bytes int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += int64(n)
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.bytes++
	}
	return b, err
}

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
type serverCodec struct{ *frameConn }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.readHeader(r)
	c.method = r.ServiceMethod
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec. A failed write closes the connection: a partial
// frame may have been sent, after which the client cannot decode further frames.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r.ServiceMethod, r, body)
	if err != nil {
		c.Close()
	}
	return err
}
