package process_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// callCatalogue sends a call to the catalogue service. The service counts calls by
// mark.
func callCatalogue(t *testing.T, d *cluster.Daemon, method, mark, key string) cluster.Reply {
	t.Helper()
	req, err := http.NewRequest(method, d.CallerURL+"/v1/services/catalogue/songs/"+mark, strings.NewReader(mark))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+visradAPIKey)
	req.Header.Set(standin.HeaderCall, mark)
	if key != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, key)
	}
	reply, err := cluster.Do(req, nil)
	require.NoError(t, err)
	return reply
}

// A catalogue server runs a call and closes the connection without an answer.
// Guards against sending a call again that must not be repeated, with or without an
// idempotency key, and against an error for a repeatable call, which the other
// server must answer. Calls must not be billed twice.
func TestServiceAnswersLost(t *testing.T) {
	s := newSite(t, 2, nil)
	var services []*cluster.Upstream
	for _, id := range []string{"catalogue-1", "catalogue-2"} {
		u, err := s.StartService(id, "catalogue", "gbg-a", nil)
		require.NoError(t, err)
		services = append(services, u)
	}
	require.NoError(t, s.WaitReady(s.Daemons, 4))
	loseNextAnswers := func() {
		for _, u := range services {
			require.NoError(t, cluster.Post("http://"+u.Address+"/standin/faults", standin.ServiceFaults{NoAnswer: 1}, nil))
		}
	}
	runs := func(mark string) (n int) {
		for _, u := range services {
			var counts map[string]int
			require.NoError(t, cluster.Get("http://"+u.Address+"/standin/counts", &counts))
			n += counts[mark]
		}
		return n
	}
	key := keyWithHome(t, s.Daemons[0], "call")
	loseNextAnswers()
	first := callCatalogue(t, s.Daemons[0], http.MethodPost, "order", key)
	require.NotNil(t, first.Err)
	require.Equal(t, fault.RanUnknown, first.Err.Ran)
	again := callCatalogue(t, s.Daemons[1], http.MethodPost, "order", key)
	require.NotNil(t, again.Err)
	require.Equal(t, first.RequestID(), again.RequestID())
	require.Equal(t, 1, runs("order"))
	s.requireBill(s.Daemons[0], first.RequestID(), ledger.Failed)

	loseNextAnswers()
	unkeyed := callCatalogue(t, s.Daemons[0], http.MethodPost, "unkeyed", "")
	require.NotNil(t, unkeyed.Err)
	require.Equal(t, 1, runs("unkeyed"))

	require.NoError(t, cluster.Post("http://"+services[0].Address+"/standin/faults", standin.ServiceFaults{NoAnswer: 1}, nil))
	require.NoError(t, cluster.Post("http://"+services[1].Address+"/standin/faults", standin.ServiceFaults{}, nil))
	// Which server gets a call is random, so calls are sent until one was lost.
	const maxReads = 64
	reads := 0
	for runs("read") == reads && reads < maxReads {
		reads++
		reply := callCatalogue(t, s.Daemons[0], http.MethodGet, "read", "")
		require.Nil(t, reply.Err, "a repeatable call must be sent to the other server")
		s.requireBill(s.Daemons[1], reply.RequestID(), ledger.Answered)
	}
	require.Equal(t, reads+1, runs("read"), "the call whose answer was lost must have run twice, the others once")
}
