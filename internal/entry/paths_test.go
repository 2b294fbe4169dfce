package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/reach"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

const tunnelService = "engines"

// newGatewayNode returns a daemon that knows another one, "user", and an instance, "a", which listens.
func newGatewayNode(t *testing.T) *Node {
	n := newTestNode(clockwork.NewRealClock(), nil)
	n.registry.Merge([]member.Daemon{{Incarnation: "user", PeerAddress: "127.0.0.1:1", FailureDomain: "a"}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	n.table.Apply([]inventory.Change{{Instance: &inventory.Instance{ID: "a", Service: tunnelService, Address: listener.Addr().String(), Version: "v", Slots: 4}}}, 1, time.Time{})
	return n
}

// Guards against callers that use the way between daemons, a gateway that sends to an instance which
// it knows to be leaving, and one that is cut off itself.
func TestGatewayChecksTunnels(t *testing.T) {
	n := newGatewayNode(t)
	own := n.registry.Self().Incarnation
	open := func(r peer.TunnelRequest) peer.TunnelError {
		conn, refused := n.ConnectTunnel(r)
		if conn != nil {
			conn.Close()
		}
		require.Equal(t, refused == "", conn != nil)
		return refused
	}
	request := peer.TunnelRequest{From: "user", To: own, Service: tunnelService, Instance: "a"}
	require.Empty(t, open(request))

	stranger, misled := request, request
	stranger.From, misled.To = "caller", "another"
	require.Equal(t, peer.TunnelDenied, open(stranger))
	require.Equal(t, peer.TunnelDenied, open(misled))
	otherService, unknown := request, request
	otherService.Service, unknown.Instance = "catalogue", "b"
	require.Equal(t, peer.TunnelWithdrawn, open(otherService))
	require.Equal(t, peer.TunnelWithdrawn, open(unknown))

	n.leaving.Store(true)
	require.Equal(t, peer.TunnelStopping, open(request))
	n.leaving.Store(false)
	i, _ := n.table.Get("a")
	n.table.NoteLeaving(i.Incarnation())
	require.Equal(t, peer.TunnelWithdrawn, n.MayPass(request), "also for requests on an open tunnel")

	cut := newGatewayNode(t)
	cutOff(cut)
	request.To = cut.registry.Self().Incarnation
	require.Equal(t, peer.TunnelCutOff, cut.MayPass(request))
	require.True(t, cut.OnReach(peer.ReachRequest{Service: tunnelService}).CutOff)
}

// Guards against a daemon that takes an accepted connection for a sign of life: the listener's kernel
// accepts although the process stands still.
func TestAcceptedConnectionReachesNoInstance(t *testing.T) {
	n := newGatewayNode(t)
	reply := n.OnReach(peer.ReachRequest{Service: tunnelService, Instances: []string{"a"}})
	require.False(t, reply.Reached)
	require.False(t, reply.Refused)
}

// Guards against a daemon that tells another one that an instance lives, or is reached, because another
// instance answers at its address or has answered before, and against a check that is left out though
// it was asked for anew.
func TestOnlyTheInstanceItselfIsReached(t *testing.T) {
	for name, c := range map[string]struct {
		id                          string
		reached, confirmed, refused bool
	}{
		"itself":    {id: "a", reached: true, confirmed: true},
		"successor": {id: "b", refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(clockwork.NewRealClock(), nil)
			var asked atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				asked.Add(1)
				w.Header().Set(wire.HeaderInstance, c.id)
				w.WriteHeader(http.StatusMisdirectedRequest)
			}))
			defer server.Close()
			n.table.Apply([]inventory.Change{{Instance: &inventory.Instance{ID: "a", Service: tunnelService, Address: server.Listener.Addr().String(), Version: "v", Slots: 4}}}, 1, time.Time{})
			target := upconn.Target{Address: server.Listener.Addr().String(), Service: tunnelService, Instance: "a"}
			for _, anew := range []bool{true, false, true} {
				if c.reached && !anew {
					// A connection is not kept if its answer comes before its writer has returned.
					require.Eventually(t, func() bool {
						n.OnReach(peer.ReachRequest{Service: tunnelService, Instances: []string{"a"}, Anew: true})
						return n.pool.ReachedSince(target, time.Now().Add(-reachedRecently/2))
					}, 10*time.Second, time.Millisecond)
				}
				before := asked.Load()
				reply := n.OnReach(peer.ReachRequest{Service: tunnelService, Instances: []string{"a"}, Anew: anew})
				require.Equal(t, c.reached, reply.Reached)
				require.Equal(t, c.refused, reply.Refused)
				require.Equal(t, c.confirmed && anew, reply.Confirmed)
				require.Equal(t, anew || !c.reached, asked.Load() > before)
			}
		})
	}
}

// reachPeer is another daemon that answers questions with a fixed reply.
type reachPeer struct {
	peer.RoutesHandler
	reply peer.ReachReply
}

func (p reachPeer) OnReach(peer.ReachRequest) peer.ReachReply { return p.reply }

// Guards against a daemon that believes another one that any answer is a sign of life, as those of
// earlier builds do.
func TestWordOfOtherDaemonsOnAnInstance(t *testing.T) {
	for name, c := range map[string]struct {
		reply peer.ReachReply
		want  upconn.Liveness
	}{
		"alive":         {peer.ReachReply{Reached: true, Confirmed: true}, upconn.Alive},
		"earlier build": {peer.ReachReply{Reached: true}, upconn.Unknown},
		"ended":         {peer.ReachReply{Refused: true}, upconn.Ended},
		"cut off":       {peer.ReachReply{CutOff: true}, upconn.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			n := newGatewayNode(t)
			cutOff(n)
			server, err := peer.ListenRoutes("127.0.0.1:0", reachPeer{reply: c.reply}, nil, peer.Limits{})
			require.NoError(t, err)
			defer server.Close()
			n.registry.Merge([]member.Daemon{{Incarnation: "other", PeerAddress: server.Address(), FailureDomain: "a"}})
			i, _ := n.table.Get("a")
			require.Equal(t, c.want, n.paths.SignOfLife(t.Context(), i).Liveness)
		})
	}
}

// cutOff makes a daemon believe that it is cut off from tunnelService.
func cutOff(n *Node) {
	n.paths.NoteFailure(upconn.Target{Service: tunnelService, Instance: "a"}, upconn.Link{})
	n.paths.NoteFailure(upconn.Target{Service: tunnelService, Instance: "b"}, upconn.Link{})
	n.paths.tracker.BeginCheck(tunnelService)
	n.paths.tracker.EndCheck(tunnelService, 1)
}

// Guards against gateways in a large fleet that are all asked, or all used, by every daemon of a
// failure domain that is cut off, and against daemons that ask others that are cut off, too.
func TestGatewaysAreSpreadOverALargeFleet(t *testing.T) {
	for _, size := range []int{8, 70, 195} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			used := map[string]int{}
			n := newTestNode(clockwork.NewFakeClock(), func(r *settings.Routes) { r.FailureDomain = "domain-0" })
			var fleet []member.Daemon
			for i := range size - 1 {
				d := member.Daemon{Incarnation: fmt.Sprint("daemon-", i), PeerAddress: fmt.Sprint("h:", i), FailureDomain: fmt.Sprint("domain-", i%3)}
				if i%3 == 0 {
					d.CutOff = []string{tunnelService}
				}
				fleet = append(fleet, d)
			}
			n.registry.Merge(fleet)
			asking := size / 3
			for range asking {
				asked := n.paths.peersToAsk(tunnelService, nil, askedPeers)
				require.LessOrEqual(t, len(asked), askedPeers)
				require.GreaterOrEqual(t, len(asked), min(askedPeers, size/2))
				for _, d := range asked {
					require.NotEqual(t, "domain-0", d.FailureDomain)
					used[d.Incarnation]++
				}
			}
			most := 0
			for _, n := range used {
				most = max(most, n)
			}
			mean := float64(asking*askedPeers) / float64(size-1-asking)
			require.LessOrEqual(t, float64(most), 5*mean+2)
		})
	}
}

// Guards against a gateway that is chosen again although it has refused, or has gone.
func TestGatewaysThatRefuseAreDropped(t *testing.T) {
	n := newTestNode(clockwork.NewFakeClock(), nil)
	all := []gateway{}
	for i := range 3 {
		all = append(all, gateway{Daemon: member.Daemon{Incarnation: fmt.Sprint(i)}, Gateway: reach.Gateway{Free: 2, Limit: 2}})
	}
	n.paths.setGateways(tunnelService, all)
	n.paths.dropGateway(tunnelService, "0", false)
	n.paths.dropGateway(tunnelService, "1", true)
	for range 2 {
		d, _, ok := n.paths.takeGateway(tunnelService, nil)
		require.True(t, ok)
		require.Equal(t, "2", d.Incarnation)
	}
	_, busy, ok := n.paths.takeGateway(tunnelService, nil)
	require.False(t, ok)
	require.True(t, busy)
	_, busy, ok = n.paths.takeGateway(tunnelService, map[string]bool{"1": true, "2": true})
	require.False(t, ok || busy)
}
