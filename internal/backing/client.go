package backing

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/neterr"
)

// CallTimeout bounds one call to the platform.
const CallTimeout = 2 * time.Second

// Client speaks to the platform over HTTP. The paths are:
//
//	GET  /v1/rows?key=            GET /v1/rows?prefix=&after=&limit=
//	POST /v1/transactions         PUT, GET /v1/objects/{name}
//	GET  /v1/instances            GET /v1/ratings?after=&limit=
//	POST /v1/judgements
//
// A 409 is a failed check, a 404 an absent row or object, a 503 a call that
// took no effect.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at address (host:port).
func NewClient(address string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 16,
		DialContext:         (&net.Dialer{Timeout: CallTimeout}).DialContext,
	}
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: transport, Timeout: CallTimeout},
	}
}

// do sends one request. sent tells whether the request may have reached the
// platform, so that a lost answer can be told from a request never sent.
func (c *Client) do(ctx context.Context, method, path string, in, out any) (sent bool, err error) {
	var body io.Reader
	if in != nil {
		data, ok := in.([]byte)
		if !ok {
			if data, err = json.Marshal(in); err != nil {
				return false, trace.Wrap(err)
			}
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return false, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return !neterr.NotSent(err), trace.ConnectionProblem(err, "platform %v %v", method, path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return true, trace.ConnectionProblem(err, "platform %v %v", method, path)
	}
	if err := statusError(resp.StatusCode, data); err != nil {
		return resp.StatusCode == http.StatusInternalServerError, err
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return true, nil
	}
	if out == nil {
		return true, nil
	}
	return true, trace.Wrap(json.Unmarshal(data, out))
}

func statusError(status int, body []byte) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return trace.NotFound("%s", body)
	case status == http.StatusConflict:
		return trace.CompareFailed("%s", body)
	default:
		return trace.ConnectionProblem(nil, "platform answered %d: %s", status, body)
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	_, err := c.do(ctx, http.MethodGet, "/v1/rows?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	_, err := c.do(ctx, http.MethodGet, "/v1/rows?"+q.Encode(), nil, &rows)
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (int64, error) {
	var out struct {
		Revision int64 `json:"revision"`
	}
	sent, err := c.do(ctx, http.MethodPost, "/v1/transactions", txn, &out)
	if err != nil && sent && trace.IsConnectionProblem(err) {
		return 0, &UnknownOutcomeError{Cause: err}
	}
	return out.Revision, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), data, nil)
	return err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	_, err := c.do(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil, &data)
	return data, err
}

// ListInstances implements Instances.
func (c *Client) ListInstances(ctx context.Context) ([]Instance, error) {
	var out []Instance
	_, err := c.do(ctx, http.MethodGet, "/v1/instances", nil, &out)
	return out, err
}

// ReadRatings implements Ratings.
func (c *Client) ReadRatings(ctx context.Context, after int64, limit int) ([]Rating, error) {
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "limit": {strconv.Itoa(limit)}}
	var out []Rating
	_, err := c.do(ctx, http.MethodGet, "/v1/ratings?"+q.Encode(), nil, &out)
	return out, err
}

// Judge implements Ratings.
func (c *Client) Judge(ctx context.Context, req JudgeRequest) (Judgement, error) {
	var out Judgement
	_, err := c.do(ctx, http.MethodPost, "/v1/judgements", req, &out)
	return out, err
}
