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
)

// Guards against an output of "hornbeamsill load" that misses a service, an organisation or its
// share, in either form.
func TestLoadPrintsAccounting(t *testing.T) {
	status := entry.LoadStatus{Instance: "d-1", Exchanged: true, Daemons: 70, Services: []entry.ServiceLoad{{
		Name: "engines", Short: true, AgeMS: 120, DemandPerS: 30.5, CompletedPerS: 26, CapacityPerS: 26.5, Waiting: 74, RefusedPerS: 4.25,
		Organisations: []entry.OrganisationLoad{{Name: "large", DemandPerS: 7.5, RefusedPerS: 4, Share: 0.315}},
	}}}
	want, err := json.Marshal(status)
	require.NoError(t, err)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, entry.LoadPath, r.URL.Path)
		_, _ = w.Write(want)
	}))
	defer daemon.Close()
	var out, errs bytes.Buffer
	args := []string{"load", "--metrics", strings.TrimPrefix(daemon.URL, "http://")}
	require.Equal(t, ExitOK, Main(args, &out, &errs), errs.String())
	for _, part := range []string{"daemons 70", "engines", "short true", "demand 30.50", "capacity 26.50", "waiting 74", "large", "share 0.315"} {
		require.Contains(t, out.String(), part)
	}
	out.Reset()
	require.Equal(t, ExitOK, Main(append(args, "--output", "json"), &out, &errs), errs.String())
	require.JSONEq(t, string(want), out.String())
}
