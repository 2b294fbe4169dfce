package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// echoHandler returns each heartbeat to its sender and ignores roll-out states.
type echoHandler struct{ RoutesHandler }

// OnHeartbeat implements RoutesHandler.
func (echoHandler) OnHeartbeat(b RoutesHeartbeat) RoutesHeartbeat { return b }

// OnRolloutState implements RoutesHandler.
func (echoHandler) OnRolloutState(shift.State) {}

// Client and server must count each frame under its method, with the same number of bytes.
// Operators use these counters to find out which calls fill the link of a daemon.
func TestTrafficCountedByMethod(t *testing.T) {
	server, err := ListenRoutes("127.0.0.1:0", echoHandler{}, nil, Limits{})
	require.NoError(t, err)
	defer server.Close()
	client := NewClient(nil)
	defer client.Close()
	for range 3 {
		_, err = client.RoutesHeartbeat(context.Background(), server.Address(), RoutesHeartbeat{Digest: 7})
		require.NoError(t, err)
	}
	require.NoError(t, client.SendRolloutState(context.Background(), server.Address(), shift.State{Service: "s"}))

	called := client.Traffic().ByMethod()
	require.Equal(t, int64(3), called["Routes.Beat"].Calls)
	require.Equal(t, int64(1), called["Routes.State"].Calls)
	for method, c := range called {
		require.Positive(t, c.Sent, method)
		// The server counts a reply after writing it, so the client may have read it before.
		require.EventuallyWithT(t, func(t *assert.CollectT) {
			s := server.Traffic().ByMethod()[method]
			assert.Equal(t, c.Calls, s.Calls, method)
			assert.Equal(t, c.Sent, s.Received, method)
			assert.Equal(t, c.Received, s.Sent, method)
		}, 10*time.Second, time.Millisecond)
	}
}

// Guards against calls that hang because the peer accepts a connection and does not read from
// it, as if its network link were cut. A large frame fills the socket buffers; without a write
// deadline the call then blocks the heartbeat round, and the other daemons suspect this daemon
// as well as the peer.
func TestCallTimesOutWhenPeerDoesNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	const frameBytes = 64 << 20
	err = client.SendStoreUpdate(ctx, listener.Addr().String(), StoreUpdate{Manifest: make([]byte, frameBytes)})
	require.Error(t, err)
}

// failingListener fails the first call of Accept, as if the process had no descriptors left for a
// moment.
type failingListener struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Guards against a daemon that hears nothing from its peers until it is restarted, because it
// could not accept one connection.
func TestServerAcceptsAfterAnError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, err := serve(&failingListener{Listener: listener}, routesName, &routesService{handler: echoHandler{}}, nil, Limits{})
	require.NoError(t, err)
	defer server.Close()
	client := NewClient(nil)
	defer client.Close()
	_, err = client.RoutesHeartbeat(t.Context(), server.Address(), RoutesHeartbeat{Digest: 7})
	require.NoError(t, err)
}
