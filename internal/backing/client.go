package backing

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
	"github.com/hornbeamsill/hornbeamsill/internal/httpanswer"
	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

// CallTimeout bounds one call, including connecting and reading the response.
const CallTimeout = 2 * time.Second

// maxAnswer limits an answer. The list of some 10,000 instances takes 2 MB.
const maxAnswer = 16 << 20

// Client calls the platform's HTTP services other than its store: the instance
// list and the service that rates answers. The paths are:
//
//	GET  /v1/instances            GET /v1/ratings?after=&limit=
//	POST /v1/judgements
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the services at address (host:port).
func NewClient(address string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 16,
		DialContext:         dial.NewPlain(CallTimeout).DialContext,

		MaxResponseHeaderBytes: readlimit.HeadBytes,
	}
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: &httpanswer.Transport{Base: transport}, Timeout: CallTimeout},
	}
}

// do sends one request and decodes the JSON response into out. The body is the
// JSON encoding of in; a nil in sends no body. An unreachable service and any
// status other than 200 return trace.ConnectionProblem.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "%v %v", method, path)
	}
	defer resp.Body.Close()
	data, err := readlimit.ReadAll(resp.Body, "bytes in an answer of the platform", maxAnswer)
	if err != nil {
		return trace.ConnectionProblem(err, "%v %v", method, path)
	}
	if resp.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "%v %v answered %d: %.100s", method, path, resp.StatusCode, data)
	}
	return trace.Wrap(json.Unmarshal(data, out))
}

// ListInstances implements Instances.
func (c *Client) ListInstances(ctx context.Context) ([]Instance, error) {
	var out []Instance
	err := c.do(ctx, http.MethodGet, "/v1/instances", nil, &out)
	return out, err
}

// ReadRatings implements Ratings.
func (c *Client) ReadRatings(ctx context.Context, after int64, limit int) ([]Rating, error) {
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "limit": {strconv.Itoa(limit)}}
	var out []Rating
	err := c.do(ctx, http.MethodGet, "/v1/ratings?"+q.Encode(), nil, &out)
	return out, err
}

// Judge implements Ratings.
func (c *Client) Judge(ctx context.Context, req JudgeRequest) (Judgement, error) {
	var out Judgement
	err := c.do(ctx, http.MethodPost, "/v1/judgements", req, &out)
	return out, err
}
