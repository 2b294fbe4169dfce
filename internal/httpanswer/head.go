// Package httpanswer refuses answers of HTTP servers that are malformed, though net/http accepts them.
package httpanswer

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Error means that an answer is malformed.
type Error struct{ reason string }

// Error implements error.
func (e *Error) Error() string { return "malformed answer: " + e.reason }

func errorf(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// CheckHead returns an *Error if the head of an answer, which may be an interim one, is malformed.
func CheckHead(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	if err := CheckFields(resp.Header); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK {
		return checkInterim(resp.StatusCode, resp.Header)
	}
	return nil
}

// checkStatus returns an error for statuses outside those of HTTP. net/http accepts any three characters that are a number.
func checkStatus(status int) error {
	if status < 100 || status > 599 {
		return errorf("status %03d", status)
	}
	return nil
}

// CheckFields returns an *Error if the name of a field of a head or trailer is malformed. net/http keeps names with
// blanks, so that they are not those of the fields which they resemble.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		// A trailer that is announced and missing has no values.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errorf("field name %.50q", name)
		}
	}
	return nil
}

// checkInterim returns an error for interim answers after which the next answer does not begin.
func checkInterim(status int, fields http.Header) error {
	length := fields.Get("Content-Length")
	switch {
	case status == http.StatusSwitchingProtocols:
		return errorf("another protocol, which was not asked for")
	case length != "" && length != "0":
		return errorf("body of an interim answer")
	}
	return nil
}
