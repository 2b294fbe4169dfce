package forward

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// runRecord is what the log tells of an attempt that was sent: where, how much was passed on from it, and how
// it ended.
type runRecord struct {
	instance string
	// lastEventID is the ID of the last event that was read from it; empty if there was none.
	lastEventID string
	framing     framing
	end         string
	// sign is what was known of the instance after an answer without framing.
	sign SignOfLife
}

// framing is what marks the end of an answer.
type framing string

const (
	noAnswer framing = "no_answer"
	byLength framing = "length"
	byChunks framing = "chunks"
	// byClose means that only the end of the connection ends the answer.
	byClose framing = "close"
)

// String returns the record without blanks: instance, last event, framing and end, and for an answer
// without framing what was known of the instance.
func (r runRecord) String() string {
	text := fmt.Sprintf("%s:%s:%s:%s", r.instance, r.lastEventID, r.framing, r.end)
	if r.sign.Source != "" {
		text += fmt.Sprintf(":%s/%s", r.sign.Liveness, r.sign.Source)
	}
	return text
}

// maxRunRecords bounds the records of a request, and maxLoggedEventID the bytes of an event's ID in one.
const (
	maxRunRecords    = 8
	maxLoggedEventID = 24
)

// recordRun adds the record of an attempt that ends.
func (a *attempt) recordRun(outcome inventory.Outcome) {
	if !a.sent || len(a.runRecords) >= maxRunRecords {
		return
	}
	a.mu.Lock()
	last := a.readEventID
	a.mu.Unlock()
	if len(last) > maxLoggedEventID {
		last = last[:maxLoggedEventID]
	}
	a.runRecords = append(a.runRecords, runRecord{
		instance: a.instance.ID, lastEventID: strings.Join(strings.Fields(last), "_"), framing: a.framing(), end: a.endWord(outcome), sign: a.sign,
	})
}

func (a *attempt) framing() framing {
	switch {
	case a.exchange == nil:
		return noAnswer
	case !a.exchange.IsSelfDelimited():
		return byClose
	case a.exchange.HasLength():
		return byLength
	}
	return byChunks
}

// endWord returns a word for how an attempt ended.
func (a *attempt) endWord(outcome inventory.Outcome) string {
	var status *serverError
	var refused *refusedError
	err := a.failure
	switch {
	case err == nil && a.isRejection():
		return "rejected"
	case err == nil && outcome == inventory.OutcomeSuccess && a.dropped:
		return "dropped"
	case err == nil && outcome == inventory.OutcomeSuccess:
		return "whole"
	case err == nil:
		return "given_up"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &status):
		return fmt.Sprint("status_", status.status)
	case errors.Is(err, errOutOfOrder):
		return "out_of_order"
	case errors.Is(err, errHeadTimeout):
		return "no_head_in_time"
	case errors.Is(err, errPartialEvent):
		return "inside_event"
	case errors.Is(err, errInstanceEnded):
		return "unconfirmed"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "cancelled"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case isConnectionBroken(err):
		return "cut"
	}
	return "failed"
}

// loggedRuns returns the records of a request for the log.
func (q *request) loggedRuns() string {
	texts := make([]string, len(q.runRecords))
	for i, r := range q.runRecords {
		texts[i] = r.String()
	}
	return strings.Join(texts, ",")
}

// SignOfLife is what is known of an instance after an answer that only the end of its connection ends.
type SignOfLife struct {
	upconn.Liveness
	// Source is from where it is known.
	Source SignSource
}

// SignSource is from where it is known whether an instance lives.
type SignSource string

// Sources of signs of life.
const (
	// FromAnswer means that the instance has answered another request since.
	FromAnswer SignSource = "answer"
	// FromCheck means that it was asked, and FromPeers that other daemons have asked it.
	FromCheck SignSource = "check"
	FromPeers SignSource = "peers"
	// FromReport means that it had been found to have ended before.
	FromReport SignSource = "report"
)
