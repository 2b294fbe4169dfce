package cli

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

// metricsOption is the option that names a daemon by the address of its metrics listener.
type metricsOption struct {
	Metrics string `long:"metrics" required:"true" value-name:"HOST:PORT" description:"metrics listener of the daemon"`
}

// get fetches path from the daemon's metrics listener and decodes the JSON into out.
func (m metricsOption) get(path string, out any) error {
	resp, err := http.Get("http://" + m.Metrics + path)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("the daemon answered %d", resp.StatusCode)
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// entryQuarantine lists the requests that the daemon refuses because they crash upstream
// instances.
type entryQuarantine struct {
	noopCommander
	metricsOption
}

func (c *entryQuarantine) run(a *app) error {
	var reply entry.QuarantineReply
	if err := c.get(entry.QuarantinePath, &reply); err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		printLine(w, "DIGEST\tPARTS\tORGANISATION\tROUTE\tSTATE\tENDED")
		for _, r := range reply.Requests {
			printLine(w, "%s\t%s\t%s\t%s\t%s\t%s", r.Digest, cmp.Or(strings.Join(r.Parts, ","), "-"), organisationOf(r), r.Route, quarantineState(r), strings.Join(r.Ended, " "))
		}
	})
}

func organisationOf(r entry.QuarantinedRequest) string {
	if r.Shared {
		return "(all)"
	}
	return r.Organisation
}

func quarantineState(r entry.QuarantinedRequest) string {
	left := time.Duration(r.LeftMS) * time.Millisecond
	switch {
	case r.Released:
		return "released"
	case left <= 0:
		return "over"
	default:
		return "refused for " + left.Round(time.Second).String()
	}
}

// entryRelease ends the quarantine of a request, so that the daemon forwards it again.
type entryRelease struct {
	noopCommander
	metricsOption
	Args struct {
		Digest string `positional-arg-name:"DIGEST" required:"true"`
	} `positional-args:"yes"`
}

func (c *entryRelease) run(a *app) error {
	var d quarantine.Digest
	if err := d.UnmarshalText([]byte(c.Args.Digest)); err != nil {
		return err
	}
	resp, err := http.Post("http://"+c.Metrics+entry.ReleasePath+d.String(), "", nil)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return trace.Errorf("the daemon answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return a.print(d, func(w io.Writer) { printLine(w, "released\t%s", d) })
}
