package routes_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/bareserver"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// bareBed is a daemon before one bare server of each service.
type bareBed struct {
	*testbed
	daemon *daemon
	// servers are the servers by the path of a route.
	servers map[string]*bareserver.Server
}

// barePaths are the paths of a safe, an unsafe and a stream route.
var barePaths = []string{pathSafe, pathUnsafe, pathStream}

// bareUploadBytes is the length of a request that is too long for the buffers of a connection.
const bareUploadBytes = 4 << 20

// forEachWay runs a test with a daemon that reaches the servers directly, and one that does so through another daemon.
func forEachWay(t *testing.T, run func(t *testing.T, b *bareBed)) {
	t.Run("directly", func(t *testing.T) {
		b := newBareBed(t)
		b.daemon = b.startReadyDaemon()
		run(t, b)
	})
	t.Run("through a gateway", func(t *testing.T) {
		b := newBareBed(t)
		b.daemon = b.startFaultDaemon()
		cut := &cutBed{testbed: b.testbed, cutOff: b.daemon, gateways: []*daemon{b.startFaultDaemon()}}
		cut.cut(faultdial.Reset)
		run(t, b)
	})
}

func newBareBed(t *testing.T) *bareBed {
	s := newTestbed(t)
	m := newManifest(4)
	m.Limits.MaxBodyBytes = 2 * bareUploadBytes
	s.store.PutManifest(m)
	plain, engine := s.startBareServer(plainService, "cat-1"), s.startBareServer(engineService, "eng-1")
	return &bareBed{testbed: s, servers: map[string]*bareserver.Server{pathSafe: plain, pathUnsafe: plain, pathStream: engine}}
}

// startBareServer starts an instance of a service. It gives whole answers unless others are played.
func (s *testbed) startBareServer(service, instance string) *bareserver.Server {
	server := bareserver.Start(s.t, wire.HeaderRequestID, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.Header().Set(wire.HeaderInstance, instance)
		if r.Header.Get(wire.HeaderExpectInstance) != instance {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Content-Type", contentTypeOf(r))
		w.Header().Set(wire.HeaderSeal, platformtest.Seal(bareBody(r)))
		_, _ = io.WriteString(w, bareBody(r))
	})
	s.store.Put(wire.TableInstances, instance, wire.Instance{Service: service, Address: server.Address, Version: "v1", Slots: 60, State: wire.StateReady})
	return server
}

func contentTypeOf(r *http.Request) string {
	if r.URL.Path == pathStream {
		return "text/event-stream"
	}
	return "text/plain"
}

// bareFields are the fields of the head of a valid answer to a request.
func bareFields(r *http.Request) string {
	return fmt.Sprintf("Content-Type: %s\r\n%s: %s\r\n%s: %s\r\n", contentTypeOf(r),
		wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID), wire.HeaderSeal, platformtest.Seal(bareBody(r)))
}

// bareBody is the whole body of the answer to a request.
func bareBody(r *http.Request) string {
	return bodyOf(r.URL.Path, r.Header.Get(wire.HeaderRequestID))
}

func bodyOf(path, id string) string {
	const events, plainBytes = 8, 3032
	if path == pathStream {
		return eventStream(id, events)
	}
	return (id + strings.Repeat(" answer", plainBytes))[:plainBytes]
}

// barePart is the beginning of the body of the answer to a request.
func barePart(r *http.Request) string {
	const events, plainBytes = 3, 1200
	if r.URL.Path == pathStream {
		return eventStream(r.Header.Get(wire.HeaderRequestID), events)
	}
	return bareBody(r)[:plainBytes]
}

// ask sends a request that is answered in a way of its own. A positive bodyBytes is the length of its body.
func (b *bareBed) ask(path string, bodyBytes int, answer bareserver.Answer) (c platformtest.Call, reply platformtest.Reply) {
	b.t.Helper()
	b.eventually(func() error {
		c = b.newCall(path)
		if bodyBytes > 0 {
			c.Method = http.MethodPost
			c.Body = (c.ID + strings.Repeat(" upload", bodyBytes/7+1))[:bodyBytes]
		}
		b.servers[path].Play(c.ID, answer)
		reply = b.send(c, b.daemon)
		// A daemon that is cut off opens a limited number of tunnels in a short time.
		if !b.servers[path].HasPlayed(c.ID) {
			return trace.Errorf("%s never reached the server: %d %s %v", c.ID, reply.Status, reply.Body, reply.Err)
		}
		return nil
	})
	return c, reply
}

// requireSound sends a request that the server answers in the usual way.
func (b *bareBed) requireSound(path string) {
	b.t.Helper()
	b.eventually(func() error {
		c := b.newCall(path)
		if r := b.send(c, b.daemon); r.Err != nil || r.Status != http.StatusOK || r.Body != bodyOf(path, c.ID) {
			return trace.Errorf("%d %s %v", r.Status, r.Body, r.Err)
		}
		return nil
	})
}

// assertBareWhole asserts that a reply is the whole answer to a call.
func assertBareWhole(t *testing.T, c platformtest.Call, r platformtest.Reply, what string) {
	t.Helper()
	if assert.NoError(t, r.Err, what) && assert.Equal(t, http.StatusOK, r.Status, "%s: %.200s", what, r.Body) {
		assert.Equal(t, bodyOf(c.Path, c.ID), r.Body, what)
	}
}

// assertBareRefused asserts that the daemon has answered in place of the server.
func assertBareRefused(t *testing.T, r platformtest.Reply, what string) {
	t.Helper()
	if assert.NoError(t, r.Err, what) {
		assert.Equal(t, http.StatusBadGateway, r.Status, "%s: %.40s", what, r.Body)
	}
}

// bareEndings are ways to end a connection on which an upload has not been read.
var bareEndings = map[string]func(c *net.TCPConn, body io.Reader){
	"reset":       func(c *net.TCPConn, _ io.Reader) { bareserver.Reset(c) },
	"reset later": func(c *net.TCPConn, _ io.Reader) { time.Sleep(60 * time.Millisecond); bareserver.Reset(c) },
	"reset in the middle": func(c *net.TCPConn, body io.Reader) {
		_, _ = io.CopyN(io.Discard, body, bareUploadBytes/8)
		bareserver.Reset(c)
	},
	"reset unread": func(c *net.TCPConn, _ io.Reader) { _ = c.CloseRead(); bareserver.Reset(c) },
	"close unread": func(c *net.TCPConn, _ io.Reader) { _ = c.Close() },
	"close in two steps, unread": func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		bareserver.Reset(c)
	},
}

// Guards against a part of an answer that looks whole because its server ended the connection while the request was
// still being written.
func TestPartOfAnAnswerToAnUploadIsNotWhole(t *testing.T) {
	cases := []struct {
		framing   bareserver.Framing
		status    int
		bodyBytes int
	}{
		{bareserver.ByClose, http.StatusOK, bareUploadBytes},
		{bareserver.ByClose, http.StatusOK, bareUploadBytes / 8},
		{bareserver.ByClose, http.StatusNotFound, bareUploadBytes},
		{bareserver.ByClose, http.StatusInternalServerError, bareUploadBytes},
		{bareserver.ByLength, http.StatusOK, bareUploadBytes},
		{bareserver.ByChunks, http.StatusOK, bareUploadBytes},
	}
	forEachWay(t, func(t *testing.T, b *bareBed) {
		for _, c := range cases {
			for _, path := range barePaths {
				for name, end := range bareEndings {
					for _, hasBody := range []bool{true, false} {
						_, r := b.ask(path, c.bodyBytes, func(conn *net.TCPConn, r *http.Request, body io.Reader) {
							part := ""
							if hasBody {
								part = barePart(r)
							}
							head := bareserver.Head{Status: fmt.Sprintf("%d %s", c.status, http.StatusText(c.status))}
							bareserver.Send(conn, head.Text(bareFields(r))+c.framing.Frame(part, len(bareBody(r))))
							end(conn, body)
						})
						assert.False(t, r.Err == nil && r.Status == c.status, "%+v, %s, %s: %d bytes look whole", c, path, name, len(r.Body))
					}
				}
			}
		}
	})
}

// Guards against the loss of whole answers that were sent before their requests were read.
func TestWholeAnswerBeforeTheEndOfItsRequest(t *testing.T) {
	forEachWay(t, func(t *testing.T, b *bareBed) {
		for _, framing := range bareserver.Framings {
			for _, path := range barePaths {
				for _, bodyBytes := range []int{60, 20 << 10, bareUploadBytes} {
					for _, closesFirst := range []bool{false, true} {
						c, r := b.ask(path, bodyBytes, func(c *net.TCPConn, r *http.Request, body io.Reader) {
							bareserver.Send(c, bareserver.Head{}.Text(bareFields(r))+framing.Whole(bareBody(r)))
							if closesFirst {
								_ = c.CloseWrite()
							}
							_, _ = io.CopyN(io.Discard, body, r.ContentLength)
						})
						assertBareWhole(t, c, r, fmt.Sprintf("%s %s of %d bytes, closes first: %v", framing, path, bodyBytes, closesFirst))
					}
				}
			}
		}
	})
}

// Guards against an answer whose server stopped in the middle of its head, and that reaches a caller as an empty or
// short one.
func TestAnswerThatEndsInsideItsHeadIsRefused(t *testing.T) {
	forEachWay(t, func(t *testing.T, b *bareBed) {
		for _, path := range barePaths {
			for _, framing := range bareserver.Framings {
				for _, left := range []int{1, 2, 3, 4, 5, 12, 21, 60, 90} {
					for _, reset := range []bool{false, true} {
						_, r := b.ask(path, 0, func(c *net.TCPConn, r *http.Request, _ io.Reader) {
							head := bareserver.Head{}.Text(bareFields(r)) + framing.Frame("", len(bareBody(r)))
							bareserver.Send(c, head[:len(head)-left])
							if reset {
								bareserver.Reset(c)
							}
						})
						assertBareRefused(t, r, fmt.Sprintf("%s, %s, %d bytes left", path, framing, left))
					}
				}
			}
		}
	})
}

// assertRefusesHeads asserts that answers with malformed heads reach no caller: with an ordinary body, with a whole answer
// as the body, in all framings, on a connection that has given a sound answer before.
func assertRefusesHeads(t *testing.T, heads map[string]bareserver.Head) {
	forEachWay(t, func(t *testing.T, b *bareBed) {
		for name, head := range heads {
			for _, path := range barePaths {
				for _, framing := range bareserver.Framings {
					for _, isNested := range []bool{false, true} {
						b.requireSound(path)
						_, r := b.ask(path, 0, func(c *net.TCPConn, r *http.Request, _ io.Reader) {
							body := bareBody(r)
							if isNested {
								body = bareserver.Head{}.Text(bareFields(r)) + framing.Whole(body)
							}
							bareserver.Send(c, head.Text(bareFields(r))+framing.Whole(body))
							bareserver.CloseInTwoSteps(c)
						})
						assertBareRefused(t, r, fmt.Sprintf("%s, %s, %s, nested: %v", name, path, framing, isNested))
					}
				}
			}
		}
	})
}

// Guards against answers without a valid status that reach callers.
func TestAnswerWithAnInvalidStatusIsRefused(t *testing.T) {
	assertRefusesHeads(t, bareserver.InvalidStatuses)
}

// Guards against answers with a malformed field in their head that reach callers, without it or with a body that it was
// meant to delimit.
func TestAnswerWithAMalformedFieldIsRefused(t *testing.T) {
	assertRefusesHeads(t, bareserver.InvalidNames)
}

// Guards against what follows an interim answer, and is not HTTP or belongs to that, as the answer of a caller.
func TestAnswerAfterAnInvalidInterimOneIsRefused(t *testing.T) {
	assertRefusesHeads(t, bareserver.InvalidInterims)
}

// Guards against a trailer with a malformed name that is left out of an answer which then looks whole.
func TestAnswerWithAMalformedTrailerIsRefused(t *testing.T) {
	forEachWay(t, func(t *testing.T, b *bareBed) {
		for _, line := range []string{"X Foo: a", "X-Foo : a", "X\tFoo: a", "X\x01Foo: a", "X-Foo: a\x01b"} {
			for _, path := range []string{pathSafe, pathUnsafe} {
				_, r := b.ask(path, 0, func(c *net.TCPConn, r *http.Request, _ io.Reader) {
					whole := bareserver.Head{}.Text(bareFields(r)) + bareserver.ByChunks.Whole(bareBody(r))
					bareserver.Send(c, strings.TrimSuffix(whole, "\r\n")+line+"\r\n\r\n")
				})
				assertBareRefused(t, r, fmt.Sprintf("%q, %s", line, path))
			}
		}
	})
}

// Guards against a malformed head that looks like the end of a stream which is resumed.
func TestResumedStreamWithAMalformedHeadIsNotWhole(t *testing.T) {
	forEachWay(t, func(t *testing.T, b *bareBed) {
		other := b.startBareServer(engineService, "eng-2")
		b.eventually(func() error {
			b.requireSound(pathStream)
			if other.Handled() == 0 {
				return trace.Errorf("the second server is unknown")
			}
			return nil
		})
		for name, head := range bareserver.InvalidNames {
			resumed := make(chan struct{}, 8)
			answer := func(c *net.TCPConn, r *http.Request, _ io.Reader) {
				if r.Header.Get(wire.HeaderLastEvent) == "" {
					bareserver.Send(c, bareserver.Head{}.Text(bareFields(r))+bareserver.ByChunks.Frame(barePart(r), len(bareBody(r))))
					return
				}
				resumed <- struct{}{}
				bareserver.Send(c, head.Text(bareFields(r))+bareserver.ByClose.Whole(strings.TrimPrefix(bareBody(r), barePart(r))))
				bareserver.CloseInTwoSteps(c)
			}
			c := b.newCall(pathStream)
			b.servers[pathStream].Play(c.ID, answer)
			other.Play(c.ID, answer)
			r := b.send(c, b.daemon)
			require.NotEmpty(t, resumed, name)
			assert.Error(t, r.Err, "%s: the answer looks whole: %s", name, r.Body)
		}
	})
}
