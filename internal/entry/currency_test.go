package entry

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// Guards against a 404 for a route that exists, from a daemon that knows that its configuration is old.
func TestDaemonThatMayBeBehindDoesNotDeny(t *testing.T) {
	for name, fallBehind := range map[string]func(n *Node, clock *clockwork.FakeClock){
		"a peer has a newer version": func(n *Node, _ *clockwork.FakeClock) {
			n.OnHeartbeat(peer.RoutesHeartbeat{Config: 4})
		},
		"an update was missed": func(n *Node, _ *clockwork.FakeClock) {
			n.OnStoreUpdate(peer.StoreUpdate{From: "127.0.1.1:1", List: noList, OperatorRead: 9, OperatorChanged: 9})
		},
		"no update for a long time": func(n *Node, clock *clockwork.FakeClock) { clock.Advance(10 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			n := newFleetNode(t, clock)
			n.setKnownState()
			require.Equal(t, http.StatusNotFound, askOnce(n).Code)
			fallBehind(n, clock)
			done := make(chan struct{})
			go func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(time.Millisecond):
						clock.Advance(newerConfigPoll)
					}
				}
			}()
			answer := askOnce(n)
			close(done)
			require.Equal(t, http.StatusServiceUnavailable, answer.Code)
			require.Contains(t, answer.Body.String(), string(fault.NotReady))
			require.NotEmpty(t, answer.Header().Get("Retry-After"))
		})
	}
}

// Guards against versions that nobody has any more, because the store was restored without them, and that
// keep daemons from denying for ever.
func TestNewerVersionIsForgottenUnlessTold(t *testing.T) {
	var c newerConfig
	now := time.Now()
	c.note(9, "a", now)
	c.note(4, "b", now.Add(time.Second))
	version, holder := c.newest(now.Add(2 * time.Second))
	require.EqualValues(t, 9, version)
	require.Equal(t, "a", holder)
	now = now.Add(newerConfigMemory + time.Millisecond)
	version, _ = c.newest(now)
	require.Zero(t, version)
	c.note(4, "b", now)
	version, _ = c.newest(now)
	require.EqualValues(t, 4, version)
}

// longManifest returns an encoded configuration with routes whose names do not compress well.
func longManifest(t *testing.T, version int64, routes int) []byte {
	t.Helper()
	m := wire.Manifest{Version: version}
	for range routes {
		var name [24]byte
		_, _ = rand.Read(name[:])
		m.Routes = append(m.Routes, wire.Route{Name: hex.EncodeToString(name[:8]), Host: "a.example", Prefix: "/" + hex.EncodeToString(name[8:]) + "/", RouteType: wire.KindSafe, Service: "s"})
	}
	data, err := json.Marshal(m)
	require.NoError(t, err)
	return data
}

// slowLink passes connections on to an address at a number of bytes a second, and returns its address.
func slowLink(t *testing.T, to string, bytesPerS int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(d, c); d.Close() }()
			go func() {
				defer c.Close()
				buffer := make([]byte, 8<<10)
				for {
					n, err := d.Read(buffer)
					time.Sleep(time.Second * time.Duration(n) / time.Duration(bytesPerS))
					if _, writeErr := c.Write(buffer[:n]); err != nil || writeErr != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a daemon that the store refuses and that never gets a long configuration from its peers,
// since it takes longer than a call over a slow link.
func TestLongConfigurationComesOverASlowLink(t *testing.T) {
	clock := clockwork.NewRealClock()
	holder, other := newFleetNode(t, clock), newFleetNode(t, clock)
	for _, n := range []*Node{holder, other} {
		n.setKnownState()
	}
	manifest := longManifest(t, 7, 8000)
	holder.applyManifest(manifest, "test")
	require.EqualValues(t, 7, holder.configVersion())
	packed, _ := holder.packed.of(manifest)
	server, err := peer.ListenRoutes("127.0.0.1:0", holder, nil, peer.Limits{})
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	perS := len(packed)
	require.Greater(t, time.Second*time.Duration(len(packed))/time.Duration(perS), peerCallTimeout, "longer than a call")
	address := slowLink(t, server.Address(), perS)
	other.syncFromPeer(t.Context(), address, peer.SyncRequest{Config: other.configVersion(), ConfigByParts: true})
	require.EqualValues(t, 7, other.configVersion())
}

// Guards against each daemon of a fleet reading a long configuration from the store: the readers send it
// packed, and those that get it are up to date.
func TestLongConfigurationIsSentPacked(t *testing.T) {
	clock := clockwork.NewFakeClock()
	reader, other := newFleetNode(t, clock), newFleetNode(t, clock)
	for _, n := range []*Node{reader, other} {
		n.setKnownState()
	}
	same := wire.Manifest{Version: 7}
	for range 5000 {
		same.Routes = append(same.Routes, wire.Route{Name: "r", Host: "a.example", Prefix: "/x/", RouteType: wire.KindSafe, Service: "s"})
	}
	manifest, err := json.Marshal(same)
	require.NoError(t, err)
	update := peer.StoreUpdate{From: "127.0.1.1:1", Manifest: manifest, List: noList, OperatorBase: 5, OperatorWhole: true, OperatorRead: 9, OperatorChanged: 9, Evacuated: other.evacuations.Checksum()}
	reader.fitManifest(&update, daemons)
	require.Empty(t, update.Manifest)
	require.False(t, update.OperatorWhole, "as daemons see it that do not know the packed form")
	require.Less(t, len(update.Packed), minSentManifest)
	other.OnStoreUpdate(update)
	require.EqualValues(t, 7, other.configVersion())
	require.False(t, other.behind.Load())
	require.True(t, other.configIsCurrent())
}
