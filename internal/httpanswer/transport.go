package httpanswer

import "net/http"

// Transport is a RoundTripper that returns an error for malformed answers.
type Transport struct{ Base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes idle connections.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
