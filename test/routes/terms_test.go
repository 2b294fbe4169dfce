package routes_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/cli"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// overrideDeadline is the time within which an override must be in force on all daemons.
const overrideDeadline = 2 * time.Second

// loadTerms runs a command for terms at a daemon and returns its exit code and output.
func loadTerms(d *daemon, args ...string) (code int, text string) {
	var out, errs bytes.Buffer
	code = cli.Main(append(append([]string{"load", "terms"}, args...), "--metrics", d.metricsAddress), &out, &errs)
	return code, out.String() + errs.String()
}

// Guards against overrides that daemons of an installation do not put in force in time, lose when
// all of them restart, or accept while the store does not answer.
func TestTermsAreOverriddenEverywhere(t *testing.T) {
	s := newTestbed(t)
	share := func(r *settings.Routes) {
		r.Overload.FairShares = overload.On
		half := 0.5
		r.Overload.Organisations = terms.Declared{"mtkvari": {Minimum: &half}}
	}
	inForce := []string{"terms.in_force", "organisation=visrad", "weight=3", "source=override", `reason="big launch"`}
	start := func() (fleet []*daemon) {
		s.daemons = nil
		for range 3 {
			fleet = append(fleet, s.startDaemon(share))
		}
		for _, d := range fleet {
			s.waitForLog(d, "terms.in_force", "organisation=mtkvari", "minimum=0.5", "source=settings")
			s.waitForLog(d, "daemon.offered")
		}
		return fleet
	}
	fleet := start()
	code, text := loadTerms(fleet[0], "set", "visrad", "--weight", "3", "--for", "1h", "--reason", "big launch")
	require.Equal(t, cli.ExitOK, code, text)
	stored := time.Now()
	for _, d := range fleet {
		s.waitForLog(d, inForce...)
	}
	require.Less(t, time.Since(stored), overrideDeadline)
	code, text = loadTerms(fleet[1], "set", "visrad", "--weight", "2", "--base", "0", "--for", "1h", "--reason", "mine")
	require.Equal(t, cli.ExitConflict, code, text)
	code, text = loadTerms(fleet[1], "set", "visrad", "--minimum", "0.6", "--for", "1h", "--reason", "mine")
	require.Equal(t, cli.ExitInvalid, code, text)
	require.Contains(t, text, "minimum: the minimums would be 1.1 together")

	for _, d := range fleet {
		d.Kill()
	}
	fleet = start()
	for _, d := range fleet {
		s.waitForLog(d, inForce...)
	}
	s.store.SetFault(platformtest.FaultRefuse)
	code, text = loadTerms(fleet[2], "clear", "visrad")
	require.Equal(t, cli.ExitError, code, text)
	require.Contains(t, text, "the store does not answer")
	s.eventually(func() error {
		// A list may be that of a read within the second before.
		if code, text = loadTerms(fleet[2], "list"); !strings.Contains(text, "these are the terms that the daemon knows") {
			return trace.Errorf("exit code %d: %s", code, text)
		}
		return nil
	})
	require.Equal(t, cli.ExitOK, code, text)
	require.Contains(t, text, "big launch")
	s.store.SetFault(platformtest.FaultNone)
	code, text = loadTerms(fleet[2], "clear", "visrad")
	require.Equal(t, cli.ExitOK, code, text)
	for _, d := range fleet {
		s.waitForLog(d, "terms.ended", "organisation=visrad", "cause=cleared")
	}
}
