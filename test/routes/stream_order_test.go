package routes_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
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

// startScripted starts engines that share a script. It gets the number of the run of the request,
// beginning at 1.
func (s *testbed) startScripted(script func(r platformtest.ReceivedRequest, run int) *platformtest.Script) *daemon {
	var runs atomic.Int64
	for n := range 3 {
		s.startServer(platformtest.ServerOptions{
			ID: fmt.Sprint("eng-", n), Service: engineService, Events: scriptedEvents, Confidence: map[string]int{"small": 90},
			Script: func(r platformtest.ReceivedRequest) *platformtest.Script { return script(r, int(runs.Add(1))) },
		})
	}
	return s.startReadyDaemon()
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
		"409, no framing": {Status: 409, Unframed: true}, "long": {Status: 409, Pieces: []string{strings.Repeat("no such run\n", 30_000)}},
	} {
		if failure.Pieces == nil && failure.Status != 204 {
			failure.Pieces = []string{"no such run\n\n"}
		}
		for _, recovers := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, recovers=%v", name, recovers), func(t *testing.T) {
				s := newTestbed(t)
				d := s.startScripted(func(r platformtest.ReceivedRequest, run int) *platformtest.Script {
					switch {
					case run == 1:
						return &platformtest.Script{Pieces: events(r.ID, 1, 3), Cut: true}
					case run == 2 || !recovers:
						return &failure
					}
					return nil
				})
				c := s.newCall(pathStream)
				requireWholeOrBroken(t, recovers, c, s.send(c, d))
				require.Len(t, s.serversThatRan(c.ID), 3)
				require.Contains(t, s.waitForLog(d, "request.done", "request="+c.ID), "attempts=")
			})
		}
	}
}
