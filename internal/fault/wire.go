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
	w.WriteHeader(ResponseFor(e.Kind).Status)
	// A write fails only if the caller has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(e.ToBody())
}
