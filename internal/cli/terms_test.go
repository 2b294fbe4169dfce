package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
)

// Guards against commands that lose a value, that are not based on the override that the operator
// has seen, and against output or exit codes that hide a refusal.
func TestTermsCommands(t *testing.T) {
	override := entry.OrganisationTerms{
		Name: "north", Values: terms.Values{Weight: 2, Cap: 0.5}, Source: "override", Version: 7, Who: "ada", Reason: "big launch", LeftMS: 90_000,
	}
	reply := entry.TermsReply{Organisations: []entry.OrganisationTerms{override}}
	var changes []terms.Change
	var refusal *fault.Error
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(reply)
			return
		}
		var c terms.Change
		_ = json.NewDecoder(r.Body).Decode(&c)
		changes = append(changes, c)
		if refusal != nil {
			fault.Write(w, refusal)
			return
		}
		_ = json.NewEncoder(w).Encode(override)
	}))
	defer daemon.Close()
	run := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		args = append([]string{"load", "terms"}, append(args, "--metrics", strings.TrimPrefix(daemon.URL, "http://"))...)
		require.Equal(t, want, Main(args, &out, &errs), errs.String())
		return out.String() + errs.String()
	}
	text := run(ExitOK, "list")
	for _, part := range []string{"no service is divided", "the store does not answer", "north (not configured)", "override", "1m30s", "ada", `"big launch"`} {
		require.Contains(t, text, part)
	}
	var listed entry.TermsReply
	require.NoError(t, json.Unmarshal([]byte(run(ExitOK, "list", "--output", "json")), &listed))
	require.Equal(t, reply, listed)

	run(ExitOK, "set", "north", "--weight", "2", "--cap", "0", "--for", "1h30m", "--reason", "big launch")
	require.Contains(t, run(ExitOK, "clear", "north", "--base", "3", "--output", "json"), `"version": 7`)
	weight, none := 2.0, 0.0
	require.Equal(t, []terms.Change{
		{Organisation: "north", Base: 7, Given: terms.Given{Weight: &weight, Cap: &none}, ForMS: 5_400_000, Who: author(), Reason: "big launch"},
		{Organisation: "north", Base: 3, Clear: true, Who: author()},
	}, changes)

	for kind, code := range map[fault.Kind]int{
		fault.ConfigConflict: ExitConflict, fault.ConfigInvalid: ExitInvalid, fault.StoreUnavailable: ExitError, fault.ConfigUnknown: ExitUnknown,
	} {
		refusal = fault.New(kind, "because")
		require.Contains(t, run(code, "set", "north", "--for", "1h", "--reason", "r"), "because")
	}
	sent := len(changes)
	require.Contains(t, run(ExitInvalid, "set", "north", "--for", "1h", "--reason", "r", "--minimum", "NaN"), "minimum: NaN is out of range")
	require.Contains(t, run(ExitInvalid, "set", "north", "--for", "-1h", "--reason", "r"), "for: must be above 0")
	run(ExitUsage, "set", "north", "--for", "1h")
	run(ExitUsage, "set", "--for", "1h", "--reason", "r")
	require.Len(t, changes, sent)
}
