package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
	"github.com/hornbeamsill/hornbeamsill/internal/readlimit/readlimittest"
)

const (
	endlessBytes = 256 << 20
	maxAllocated = 64 << 20
	// gigabyte begins a gob message of 1 GB.
	gigabyte = "\xfc\x3f\xff\xff\xff"
)

// encoded returns the gob encoding of values on one connection.
func encoded(t testing.TB, values ...any) string {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	for _, v := range values {
		require.NoError(t, enc.Encode(v))
	}
	return b.String()
}

// largeHandler answers with more than a call may carry.
type largeHandler struct{ echoHandler }

// OnSync implements RoutesHandler.
func (largeHandler) OnSync(SyncRequest) SyncReply {
	return SyncReply{Manifest: make([]byte, 2*maxRoutesBody)}
}

// Guards against a daemon that answers calls with more than fits into the memory of the caller.
func TestRepliesAreLimited(t *testing.T) {
	large, err := ListenRoutes("127.0.0.1:0", largeHandler{}, nil, Limits{})
	require.NoError(t, err)
	defer large.Close()
	reply := encoded(t, rpc.Response{ServiceMethod: "Routes.Beliefs", Seq: 0})
	for name, address := range map[string]string{
		"large":        large.Address(),
		"body":         readlimittest.Serve(t, reply+gigabyte, "\x00", endlessBytes),
		"header":       readlimittest.Serve(t, gigabyte, "\x00", endlessBytes),
		"error text":   readlimittest.Serve(t, encoded(t, rpc.Response{Error: strings.Repeat("e", 2*maxFrameHeader)}), "", 0),
		"many replies": readlimittest.Serve(t, reply, encoded(t, rpc.Response{ServiceMethod: "Routes.Beliefs", Seq: 7}), endlessBytes),
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var err error
			used := readlimittest.Allocated(func() { _, err = client.Sync(ctx, address, SyncRequest{}) })
			require.Error(t, err)
			require.NoError(t, ctx.Err())
			if name != "many replies" {
				var limited *readlimit.Error
				require.ErrorAs(t, err, &limited)
			}
			require.False(t, client.HasConnections())
			if name != "large" {
				// Allocations of the large answer itself count, too.
				require.Less(t, used, int64(maxAllocated))
			}
		})
	}
}

// Guards against a daemon that sends calls which fill the memory of the daemon that it calls.
func TestCallsAreLimited(t *testing.T) {
	server, err := ListenRoutes("127.0.0.1:0", echoHandler{}, NewGateway(1, &tunnelBed{t: t}), Limits{})
	require.NoError(t, err)
	defer server.Close()
	header := encoded(t, rpc.Request{ServiceMethod: "Routes.Beat", Seq: 0})
	for name, shape := range map[string][2]string{
		"header":         {gigabyte, "\x00"},
		"body":           {header + gigabyte, "\x00"},
		"unknown method": {encoded(t, rpc.Request{ServiceMethod: "Routes.None", Seq: 0}) + gigabyte, "\x00"},
		"method name":    {encoded(t, rpc.Request{ServiceMethod: strings.Repeat("m", 2*maxFrameHeader)}), ""},
		"tunnel request": {string([]byte{tunnelPreface}) + gigabyte, "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			used := readlimittest.Allocated(func() {
				conn, err := net.Dial("tcp", server.Address())
				require.NoError(t, err)
				defer conn.Close()
				require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
				_, err = io.WriteString(conn, shape[0])
				block := []byte(strings.Repeat(shape[1], 32<<10))
				for sent := 0; err == nil && sent < endlessBytes && len(block) > 0; sent += len(block) {
					_, err = conn.Write(block)
				}
				// The server must close the connection.
				_, readErr := io.Copy(io.Discard, conn)
				if readErr != nil {
					require.NotContains(t, readErr.Error(), "timeout")
				}
			})
			require.Less(t, used, int64(maxAllocated))
		})
	}
}

// blockingHandler counts the heartbeats that it handles at once, until it is released.
type blockingHandler struct {
	RoutesHandler
	running atomic.Int64
	release chan struct{}
}

// OnHeartbeat implements RoutesHandler.
func (h *blockingHandler) OnHeartbeat(b RoutesHeartbeat) RoutesHeartbeat {
	h.running.Add(1)
	<-h.release
	return b
}

// Guards against calls without an end on one connection, or on several, each of which takes memory until it is answered.
func TestCallsAtOnceAreLimited(t *testing.T) {
	for name, c := range map[string]struct {
		conns  int
		limits Limits
	}{
		"one connection":      {1, Limits{}},
		"several connections": {3, Limits{MessageBytes: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			handler := &blockingHandler{release: make(chan struct{})}
			server, err := ListenRoutes("127.0.0.1:0", handler, nil, c.limits)
			require.NoError(t, err)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			done := make(chan error)
			for range c.conns {
				client := NewClient(nil)
				defer client.Close()
				for range 2 * maxCalls {
					go func() {
						_, err := client.RoutesHeartbeat(ctx, server.Address(), RoutesHeartbeat{Digest: 7})
						done <- err
					}()
				}
			}
			require.Eventually(t, func() bool { return handler.running.Load() >= maxCalls }, 10*time.Second, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			require.LessOrEqual(t, handler.running.Load(), int64(maxCalls))
			close(handler.release)
			for range c.conns * 2 * maxCalls {
				require.NoError(t, <-done)
			}
		})
	}
}

// Guards against a gateway whose answer has no end.
func TestTunnelRepliesAreLimited(t *testing.T) {
	address := readlimittest.Serve(t, gigabyte, "\x00", endlessBytes)
	var err error
	used := readlimittest.Allocated(func() {
		_, err = OpenTunnel(t.Context(), member.Daemon{PeerAddress: address}, TunnelRequest{})
	})
	var limited *readlimit.Error
	require.ErrorAs(t, err, &limited)
	require.Less(t, used, int64(maxAllocated))
}

// Guards against limits that the messages of a large fleet come near to.
func TestLargeFleetIsFarFromTheLimit(t *testing.T) {
	var members []member.Daemon
	for i := range 1300 {
		members = append(members, member.Daemon{
			Incarnation: fmt.Sprintf("entry-%d/1234567890123456", i), PeerAddress: "10.100.200.30:8229", CallerURL: "http://10.100.200.30:8227",
			FailureDomain: "a-failure-domain", Site: "a-site", LinkMbps: 1000, CPUShare: 0.4, MemoryMB: 284, Started: 1_800_000_000_000, Version: 1 << 40,
			CutOff: []string{"a-service", "another-service"},
		})
	}
	var instances []inventory.Instance
	for i := range 10_000 {
		instances = append(instances, inventory.Instance{
			ID: fmt.Sprintf("instance-%d", i), Born: 1_800_000_000_000, Service: "a-service", Address: "10.100.200.30:8227",
			FailureDomain: "a-failure-domain", Version: "a-version", Slots: 100,
		})
	}
	require.Less(t, 4*len(encoded(t, SyncReply{Members: members})), maxRoutesBody)
	require.Less(t, 4*len(encoded(t, ListPart{Instances: PackInstances(instances)})), maxRoutesBody)
}

// Guards against a listener for daemons that is full of clients which are none, or whose unfinished messages take all
// memory for messages.
func TestDaemonsDisplaceUnfinishedCalls(t *testing.T) {
	const conns = 4
	for name, c := range map[string]struct {
		// length is that of the unfinished messages in gob.
		length []byte
		// evicted is the least number of connections that must make room; those for whose message there is no memory
		// end by themselves.
		evicted int64
	}{
		"short": {[]byte{100}, 2 * conns},
		"7 MB":  {[]byte{253, 0x6a, 0, 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := ListenRoutes("127.0.0.1:0", echoHandler{}, nil, Limits{MaxConns: conns, MessageBytes: 1})
			require.NoError(t, err)
			defer server.Close()
			var unfinished bytes.Buffer
			require.NoError(t, gob.NewEncoder(&unfinished).Encode(rpc.Request{ServiceMethod: "Routes.Beat", Seq: 1}))
			unfinished.Write(c.length)
			for range 3 * conns {
				conn, err := net.Dial("tcp", server.Address())
				require.NoError(t, err)
				defer conn.Close()
				_, err = conn.Write(unfinished.Bytes())
				require.NoError(t, err)
			}
			require.Eventually(t, func() bool { return server.Evicted.Load() >= c.evicted }, 10*time.Second, time.Millisecond)
			client := NewClient(nil)
			defer client.Close()
			for _, length := range []int{1, 7 << 20} {
				require.Eventually(t, func() bool {
					_, err := client.RoutesHeartbeat(t.Context(), server.Address(), RoutesHeartbeat{From: member.Daemon{Incarnation: strings.Repeat("i", length)}})
					return err == nil
				}, 10*time.Second, 50*time.Millisecond)
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			require.LessOrEqual(t, len(server.conns), conns)
		})
	}
}

// Guards against clients that keep all connections of the listener with a whole call and another one that does not end.
func TestDaemonsDisplaceUnfinishedSecondCalls(t *testing.T) {
	const conns = 4
	server, err := ListenRoutes("127.0.0.1:0", echoHandler{}, nil, Limits{MaxConns: conns})
	require.NoError(t, err)
	defer server.Close()
	calls := encoded(t, rpc.Request{ServiceMethod: "Routes.Beat", Seq: 1}, RoutesHeartbeat{Digest: 1}, rpc.Request{ServiceMethod: "Routes.Beat", Seq: 2}, RoutesHeartbeat{Digest: 2})
	for range conns {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, calls[:len(calls)-1])
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		unfinished := 0
		for c := range server.conns {
			if c.proven.Load() && c.running.Load() == 1 {
				unfinished++
			}
		}
		return unfinished == conns
	}, 10*time.Second, time.Millisecond)
	client := NewClient(nil)
	defer client.Close()
	require.Eventually(t, func() bool {
		_, err := client.RoutesHeartbeat(t.Context(), server.Address(), RoutesHeartbeat{})
		return err == nil
	}, 10*time.Second, 50*time.Millisecond)
	require.Positive(t, server.Evicted.Load())
}
