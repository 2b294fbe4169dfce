package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/test/bareserver"
)

// Guards against a part of an answer without a length that looks whole because the connection ended while the request was
// still being written, and against the loss of a whole one whose server reads on.
func TestAnswerWithoutLengthEndsAfterItsRequest(t *testing.T) {
	const plays = 10
	client := NewClient(time.Second)
	defer client.Close()
	for name, c := range map[string]struct {
		end     func(c *net.TCPConn)
		isWhole bool
	}{
		"reset":               {bareserver.Reset, false},
		"reset later":         {func(c *net.TCPConn) { time.Sleep(60 * time.Millisecond); bareserver.Reset(c) }, false},
		"close":               {func(c *net.TCPConn) { _ = c.Close() }, false},
		"close in two steps":  {bareserver.CloseInTwoSteps, true},
		"close and read some": {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.CopyN(io.Discard, c, 1<<20) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := bareserver.Start(t, "", nil)
			server.Play("", func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
				bareserver.Send(conn, "HTTP/1.1 200 OK\r\n\r\nanswer")
				c.end(conn)
			})
			for range plays {
				req, err := http.NewRequest(http.MethodPost, "http://"+server.Address, bytes.NewReader(make([]byte, 8<<20)))
				require.NoError(t, err)
				resp, err := client.Do(req, false)
				var data []byte
				if err == nil {
					data, err = io.ReadAll(resp.Body)
					resp.Body.Close()
				}
				if c.isWhole {
					require.NoError(t, err)
					require.Equal(t, "answer", string(data))
					continue
				}
				require.Error(t, err)
				require.False(t, errors.Is(err, io.EOF))
				require.False(t, NotRun(err))
			}
		})
	}
}
