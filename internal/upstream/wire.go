// Package upstream is the boundary to the model engines and plain services
// that do the work.
//
// Engines speak an OpenAI-shaped HTTP API with these paths:
//
//	POST   /v1/chat/completions              start an attempt, answer as SSE
//	GET    /v1/attempts/{id}/stream?after=N  resume the attempt's events after offset N
//	DELETE /v1/attempts/{id}                 cancel
//	GET    /v1/usage?request=ID              what was run for a request
//	GET    /v1/load                          load report
//	POST   /v1/orders                        load, unload or cordon a version
package upstream

import (
	"time"
)

// Headers of an attempt.
const (
	HeaderAttempt  = "X-Attempt-Id"
	HeaderRequest  = "X-Request-Id"
	HeaderPriority = "X-Priority"
	HeaderKind     = "X-Kind"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of an attempt.
type ChatRequest struct {
	// Model is "name@version".
	Model       string    `json:"model"`
	Messages    []Message `json:"messages"`
	MaxTokens   int       `json:"max_tokens,omitempty"`
	Temperature *float64  `json:"temperature,omitempty"`
	TopP        *float64  `json:"top_p,omitempty"`
	Stop        []string  `json:"stop,omitempty"`
	Seed        *int64    `json:"seed,omitempty"`
	Stream      bool      `json:"stream"`
}

// Attempt names one try of a request at one upstream.
type Attempt struct {
	ID        string
	RequestID string
	Kind      string
	// Priority is larger for more urgent work.
	Priority int
	Chat     ChatRequest
	// Deadline bounds the whole attempt.
	Deadline time.Time
}

// Usage counts the tokens of an attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Event is one SSE event of an attempt. Offsets count from 0 without gaps;
// the last event has FinishReason set.
type Event struct {
	Attempt      string `json:"attempt"`
	Offset       int    `json:"offset"`
	Delta        string `json:"delta"`
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
}

// Last reports whether e ends the answer.
func (e Event) Last() bool { return e.FinishReason != "" }

// RefusalReason is why an engine did not start an attempt or obey an order.
type RefusalReason string

// Reasons of refusals. An attempt refused with any of them was not run.
const (
	RefusedNotServed RefusalReason = "not_served"
	RefusedLeaving   RefusalReason = "leaving"
	RefusedFull      RefusalReason = "full"
	RefusedFence     RefusalReason = "stale_fence"
	RefusedBusy      RefusalReason = "busy"
)

// Refusal is the body of a 409 or 429 answer.
type Refusal struct {
	Refused RefusalReason `json:"refused"`
}

// VersionLoad is a version that an engine serves.
type VersionLoad struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Ready is false while weights are still being loaded.
	Ready bool `json:"ready"`
}

// LoadReport is what an engine says of itself. It lags behind the truth.
type LoadReport struct {
	Instance string        `json:"instance"`
	Versions []VersionLoad `json:"versions"`
	Running  int           `json:"running"`
	Queued   int           `json:"queued"`
	// Slots is how many attempts run at once without queueing.
	Slots int `json:"slots"`
	// TokensPerSecond is the recent rate of generated tokens.
	TokensPerSecond float64 `json:"tokens_per_second"`
	Leaving         bool    `json:"leaving"`
	// AgeMS is how old the figures were when they were sent.
	AgeMS int64 `json:"age_ms"`
	// Fence is the highest fencing number obeyed so far.
	Fence int64 `json:"fence"`
}

// OrderAction is what an order asks of an engine.
type OrderAction string

// Actions of orders. Each states a wanted end state and may be repeated.
const (
	OrderLoad   OrderAction = "load"
	OrderUnload OrderAction = "unload"
)

// Order asks an engine to serve or stop serving a version. Engines that check
// fencing refuse an order whose Fence is lower than one already obeyed.
type Order struct {
	Fence   int64       `json:"fence"`
	Action  OrderAction `json:"action"`
	Model   string      `json:"model"`
	Version string      `json:"version"`
}

// RequestUsage is what an engine ran for a request.
type RequestUsage struct {
	RequestID string `json:"request_id"`
	// Attempts counts the attempts started.
	Attempts int `json:"attempts"`
	// Running is true while an attempt is not finished.
	Running bool `json:"running"`
	// Finished is true when an attempt ran to its end.
	Finished bool   `json:"finished"`
	Usage    Usage  `json:"usage"`
	Attempt  string `json:"attempt"`
	Model    string `json:"model"`
}
