package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Body is the JSON form of an Error.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object in Body.
type BodyError struct {
	Kind         Kind     `json:"kind"`
	Message      string   `json:"message"`
	Ran          Ran      `json:"ran"`
	RetryAfterMS int64    `json:"retry_after_ms"`
	Entries      []string `json:"entries"`
	Request      string   `json:"request,omitempty"`
	// Type and Code repeat the kind under the names that OpenAI clients read.
	Type string `json:"type"`
	Code string `json:"code"`
}

// ToBody converts e to its JSON form.
func (e *Error) ToBody() Body {
	entries := e.Entries
	if entries == nil {
		entries = []string{}
	}
	return Body{Error: BodyError{
		Kind:         e.Kind,
		Message:      e.Message,
		Ran:          e.Ran,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Entries:      entries,
		Request:      e.RequestID,
		Type:         string(e.Kind),
		Code:         string(e.Kind),
	}}
}

// FromBody converts the JSON form to an Error.
func FromBody(b Body) *Error {
	return &Error{
		Kind:       b.Error.Kind,
		Message:    b.Error.Message,
		Ran:        b.Error.Ran,
		RetryAfter: time.Duration(b.Error.RetryAfterMS) * time.Millisecond,
		Entries:    b.Error.Entries,
		RequestID:  b.Error.Request,
	}
}

// Write writes err as an HTTP response. Retry-After is in whole seconds, rounded up, and is
// set if a retry can succeed.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int64(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	// A write fails only if the caller has disconnected, so the error is ignored.
	_ = WriteBody(w, ResponseFor(e.Kind).Status, e)
}

// WriteBody writes a status and the JSON form of e. The answer has a length, so that it is whole even if the
// connection ends before the rest of the request has been read.
func WriteBody(w http.ResponseWriter, status int, e *Error) error {
	text, err := json.Marshal(e.ToBody())
	if err != nil {
		return err
	}
	text = append(text, '\n')
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, err = w.Write(text)
	return err
}
