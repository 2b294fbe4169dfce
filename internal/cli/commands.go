package cli

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
)

type statusCommand struct{ noopCommander }

func (c *statusCommand) run(a *app) error {
	var s operator.Status
	if err := a.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	return a.print(s, func(w io.Writer) {
		printLine(w, "daemon\t%s", s.Incarnation)
		printLine(w, "site\t%s (%s)", s.Site, s.FailureDomain)
		printLine(w, "ready\t%v (stopping: %v)", s.Ready, s.Stopping)
		printLine(w, "generation\t%d, confirmed %d ms ago", s.Generation, s.ConfirmedMS)
		printLine(w, "requests\t%d running", s.Running)
		printLine(w, "bills\t%d pending, %d held for peers", s.BillsPending, s.BillsHeld)
		for _, d := range s.Daemons {
			printLine(w, "daemon\t%s\t%s\t%s\t%s", d.Incarnation, d.State, d.FailureDomain, d.CallerURL)
		}
		for _, u := range s.Upstreams {
			printLine(w, "upstream\t%s\t%s\t%s\trunning %d, queued %d, leaving %v, ejected %v\t%s",
				u.ID, u.Role, u.FailureDomain, u.Running, u.Queued, u.Leaving, u.Ejected, strings.Join(u.Versions, " "))
		}
	})
}

type versionsCommand struct{ noopCommander }

func (c *versionsCommand) run(a *app) error {
	var rows []operator.VersionStatus
	if err := a.call(http.MethodGet, "/v1/versions", nil, &rows); err != nil {
		return err
	}
	return a.print(rows, func(w io.Writer) {
		printLine(w, "VERSION\tSTATE\tSHARE\tGOOD\tBAD\tREASON")
		for _, v := range rows {
			printLine(w, "%s\t%s\t%.2f\t%d\t%d\t%s", v.VersionRef, v.State, v.Share, v.Good, v.Bad, v.Reason)
		}
	})
}

// versionArg holds the positional arguments that name a version of a model.
type versionArg struct {
	Model   string `positional-arg-name:"MODEL" required:"true"`
	Version string `positional-arg-name:"VERSION" required:"true"`
}

type rolloutStart struct {
	noopCommander
	From string     `long:"from" value-name:"VERSION" description:"the version that is replaced"`
	Args versionArg `positional-args:"yes"`
}

func (c *rolloutStart) run(a *app) error {
	return a.changeRollout("/v1/rollouts", operator.RolloutRequest{Model: c.Args.Model, Version: c.Args.Version, From: c.From}, "is being rolled out")
}

type rolloutWithdraw struct {
	noopCommander
	Reason string     `long:"reason" description:"shown in the version list"`
	Args   versionArg `positional-args:"yes"`
}

func (c *rolloutWithdraw) run(a *app) error {
	return a.changeRollout("/v1/rollouts/withdraw", operator.RolloutRequest{Model: c.Args.Model, Version: c.Args.Version, Reason: c.Reason}, "is withdrawn")
}

func (a *app) changeRollout(path string, req operator.RolloutRequest, what string) error {
	var out operator.RolloutReply
	if err := a.call(http.MethodPost, path, req, &out); err != nil {
		return err
	}
	return a.print(out, func(w io.Writer) {
		printLine(w, "%s@%s %s, generation %d", req.Model, req.Version, what, out.Generation)
	})
}

type rolloutStatus struct{ noopCommander }

func (c *rolloutStatus) run(a *app) error {
	var rows []config.Rollout
	if err := a.call(http.MethodGet, "/v1/rollouts", nil, &rows); err != nil {
		return err
	}
	return a.print(rows, func(w io.Writer) {
		printLine(w, "VERSION\tSTATE\tSTAGE\tSHARE\tGOOD\tBAD\tFROM\tREASON")
		for _, r := range rows {
			printLine(w, "%s\t%s\t%d\t%.2f\t%d\t%d\t%s\t%s", r.VersionRef, r.State, r.Stage, r.Share, r.Good, r.Bad, r.From, r.Reason)
		}
	})
}

type ledgerList struct {
	noopCommander
	Organisation string `long:"organisation" value-name:"O" description:"only this organisation"`
}

func (c *ledgerList) run(a *app) error {
	var rows []ledger.Entry
	if err := a.call(http.MethodGet, "/v1/ledger?organisation="+url.QueryEscape(c.Organisation), nil, &rows); err != nil {
		return err
	}
	return a.print(rows, func(w io.Writer) {
		printLine(w, "REQUEST\tORGANISATION\tKIND\tSTATE\tAMOUNT\tCLOSED")
		for _, b := range rows {
			printLine(w, "%s\t%s\t%s%s\t%s\t%d\t%s", b.RequestID, b.Organisation, b.Kind, b.Service, b.State, b.Amount, b.Closed.Format(time.RFC3339))
		}
	})
}

type entriesCommand struct{ noopCommander }

func (c *entriesCommand) run(a *app) error {
	var rows []caller.Entry
	if err := a.call(http.MethodGet, "/v1/entries", nil, &rows); err != nil {
		return err
	}
	return a.print(rows, func(w io.Writer) {
		printLine(w, "URL\tINSTANCE\tFAILURE DOMAIN\tKEY PREFIX")
		for _, e := range rows {
			printLine(w, "%s\t%s\t%s\t%s", e.URL, e.Instance, e.FailureDomain, e.KeyPrefix)
		}
	})
}

type keysRotate struct{ noopCommander }

func (c *keysRotate) run(a *app) error {
	var out struct {
		Keys int `json:"keys"`
	}
	if err := a.call(http.MethodPost, "/v1/keys/rotate", nil, &out); err != nil {
		return err
	}
	return a.print(out, func(w io.Writer) { printLine(w, "%d keys are accepted", out.Keys) })
}
