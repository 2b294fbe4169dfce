// Package forward serves plain HTTP callers. It finds the route of a request, authenticates
// the caller, chooses model, version and instance, sends attempts, and relays the answer. A
// Codec translates between headers and the types of this package.
package forward

import (
	"net/http"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// PromptPart is one part of a prompt. Engines cache prompt prefixes, so requests that begin
// with the same parts can use the same cache entries.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestHeaders holds the values in the headers of a caller's request.
type RequestHeaders struct {
	// ID identifies this attempt of the caller, which may make several; empty if the request does not
	// have exactly one.
	ID string
	// Key is the API key.
	Key string
	// Session is the ID of the session; empty if there is none.
	Session string
	// Timeout is how long the caller waits, if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// Model is the requested model. AnyModel leaves the choice to the route.
	Model string
	// LastEventID is the ID of the last event of a stream that the caller has received.
	LastEventID string
	// TokensIn is the length of the prompt, TokensOut the maximum number of tokens to generate,
	// and TokensHint the caller's estimate of the number generated; 0 means unknown.
	TokensIn, TokensOut, TokensHint int
	// Prompt holds the parts of the prompt in order. The last one belongs to the request itself;
	// those before it are shared.
	Prompt []PromptPart
}

// AnyModel is the model name that leaves the choice to the route.
const AnyModel = "*"

// AttemptHeaders holds the values that are added to the caller's headers in a request to an
// instance.
type AttemptHeaders struct {
	// Instance is the ID of the only instance that may run the request. Its address may have been
	// reassigned to another instance.
	Instance     string
	Organisation string
	Model        string
	LastEventID  string
	// Timeout is the remaining time.
	Timeout     time.Duration
	Priority    int
	HasPriority bool
}

// AnswerHeaders holds the values in the headers of an instance's answer.
type AnswerHeaders struct {
	// ID is the ID of the request that was answered; empty if the answer does not have exactly one.
	ID string
	// HasDigest is set if the answer carries the instance's digest.
	HasDigest bool
	// NotRun is set if the instance states that the request has not run and will not run.
	NotRun bool
	// Misdirected is set if the sender states that the request is not for it: it is another instance than the
	// one that was asked, or does not serve the model. Sender is the ID of the instance that answered; empty
	// if the answer does not say.
	Misdirected bool
	Sender      string
	// Leaving is set if the instance states that it is leaving.
	Leaving bool
	// BackOff is for how long an instance that refused the request asks for no more requests.
	BackOff time.Duration
	// Warming is the remaining warm-up time of the instance; 0 if it states none.
	Warming time.Duration
	// Limit is the number of requests per second that the instance accepts from all daemons
	// together, if HasLimit is set. LimitUnreadable is set if the stated limit is not a number.
	Limit           float64
	HasLimit        bool
	LimitUnreadable bool

	// Fragile is set if the instance states that it fails when it has to refuse too many requests.
	Fragile bool

	Load          inventory.Load
	HasLoad       bool
	Confidence    int
	HasConfidence bool
}

// Codec reads and writes headers. It makes no decisions.
type Codec interface {
	ParseRequest(h http.Header) (RequestHeaders, error)
	// UpstreamHeaders returns the headers of a request to an instance.
	UpstreamHeaders(caller http.Header, s AttemptHeaders) http.Header
	ParseAnswer(status int, h http.Header) AnswerHeaders
	// CallerHeaders returns the headers of an instance's answer that the caller gets.
	CallerHeaders(upstream http.Header) http.Header
	// SetErrorHeaders sets the headers of an error answer of this daemon.
	SetErrorHeaders(h http.Header, id string, retryAfter time.Duration)
}
