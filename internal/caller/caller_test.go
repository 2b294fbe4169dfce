package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/daemon"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
)

const (
	waitFor = 30 * time.Second
	tick    = 10 * time.Millisecond
)

// startDev starts a daemon with simulated dependencies in this process.
func startDev(t *testing.T) (url string, dev *standin.Dev) {
	t.Helper()
	dev, err := standin.StartDev()
	require.NoError(t, err)
	t.Cleanup(dev.Close)
	s := settings.Defaults()
	s.CallerListen, s.OperatorListen, s.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Platform = dev.PlatformAddress
	s.Limits.MaxBodyBytes = 10_000
	app, process := daemon.NewApp(s)
	require.NoError(t, app.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, app.Stop(context.Background())) })
	url = "http://" + process.CallerAddress()
	require.Eventually(t, func() bool {
		resp, err := http.Get(url + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, waitFor, tick)
	return url, dev
}

// Invalid requests must be refused with the error kind and the field that is wrong,
// must be reported as not run, and must not be billed.
func TestInvalidRequestsAreRejected(t *testing.T) {
	url, dev := startDev(t)
	const good = `{"model":"auto","messages":[{"role":"user","content":"hi"}]}`
	withModel := func(m string) string { return strings.Replace(good, "auto", m, 1) }
	for name, c := range map[string]struct {
		body   string
		header map[string]string
		kind   fault.Kind
		status int
		field  string
	}{
		"no key":                 {good, map[string]string{"Authorization": ""}, fault.MissingKey, 401, "Authorization"},
		"not bearer":             {good, map[string]string{"Authorization": "Basic x"}, fault.MissingKey, 401, "Authorization"},
		"unknown key":            {good, map[string]string{"Authorization": "Bearer nobody"}, fault.UnknownKey, 401, "Authorization"},
		"broken body":            {`{"model":`, nil, fault.BadRequest, 400, "body"},
		"wrong type":             {`{"model":5}`, nil, fault.BadRequest, 400, "model"},
		"no model":               {`{"messages":[]}`, nil, fault.BadRequest, 400, "model"},
		"no messages":            {`{"model":"auto"}`, nil, fault.BadRequest, 400, "messages"},
		"no role":                {`{"model":"auto","messages":[{"content":"x"}]}`, nil, fault.BadRequest, 400, "messages[0].role"},
		"picture":                {`{"model":"auto","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, fault.BadRequest, 400, "text parts"},
		"two answers":            {strings.Replace(good, "{", `{"n":2,`, 1), nil, fault.BadRequest, 400, "n:"},
		"negative tokens":        {strings.Replace(good, "{", `{"max_tokens":-1,`, 1), nil, fault.BadRequest, 400, "max_tokens"},
		"wrong stop":             {strings.Replace(good, "{", `{"stop":5,`, 1), nil, fault.BadRequest, 400, "stop"},
		"too large":              {strings.Replace(good, "hi", strings.Repeat("x", 20_000), 1), nil, fault.BodyTooLarge, 413, "body"},
		"unknown model":          {withModel("huge"), nil, fault.UnknownModel, 404, "model"},
		"unknown version":        {withModel("small@9"), nil, fault.UnknownModel, 404, "model"},
		"disallowed model":       {withModel("large"), map[string]string{"Authorization": "Bearer " + standin.DevKeyMail}, fault.ModelNotAllowed, 403, "model"},
		"disallowed version":     {withModel("large@1"), map[string]string{"Authorization": "Bearer " + standin.DevKeyMail}, fault.ModelNotAllowed, 403, "model"},
		"unknown kind":           {good, map[string]string{caller.HeaderKind: "poem"}, fault.UnknownWorkKind, 400, caller.HeaderKind},
		"bad token":              {good, map[string]string{caller.HeaderSession: "e30.e30.x"}, fault.BadSession, 400, caller.HeaderSession},
		"deadline past":          {good, map[string]string{caller.HeaderDeadline: "0"}, fault.DeadlinePast, 400, caller.HeaderDeadline},
		"deadline out of range":  {good, map[string]string{caller.HeaderDeadline: "99999999999999999999"}, fault.BadRequest, 400, caller.HeaderDeadline},
		"deadline not a number":  {good, map[string]string{caller.HeaderDeadline: "soon"}, fault.BadRequest, 400, caller.HeaderDeadline},
		"key needed":             {good, map[string]string{caller.HeaderKind: "clearance"}, fault.KeyRequired, 400, caller.HeaderIdempotencyKey},
		"long key":               {good, map[string]string{caller.HeaderIdempotencyKey: strings.Repeat("k", 300)}, fault.BadRequest, 400, caller.HeaderIdempotencyKey},
		"rolling out, no credit": {withModel("small@2"), nil, fault.NoCapacity, 503, "small@2"},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(c.body))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+standin.DevKeyRights)
			for k, v := range c.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			var out fault.Body
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&out))
			require.Equal(t, c.kind, out.Error.Kind, out.Error.Message)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, fault.RanNo, out.Error.Ran)
			require.Contains(t, out.Error.Message, c.field)
			require.Equal(t, out.Error.RetryAfterMS > 0, resp.Header.Get("Retry-After") != "")
		})
	}
	rows, err := dev.Platform.Memory.List(context.Background(), "ledger/", "", 10)
	require.NoError(t, err)
	require.Empty(t, rows, "bad input is not billed")
}

// An organisation must see only the models that it may use, and its calls must reach
// plain services with their path. Unknown services, requests and paths return 404.
func TestModelsAndServices(t *testing.T) {
	url, _ := startDev(t)
	get := func(path, key string) (int, string) {
		req, err := http.NewRequest(http.MethodGet, url+path, nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		var b bytes.Buffer
		_, err = b.ReadFrom(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, b.String()
	}
	_, models := get("/v1/models", standin.DevKeyMail)
	require.Contains(t, models, `"small@1"`)
	require.NotContains(t, models, "large")
	status, body := get("/v1/services/folders/inbox?page=2", standin.DevKeyMail)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"path":"/inbox"`)
	status, _ = get("/v1/services/nothing/x", standin.DevKeyMail)
	require.Equal(t, http.StatusNotFound, status)
	status, _ = get("/v1/requests/unknown-1", standin.DevKeyMail)
	require.Equal(t, http.StatusNotFound, status)
	status, body = get("/nowhere", standin.DevKeyMail)
	require.Equal(t, http.StatusNotFound, status)
	require.Contains(t, body, string(fault.NotFound))
}

// Every error kind in the table of package fault must have an error status. A 429 or 503
// without Retry-After would not tell callers when to retry.
func TestEveryErrorKindHasAStatus(t *testing.T) {
	for _, kind := range fault.Kinds() {
		w := httptest.NewRecorder()
		fault.Write(w, fault.New(kind, "x"))
		require.GreaterOrEqual(t, w.Code, 400)
		if w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests {
			require.NotEmpty(t, w.Header().Get("Retry-After"), kind)
		}
	}
}
