package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Head returns the head of a POST request without its end, so that header fields can follow.
func Head(path, host string, fields ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n", path, host)
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head
}

// ShortFields returns the given number of bytes of header fields that are as short as possible.
func ShortFields(length int) string {
	var b strings.Builder
	for n := 0; b.Len() < length; n++ {
		fmt.Fprintf(&b, "a%d:\r\n", n)
	}
	return b.String()
}

// bodyBytes is what is written of a body at once if it is not divided.
const bodyBytes = 64 << 10

// SendBody sends a head that declares a length, and the first sent bytes of the body in pieces.
func SendBody(head string, declared, sent, piece int) Client {
	return func(ctx context.Context, conn net.Conn) {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, declared); err != nil {
			return
		}
		writeRepeated(ctx, conn, bytes.Repeat([]byte("b"), piece), sent/piece)
	}
}

// SendWhole is SendBody with a body that is not divided.
func SendWhole(head string, declared, sent int) Client {
	return SendBody(head, declared, sent, bodyBytes)
}

// SendChunks sends a chunked body up to the given number of bytes, and not its end. extension follows the size of
// each chunk.
func SendChunks(head string, sent, chunk int, extension string) Client {
	return func(ctx context.Context, conn net.Conn) {
		if _, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		one := fmt.Sprintf("%x%s\r\n%s\r\n", chunk, extension, strings.Repeat("b", chunk))
		// Many small chunks are written at once, as a client with a buffer does.
		together := max(bodyBytes/len(one), 1)
		writeRepeated(ctx, conn, []byte(strings.Repeat(one, together)), sent/chunk/together)
	}
}

// Send sends bytes and stops.
func Send(text string) Client {
	return func(_ context.Context, conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// SendAgain sends the same bytes again and again.
func SendAgain(text string) Client {
	return func(ctx context.Context, conn net.Conn) {
		for ctx.Err() == nil {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// SendSlowly sends one byte after each pause.
func SendSlowly(text string, pause time.Duration) Client {
	return func(ctx context.Context, conn net.Conn) {
		for n := range len(text) {
			if _, err := conn.Write([]byte{text[n]}); err != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
	}
}

// SendNothing leaves the connection unused.
func SendNothing(context.Context, net.Conn) {}

func writeRepeated(ctx context.Context, conn net.Conn, piece []byte, times int) {
	for range times {
		if _, err := conn.Write(piece); err != nil || ctx.Err() != nil {
			return
		}
	}
}
