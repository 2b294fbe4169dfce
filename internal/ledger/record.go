// Package ledger bills every request exactly once.
//
// Each daemon incarnation has a log of batches of bills in the table. Batch n is
// written on the condition that n-1 is the newest batch. A writer has read all
// earlier batches before it appends, and leaves out the bills that they already
// contain. Until a bill is committed to the log, peers hold replicas of it,
// preferably in other failure domains. When an incarnation dies, a peer that
// holds replicas appends the missing bills to the log of the dead incarnation.
package ledger

import (
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// State is the state of a bill.
type State string

// States of bills. All except Open are final.
const (
	// Open: the request may be running.
	Open State = "open"
	// Answered: the answer was generated completely.
	Answered State = "answered"
	// Failed: the request ran or may have run, without a complete answer.
	Failed State = "failed"
	// Void: the bill was opened but the request was not run. A void bill only
	// closes a committed open bill; List does not return it.
	Void State = "void"
)

// Step is one model run within a request. Amounts are in millionths of the
// currency unit.
type Step struct {
	Version          config.VersionRef `json:"version"`
	PromptTokens     int               `json:"prompt_tokens"`
	CompletionTokens int               `json:"completion_tokens"`
	Amount           int64             `json:"amount"`
	// Judged is the amount charged for judging this step's answer. It is not
	// part of Amount.
	Judged int64 `json:"judged,omitempty"`
}

// Bill is the record of one request.
type Bill struct {
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	Site         string `json:"site"`
	Kind         string `json:"kind,omitempty"`
	Service      string `json:"service,omitempty"`
	State        State  `json:"state"`
	// Steps are the finished model runs. The last one generated the answer.
	Steps []Step `json:"steps,omitempty"`
	// Amount is the total charged, in millionths of the currency unit.
	Amount int64 `json:"amount"`
	// Version, Upstream and Attempt identify the current run of an open bill. If
	// the daemon dies, the token usage is requested from this upstream.
	Version  config.VersionRef `json:"version,omitzero"`
	Upstream string            `json:"upstream,omitempty"`
	Attempt  string            `json:"attempt,omitempty"`
	// InputPrice and OutputPrice are the prices per token in the unit of Amount.
	// They allow a peer that closes the bill to compute the amount.
	InputPrice  int64     `json:"input_price,omitempty"`
	OutputPrice int64     `json:"output_price,omitempty"`
	Opened      time.Time `json:"opened"`
	Closed      time.Time `json:"closed,omitzero"`
	Reason      string    `json:"reason,omitempty"`
	// Presumed marks a bill that a peer closed without knowing the usage,
	// because the daemon was considered dead. If the daemon is alive after all,
	// its own bill of the request replaces the presumed one.
	Presumed bool `json:"presumed,omitempty"`
}

// Final reports whether the request has ended or was not run. A final bill
// changes only if it is void or presumed and a settled bill replaces it.
func (b Bill) Final() bool { return b.State != Open }

// Settled reports whether the bill is final, not void and not presumed, so that
// no other bill of the request may replace it.
func (b Bill) Settled() bool { return b.Final() && b.State != Void && !b.Presumed }

// AddStep appends a finished run and adds its amounts to the total.
func (b *Bill) AddStep(s Step) {
	b.Steps = append(b.Steps, s)
	b.Amount += s.Amount + s.Judged
}
