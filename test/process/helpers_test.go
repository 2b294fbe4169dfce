package process_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// clearanceRequest returns a request that must not run twice.
func clearanceRequest(prompt, key string) cluster.ChatRequest {
	return cluster.ChatRequest{APIKey: visradAPIKey, Model: "notes-large", Prompt: prompt, Kind: "clearance", IdempotencyKey: key}
}

// send sends a request to a daemon and requires that there is no transport error.
func send(t *testing.T, d *cluster.Daemon, a cluster.ChatRequest) cluster.Reply {
	t.Helper()
	reply, err := a.Send(context.Background(), d.CallerURL, nil)
	require.NoError(t, err)
	return reply
}

// requireAnswered sends a request and requires a complete answer.
func requireAnswered(t *testing.T, d *cluster.Daemon, a cluster.ChatRequest) cluster.Reply {
	t.Helper()
	reply := send(t, d, a)
	require.Nil(t, reply.Err)
	require.True(t, reply.Done)
	requireComplete(t, reply.Text)
	return reply
}

// requireRefused sends a request and requires an error with a kind and a value of
// Ran.
func requireRefused(t *testing.T, d *cluster.Daemon, a cluster.ChatRequest, kind fault.Kind, ran fault.Ran) cluster.Reply {
	t.Helper()
	reply := send(t, d, a)
	require.NotNil(t, reply.Err, reply.Text)
	require.Equal(t, kind, reply.Err.Kind, reply.Err.Message)
	require.Equal(t, ran, reply.Err.Ran, reply.Err.Message)
	return reply
}

// keyWithHome returns an idempotency key whose home is the daemon. It is made as a
// caller makes it, from the key prefix in the discovery answer and a value of its
// own.
func keyWithHome(t *testing.T, d *cluster.Daemon, own string) string {
	t.Helper()
	var found struct {
		Entries []caller.Entry `json:"entries"`
	}
	require.NoError(t, cluster.Get(d.CallerURL+"/v1/entries", &found))
	for _, e := range found.Entries {
		if e.Instance == d.Incarnation {
			return e.KeyPrefix + "." + own
		}
	}
	t.Fatalf("%s is not in discovery", d.Incarnation)
	return ""
}

// promptStarts returns how many attempts with a prompt the engines started.
func (s *site) promptStarts(prompt string) int {
	s.t.Helper()
	n := 0
	for _, c := range s.engineCounts() {
		n += c.Prompts[prompt]
	}
	return n
}

// engineCounts returns the counts that each engine keeps of its attempts.
func (s *site) engineCounts() []standin.EngineCounts {
	s.t.Helper()
	out := make([]standin.EngineCounts, len(s.engines))
	for i, e := range s.engines {
		require.NoError(s.t, cluster.Get("http://"+e.Address+"/standin/counts", &out[i]))
	}
	return out
}

// setEngineFaults sets the faults of every engine.
func (s *site) setEngineFaults(f standin.EngineFaults) {
	s.t.Helper()
	for _, e := range s.engines {
		require.NoError(s.t, cluster.Post("http://"+e.Address+"/standin/faults", f, nil))
	}
}

// setPlatformFault sets the fault of the platform stand-in.
func (s *site) setPlatformFault(f standin.PlatformFault) {
	s.t.Helper()
	require.NoError(s.t, cluster.Post("http://"+s.Platform+"/standin/fault", map[string]any{"fault": f}, nil))
}

// slowTokens makes each token take 40 ms, so that a test can act during an answer.
func slowTokens(o *standin.EngineOptions) {
	for name, p := range o.Profiles {
		p.TokenTime = standin.Duration(40 * time.Millisecond)
		o.Profiles[name] = p
	}
}

// streamAndAct sends a streaming request and calls act once, when n content events
// have been received. It returns the reply at the end of the stream.
func streamAndAct(t *testing.T, d *cluster.Daemon, a cluster.ChatRequest, n int, act func(received cluster.Reply)) (cluster.Reply, error) {
	t.Helper()
	a.Stream = true
	acted := false
	return a.Send(context.Background(), d.CallerURL, func(r cluster.Reply) {
		if r.Events >= n && !acted {
			acted = true
			act(r)
		}
	})
}

// resume continues a stream at a daemon after the events already received.
func resume(t *testing.T, d *cluster.Daemon, received cluster.Reply) (cluster.Reply, error) {
	t.Helper()
	url := d.CallerURL + "/v1/requests/" + received.RequestID() + "/stream?after=" + itoa(received.Events-1)
	req, err := http.NewRequest(http.MethodGet, url, strings.NewReader(""))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+visradAPIKey)
	req.Header.Set(caller.HeaderResume, received.Header.Get(caller.HeaderResume))
	return cluster.Do(req, nil)
}

func logContains(d *cluster.Daemon, text string) bool { return strings.Contains(d.Log(), text) }
