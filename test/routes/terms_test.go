package routes_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/cli"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// loadTerms runs a command for terms at a daemon and requires its exit code and a part of its output.
func loadTerms(t *testing.T, d *daemon, code int, output string, args ...string) {
	t.Helper()
	var out, errs bytes.Buffer
	got := cli.Main(append(append([]string{"load", "terms"}, args...), "--metrics", d.metricsAddress), &out, &errs)
	text := out.String() + errs.String()
	require.Equal(t, code, got, text)
	require.Contains(t, text, output)
}

// Guards against overrides that daemons of an installation do not put in force in time, lose when
// all of them restart, or accept while the store does not answer, and against commands that lose a
// value, that hide a refusal, or whose change is not based on what the operator has seen.
func TestTermsAreOverriddenEverywhere(t *testing.T) {
	s := newTestbed(t)
	inForce := []string{"terms.in_force", "organisation=visrad", "weight=3", "cap=0.5", "source=override", `reason="big launch"`}
	start := func() []*daemon {
		s.daemons = nil
		for range 3 {
			s.startDaemon(func(r *settings.Routes) {
				half := 0.5
				r.Overload.FairShares, r.Overload.Organisations = overload.On, terms.Declared{"mtkvari": {Minimum: &half}}
			})
		}
		for _, d := range s.daemons {
			s.waitForLog(d, "terms.in_force", "organisation=mtkvari", "minimum=0.5", "source=settings")
		}
		return s.daemons
	}
	fleet := start()
	set := []string{"set", "visrad", "--for", "1h", "--reason", "big launch"}
	loadTerms(t, fleet[0], cli.ExitOK, "override", append(set, "--weight", "3", "--cap", "0.5")...)
	stored := time.Now()
	for _, d := range fleet {
		s.waitForLog(d, inForce...)
	}
	require.Less(t, time.Since(stored), 2*time.Second)
	loadTerms(t, fleet[1], cli.ExitConflict, "big launch", append(set, "--base", "0")...)
	loadTerms(t, fleet[1], cli.ExitInvalid, "minimum: 0.6 is above the cap of 0.5", append(set, "--minimum", "0.6")...)
	loadTerms(t, fleet[1], cli.ExitInvalid, "minimum: NaN is out of range", append(set, "--minimum", "NaN")...)
	loadTerms(t, fleet[1], cli.ExitUsage, "--reason", "set", "visrad", "--for", "1h")

	for _, d := range fleet {
		d.Kill()
	}
	fleet = start()
	for _, d := range fleet {
		s.waitForLog(d, inForce...)
	}
	loadTerms(t, fleet[2], cli.ExitOK, `"store_read": true`, "list", "--output", "json")
	s.store.SetFault(platformtest.FaultRefuse)
	loadTerms(t, fleet[2], cli.ExitError, "the store does not answer", "clear", "visrad")
	s.store.SetFault(platformtest.FaultNone)
	loadTerms(t, fleet[2], cli.ExitOK, "default", "clear", "visrad")
	for _, d := range fleet {
		s.waitForLog(d, "terms.ended", "organisation=visrad", "cause=cleared")
	}
}
