package cli

import (
	"crypto/rand"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
)

// noopCommander implements flags.Commander, which go-flags requires of a command. Execute does
// nothing, because the handler in Main calls run instead.
type noopCommander struct{}

// Execute implements flags.Commander.
func (noopCommander) Execute([]string) error { return nil }

// fileArg holds the positional argument that names a file.
type fileArg struct {
	File string `positional-arg-name:"FILE" required:"true"`
}

type configCheck struct {
	noopCommander
	Overlay string  `long:"overlay" value-name:"SITE" description:"check FILE as the overlay of a site, with the daemon's base"`
	Base    string  `long:"with-base" value-name:"FILE" description:"check FILE as an overlay with this base, without a daemon"`
	Args    fileArg `positional-args:"yes"`
}

func (c *configCheck) run(a *app) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return trace.Wrap(err)
	}
	base, overlay, isBase := text, []byte(nil), true
	switch {
	case c.Base != "":
		if base, err = os.ReadFile(c.Base); err != nil {
			return trace.Wrap(err)
		}
		overlay, isBase = text, false
	case c.Overlay != "":
		shown, err := a.documents(c.Overlay)
		if err != nil {
			return err
		}
		base, overlay, isBase = []byte(shown.Base.Text), text, false
	}
	if err := config.CheckSite(base, overlay, isBase); err != nil {
		return err
	}
	return a.print(map[string]bool{"valid": true}, func(w io.Writer) { printLine(w, "%s is valid", c.Args.File) })
}

type configApply struct {
	noopCommander
	Base     bool    `long:"base" description:"FILE is the base"`
	Overlay  string  `long:"overlay" value-name:"SITE" description:"FILE is the overlay of a site"`
	From     int64   `long:"from-revision" required:"true" value-name:"N" description:"the revision FILE was edited from; 0 for the first"`
	ChangeID string  `long:"change-id" description:"id of the change; repeat it to learn what became of a change"`
	Args     fileArg `positional-args:"yes"`
}

func (c *configApply) run(a *app) error {
	if c.Base == (c.Overlay != "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "exactly one of --base and --overlay SITE is needed"}
	}
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.ChangeID == "" {
		c.ChangeID = rand.Text()
	}
	var applied operator.ApplyReply
	err = a.call(http.MethodPost, "/v1/config/apply", config.ApplyRequest{
		Site: c.Overlay, FromRevision: c.From, ChangeID: c.ChangeID, Text: string(text), Author: author(),
	}, &applied)
	if err != nil {
		return err
	}
	return a.print(applied.Change, func(w io.Writer) {
		printLine(w, "%s is at revision %d, generation %d (change %s)", applied.Change.Target, applied.Change.Revision, applied.Change.Generation, applied.Change.ID)
	})
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// documents returns the documents in force for a site; an empty site means the daemon's site.
func (a *app) documents(site string) (shown operator.ConfigView, err error) {
	path := "/v1/config"
	if site != "" {
		path += "?site=" + url.QueryEscape(site)
	}
	err = a.call(http.MethodGet, path, nil, &shown)
	return shown, err
}

type configShow struct {
	noopCommander
	Site string `long:"site" description:"site whose overlay is shown; default the daemon's"`
}

func (c *configShow) run(a *app) error {
	shown, err := a.documents(c.Site)
	if err != nil {
		return err
	}
	return a.print(shown, func(w io.Writer) {
		printLine(w, "// generation %d (in force here: %d)", shown.Head.Generation, shown.Generation)
		printLine(w, "// base, revision %d\n%s", shown.Base.Revision, shown.Base.Text)
		printLine(w, "// overlay %s, revision %d\n%s", shown.Site, shown.Overlay.Revision, shown.Overlay.Text)
	})
}

type configHistory struct {
	noopCommander
	Overlay string `long:"overlay" value-name:"SITE" description:"history of a site's overlay; default the base"`
}

func (c *configHistory) run(a *app) error {
	var rows []config.StoredDocument
	if err := a.call(http.MethodGet, "/v1/config/history?site="+url.QueryEscape(c.Overlay), nil, &rows); err != nil {
		return err
	}
	return a.print(rows, func(w io.Writer) {
		printLine(w, "REVISION\tGENERATION\tAT\tAUTHOR\tCHANGE")
		for _, r := range rows {
			printLine(w, "%d\t%d\t%s\t%s\t%s", r.Revision, r.Generation, r.At.Format(time.RFC3339), r.Author, r.ChangeID)
		}
	})
}
