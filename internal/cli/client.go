package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/httpanswer"
)

// callTimeout bounds one call to the daemon.
const callTimeout = 30 * time.Second

// call sends a request to the daemon's operator listener, with in as the JSON body unless it
// is nil, and decodes the JSON response into out. It returns a *fault.Error if the daemon
// responded with one.
func (a *app) call(method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, a.url()+path, body)
	if err != nil {
		return trace.BadParameter("--daemon: %v", err)
	}
	if a.Token != "" {
		req.Header.Set("Authorization", "Bearer "+a.Token)
	}
	transport := &httpanswer.Transport{Base: http.DefaultTransport.(*http.Transport)}
	resp, err := (&http.Client{Timeout: callTimeout, Transport: transport}).Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "the daemon at %s cannot be reached: %v", a.Daemon, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "the answer of %s broke off", a.Daemon)
	}
	if resp.StatusCode >= 300 {
		var failed fault.Body
		if json.Unmarshal(data, &failed) == nil && failed.Error.Kind != "" {
			return fault.FromBody(failed)
		}
		return trace.Errorf("%s answered %d: %s", a.Daemon, resp.StatusCode, data)
	}
	return trace.Wrap(json.Unmarshal(data, out))
}

// url returns the daemon's base URL. An address without a scheme gets http://.
func (a *app) url() string {
	if strings.Contains(a.Daemon, "://") {
		return strings.TrimSuffix(a.Daemon, "/")
	}
	return "http://" + a.Daemon
}

// print writes v as JSON with --output json; otherwise it writes the text of table, whose
// tab-separated columns are aligned.
func (a *app) print(v any, table func(w io.Writer)) error {
	if a.Output == "json" {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(v))
	}
	w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
	table(w)
	return trace.Wrap(w.Flush())
}

func printLine(w io.Writer, format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
