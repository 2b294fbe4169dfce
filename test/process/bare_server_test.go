package process_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/bareserver"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

const bareAnswer = `{"answer":"whole"}`

// bareSite is a site whose plain service has one instance, a bare server.
type bareSite struct {
	*site
	server *bareserver.Server
	calls  int
}

func newBareSite(t *testing.T) *bareSite {
	s := &bareSite{site: newSite(t, 1, nil)}
	s.server = bareserver.Start(t, standin.HeaderCall, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Path == "/v1/load" {
			_, _ = io.WriteString(w, `{"instance":"catalogue-1","slots":64,"versions":[]}`)
			return
		}
		_, _ = io.WriteString(w, bareAnswer)
	})
	require.NoError(t, s.AddInstance(backing.Instance{
		ID: "catalogue-1", Role: backing.RoleService, Service: "catalogue", FailureDomain: "gbg-a", Address: s.server.Address, State: backing.StateLive,
	}))
	require.NoError(t, s.WaitReady(s.Daemons, len(s.engines)+1))
	return s
}

// serviceReply is what a caller of a plain service got. err is set if the answer broke off.
type serviceReply struct {
	status int
	body   string
	err    error
}

// ask sends a call whose answer is played, with a body of the given length, after a call that gets a sound answer: an
// instance that fails several times in a row is ejected.
func (s *bareSite) ask(method string, bodyBytes int, answer bareserver.Answer) serviceReply {
	s.t.Helper()
	require.Equal(s.t, serviceReply{status: http.StatusOK, body: bareAnswer}, s.call(method, "", 0))
	s.calls++
	mark := fmt.Sprint("call-", s.calls)
	s.server.Play(mark, answer)
	reply := s.call(method, mark, bodyBytes)
	require.True(s.t, s.server.HasPlayed(mark), "%s never reached the server: %+v", mark, reply)
	return reply
}

func (s *bareSite) call(method, mark string, bodyBytes int) serviceReply {
	s.t.Helper()
	req, err := http.NewRequest(method, s.Daemons[0].CallerURL+"/v1/services/catalogue/songs", strings.NewReader(strings.Repeat("u", bodyBytes)))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+visradAPIKey)
	req.Header.Set(standin.HeaderCall, mark)
	resp, err := (&http.Client{Timeout: cluster.WaitTimeout}).Do(req)
	if err != nil {
		return serviceReply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return serviceReply{resp.StatusCode, string(body), err}
}

// Guards against a part of a service's answer that looks whole because the server ended the connection while the call was
// still being written, and against the loss of a whole one that was sent first.
func TestPartOfAServiceAnswerToAnUploadIsNotWhole(t *testing.T) {
	const uploadBytes, plays = 3 << 20, 4
	s := newBareSite(t)
	for name, c := range map[string]struct {
		end     func(c *net.TCPConn)
		isWhole bool
	}{
		"reset":       {bareserver.Reset, false},
		"reset later": {func(c *net.TCPConn) { time.Sleep(60 * time.Millisecond); bareserver.Reset(c) }, false},
		"close":       {func(c *net.TCPConn) { _ = c.Close() }, false},
		"close in two steps, unread": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			bareserver.Reset(c)
		}, false},
		"close in two steps": {bareserver.CloseInTwoSteps, true},
	} {
		for range plays {
			r := s.ask(http.MethodPost, uploadBytes, func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
				bareserver.Send(conn, bareserver.Head{}.Text("")+bareserver.ByClose.Whole(bareAnswer))
				c.end(conn)
			})
			if c.isWhole {
				assert.NoError(t, r.err, name)
				assert.Equal(t, bareAnswer, r.body, name)
				continue
			}
			assert.Equal(t, http.StatusBadGateway, r.status, "%s: %s", name, r.body)
		}
	}
}

// Guards against answers of a service with a malformed head, or with a part of one, that reach callers.
func TestServiceAnswerWithAMalformedHeadIsRefused(t *testing.T) {
	s := newBareSite(t)
	assertRefused := func(what, text string) {
		r := s.ask(http.MethodPost, 10, func(c *net.TCPConn, _ *http.Request, _ io.Reader) {
			bareserver.Send(c, text)
			bareserver.CloseInTwoSteps(c)
		})
		assert.NoError(t, r.err, what)
		assert.Equal(t, http.StatusBadGateway, r.status, "%s: %s", what, r.body)
	}
	for _, heads := range []map[string]bareserver.Head{bareserver.InvalidStatuses, bareserver.InvalidNames, bareserver.InvalidInterims} {
		for name, head := range heads {
			assertRefused(name, head.Text("")+bareserver.ByLength.Whole(bareAnswer))
			assertRefused(name+", an answer in the body", head.Text("")+bareserver.ByLength.Whole(bareserver.Head{}.Text("")+bareserver.ByLength.Whole(bareAnswer)))
		}
	}
	head := bareserver.Head{}.Text("X-Foo: a\r\n") + bareserver.ByLength.Frame("", len(bareAnswer))
	for _, left := range []int{1, 2, 3, 4, 10, 20, 30, 40} {
		assertRefused(fmt.Sprint(left, " bytes left of the head"), head[:len(head)-left])
	}
	require.NotContains(t, s.Daemons[0].Log(), "panic")
}
