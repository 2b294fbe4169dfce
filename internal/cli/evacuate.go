package cli

import (
	"crypto/rand"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
)

// siteOption is the option that names the site whose overlay is read or changed.
type siteOption struct {
	Site string `long:"site" description:"site of the failure domain; default the daemon's"`
}

// domainArg holds the positional argument that names a failure domain.
type domainArg struct {
	FailureDomain string `positional-arg-name:"FAILURE-DOMAIN" required:"true"`
}

type evacuateCommand struct {
	noopCommander
	siteOption
	Args domainArg `positional-args:"yes"`
}

func (c *evacuateCommand) run(a *app) error {
	return c.applyEdit(a, "is evacuated", c.Args.FailureDomain, func(overlay []byte) ([]byte, error) {
		return config.Evacuate(overlay, c.Args.FailureDomain, time.Now())
	})
}

type restoreCommand struct {
	noopCommander
	siteOption
	Args domainArg `positional-args:"yes"`
}

func (c *restoreCommand) run(a *app) error {
	return c.applyEdit(a, "is in use again", c.Args.FailureDomain, func(overlay []byte) ([]byte, error) {
		return config.Restore(overlay, c.Args.FailureDomain)
	})
}

// applyEdit reads the site's overlay, edits it and applies the result. If the overlay changed
// after it was read, the daemon rejects the edit with a conflict and keeps the other change.
func (o *siteOption) applyEdit(a *app, what, domain string, edit func(overlay []byte) ([]byte, error)) error {
	shown, err := a.documents(o.Site)
	if err != nil {
		return err
	}
	text, err := edit([]byte(shown.Overlay.Text))
	if err != nil {
		return err
	}
	var applied operator.ApplyReply
	err = a.call(http.MethodPost, "/v1/config/apply", config.ApplyRequest{
		Site: shown.Site, FromRevision: shown.Overlay.Revision, ChangeID: rand.Text(), Text: string(text), Author: author(),
	}, &applied)
	if err != nil {
		return err
	}
	return a.print(applied.Change, func(w io.Writer) {
		printLine(w, "%s of %s %s, generation %d", domain, shown.Site, what, applied.Change.Generation)
	})
}

// evacuatedCommand lists the evacuated failure domains, each with the number of requests that
// still run on its upstreams.
type evacuatedCommand struct {
	noopCommander
	siteOption
}

func (c *evacuatedCommand) run(a *app) error {
	shown, err := a.documents(c.Site)
	if err != nil {
		return err
	}
	doc, err := config.Merge([]byte(shown.Base.Text), []byte(shown.Overlay.Text))
	if err != nil {
		return err
	}
	var status operator.Status
	if err := a.call(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	rows := []entry.Evacuation{}
	for _, domain := range slices.Sorted(maps.Keys(doc.Upstreams.Evacuated)) {
		e := entry.Evacuation{FailureDomain: domain, SinceMS: time.Since(doc.Upstreams.Evacuated[domain]).Milliseconds()}
		for _, u := range status.Upstreams {
			if u.FailureDomain == domain {
				e.Open += u.Running
			}
		}
		rows = append(rows, e)
	}
	return a.printEvacuations(rows)
}

// entryEvacuated lists the evacuations in force in a daemon for plain HTTP callers.
type entryEvacuated struct {
	noopCommander
	metricsOption
}

func (c *entryEvacuated) run(a *app) error {
	var status entry.DaemonStatus
	if err := c.get(entry.StatusPath, &status); err != nil {
		return err
	}
	return a.printEvacuations(status.Evacuations)
}

func (a *app) printEvacuations(rows []entry.Evacuation) error {
	return a.print(rows, func(w io.Writer) {
		printLine(w, "FAILURE DOMAIN\tSINCE\tSTILL RUNNING")
		for _, e := range rows {
			printLine(w, "%s\t%v\t%d", e.FailureDomain, (time.Duration(e.SinceMS) * time.Millisecond).Round(time.Second), e.Open)
		}
	})
}
