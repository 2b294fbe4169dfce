package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// echoPeer answers heartbeats with themselves and takes in states.
type echoPeer struct{ RoutesHandler }

// OnBeat implements RoutesHandler.
func (echoPeer) OnBeat(b Beat) Beat { return b }

// OnState implements RoutesHandler.
func (echoPeer) OnState(shift.State) {}

// An operator sees callers' answers late and asks what fills a daemon's link. Both
// ends count each frame under the kind of its call, and count the same bytes.
func TestTrafficIsCountedByKind(t *testing.T) {
	server, err := ListenRoutes("127.0.0.1:0", echoPeer{})
	require.NoError(t, err)
	defer server.Close()
	client := NewClient(nil)
	defer client.Close()
	for range 3 {
		_, err = client.Beat(context.Background(), server.Address(), Beat{Digest: 7})
		require.NoError(t, err)
	}
	require.NoError(t, client.State(context.Background(), server.Address(), shift.State{Service: "s"}))

	called := client.Traffic().Kinds()
	require.Equal(t, int64(3), called["Routes.Beat"].Calls)
	require.Equal(t, int64(1), called["Routes.State"].Calls)
	for kind, c := range called {
		require.Positive(t, c.Sent, kind)
		// The server counts an answer once it is written, which the caller may read first.
		require.EventuallyWithT(t, func(t *assert.CollectT) {
			s := server.Traffic().Kinds()[kind]
			assert.Equal(t, c.Calls, s.Calls, kind)
			assert.Equal(t, c.Sent, s.Received, kind)
			assert.Equal(t, c.Received, s.Sent, kind)
		}, 10*time.Second, time.Millisecond)
	}
}

// A peer accepts a connection and then reads nothing, as one does whose link is
// cut. A large frame fills the buffers on the way, and the call did not come back:
// it held the round of heartbeats that waited for it, so that the other daemons took
// this one for dead as well.
func TestCallToAPeerThatDoesNotReadEnds(t *testing.T) {
	deaf, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer deaf.Close()
	client := NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	const tooMuch = 64 << 20
	err = client.News(ctx, deaf.Addr().String(), News{Manifest: make([]byte, tooMuch)})
	require.Error(t, err)
}
