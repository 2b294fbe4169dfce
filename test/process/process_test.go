// Package process_test runs daemons and stand-ins as processes and tests that the
// system keeps its guarantees under failures.
package process_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

var binaries cluster.Binaries

func TestMain(m *testing.M) { os.Exit(cluster.RunTests(m, &binaries)) }

const visradAPIKey = "example-key-visrad"

// site is a cluster to which newSite has applied the example configuration.
type site struct {
	*cluster.Cluster
	t       *testing.T
	engines []*cluster.Upstream
}

// engineOptions returns the options of an engine that serves every example model.
func engineOptions(id string) standin.EngineOptions {
	profile := standin.VersionProfile{
		Quality:   map[string]float64{"": 0.95},
		TokenTime: standin.Duration(2 * time.Millisecond),
		Tokens:    24,
	}
	o := standin.EngineOptions{Instance: id, Slots: 16, BatchSlowdown: 0.01, Profiles: map[string]standin.VersionProfile{}}
	for _, v := range []string{"notes-large@1", "notes-large@2", "notes-small@1", "clauses@1", "mail-small@1", "mail-small@2", "mail-large@1"} {
		o.Profiles[v] = profile
		if !strings.HasSuffix(v, "@2") {
			o.Serving = append(o.Serving, v)
		}
	}
	return o
}

// newSite starts a platform, two engines and n daemons in different failure
// domains, and applies the example configuration. change, if not nil, may alter the
// options of the engines.
func newSite(t *testing.T, n int, change func(*standin.EngineOptions)) *site {
	t.Helper()
	s := newPlatform(t)
	s.startAll(n, change)
	return s
}

// startAll starts two engines and n daemons, and applies the example configuration.
func (s *site) startAll(n int, change func(*standin.EngineOptions)) {
	t := s.t
	t.Helper()
	for _, id := range []string{"engine-1", "engine-2"} {
		o := engineOptions(id)
		if change != nil {
			change(&o)
		}
		e, err := s.StartEngine(o, "gbg-a", nil)
		require.NoError(t, err)
		s.engines = append(s.engines, e)
	}
	s.startDaemons(n)
	s.applyExamples(s.Daemons[0])
	require.NoError(t, s.WaitReady(s.Daemons, len(s.engines)))
}

// newPlatform starts a platform stand-in without engines and daemons. It marks the
// test as parallel. If the test fails, the logs of its daemons are printed.
func newPlatform(t *testing.T) *site {
	t.Helper()
	t.Parallel()
	return newLonePlatform(t)
}

// newLonePlatform is newPlatform for a test that does not run beside others.
func newLonePlatform(t *testing.T) *site {
	t.Helper()
	c, err := cluster.New(binaries, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			for _, d := range c.Daemons {
				t.Logf("daemon %s\n%s", d.Incarnation, d.Log())
			}
		}
		c.Close()
	})
	return &site{Cluster: c, t: t}
}

func (s *site) startDaemons(n int) {
	s.t.Helper()
	for i := range n {
		_, err := s.StartDaemon(fmt.Sprintf("gbg-%c", 'a'+i), nil)
		require.NoError(s.t, err)
	}
}

// readExample returns a file of the examples directory.
func readExample(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	require.NoError(t, err)
	return string(text)
}

func (s *site) applyExamples(d *cluster.Daemon) {
	s.t.Helper()
	s.applyConfig(d, "", 0, readExample(s.t, "base.jsonc"))
	s.applyConfig(d, "gothenburg", 0, readExample(s.t, "overlay-gothenburg.jsonc"))
}

// applyConfig applies a document as the successor of revision from, and returns the
// new generation. target is a site's name, or empty for the base document.
func (s *site) applyConfig(d *cluster.Daemon, target string, from int64, text string) int64 {
	s.t.Helper()
	var out operator.ApplyReply
	err := cluster.Post(d.OperatorURL+"/v1/config/apply", config.ApplyRequest{
		Site: target, FromRevision: from, ChangeID: fmt.Sprintf("%s-%d", target, from), Text: text,
	}, &out)
	require.NoError(s.t, err)
	return out.Change.Generation
}

// newClient returns an OpenAI client for a daemon, without automatic retries.
func newClient(url string, options ...option.RequestOption) openai.Client {
	return openai.NewClient(append([]option.RequestOption{
		option.WithBaseURL(url + "/v1/"), option.WithAPIKey(visradAPIKey), option.WithMaxRetries(0),
	}, options...)...)
}

func chatParams(model, text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// requireComplete requires that text is the complete answer of a stand-in engine,
// which has 24 words in order. It does not check the first word, which names the
// version, and the last, which gives the quality.
func requireComplete(t *testing.T, text string) {
	t.Helper()
	fields := strings.Fields(text)
	require.Len(t, fields, 24, text)
	for i, w := range fields[1:23] {
		require.Equal(t, fmt.Sprintf("w%d", i+1), w, text)
	}
}

// attemptCounts returns the number of attempts that the engines started and
// finished, by request id.
func (s *site) attemptCounts() (started, finished map[string]int) {
	s.t.Helper()
	started, finished = map[string]int{}, map[string]int{}
	for _, c := range s.engineCounts() {
		for id, n := range c.Started {
			started[id] += n
		}
		for id, n := range c.Finished {
			finished[id] += n
		}
	}
	return started, finished
}

// bills returns the ledger entries that a daemon reports, by request id. There must
// be at most one for each request.
func (s *site) bills(d *cluster.Daemon) map[string]ledger.Entry {
	s.t.Helper()
	var rows []ledger.Entry
	require.NoError(s.t, cluster.Get(d.OperatorURL+"/v1/ledger", &rows))
	out := map[string]ledger.Entry{}
	for _, r := range rows {
		require.NotContains(s.t, out, r.RequestID, "two bills of one request")
		out[r.RequestID] = r
	}
	return out
}

// requireFinishedBilled waits until the requests billed as answered are exactly
// those that an engine finished.
func (s *site) requireFinishedBilled(d *cluster.Daemon) {
	s.t.Helper()
	require.NoError(s.t, cluster.Eventually(func() error {
		_, finished := s.attemptCounts()
		answered := 0
		for id, b := range s.bills(d) {
			if b.State != ledger.Answered {
				continue
			}
			answered++
			if finished[id] == 0 {
				return fmt.Errorf("%s is billed as answered, but no engine finished it", id)
			}
		}
		if answered != len(finished) {
			return fmt.Errorf("%d requests billed as answered, %d finished", answered, len(finished))
		}
		return nil
	}))
}

// A caller discovers three daemons and uses the public OpenAI client with each,
// streaming and not; then an operator changes the configuration at one of them.
// Guards against a break anywhere on the usual path: discovery, answers and their
// headers, billing, and distribution of the configuration.
func TestEndToEnd(t *testing.T) {
	s := newSite(t, 3, nil)
	var found struct {
		Entries []caller.Entry `json:"entries"`
		TTL     int            `json:"ttl_seconds"`
	}
	require.NoError(t, cluster.Get(s.Daemons[0].CallerURL+"/v1/entries", &found))
	require.Len(t, found.Entries, 3)
	require.Positive(t, found.TTL)

	requests := map[string]bool{}
	for _, e := range found.Entries {
		c := newClient(e.URL)
		var resp *http.Response
		completion, err := c.Chat.Completions.New(context.Background(), chatParams("auto", "Summarise clause 4."), option.WithResponseInto(&resp))
		require.NoError(t, err)
		requireComplete(t, completion.Choices[0].Message.Content)
		require.Positive(t, completion.Usage.TotalTokens)
		require.Equal(t, completion.Model, resp.Header.Get(caller.HeaderModel)+"@"+resp.Header.Get(caller.HeaderVersion))
		require.NotEmpty(t, resp.Header.Get(caller.HeaderSession))
		requests[resp.Header.Get(caller.HeaderRequest)] = true

		stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams("notes-small", "Tag this."))
		var acc openai.ChatCompletionAccumulator
		for stream.Next() {
			require.True(t, acc.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		requireComplete(t, acc.Choices[0].Message.Content)
		require.Equal(t, "stop", string(acc.Choices[0].FinishReason))
		requests[acc.ID] = true
	}
	require.Len(t, requests, 6)
	s.requireFinishedBilled(s.Daemons[1])
	for id := range requests {
		require.Contains(t, s.bills(s.Daemons[2]), id)
	}

	base := strings.Replace(readExample(t, "base.jsonc"), `"publisher-a"`, `"publisher-b"`, 1)
	generation := s.applyConfig(s.Daemons[1], "", 1, base)
	for _, d := range s.Daemons {
		require.NoError(t, cluster.Eventually(func() error {
			status, err := d.Status()
			if err == nil && status.Generation != generation {
				err = fmt.Errorf("generation %d, not %d", status.Generation, generation)
			}
			return err
		}))
	}
}
