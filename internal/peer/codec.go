package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"time"
)

// frames reads and writes the gob values of one connection and counts their bytes.
// The codecs of net/rpc do the same without counting.
type frames struct {
	conn    net.Conn
	traffic *Traffic
	in      *countedReader
	dec     *gob.Decoder
	out     *bufio.Writer
	written *countedWriter
	enc     *gob.Encoder
	// before is in.bytes at the start of the frame being read, and kind its method.
	// Only the reading goroutine uses them.
	before int64
	kind   string
}

func newFrames(conn net.Conn, traffic *Traffic) *frames {
	f := &frames{conn: conn, traffic: traffic, in: &countedReader{Reader: bufio.NewReader(conn)}, out: bufio.NewWriter(conn)}
	f.written = &countedWriter{to: f.out}
	f.dec, f.enc = gob.NewDecoder(f.in), gob.NewEncoder(f.written)
	return f
}

// write sends a header and a body as one frame. A frame that the link has not taken
// within CallTimeout fails: its sender holds the lock that all calls to this peer
// need, and a peer that does not read would hold them, and the round of heartbeats
// that waits for them, for as long as it lives.
func (f *frames) write(kind string, header, body any) error {
	before := f.written.bytes
	if err := f.conn.SetWriteDeadline(time.Now().Add(CallTimeout)); err != nil {
		return err
	}
	if err := f.enc.Encode(header); err != nil {
		return err
	}
	if err := f.enc.Encode(body); err != nil {
		return err
	}
	if err := f.out.Flush(); err != nil {
		return err
	}
	f.traffic.sent(kind, f.written.bytes-before)
	return nil
}

// readHeader reads the header of a frame; its method is to be noted in kind.
func (f *frames) readHeader(header any) error {
	f.before = f.in.bytes
	return f.dec.Decode(header)
}

// readBody reads the body of a frame; nil skips it.
func (f *frames) readBody(body any) error {
	err := f.dec.Decode(body)
	f.traffic.received(f.kind, f.in.bytes-f.before)
	return err
}

// Close ends the connection.
func (f *frames) Close() error { return f.conn.Close() }

// countedReader counts what the decoder takes. It has ReadByte, so that the decoder
// reads no further than the value that it decodes.
type countedReader struct {
	*bufio.Reader
	bytes int64
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += int64(n)
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *countedReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.bytes++
	}
	return b, err
}

// countedWriter counts what is written.
type countedWriter struct {
	to    io.Writer
	bytes int64
}

// Write implements io.Writer.
func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.bytes += int64(n)
	return n, err
}

// clientCodec is the calling side of a connection.
type clientCodec struct{ *frames }

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	c.kind = r.ServiceMethod
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec is the answering side of a connection.
type serverCodec struct{ *frames }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.readHeader(r)
	c.kind = r.ServiceMethod
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec. A connection that cannot take an answer
// is of no use any more: part of a frame may have gone out.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r.ServiceMethod, r, body)
	if err != nil {
		c.Close()
	}
	return err
}
