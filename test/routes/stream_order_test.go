package routes_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

const scriptedEvents = 8

// events returns the pieces of a stream from one number to another.
func events(id string, from, to int) []string {
	var out []string
	for n := from; n <= to; n++ {
		out = append(out, platformtest.Event(id, n))
	}
	return out
}

// readModes are the ways in which a daemon relays streams: at the pace of the caller, or reading ahead of it.
var readModes = map[string]overload.Mode{"at the caller's pace": overload.Off, "ahead": overload.On}

// startScripted starts engines that share a script, and a daemon. The script gets the number of the run of
// the request, beginning at 1.
func (s *testbed) startScripted(slowCallers overload.Mode, script func(r platformtest.ReceivedRequest, run int) *platformtest.Script) *daemon {
	var runs atomic.Int64
	s.startScriptedEngines(func(r platformtest.ReceivedRequest) *platformtest.Script { return script(r, int(runs.Add(1))) })
	d := s.startDaemon(func(r *settings.Routes) { r.Overload.SlowCallers = slowCallers })
	s.waitReady(d)
	return d
}

func (s *testbed) startScriptedEngines(script func(platformtest.ReceivedRequest) *platformtest.Script) {
	for n := range 3 {
		s.startServer(platformtest.ServerOptions{
			ID: fmt.Sprint("eng-", n), Service: engineService, Events: scriptedEvents, Confidence: map[string]int{"small": 90}, Script: script,
		})
	}
}

// resumption is how a stream whose first run was cut, and whose second one fails, is relayed.
type resumption struct {
	name        string
	slowCallers overload.Mode
	// recovers is set if the third run is sound.
	recovers bool
}

func resumptions() []resumption {
	var out []resumption
	for name, mode := range readModes {
		for _, recovers := range []bool{true, false} {
			out = append(out, resumption{name: fmt.Sprintf("%s, recovers=%v", name, recovers), slowCallers: mode, recovers: recovers})
		}
	}
	return out
}

// script cuts the first run after three events. failing returns the answer of the second one to the request
// with an ID, and of all others unless the stream recovers.
func (c resumption) script(failing func(id string) *platformtest.Script) func(r platformtest.ReceivedRequest, run int) *platformtest.Script {
	return func(r platformtest.ReceivedRequest, run int) *platformtest.Script {
		switch {
		case run == 1:
			return &platformtest.Script{Pieces: events(r.ID, 1, 3), Cut: true}
		case run == 2 || !c.recovers:
			return failing(r.ID)
		}
		return nil
	}
}

// requireWholeOrBroken requires that a stream is whole, or breaks off visibly after a part of it.
func requireWholeOrBroken(t *testing.T, whole bool, c platformtest.Call, r platformtest.Reply) {
	t.Helper()
	want := eventStream(c.ID, scriptedEvents)
	if whole {
		require.NoError(t, r.Err)
		require.Equal(t, http.StatusOK, r.Status)
		require.Equal(t, want, r.Body)
		return
	}
	require.Error(t, r.Err, "the stream ends as complete: %q", r.Body)
	require.True(t, strings.HasPrefix(want, r.Body), r.Body)
}

// Guards against streams with the body of a failure in their midst, which end as complete: a resumed run is
// answered with a status below 500, or by something that is no stream.
func TestFailedResumptionIsNoPartOfAStream(t *testing.T) {
	for name, failure := range map[string]platformtest.Script{
		"302": {Status: 302}, "400": {Status: 400}, "409": {Status: 409}, "422": {Status: 422}, "499": {Status: 499}, "500": {Status: 500},
		"204": {Status: 204, Unframed: true}, "206": {Status: 206}, "no stream": {ContentType: "text/html"},
		"content encoding": {Header: http.Header{"Content-Encoding": {"gzip"}}}, "no digest": {Header: http.Header{wire.HeaderSeal: nil}},
		"409, length, cut": {Status: 409, Length: 500}, "409, no framing": {Status: 409, Unframed: true}, "long": {Status: 409, Pieces: []string{strings.Repeat("no such run\n", 30_000)}},
	} {
		if failure.Pieces == nil && failure.Status != 204 {
			failure.Pieces = []string{"no such run\n\n"}
		}
		for _, c := range resumptions() {
			t.Run(name+", "+c.name, func(t *testing.T) {
				s := newTestbed(t)
				d := s.startScripted(c.slowCallers, c.script(func(string) *platformtest.Script { return &failure }))
				call := s.newCall(pathStream)
				requireWholeOrBroken(t, c.recovers, call, s.send(call, d))
				require.Len(t, s.serversThatRan(call.ID), 3)
				require.Contains(t, s.waitForLog(d, "request.done", "request="+call.ID), "attempts=")
			})
		}
	}
}

// Guards against runs that do not go on after the last event, so that a caller gets pieces twice, in
// another order, or not at all.
func TestRunThatDoesNotGoOnIsNoPartOfAStream(t *testing.T) {
	for name, resumed := range map[string]func(id string) []string{
		"begins anew":      func(id string) []string { return events(id, 1, scriptedEvents) },
		"begins with last": func(id string) []string { return events(id, 3, scriptedEvents) },
		"skips one":        func(id string) []string { return events(id, 5, scriptedEvents) },
		"goes back": func(id string) []string {
			return append(events(id, 4, 6), events(id, 5, scriptedEvents)...)
		},
	} {
		for _, c := range resumptions() {
			t.Run(name+", "+c.name, func(t *testing.T) {
				s := newTestbed(t)
				d := s.startScripted(c.slowCallers, c.script(func(id string) *platformtest.Script { return &platformtest.Script{Pieces: resumed(id)} }))
				call := s.newCall(pathStream)
				requireWholeOrBroken(t, c.recovers, call, s.send(call, d))
				s.waitForLog(d, "request.done", "request="+call.ID, "out_of_order")
			})
		}
	}
}

// Guards against the same in an answer to a caller that resumes its stream itself. What its first piece may
// be is known from the other streams of the route.
func TestResumedStreamOfACallerGoesOnAfterItsLastEvent(t *testing.T) {
	const otherStreams = 10
	for name, mode := range readModes {
		for _, from := range []int{1, 5, 7} {
			t.Run(fmt.Sprintf("%s, from %d", name, from), func(t *testing.T) {
				s := newTestbed(t)
				d := s.startScripted(mode, func(r platformtest.ReceivedRequest, run int) *platformtest.Script {
					if run == otherStreams+1 {
						return &platformtest.Script{Pieces: events(r.ID, from, scriptedEvents)}
					}
					return nil
				})
				for range otherStreams {
					require.NoError(t, s.send(s.newCall(pathStream), d).Err)
				}
				c := s.newCall(pathStream)
				c.LastEvent = "5"
				r := s.send(c, d)
				require.NoError(t, r.Err)
				require.Equal(t, strings.Join(events(c.ID, 6, scriptedEvents), ""), r.Body)
			})
		}
	}
}

// Guards against streams that are sent twice: their events have no IDs, so that there is nothing to resume
// after.
func TestStreamWithoutIDsDoesNotBeginAnew(t *testing.T) {
	for name, mode := range readModes {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			d := s.startScripted(mode, func(r platformtest.ReceivedRequest, run int) *platformtest.Script {
				return &platformtest.Script{Pieces: []string{"data: one\n\n", "data: two\n\n"}, Cut: run == 1}
			})
			c := s.newCall(pathStream)
			r := s.send(c, d)
			require.Error(t, r.Err)
			require.Equal(t, "data: one\n\ndata: two\n\n", r.Body)
			s.waitForLog(d, "request.done", "request="+c.ID, "no_retry=no_event_id")
		})
	}
}

// Guards against parts of answers that look whole to callers in HTTP/1.0: neither a length nor chunks show
// that they are cut, by this daemon or by its end.
func TestCutAnswerInHTTP10IsReset(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		whole bool
		// kill ends the daemon in the midst of the answer.
		kill bool
	}{
		"whole stream": {path: pathStream, whole: true}, "cut stream": {path: pathStream}, "killed daemon": {path: pathStream, kill: true},
		"whole plain answer": {path: pathSafe, whole: true}, "cut plain answer": {path: pathUnsafe},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			hold := make(chan struct{})
			defer close(hold)
			s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Padding: 400 << 10, Behave: func(r platformtest.ReceivedRequest) platformtest.Behaviour {
				if !c.whole {
					return platformtest.Truncate
				}
				return platformtest.Answer
			}})
			d := s.startScripted(overload.Off, func(r platformtest.ReceivedRequest, _ int) *platformtest.Script {
				if c.whole {
					return nil
				}
				script := &platformtest.Script{Pieces: events(r.ID, 1, 3), Cut: true}
				if c.kill {
					script.Until = hold
				}
				return script
			})
			call := s.newCall(c.path)
			conn, err := net.Dial("tcp", d.callerAddress)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(cluster.WaitTimeout)))
			method := http.MethodPost
			if c.path == pathSafe {
				method = http.MethodGet
			}
			_, err = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: *\r\n\r\n", method, c.path, host,
				wire.HeaderRequestID, call.ID, wire.HeaderCredential, key, wire.HeaderModel)
			require.NoError(t, err)
			if c.kill {
				_, err = io.ReadAtLeast(conn, make([]byte, 1), 1)
				require.NoError(t, err)
				d.Kill()
			}
			answer, err := io.ReadAll(conn)
			if c.whole {
				require.NoError(t, err)
				require.True(t, strings.HasSuffix(string(answer), platformtest.Event(call.ID, scriptedEvents)) || c.path == pathSafe, string(answer))
				return
			}
			require.ErrorIs(t, err, syscall.ECONNRESET, "ends as complete after %d bytes", len(answer))
		})
	}
}

// Guards against streams that end as complete with a resumed run that is shorter than the length it states.
func TestResumedRunShorterThanItsLengthIsNotTheEnd(t *testing.T) {
	for _, c := range resumptions() {
		t.Run(c.name, func(t *testing.T) {
			s := newTestbed(t)
			d := s.startScripted(c.slowCallers, c.script(func(id string) *platformtest.Script {
				return &platformtest.Script{Pieces: events(id, 4, 5), Length: 5000}
			}))
			call := s.newCall(pathStream)
			requireWholeOrBroken(t, c.recovers, call, s.send(call, d))
		})
	}
}

// Guards against streams with the body of a failure in their midst where both runs reach their instances through
// another daemon.
func TestFailedTunneledResumptionIsNoPartOfAStream(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		for _, status := range []int{http.StatusFound, http.StatusConflict, http.StatusInternalServerError} {
			t.Run(fmt.Sprintf("%d, recovers=%v", status, recovers), func(t *testing.T) {
				s := newTestbed(t)
				script := resumption{recovers: recovers}.script(func(string) *platformtest.Script {
					return &platformtest.Script{Status: status, Pieces: []string{"no such run\n\n"}}
				})
				runs, broken := 0, ""
				var mu sync.Mutex
				s.startScriptedEngines(func(r platformtest.ReceivedRequest) *platformtest.Script {
					mu.Lock()
					defer mu.Unlock()
					if r.ID != broken {
						return nil
					}
					runs++
					return script(r, runs)
				})
				cutOff := s.startFaultDaemon()
				s.startFaultDaemon()
				s.cutOffFromStreams(cutOff)
				call := s.newCall(pathStream)
				mu.Lock()
				broken = call.ID
				mu.Unlock()
				requireWholeOrBroken(t, recovers, call, s.send(call, cutOff))
				require.Len(t, s.serversThatRan(call.ID), 3)
				require.Contains(t, s.waitForLog(cutOff, "request.done", "request="+call.ID), "gateway=")
			})
		}
	}
}

// Guards against a failure that a server cuts and another server's failure completes: a caller gets one
// answer with parts of two bodies.
func TestCutFailureOfAStreamIsNotContinued(t *testing.T) {
	part, other := strings.Repeat("no such run\n\n", 30_000), strings.Repeat("a run is missing\n\n", 30_000)
	for name, mode := range readModes {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			d := s.startScripted(mode, func(_ platformtest.ReceivedRequest, run int) *platformtest.Script {
				if run == 1 {
					return &platformtest.Script{Status: http.StatusConflict, Pieces: []string{part}, Cut: true}
				}
				return &platformtest.Script{Status: http.StatusConflict, Pieces: []string{other}}
			})
			r := s.send(s.newCall(pathStream), d)
			require.True(t, strings.HasPrefix(part, r.Body) || r.Body == other, "%d bytes", len(r.Body))
			require.Equal(t, r.Body == other, r.Err == nil, "%d bytes, %v", len(r.Body), r.Err)
		})
	}
}
