package forward

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

// plainCodec passes all headers on.
type plainCodec struct{ Codec }

func (plainCodec) CallerHeaders(h http.Header) http.Header { return h }

// Guards against a part of an answer that looks complete, because the daemon ends the answer of a
// caller that it aborts between two writes as if it were whole.
func TestAbortedCallerGetsNoCompleteAnswer(t *testing.T) {
	held := limit.NewHeldBytes(64 << 10)
	q := &request{
		Handler: New(Deps{Codec: plainCodec{}, Held: held, Metrics: NewMetrics()}), w: httptest.NewRecorder(), route: &catalog.Route{}, deadline: time.Now().Add(time.Minute),
	}
	aborted := false
	q.held = held.Open(func() { aborted = true })
	now := time.Now()
	require.True(t, q.held.Grow(32<<10, now))
	require.NoError(t, q.write(make([]byte, 100), false))
	q.held.BeginWait(now.Add(-time.Second))
	require.True(t, held.Open(func() {}).Grow(50<<10, now))
	require.True(t, aborted)
	err := q.sendAnswer(&answer{status: http.StatusOK, body: [][]byte{make([]byte, 100)}})
	require.True(t, fault.Is(err, fault.Cancelled))
	require.EqualValues(t, 1, q.Metrics.AbortedCallers.Load())
}

// Guards against answers in memory that are changed when they are read in pieces, at the sizes at
// which pieces and the buffer end, and against bytes that stay counted.
func TestReadPieces(t *testing.T) {
	for _, size := range []int{0, 1, firstPiece, firstPiece + 1, firstPiece + writeBytes, maxBufferedAnswer - 1, maxBufferedAnswer, maxBufferedAnswer + 1} {
		held := limit.NewHeldBytes(1 << 20)
		q := &request{r: httptest.NewRequest(http.MethodGet, "/", nil)}
		q.held = held.Open(func() {})
		text := bytes.Repeat([]byte("abc"), size/3+1)[:size]
		pieces, err := q.readPieces(bytes.NewReader(text))
		require.Equal(t, size >= maxBufferedAnswer, err == nil, "%d bytes", size)
		got := bytes.Join(pieces, nil)
		require.True(t, bytes.Equal(text[:min(size, maxBufferedAnswer)], got))
		require.Equal(t, len(got), held.Used())
		q.releaseAnswer(pieces)
		require.Zero(t, held.Used())
	}
}
