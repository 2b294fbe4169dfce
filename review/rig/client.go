//go:build review

package rig

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// Request is what a client sends. Each has an id of its own.
type Request struct {
	ID, Method, Host, Path, Key, Body string
	Timeout                           time.Duration
}

// Reply is what the client gets. Err is set if there is no whole answer.
type Reply struct {
	Status int
	ID     string
	Sealed bool
	Body   string
	Err    error
}

// noRetries is a transport that opens a connection for each request. It never sends one twice.
var noRetries = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// Send sends a request to a daemon and records both.
func Send(record *Record, front string, r Request) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout+time.Second)
	defer cancel()
	var body io.Reader
	if r.Body != "" {
		body = strings.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+front+r.Path, body)
	if err != nil {
		return Reply{Err: err}
	}
	req.GetBody = nil
	req.Host = r.Host
	req.Header.Set(wire.HeaderRequestID, r.ID)
	req.Header.Set(wire.HeaderCredential, r.Key)
	req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	record.Add("client sends %s (%s %s) to %s", r.ID, r.Method, r.Path, front)
	resp, err := noRetries.RoundTrip(req)
	if err != nil {
		record.Add("client gets no answer to %s: %v", r.ID, err)
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	record.Add("client gets %d to %s, %d bytes, error %v", resp.StatusCode, r.ID, len(data), err)
	return Reply{Status: resp.StatusCode, ID: resp.Header.Get(wire.HeaderRequestID), Sealed: resp.Header.Get(wire.HeaderSeal) != "", Body: string(data), Err: err}
}

// IsPromise reports whether a status says that a request has not run and never will.
func IsPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
