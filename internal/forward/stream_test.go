package forward

import (
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readAllEvents returns the bytes and the IDs of all events of a stream.
func readAllEvents(t *testing.T, text string) (events, ids []string) {
	reader := newEventReader(strings.NewReader(text))
	for {
		e, err := reader.next()
		if err == io.EOF {
			return events, ids
		}
		require.NoError(t, err)
		events, ids = append(events, string(e.bytes)), append(ids, e.id)
	}
}

// Guards against events that are split, or get an ID out of their data, because part of a long line is
// taken for a line: a stream is then resumed after an event that its caller has in part.
func TestLongLinesDoNotSplitEvents(t *testing.T) {
	const around = 4 << 10
	for length := around - 24; length <= around+24; length++ {
		for _, end := range []string{"\n", "\r\n"} {
			data := "data: " + strings.Repeat("x", length) + "id: 7" + end
			event := data + "id: 1" + end + end
			events, ids := readAllEvents(t, event+event)
			require.True(t, slices.Equal([]string{event, event}, events), "%d bytes, end %q: %d events", length, end, len(events))
			require.Equal(t, []string{"1", "1"}, ids, "%d bytes, end %q", length, end)
			event = "id: 1" + end + data + end
			events, ids = readAllEvents(t, event)
			require.True(t, slices.Equal([]string{event}, events), "%d bytes, end %q: %d events", length, end, len(events))
			require.Equal(t, []string{"1"}, ids, "%d bytes, end %q", length, end)
		}
	}
}
