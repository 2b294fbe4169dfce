package upconn

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against sending a request to an instance that was withdrawn after it was chosen,
// while the connection was being established.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	pool := NewPool()
	withdrawn := true
	send := func() error {
		r := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, IsWithdrawn: func() bool { return withdrawn }}
		x, err := pool.Do(context.Background(), server.Listener.Addr().String(), 0, r, func(int, http.Header) bool { return true })
		if err == nil {
			x.Close()
		}
		return err
	}
	err := send()
	require.ErrorIs(t, err, ErrWithdrawn)
	require.True(t, NotSent(err))
	require.Zero(t, arrived.Load())

	withdrawn = false
	require.NoError(t, send())
	require.EqualValues(t, 1, arrived.Load())
	require.EqualValues(t, 1, pool.Dials(), "the connection was kept")
}
