package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/neterr"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
)

// loadTerms are the commands for the terms of organisations.
type loadTerms struct {
	List  termsList  `command:"list" description:"list the terms of organisations"`
	Set   termsSet   `command:"set" description:"override the terms of an organisation for a limited time"`
	Clear termsClear `command:"clear" description:"end an override"`
}

// setMetrics passes the daemon's address, an option of the command load, to the commands below it.
func (t *loadTerms) setMetrics(m *metricsOption) {
	t.List.metrics, t.Set.metrics, t.Clear.metrics = m, m, m
}

// termsCommand is the part that the commands for terms have in common.
type termsCommand struct {
	noopCommander
	metrics *metricsOption
}

func (c *termsCommand) list() (reply entry.TermsReply, err error) {
	err = c.metrics.get(entry.TermsPath, &reply)
	return reply, err
}

// organisationArg holds the positional argument that names an organisation.
type organisationArg struct {
	Organisation string `positional-arg-name:"ORGANISATION" required:"true"`
}

// baseOption is the option that names the override on which a change is based.
type baseOption struct {
	Base *int64 `long:"base" value-name:"VERSION" description:"version of the override that the change replaces, 0 for none; default the one in force now"`
}

// change sends a change to the daemon. Without a base the change is based on the override that the
// daemon has in force now.
func (c *termsCommand) change(a *app, base *int64, change terms.Change) error {
	if base == nil {
		reply, err := c.list()
		if err != nil {
			return err
		}
		for _, o := range reply.Organisations {
			if o.Name == change.Organisation {
				change.Base = o.Version
			}
		}
	} else {
		change.Base = *base
	}
	change.Who = author()
	body, err := json.Marshal(change)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := (&http.Client{Timeout: callTimeout}).Post("http://"+c.metrics.Metrics+entry.TermsPath, "application/json", bytes.NewReader(body))
	if neterr.NotSent(err) {
		return trace.ConnectionProblem(err, "the daemon cannot be reached, nothing has been changed: %v", err)
	}
	if err != nil {
		return fault.New(fault.ConfigUnknown, "the daemon has not answered: the change may have been stored, list the terms to see: %v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fault.New(fault.ConfigUnknown, "the daemon's answer broke off: list the terms to see whether the change was stored: %v", err)
	}
	if resp.StatusCode != http.StatusOK {
		var failed fault.Body
		if json.Unmarshal(data, &failed) == nil && failed.Error.Kind != "" {
			return fault.FromBody(failed)
		}
		return trace.Errorf("the daemon answered %d: %s", resp.StatusCode, data)
	}
	var now entry.OrganisationTerms
	if err := json.Unmarshal(data, &now); err != nil {
		return trace.Wrap(err)
	}
	return a.print(now, func(w io.Writer) { printTerms(w, []entry.OrganisationTerms{now}) })
}

// termsList lists the terms in force.
type termsList struct{ termsCommand }

func (c *termsList) run(a *app) error {
	reply, err := c.list()
	if err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		if !reply.Applies {
			printLine(w, "no service is divided between organisations: the terms have no effect now")
		}
		if !reply.StoreRead {
			printLine(w, "the store does not answer: these are the terms that the daemon knows")
		}
		printTerms(w, reply.Organisations)
	})
}

func printTerms(w io.Writer, all []entry.OrganisationTerms) {
	printLine(w, "ORGANISATION\tWEIGHT\tMINIMUM\tCAP\tSOURCE\tVERSION\tLEFT\tWHO\tREASON")
	for _, o := range all {
		name, left := o.Name, "-"
		if !o.Configured {
			name += " (not configured)"
		}
		if o.LeftMS > 0 {
			left = (time.Duration(o.LeftMS) * time.Millisecond).Round(time.Second).String()
		}
		printLine(w, "%s\t%g\t%g\t%g\t%s\t%d\t%s\t%s\t%q", name, o.Weight, o.Minimum, o.Cap, o.Source, o.Version, left, o.Who, o.Reason)
	}
}

// termsSet overrides the terms of an organisation. Values that are not given stay as they are.
type termsSet struct {
	termsCommand
	baseOption
	Weight  *float64        `long:"weight" value-name:"W" description:"weight in the division of a service's capacity"`
	Minimum *float64        `long:"minimum" value-name:"M" description:"guaranteed fraction of the capacity, 0 for none"`
	Cap     *float64        `long:"cap" value-name:"C" description:"highest fraction of the capacity, 0 for none"`
	For     time.Duration   `long:"for" required:"true" value-name:"DURATION" description:"time until the override ends, at most 24h"`
	Reason  string          `long:"reason" required:"true" value-name:"TEXT" description:"why, shown in lists and logs"`
	Args    organisationArg `positional-args:"yes"`
}

func (c *termsSet) run(a *app) error {
	// JSON has no form for NaN and infinity, so the daemon cannot refuse them.
	for _, v := range []struct {
		flag  string
		value *float64
	}{{"weight", c.Weight}, {"minimum", c.Minimum}, {"cap", c.Cap}} {
		if v.value != nil && !(*v.value >= 0 && *v.value <= maxTermsValue) {
			return trace.BadParameter("%s: %v is out of range", v.flag, *v.value)
		}
	}
	if c.For <= 0 {
		return trace.BadParameter("for: must be above 0")
	}
	return c.change(a, c.Base, terms.Change{
		Organisation: c.Args.Organisation, Given: terms.Given{Weight: c.Weight, Minimum: c.Minimum, Cap: c.Cap},
		ForMS: max(c.For.Milliseconds(), 1), Reason: c.Reason,
	})
}

// maxTermsValue bounds what is sent to a daemon, which has bounds of its own.
const maxTermsValue = 1e9

// termsClear ends an override, so that the settings are in force again.
type termsClear struct {
	termsCommand
	baseOption
	Reason string          `long:"reason" value-name:"TEXT" description:"why, shown in logs; default the reason of the override"`
	Args   organisationArg `positional-args:"yes"`
}

func (c *termsClear) run(a *app) error {
	return c.change(a, c.Base, terms.Change{Organisation: c.Args.Organisation, Clear: true, Reason: c.Reason})
}
