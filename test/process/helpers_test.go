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

// clearance is a request that must not run twice.
func clearance(prompt, key string) cluster.Ask {
	return cluster.Ask{APIKey: keyVisrad, Model: "notes-large", Prompt: prompt, Kind: "clearance", Key: key}
}

func send(t *testing.T, d *cluster.Daemon, a cluster.Ask) cluster.Reply {
	t.Helper()
	reply, err := a.Send(context.Background(), d.CallerURL, nil)
	require.NoError(t, err)
	return reply
}

// requireAnswered sends and wants a whole answer.
func requireAnswered(t *testing.T, d *cluster.Daemon, a cluster.Ask) cluster.Reply {
	t.Helper()
	reply := send(t, d, a)
	require.Nil(t, reply.Err)
	require.True(t, reply.Done)
	requireWhole(t, reply.Text)
	return reply
}

// requireRefused sends and wants an error of a kind with an outcome.
func requireRefused(t *testing.T, d *cluster.Daemon, a cluster.Ask, kind fault.Kind, ran fault.Ran) cluster.Reply {
	t.Helper()
	reply := send(t, d, a)
	require.NotNil(t, reply.Err, reply.Text)
	require.Equal(t, kind, reply.Err.Kind, reply.Err.Message)
	require.Equal(t, ran, reply.Err.Ran, reply.Err.Message)
	return reply
}

// keyOf makes a key whose home is a daemon, as a caller does with the prefix
// from discovery.
func keyOf(t *testing.T, d *cluster.Daemon, own string) string {
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

// runs counts how often the engines started a prompt.
func (s *site) runs(prompt string) int {
	s.t.Helper()
	n := 0
	for _, c := range s.engineCounts() {
		n += c.Prompts[prompt]
	}
	return n
}

// engineCounts returns what each engine really did.
func (s *site) engineCounts() []standin.EngineCounts {
	s.t.Helper()
	out := make([]standin.EngineCounts, len(s.engines))
	for i, e := range s.engines {
		require.NoError(s.t, cluster.Get("http://"+e.Address+"/standin/counts", &out[i]))
	}
	return out
}

// engineFault sets the faults of every engine.
func (s *site) engineFault(f standin.EngineFaults) {
	s.t.Helper()
	for _, e := range s.engines {
		require.NoError(s.t, cluster.Post("http://"+e.Address+"/standin/faults", f, nil))
	}
}

func (s *site) platformFault(f standin.PlatformFault) {
	s.t.Helper()
	require.NoError(s.t, cluster.Post("http://"+s.Platform+"/standin/fault", map[string]any{"fault": f}, nil))
}

// slow makes tokens take so long that a test can act during an answer.
func slow(o *standin.EngineOptions) {
	for name, p := range o.Profiles {
		p.TokenTime = standin.Duration(40 * time.Millisecond)
		o.Profiles[name] = p
	}
}

// streamUntil sends a streaming request and calls act once n words have come.
func streamUntil(t *testing.T, d *cluster.Daemon, a cluster.Ask, n int, act func(sofar cluster.Reply)) (cluster.Reply, error) {
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

// resume continues a stream at a daemon after the words already received.
func resume(t *testing.T, d *cluster.Daemon, sofar cluster.Reply) (cluster.Reply, error) {
	t.Helper()
	url := d.CallerURL + "/v1/requests/" + sofar.RequestID() + "/stream?after=" + itoa(sofar.Events-1)
	req, err := http.NewRequest(http.MethodGet, url, strings.NewReader(""))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+keyVisrad)
	req.Header.Set(caller.HeaderResume, sofar.Header.Get(caller.HeaderResume))
	return cluster.Receive(req, nil)
}

func containsLog(d *cluster.Daemon, text string) bool { return strings.Contains(d.Log(), text) }
