package httplisten

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against heads that count for less than they take, or that count what follows them.
func TestHeadsAreMeasuredToTheirEnd(t *testing.T) {
	const head = "\r\nPOST /a HTTP/1.1\r\nHost: h\r\nA:\r\nB:\r\n\r\n"
	const rest = "body\r\n\r\nGET / HTTP/1.1\r\n\r\n"
	for piece := 1; piece <= len(head+rest); piece++ {
		var s headScanner
		for text := head + rest; text != ""; text = text[min(piece, len(text)):] {
			s.add([]byte(text[:min(piece, len(text))]))
		}
		require.True(t, s.ended)
		require.Equal(t, len(head), s.bytes, "pieces of %d bytes", piece)
		require.Equal(t, 4, s.lines)
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.TrimSpace(head) + "\r\n\r\n")))
	require.NoError(t, err)
	var s headScanner
	s.add([]byte(head))
	require.LessOrEqual(t, headCost(r), s.cost())
}
