package routes_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// endlessID is the ID of an endlessServer.
const endlessID = "endless"

// endlessServer answers status checks, and requests with bodies that have no end. closed gets the
// time at which each connection of a request was closed.
type endlessServer struct {
	address string
	closed  chan time.Time
	// running is the number of requests that are being answered.
	running atomic.Int64
}

func startEndlessServer(t *testing.T) *endlessServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &endlessServer{address: listener.Addr().String(), closed: make(chan time.Time, 1000)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.answer(c)
		}
	}()
	return s
}

func (s *endlessServer) answer(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if r.URL.Path != pathSafe {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.HeaderInstance, endlessID)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n\r\n", wire.HeaderInstance, endlessID,
		wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID), wire.HeaderSeal, platformtest.Seal("a"))
	for block := strings.Repeat("a", 32<<10); err == nil; {
		_, err = io.WriteString(c, block)
	}
	s.closed <- time.Now()
}

// readEndless opens a call for an answer without an end, passes the outcome to onOpen, and if that
// returns true reads until the call is canceled. paced makes it read slowly.
func (s *testbed) readEndless(ctx context.Context, d *daemon, paced bool, onOpen func(error) bool) error {
	c := s.newCall(pathSafe)
	c.Timeout = cluster.WaitTimeout
	resp, err := c.Open(ctx, s.client, d.callerAddress)
	if err == nil {
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("answered %d", resp.StatusCode)
		}
	}
	if !onOpen(err) {
		return err
	}
	for block := make([]byte, 16<<10); err == nil; {
		if _, err = resp.Body.Read(block); paced {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return err
}

// forgetEnded waits until no request is being answered, and empties closed. A request of the setup may have reached the
// server although its caller got an error.
func (s *endlessServer) forgetEnded(b *testbed) {
	b.t.Helper()
	b.eventually(func() error {
		if n := s.running.Load(); n > 0 {
			return fmt.Errorf("%d requests are being answered", n)
		}
		return nil
	})
	for len(s.closed) > 0 {
		<-s.closed
	}
}

// requireCutOff returns an error until a daemon knows that it is cut off from both services, and
// serves streams through another daemon.
func (s *testbed) requireCutOff(d *daemon) error {
	reply := s.send(s.newCall(pathStream), d)
	if reply.Status != http.StatusOK {
		return fmt.Errorf("answered %d", reply.Status)
	}
	for _, service := range []string{plainService, engineService} {
		if !d.logsContain("service.cut_off", "service="+service) {
			return fmt.Errorf("not cut off from %s yet", service)
		}
	}
	return nil
}

// Guards against servers that go on sending bodies without an end after their callers have left, also
// after callers that read slowly and through another daemon. Sound requests beside them are served.
func TestEndlessBodiesEndWithTheirCallers(t *testing.T) {
	const memoryMB, callers, events = 144, 20, 5
	for _, tunneled := range []bool{false, true} {
		for _, paced := range []bool{false, true} {
			t.Run(fmt.Sprintf("tunneled %v paced %v", tunneled, paced), func(t *testing.T) {
				b := newTestbed(t)
				m := newManifest(4)
				for i := range m.Routes {
					// No answer ends by its deadline while the callers still read.
					m.Routes[i].TimeoutMS = float64(cluster.WaitTimeout.Milliseconds())
				}
				b.store.PutManifest(m)
				b.startServer(platformtest.ServerOptions{ID: "eng-0", Service: engineService, Events: events, Confidence: map[string]int{"small": 90}})
				faulty := startEndlessServer(t)
				b.store.Put(wire.TableInstances, endlessID, wire.Instance{Service: plainService, Address: faulty.address, Version: "v1", Slots: 2 * callers, State: wire.StateReady})
				d := b.startFaultDaemon()
				b.startFaultDaemon()
				if tunneled {
					// A connection that is open already, such as that of a status check, must not be used either.
					b.setFault(d, faultdial.Reset)
				}
				b.eventually(func() error {
					err := b.readEndless(t.Context(), d, false, func(error) bool { return false })
					if err == nil && tunneled {
						err = b.requireCutOff(d)
					}
					return err
				})
				faulty.forgetEnded(b)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				opened := make(chan error, callers)
				for range callers {
					go b.readEndless(ctx, d, paced, func(err error) bool {
						opened <- err
						return err == nil
					})
				}
				for range callers {
					require.NoError(t, <-opened)
				}
				for range 10 {
					c := b.newCall(pathStream)
					require.Equal(t, eventStream(c.ID, events), b.send(c, d).Body)
				}
				require.Empty(t, faulty.closed, "the callers still read")
				left := time.Now()
				leave()
				for range callers {
					select {
					case at := <-faulty.closed:
						require.Less(t, at.Sub(left), time.Second)
					case <-time.After(10 * time.Second):
						t.Fatal("a server still sends")
					}
				}
				for _, one := range b.daemons {
					require.Less(t, one.peakMemory(t), memoryMB)
				}
			})
		}
	}
}
