// Package ledger bills every request exactly once.
//
// Each daemon incarnation has a log of bill batches in the table. Batch n is
// written on the condition that the log is at n-1, and whoever appends has
// read all earlier batches and left out what they bill. Until a record is
// committed, peers in other failure domains hold a copy; when an incarnation
// dies, a holder appends what is missing to the dead incarnation's log.
package ledger

import (
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// State is where a bill stands.
type State string

// States of bills. Open is not final: the request may be running.
const (
	Open State = "open"
	// Answered: the whole answer was generated.
	Answered State = "answered"
	// Failed: the request ran, or may have, and gave no whole answer.
	Failed State = "failed"
	// Void: the request was opened and not run. It closes a committed open
	// bill and is not a bill itself.
	Void State = "void"
)

// Step is one model run inside a request.
type Step struct {
	Version          config.VersionRef `json:"version"`
	PromptTokens     int               `json:"prompt_tokens"`
	CompletionTokens int               `json:"completion_tokens"`
	Amount           int64             `json:"amount"`
	// Judged is the price of the judgement of this step's answer.
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
	// Steps has the finished model runs, the answering one last.
	Steps []Step `json:"steps,omitempty"`
	// Amount is the sum charged, in millionths of the currency unit.
	Amount int64 `json:"amount"`
	// Version, Upstream and Attempt name the run in progress of an open bill;
	// the upstream is asked for its usage when the daemon dies.
	Version  config.VersionRef `json:"version,omitzero"`
	Upstream string            `json:"upstream,omitempty"`
	Attempt  string            `json:"attempt,omitempty"`
	// Prices allow a holder to compute the amount.
	InputPrice  int64     `json:"input_price,omitempty"`
	OutputPrice int64     `json:"output_price,omitempty"`
	Opened      time.Time `json:"opened"`
	Closed      time.Time `json:"closed,omitzero"`
	Reason      string    `json:"reason,omitempty"`
	// Presumed marks a bill that a holder closed without the upstream's word,
	// because the daemon was taken for dead. If the daemon lives after all,
	// its own bill of the request takes the place of the presumed one.
	Presumed bool `json:"presumed,omitempty"`
}

// Final reports whether the bill will not change any more.
func (b Bill) Final() bool { return b.State != Open }

// Settled reports whether the bill is final and its contents are known.
func (b Bill) Settled() bool { return b.Final() && b.State != Void && !b.Presumed }

// AddStep appends a finished run and charges it.
func (b *Bill) AddStep(s Step) {
	b.Steps = append(b.Steps, s)
	b.Amount += s.Amount + s.Judged
}
