package cli

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// entryCheck checks the settings of a daemon for plain HTTP callers.
type entryCheck struct {
	noopCommander
	Args fileArg `positional-args:"yes"`
}

func (c *entryCheck) run(a *app) error {
	f, ok, err := settings.LoadRoutes(c.Args.File)
	if err == nil && !ok {
		err = trace.BadParameter("%s: /routes: missing", c.Args.File)
	}
	if err != nil {
		return err
	}
	return a.print(f, func(w io.Writer) {
		printLine(w, "settings are valid\t%s in %s", f.Routes.Instance, f.Routes.FailureDomain)
	})
}

// entryManifest checks a manifest, which is an operator's declaration of the routes, and
// prints its routes.
type entryManifest struct {
	noopCommander
	Args fileArg `positional-args:"yes"`
}

func (c *entryManifest) run(a *app) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return trace.Wrap(err)
	}
	catalog, err := platform.DecodeManifest(text)
	if err != nil {
		return err
	}
	return a.print(catalog.Routes(), func(w io.Writer) {
		printLine(w, "version\t%d", catalog.Version)
		for _, r := range catalog.Routes() {
			printLine(w, "route\t%s\t%s%s\t%s\ttimeout %v\tobjective %v\tattempts %d", r.Name, r.Host, r.Prefix, r.Kind, r.Timeout, r.Objective, r.MaxAttempts)
		}
	})
}

// entryShow prints the status of a daemon for plain HTTP callers: its configuration, instances,
// evacuations, roll-outs and peers.
type entryShow struct {
	noopCommander
	metricsOption
}

func (c *entryShow) run(a *app) error {
	var status entry.DaemonStatus
	if err := c.get(entry.StatusPath, &status); err != nil {
		return err
	}
	return a.print(status, func(w io.Writer) { printStatus(w, status) })
}

// formatLimit formats the request rate limit that an instance has reported, in requests per
// second.
func formatLimit(v inventory.View) string {
	if !v.Limited {
		return "none"
	}
	return fmt.Sprintf("%g/s", v.Limit)
}

// formatSpeed formats how many times as long as usual an instance takes: at this moment, on
// average, and the age of the data.
func formatSpeed(v inventory.View) string {
	if v.Speed.Now == 0 {
		return "usual"
	}
	return fmt.Sprintf("%.2f (mean %.2f, %d ms old)", v.Speed.Now, v.Speed.Mean, v.Speed.Age.Milliseconds())
}

// formatProven formats whether requests that must not be repeated prefer an instance, and since
// when that is so.
func formatProven(v inventory.View) string {
	if v.ProvenSince.IsZero() {
		return fmt.Sprint(v.Proven)
	}
	return fmt.Sprintf("%v since %s", v.Proven, v.ProvenSince.UTC().Format(time.RFC3339))
}

// formatCutOff formats the services whose instances a daemon does not reach.
func formatCutOff(d member.Daemon) string {
	if len(d.CutOff) == 0 {
		return "none"
	}
	return strings.Join(d.CutOff, ",")
}

func printStatus(w io.Writer, status entry.DaemonStatus) {
	printLine(w, "daemon\t%s\tready %v\treads the store %v\tstale %v", status.Instance, status.Ready, status.Reader, status.Stale())
	printLine(w, "config\tversion %d\t%d ms old\tbody limit %d bytes", status.Config.Version, status.Config.AgeMS, status.Config.Limits.BodyBytes)
	for _, r := range status.Config.Routes {
		printLine(w, "route\t%s\t%s%s\t%s\t%v", r.Name, r.Host, r.Prefix, r.Kind, r.Backends)
	}
	printLine(w, "list\trevision %d\t%d ms old", status.List.Revision, status.List.AgeMS)
	for service, views := range status.List.Instances {
		for _, v := range views {
			printLine(w, "upstream\t%s\t%s\t%s\t%s\topen %d\tejected %v\twarming %v\tlimit %s\tslowdown %s\tproven %s", service, v.Instance.ID, v.Instance.Address, v.Instance.Version, v.Open, v.Ejected, v.Warming, formatLimit(v), formatSpeed(v), formatProven(v))
		}
	}
	for _, e := range status.Evacuations {
		printLine(w, "evacuated\t%s\tfor %d ms\topen %d", e.FailureDomain, e.SinceMS, e.Open)
	}
	for _, s := range status.Rollouts {
		printLine(w, "rollout\t%s\tto %s\t%s\tshare %.2f", s.Service, s.To, s.Phase, s.Share)
	}
	for _, d := range status.Daemons {
		printLine(w, "daemon\t%s\t%s\t%s\t%s\tcut off from %s", d.PeerAddress, d.State, d.FailureDomain, d.CallerURL, formatCutOff(d))
	}
}
