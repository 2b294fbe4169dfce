// Package readlimittest has servers for tests that send more than they may.
package readlimittest

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Serve waits for a request on each connection, answers with start and then repeated until total bytes
// are sent, and leaves it open. It returns the address.
func Serve(t testing.TB, start, repeated string, total int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	const blockBytes = 32 << 10
	block := []byte(strings.Repeat(repeated, max(1, blockBytes/max(1, len(repeated)))))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, err := c.Read(make([]byte, 1))
				if err == nil {
					_, err = io.WriteString(c, start)
				}
				for sent := len(start); err == nil && sent < total; sent += len(block) {
					_, err = c.Write(block[:min(len(block), total-sent)])
				}
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return listener.Addr().String()
}

// Allocated returns the number of bytes that are allocated while run runs.
func Allocated(run func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

const (
	endlessBytes = 256 << 20
	maxErrorText = 512
)

// RequireLimited runs a call to servers whose answers have no end, each of another shape. head is the
// beginning of the head of an answer that the call accepts. The call must fail, say so briefly, and allocate
// at most maxAllocated bytes. It must not time out, unless mayTimeOut is set: within some hundred ms a
// busy machine does not read as much as is allowed.
func RequireLimited(t *testing.T, head string, maxAllocated int64, mayTimeOut bool, call func(address string) error) {
	for name, shape := range map[string][2]string{
		"noise":        {"", "\xa5"},
		"header line":  {head + "X-A: ", "b"},
		"header lines": {head, "X-A: b\r\n"},
		"1xx answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\n"},
		"body":         {head + "\r\n{\"a\":\"", "b"},
		"long body":    {head + "Content-Length: 9000000000\r\n\r\n{\"a\":\"", "b"},
		"chunk size":   {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"trailers":     {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
		"error":        {strings.Replace(head, "200 OK", "503 Service Unavailable", 1) + "\r\n", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			address := Serve(t, shape[0], shape[1], endlessBytes)
			var err error
			used := Allocated(func() { err = call(address) })
			require.Error(t, err)
			if !mayTimeOut {
				require.NotContains(t, err.Error(), "deadline")
			}
			require.Less(t, len(err.Error()), maxErrorText)
			require.Less(t, used, maxAllocated)
		})
	}
}
