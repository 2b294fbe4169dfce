package entry

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/reach"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// lateCopy is an answer that belongs to no request, or to an earlier one.
type lateCopy struct {
	status int
	// framing is the headers and body after the others.
	framing string
	// ids returns the values of X-Request-Id, given the IDs of the first request on the connection and
	// of the one that is open.
	ids func(first, open string) []string
	// when is the moment at which it is sent.
	when string
}

const (
	beforeRequest = "before"
	duringRequest = "during"
	afterRequest  = "after"

	openID = "open"
)

func (c lateCopy) text(first string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d Late\r\n%s: x\r\n", c.status, wire.HeaderSeal)
	if c.status != http.StatusOK && c.status != http.StatusInternalServerError {
		fmt.Fprintf(&b, "%s: 1\r\n", wire.HeaderNotExecuted)
	}
	for _, id := range c.ids(first, openID) {
		fmt.Fprintf(&b, "%s: %s\r\n", wire.HeaderRequestID, id)
	}
	return b.String() + c.framing
}

// lateServers are the servers of a service that send a late copy on each connection which they use
// again for the request openID.
type lateServers struct {
	t    *testing.T
	copy lateCopy

	mu   sync.Mutex
	runs map[string]int
	// used has the servers that have run a request.
	used map[string]bool
}

var lateServerIDs = []string{"a", "b"}

func (s *lateServers) usedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.used)
}

// start starts a server and returns its address.
func (s *lateServers) start(id string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(id, c)
		}
	}()
	return listener.Addr().String()
}

func (s *lateServers) serve(id string, c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	first := ""
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		request := r.Header.Get(wire.HeaderRequestID)
		send := func(when string) {
			if n > 0 && s.copy.when == when && request == openID {
				// The daemon may have closed the connection.
				_, _ = io.WriteString(c, s.copy.text(first))
			}
		}
		status := http.StatusOK
		if expected := r.Header.Get(wire.HeaderExpectInstance); expected != "" && expected != id {
			status = http.StatusMisdirectedRequest
		} else {
			s.mu.Lock()
			s.runs[request]++
			s.used[id] = true
			s.mu.Unlock()
		}
		send(duringRequest)
		_, _ = io.Copy(io.Discard, r.Body)
		send(afterRequest)
		head := fmt.Sprintf("HTTP/1.1 %d Answer\r\n%s: x\r\n", status, wire.HeaderSeal)
		if request == "" {
			head += fmt.Sprintf("%s: %s\r\n", wire.HeaderInstance, id)
		} else {
			head += fmt.Sprintf("%s: %s\r\n", wire.HeaderRequestID, request)
		}
		body := "answer to " + request
		if r.URL.Path == wire.PathEngineReport {
			body = "{}"
		}
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		if n == 0 {
			first = request
			if s.copy.when == beforeRequest {
				_, _ = io.WriteString(c, s.copy.text(first))
			}
		}
	}
}

// newLateNode returns a daemon before two late servers, and serves an unsafe route. If tunneled is set,
// it reaches them only through another daemon.
func newLateNode(t *testing.T, s *lateServers, tunneled bool) *Node {
	var changes []inventory.Change
	for _, id := range lateServerIDs {
		changes = append(changes, inventory.Change{Instance: &inventory.Instance{ID: id, Service: tunnelService, Address: s.start(id), Version: "v", Slots: 4}})
	}
	n := newTestNode(clockwork.NewRealClock(), func(r *settings.Routes) { r.RetrySlack = 10 })
	n.table.Apply(changes, 1, time.Time{})
	n.evacuations.Replace(nil, 1)
	n.installConfig(catalog.New(catalog.Declared{
		Version:  1,
		Services: []catalog.Service{{Name: tunnelService}},
		Routes: []catalog.Route{{
			Name: "pay", Host: "h", Prefix: "/", Kind: catalog.Unsafe, Backends: []catalog.Backend{{Service: tunnelService, Weight: 1}},
			Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 1, Public: true,
		}},
	}), nil, "test")
	if !tunneled {
		return n
	}
	g := newTestNode(clockwork.NewRealClock(), nil)
	g.table.Apply(changes, 1, time.Time{})
	g.registry.Merge([]member.Daemon{{Incarnation: n.registry.Self().Incarnation, PeerAddress: "127.0.0.1:1", FailureDomain: "a"}})
	server, err := peer.ListenRoutes("127.0.0.1:0", g, g.gateway, peer.Limits{})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	cutOff(n)
	own := g.registry.Self()
	n.paths.setGateways(tunnelService, []gateway{{Daemon: member.Daemon{Incarnation: own.Incarnation, PeerAddress: server.Address()}, Gateway: reach.Gateway{Free: 100, Limit: 100}}})
	return n
}

func serveUnsafe(n *Node, ids ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/one", strings.NewReader(strings.Repeat("x", 1<<10)))
	r.Host = "h"
	r.Header[wire.HeaderRequestID] = ids
	w := httptest.NewRecorder()
	n.handler.ServeHTTP(w, r)
	return w
}

// Guards against a late answer to an earlier exchange that is taken for the answer to a request: "not
// run" would make the daemon send an unsafe request to a second server, and a 421 would make all
// daemons take a sound server for one that is leaving.
func TestLateAnswerIsNotTheAnswer(t *testing.T) {
	const text = "late text"
	framings := map[string]string{
		"no body":   "Content-Length: 0\r\n\r\n",
		"length":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text),
		"no length": "\r\n" + text,
	}
	ids := map[string]func(first, open string) []string{
		"earlier id": func(first, _ string) []string { return []string{cmp.Or(first, "earlier")} },
		"empty id":   func(string, string) []string { return []string{""} },
		"no id":      func(string, string) []string { return nil },
		"two ids":    func(first, open string) []string { return []string{open, first} },
	}
	type exchange struct {
		tunneled bool
		do       func(s *lateServers, n *Node)
	}
	toEach := func(do func(n *Node, i inventory.Instance) error) func(*lateServers, *Node) {
		return func(s *lateServers, n *Node) {
			for _, id := range lateServerIDs {
				i, _ := n.table.Get(id)
				require.NoError(s.t, do(n, i))
			}
		}
	}
	requests := func(s *lateServers, n *Node) {
		for i := 0; s.usedCount() < len(lateServerIDs); i++ {
			require.Less(s.t, i, 100)
			serveUnsafe(n, fmt.Sprint("earlier-", i))
		}
	}
	engines := platform.NewEngines()
	earlier := map[string]exchange{
		"check": {do: toEach(func(n *Node, i inventory.Instance) error {
			_, err := n.checkInstance(context.Background(), targetOf(i))
			return err
		})},
		"report": {do: toEach(func(_ *Node, i inventory.Instance) error {
			_, err := engines.Load(context.Background(), i.Address)
			return err
		})},
		"request": {do: requests},
		"tunnel":  {do: requests, tunneled: true},
	}
	for exchangeName, first := range earlier {
		for framingName, framing := range framings {
			for idsName, idsOf := range ids {
				for _, status := range []int{200, 421, 429, 503, 500} {
					for _, when := range []string{beforeRequest, duringRequest, afterRequest} {
						t.Run(fmt.Sprint(exchangeName, "/", framingName, "/", idsName, "/", status, "/", when), func(t *testing.T) {
							s := &lateServers{t: t, copy: lateCopy{status: status, framing: framing, ids: idsOf, when: when}, runs: map[string]int{}, used: map[string]bool{}}
							n := newLateNode(t, s, first.tunneled)
							first.do(s, n)
							w := serveUnsafe(n, openID)
							s.mu.Lock()
							runs := s.runs[openID]
							s.mu.Unlock()
							if w.Code == http.StatusOK || framingName != "no length" {
								require.Equal(t, http.StatusOK, w.Code)
								require.Equal(t, "answer to "+openID, w.Body.String())
								require.Equal(t, 1, runs)
							} else {
								require.Equal(t, http.StatusBadGateway, w.Code, "it may have run")
								require.LessOrEqual(t, runs, 1)
							}
							require.Empty(t, n.table.RecentlyLeaving())
						})
					}
				}
			}
		}
	}
}

// Guards against sending a request on whose answer cannot be told from others.
func TestRequestWithoutOneIDIsNotSent(t *testing.T) {
	s := &lateServers{t: t, runs: map[string]int{}, used: map[string]bool{}}
	n := newLateNode(t, s, false)
	for _, ids := range [][]string{nil, {""}, {"r-1", "r-2"}} {
		require.Equal(t, http.StatusBadRequest, serveUnsafe(n, ids...).Code)
	}
	require.Zero(t, s.usedCount())
	require.Zero(t, n.pool.Dials())
}
