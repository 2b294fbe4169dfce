package process_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// A caller sends a trace id with its requests. Guards against hops that are missing
// from the trace: every hop must have a span with this id in the exporter's file,
// and the upstream must get the same id.
func TestTraceHasSpanOfEveryHop(t *testing.T) {
	s := newSite(t, 1, nil)
	_, err := s.StartService("catalogue-1", "catalogue", "gbg-a", nil)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "spans.json")
	d, err := s.StartDaemon("gbg-b", func(set *settings.Settings) {
		set.Trace = settings.Trace{Exporter: "file", File: file}
	})
	require.NoError(t, err)
	require.NoError(t, s.WaitReady(s.Daemons, 3))

	const traceID = "0af7651916cd43dd8448eb211c80319c"
	call := func(method, path, body, key string) cluster.Reply {
		req, err := http.NewRequest(method, d.CallerURL+path, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+visradAPIKey)
		req.Header.Set("Traceparent", "00-"+traceID+"-b7ad6b7169203331-01")
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		reply, err := cluster.Do(req, nil)
		require.NoError(t, err)
		require.Nil(t, reply.Err)
		return reply
	}
	require.Contains(t, call(http.MethodGet, "/v1/services/catalogue/songs", "", "").Text, traceID)
	call(http.MethodPost, "/v1/chat/completions", string(summaryRequest("traced").Body()), keyWithHome(t, s.Daemons[0], "traced"))
	d.Signal(syscall.SIGTERM)
	require.Equal(t, 0, d.Wait())
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	for _, name := range []string{"caller POST /v1/chat/completions", "dispatch", "attempt", "service", "call", "peer Take"} {
		require.True(t, hasSpan(string(text), traceID, name), name)
	}
}

// hasSpan reports whether the exporter's lines have a span of a trace with a name.
func hasSpan(text, traceID, name string) bool {
	for _, line := range strings.Split(text, "\n") {
		if strings.Contains(line, traceID) && strings.Contains(line, fmt.Sprintf("%q:%q", "Name", name)) {
			return true
		}
	}
	return false
}
