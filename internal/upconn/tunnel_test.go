package upconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testRefusal is an error of a gateway that has passed nothing on.
type testRefusal struct{ ofInstance bool }

func (testRefusal) Error() string        { return "refused" }
func (testRefusal) NotPassedOn()         {}
func (r testRefusal) IsOfInstance() bool { return r.ofInstance }

// refusableTunnel is a tunnel whose gateway refuses requests if refusal is set.
type refusableTunnel struct {
	plainTunnel
	refusal error
}

func (t *refusableTunnel) BeginRequest(string) error { return t.refusal }

func (t *refusableTunnel) SyscallConn() (syscall.RawConn, error) {
	return t.Conn.(syscall.Conn).SyscallConn()
}

func (t *refusableTunnel) Read(p []byte) (int, error) {
	if t.refusal != nil {
		return 0, t.refusal
	}
	return t.plainTunnel.Read(p)
}

// refusablePaths opens tunnels. The gateways of all of them refuse requests from the time of refuseAll on, and
// those opened later if refusesNew is set.
type refusablePaths struct {
	countingPaths
	opened     []*refusableTunnel
	refusesNew error
}

func (*refusablePaths) Tunneled(string) (since time.Time, ok bool) { return time.Time{}, true }

func (p *refusablePaths) OpenTunnel(_ context.Context, to Target) (Tunnel, error) {
	c, err := net.Dial("tcp", to.Address)
	t := &refusableTunnel{plainTunnel{c}, p.refusesNew}
	p.opened = append(p.opened, t)
	return t, err
}

func (p *refusablePaths) refuseAll(err error) {
	for _, t := range p.opened {
		t.refusal = err
	}
}

// Guards against requests that fail because the only known gateway stops: it refuses them on idle tunnels, and
// each instance counted as tried although none had been asked.
func TestStoppingGatewayIsReplacedByAnother(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for name, c := range map[string]struct {
		refusal, refusesNew error
		tunnels             int
		isSent              bool
	}{
		"another gateway":         {testRefusal{}, nil, 3, true},
		"no other gateway":        {testRefusal{}, testRefusal{}, 3, false},
		"refusal of the instance": {testRefusal{ofInstance: true}, nil, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			paths := &refusablePaths{}
			pool := NewPool(NewDialer(), paths)
			send := func(withdrawn func() bool) error {
				r := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: noHeader, IsWithdrawn: withdrawn}
				x, err := pool.Do(t.Context(), Target{Address: server.Listener.Addr().String()}, 0, r, func(int, http.Header) bool { return true })
				if err == nil {
					x.Close()
				}
				return err
			}
			// Two tunnels are opened at a time, and kept unused.
			require.ErrorIs(t, send(func() bool {
				require.ErrorIs(t, send(func() bool { return true }), ErrWithdrawn)
				return true
			}), ErrWithdrawn)
			paths.refuseAll(c.refusal)
			paths.refusesNew = c.refusesNew
			err := send(nil)
			require.Len(t, paths.opened, c.tunnels)
			require.Equal(t, c.isSent, err == nil, "%v", err)
			require.Equal(t, !c.isSent, NotSent(err))
		})
	}
}
