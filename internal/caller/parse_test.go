package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/httpbody"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

// Guards against a very long timeout that overflows and becomes a deadline in the past.
func TestLongTimeoutIsNoPastDeadline(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &Server{Deps: Deps{Clock: clock}}
	c, _ := gin.CreateTestContext(httptest.NewRecorder())
	c.Request = httptest.NewRequest(http.MethodPost, "/", nil)
	c.Request.Header.Set(HeaderDeadline, "9300000000000")
	deadline, err := s.parseDeadline(c, time.Minute)
	require.NoError(t, err)
	require.Equal(t, clock.Now().Add(24*time.Hour), deadline)
}

// Guards against callers that send half of a body and stop: each held its request and memory for
// as long as it liked. It is told that the request did not run.
func TestCallerThatStopsInTheMiddleOfABodyIsAnswered(t *testing.T) {
	s := &Server{Deps: Deps{Bodies: httpbody.Receiver{MaxBytes: 1000, Timeout: 50 * time.Millisecond, Memory: limit.NewByteBudget(1 << 20)}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := gin.CreateTestContextOnly(w, gin.New())
		c.Request = r
		_, err := s.Bodies.Receive(w, r)
		s.writeError(c, err)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
}

// Guards against a message with a role that does not exist being passed to an engine.
func TestUnknownRoleIsRejected(t *testing.T) {
	for role, ok := range map[string]bool{"system": true, "developer": true, "user": true, "assistant": true, "tool": true, "wizard": false, "User": false} {
		var body chatBody
		require.NoError(t, json.Unmarshal([]byte(`{"model": "auto", "messages": [{"role": "`+role+`", "content": "x"}]}`), &body))
		_, err := body.toChat()
		require.Equal(t, ok, err == nil, role)
	}
}

// Clients offer what the list of models has: the selector that leaves the choice to this system
// must be in it, if there is a model to choose.
func TestAutoIsListed(t *testing.T) {
	doc := config.Document{
		Models:        map[string]config.Model{"m": {Versions: map[string]config.Version{"1": {State: config.Serving}}}},
		Organisations: map[string]config.Organisation{"has": {Models: []string{"m"}}, "none": {}},
	}
	snapshot := config.NewSnapshot(1, doc, nil)
	ids := func(organisation string) (out []string) {
		for _, m := range allowedModels(snapshot, organisation) {
			out = append(out, m.ID)
		}
		return out
	}
	require.Equal(t, []string{autoModel, "m@1"}, ids("has"))
	require.Empty(t, ids("none"))
}
