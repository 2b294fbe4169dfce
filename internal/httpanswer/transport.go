package httpanswer

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is a RoundTripper that returns an error for answers which are malformed, or end before their requests.
type Transport struct {
	// Base sends the requests. Its connections are those of a dial.Dialer; on others, the end of an answer is not checked.
	Base *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{}
	traceInterim(trace)
	traceWrites(trace)
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	resp.Body = &body{resp.Body, resp}
	return resp, nil
}

// maxInterim bounds the interim answers to a request. net/http does not limit them if they are looked at.
const maxInterim = 5

// traceInterim makes requests fail whose interim answers are malformed.
func traceInterim(trace *httptrace.ClientTrace) {
	n := 0
	trace.Got1xxResponse = func(status int, fields textproto.MIMEHeader) error {
		if n++; n > maxInterim {
			return errorf("more than %d interim answers", maxInterim)
		}
		if err := CheckFields(http.Header(fields)); err != nil {
			return err
		}
		return checkInterim(status, http.Header(fields))
	}
}

// CloseIdleConnections closes idle connections.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// body checks the trailer at the end of a body.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := CheckFields(b.resp.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
