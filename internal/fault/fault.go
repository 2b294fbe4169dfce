// Package fault defines the kinds of errors that callers and operators can receive and the
// HTTP response for each kind.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind names one class of failure. The set is closed: every Kind has a row in the table
// responses.
type Kind string

// Ran says whether an upstream executed the work of a failed request.
type Ran string

// Values of Ran. RanNo guarantees that no upstream started the work, so that the request can
// be repeated safely.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// The kinds of errors.
const (
	BadRequest       Kind = "bad_request"
	MissingKey       Kind = "missing_api_key"
	UnknownKey       Kind = "unknown_api_key"
	BodyTooLarge     Kind = "body_too_large"
	HeaderTooLarge   Kind = "header_too_large"
	SlowRequest      Kind = "slow_request"
	UnknownModel     Kind = "unknown_model"
	ModelNotAllowed  Kind = "model_not_allowed"
	UnknownService   Kind = "unknown_service"
	UnknownWorkKind  Kind = "unknown_kind" // the request's kind is not configured
	BadSession       Kind = "bad_session"
	BadResumeToken   Kind = "bad_resume_token"
	SessionWithdrawn Kind = "session_version_withdrawn" // the version of the session was withdrawn
	VersionWithdrawn Kind = "version_withdrawn"         // the version was withdrawn or takes no new sessions
	DeadlinePast     Kind = "deadline_past"
	KeyRequired      Kind = "idempotency_key_required"
	KeyReused        Kind = "idempotency_key_reused"    // the key was used with another request
	KeyExpired       Kind = "idempotency_key_expired"   // the key is too old to know whether it was used
	KeyUnsettled     Kind = "idempotency_key_unsettled" // it cannot be found out now whether the key was used
	RequestNotFound  Kind = "request_not_found"
	AnswerGone       Kind = "answer_gone" // the request ran, but its answer is no longer kept
	OverLimit        Kind = "organisation_over_limit"
	NoCapacity       Kind = "no_capacity" // no upstream or daemon can accept more requests now
	NoUpstream       Kind = "no_upstream" // no usable upstream accepted the request
	Stopping         Kind = "stopping"
	NotReady         Kind = "not_ready"           // no configuration, signing key or upstream yet
	ConfigStale      Kind = "configuration_stale" // the configuration cannot be confirmed as the newest
	StoreUnavailable Kind = "store_unavailable"
	UpstreamFailed   Kind = "upstream_failed"
	AnswerCut        Kind = "answer_cut" // the answer broke off or cannot be continued
	DeadlineExceeded Kind = "deadline_exceeded"
	Cancelled        Kind = "cancelled"
	ConfigInvalid    Kind = "configuration_invalid"
	ConfigConflict   Kind = "configuration_conflict"        // the change does not fit the current state
	ConfigUnknown    Kind = "configuration_outcome_unknown" // it is unknown whether the change was accepted
	NotFound         Kind = "not_found"
	Quarantined      Kind = "request_quarantined" // the request crashes upstream instances
	Internal         Kind = "internal"
)

// Response is the HTTP response for a kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// RetryAfter is the default delay before a retry; zero if a retry cannot succeed.
	RetryAfter time.Duration
}

var responses = map[Kind]Response{
	BadRequest:       {Status: http.StatusBadRequest},
	MissingKey:       {Status: http.StatusUnauthorized},
	UnknownKey:       {Status: http.StatusUnauthorized},
	BodyTooLarge:     {Status: http.StatusRequestEntityTooLarge},
	HeaderTooLarge:   {Status: http.StatusRequestHeaderFieldsTooLarge},
	SlowRequest:      {Status: http.StatusRequestTimeout},
	UnknownModel:     {Status: http.StatusNotFound},
	ModelNotAllowed:  {Status: http.StatusForbidden},
	UnknownService:   {Status: http.StatusNotFound},
	UnknownWorkKind:  {Status: http.StatusBadRequest},
	BadSession:       {Status: http.StatusBadRequest},
	BadResumeToken:   {Status: http.StatusBadRequest},
	SessionWithdrawn: {Status: http.StatusConflict},
	VersionWithdrawn: {Status: http.StatusConflict},
	DeadlinePast:     {Status: http.StatusBadRequest},
	KeyRequired:      {Status: http.StatusBadRequest},
	KeyReused:        {Status: http.StatusUnprocessableEntity},
	KeyExpired:       {Status: http.StatusConflict},
	KeyUnsettled:     {Status: http.StatusServiceUnavailable, RetryAfter: 5 * time.Second},
	RequestNotFound:  {Status: http.StatusNotFound},
	AnswerGone:       {Status: http.StatusGone},
	OverLimit:        {Status: http.StatusTooManyRequests, RetryAfter: time.Second},
	NoCapacity:       {Status: http.StatusServiceUnavailable, RetryAfter: time.Second},
	NoUpstream:       {Status: http.StatusServiceUnavailable, RetryAfter: 2 * time.Second},
	Stopping:         {Status: http.StatusServiceUnavailable, RetryAfter: 100 * time.Millisecond},
	NotReady:         {Status: http.StatusServiceUnavailable, RetryAfter: time.Second},
	ConfigStale:      {Status: http.StatusServiceUnavailable, RetryAfter: 2 * time.Second},
	StoreUnavailable: {Status: http.StatusServiceUnavailable, RetryAfter: 5 * time.Second},
	UpstreamFailed:   {Status: http.StatusBadGateway, RetryAfter: time.Second},
	AnswerCut:        {Status: http.StatusBadGateway, RetryAfter: time.Second},
	DeadlineExceeded: {Status: http.StatusGatewayTimeout, RetryAfter: time.Second},
	Cancelled:        {Status: 499},
	ConfigInvalid:    {Status: http.StatusBadRequest},
	ConfigConflict:   {Status: http.StatusConflict},
	ConfigUnknown:    {Status: http.StatusServiceUnavailable, RetryAfter: 2 * time.Second},
	NotFound:         {Status: http.StatusNotFound},
	Quarantined:      {Status: http.StatusServiceUnavailable, RetryAfter: time.Minute},
	Internal:         {Status: http.StatusInternalServerError, RetryAfter: time.Second},
}

// Kinds returns every kind, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// ResponseFor returns the response for kind. An unknown kind gets the response of Internal.
func ResponseFor(kind Kind) Response {
	if a, ok := responses[kind]; ok {
		return a
	}
	return responses[Internal]
}

// Error is a failure that is reported to a caller or an operator.
type Error struct {
	Kind    Kind
	Message string
	Ran     Ran
	// RetryAfter is the delay before a retry; zero if a retry cannot succeed.
	RetryAfter time.Duration
	// Entries are base URLs of other daemons that the caller may use instead.
	Entries []string
	// RequestID is empty if the request failed before it got an ID.
	RequestID string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", e.Kind, e.Message, e.Ran)
}

// New returns an error with RanNo: no upstream started the work.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{
		Kind:       kind,
		Message:    fmt.Sprintf(format, args...),
		Ran:        RanNo,
		RetryAfter: ResponseFor(kind).RetryAfter,
	}
}

// WithRan returns a copy of e with Ran replaced.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy of e with RetryAfter replaced.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error that err wraps. Any other error becomes Internal with RanUnknown,
// because it does not say whether an upstream executed the work.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err).WithRan(RanUnknown)
}

// Is reports whether err wraps an Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
