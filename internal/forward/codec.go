// Package forward runs the requests of plain HTTP callers: it finds the route,
// authenticates, plans model and version, places, sends attempts, and relays
// the answer. Which header says what is the business of a Codec.
package forward

import (
	"net/http"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// Part is one part of a prompt. Requests that begin with the same parts share
// what an engine keeps of them in its memory.
type Part struct {
	ID     string
	Tokens int
}

// Facts are what the headers of a caller's request say.
type Facts struct {
	// ID is the caller's id of this attempt of its own.
	ID string
	// Key is the API key.
	Key string
	// Session is what the requests of a session have in common; empty where
	// there is none.
	Session string
	// Patience is how long the caller waits, where it says so.
	Patience    time.Duration
	HasPatience bool
	// Model is the model asked for; AnyModel leaves the choice to the route.
	Model string
	// LastEvent is the last event of a stream that the caller has.
	LastEvent string
	// TokensIn is the length of the prompt, TokensOut the most to generate,
	// TokensHint the caller's estimate of that; 0 is unknown.
	TokensIn, TokensOut, TokensHint int
	// Prompt has the parts in order. The last one belongs to the request
	// itself; the one before it is shared.
	Prompt []Part
}

// AnyModel is the model named by callers that leave the choice to the route.
const AnyModel = "*"

// Send is what a request to an instance says beside what the caller said.
type Send struct {
	// Instance is the ID of the only instance that may run the request: its
	// address may have been given to another.
	Instance     string
	Organisation string
	Model        string
	LastEvent    string
	// Patience is the time left.
	Patience    time.Duration
	Priority    int
	HasPriority bool
}

// AnswerFacts are what the head of an instance's answer says.
type AnswerFacts struct {
	// ID is the id of the request answered; empty where the answer has none.
	ID string
	// Sealed answers carry the instance's digest.
	Sealed bool
	// NotRun is the instance's word that the request did not run and will not.
	NotRun bool
	// WrongOne means that another instance has the address now.
	WrongOne bool
	// Leaving is the instance's word that it leaves.
	Leaving bool
	// Rest is for how long the instance, which has refused, wants nothing more.
	Rest time.Duration
	// Warming is for how long the instance is still cold; 0 where it says nothing.
	Warming time.Duration
	// Limit is how many requests a second the instance takes of all daemons together, if
	// HasLimit is set. LimitUnreadable is set where it says something that is no number.
	Limit           float64
	HasLimit        bool
	LimitUnreadable bool

	Load          inventory.Load
	HasLoad       bool
	Confidence    int
	HasConfidence bool
}

// Codec reads and writes headers. It decides nothing.
type Codec interface {
	Facts(h http.Header) (Facts, error)
	// Upstream returns the headers of a request to an instance.
	Upstream(caller http.Header, s Send) http.Header
	Answer(status int, h http.Header) AnswerFacts
	// Caller returns the headers that a caller gets of an instance's answer.
	Caller(upstream http.Header) http.Header
	// Refusal sets the headers of an answer of our own.
	Refusal(h http.Header, id string, retryAfter time.Duration)
}
