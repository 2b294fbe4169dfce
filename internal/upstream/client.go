package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
	"github.com/hornbeamsill/hornbeamsill/internal/httpanswer"
	"github.com/hornbeamsill/hornbeamsill/internal/neterr"
	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

// controlTimeout limits calls for load reports, orders, usage and cancellation.
const controlTimeout = 2 * time.Second

// maxControlAnswer limits the answers to these calls.
const maxControlAnswer = 1 << 20

// RefusedError is returned if the upstream refused to start the work.
type RefusedError struct{ Reason RefusalReason }

// Error implements error.
func (e *RefusedError) Error() string { return "upstream refused: " + string(e.Reason) }

// NotSentError is returned if no byte of the request reached the upstream.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotRun reports whether err proves that the upstream did not start the work.
func NotRun(err error) bool {
	var refused *RefusedError
	var notSent *NotSentError
	return errors.As(err, &refused) || errors.As(err, &notSent)
}

// Client calls upstreams. All calls share one connection pool.
type Client struct {
	stream  *http.Client
	control *http.Client
}

// NewClient returns a Client that waits at most dialTimeout for a connection.
func NewClient(dialTimeout time.Duration) *Client {
	transport := &httpanswer.Transport{Base: &http.Transport{
		DialContext:         dial.NewPlain(dialTimeout).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: readlimit.HeadBytes,
	}}
	return &Client{
		stream:  &http.Client{Transport: transport, CheckRedirect: noRedirect},
		control: &http.Client{Transport: transport, Timeout: controlTimeout},
	}
}

// noRedirect disables redirects, because following one could repeat a request that
// has already run.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.stream.CloseIdleConnections() }

// Do sends a request. Unless repeatable is set, the request is sent at most once.
//
// net/http repeats a request on its own if a reused connection turns out to be
// closed and the request looks replayable: a GET, or any method with an
// Idempotency-Key header, if the body can be read again. Non-idempotent work
// would then run twice but be billed once. net/http does not repeat a request
// whose body is present and cannot be read again, so Do hides the type of the
// body and removes GetBody.
func (c *Client) Do(req *http.Request, repeatable bool) (*http.Response, error) {
	if !repeatable {
		if req.Body == nil {
			req.Body = http.NoBody
		}
		req.Body = struct{ io.ReadCloser }{req.Body}
		req.GetBody = nil
	}
	otel.GetTextMapPropagator().Inject(req.Context(), propagation.HeaderCarrier(req.Header))
	resp, err := c.stream.Do(req)
	if err != nil && neterr.NotSent(err) {
		return nil, &NotSentError{Cause: err}
	}
	return resp, err
}

// Start sends an attempt and returns its event stream. A *RefusedError or a
// *NotSentError means that the attempt was not run. After any other error, it may
// have run.
func (c *Client) Start(ctx context.Context, address string, a Attempt) (*Stream, error) {
	body, err := json.Marshal(a.Chat)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttempt, a.ID)
	req.Header.Set(HeaderRequest, a.RequestID)
	req.Header.Set(HeaderKind, a.Kind)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	return c.openStream(req, a.ID, 0)
}

// Resume opens a stream that continues an attempt with the event at offset next.
func (c *Client) Resume(ctx context.Context, address, attempt string, next int) (*Stream, error) {
	target := fmt.Sprintf("http://%s/v1/attempts/%s/stream?after=%d", address, url.PathEscape(attempt), next-1)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return c.openStream(req, attempt, next)
}

// openStream sends a request whose answer is the event stream of an attempt. Its
// first event has offset next.
func (c *Client) openStream(req *http.Request, attempt string, next int) (*Stream, error) {
	resp, err := c.Do(req, false)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return newStream(resp.Body, attempt, next), nil
	}
	defer resp.Body.Close()
	var refusal Refusal
	data, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if json.Unmarshal(data, &refusal) == nil && refusal.Refused != "" {
		return nil, &RefusedError{Reason: refusal.Refused}
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, trace.NotFound("attempt %v not found", attempt)
	}
	return nil, trace.ConnectionProblem(nil, "upstream answered %d: %.100s", resp.StatusCode, data)
}

// Cancel stops an attempt. It returns no error if the attempt has already ended.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	return c.callJSON(ctx, http.MethodDelete, address, "/v1/attempts/"+url.PathEscape(attempt), nil, nil)
}

// LoadReport requests the load report of an engine or plain service.
func (c *Client) LoadReport(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := c.callJSON(ctx, http.MethodGet, address, "/v1/load", nil, &report)
	return report, err
}

// SendOrder sends an order. It returns nil once the engine has accepted it.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) error {
	return c.callJSON(ctx, http.MethodPost, address, "/v1/orders", o, nil)
}

// RequestUsage returns what an engine ran for a request.
func (c *Client) RequestUsage(ctx context.Context, address, requestID string) (RequestUsage, error) {
	var usage RequestUsage
	err := c.callJSON(ctx, http.MethodGet, address, "/v1/usage?request="+url.QueryEscape(requestID), nil, &usage)
	return usage, err
}

// callJSON sends in as JSON and decodes the answer into out. Either may be nil.
func (c *Client) callJSON(ctx context.Context, method, address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "upstream %v", address)
	}
	defer resp.Body.Close()
	data, err := readlimit.ReadAll(resp.Body, "bytes in an answer to a control call", maxControlAnswer)
	if err != nil {
		return trace.ConnectionProblem(err, "upstream %v", address)
	}
	var refusal Refusal
	switch {
	case resp.StatusCode < 300 && out == nil:
		return nil
	case resp.StatusCode < 300:
		return trace.Wrap(json.Unmarshal(data, out))
	case json.Unmarshal(data, &refusal) == nil && refusal.Refused != "":
		return &RefusedError{Reason: refusal.Refused}
	default:
		return trace.ConnectionProblem(nil, "upstream %v answered %d", address, resp.StatusCode)
	}
}
