package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// Quarantine determines which requests are refused because they crash the instances that run
// them, and collects the evidence for it.
type Quarantine interface {
	// Refused returns the entry that refuses a request, with the remaining time.
	Refused(s *quarantine.Suspect) (entry quarantine.Entry, refused bool)
	// Enter waits while a request is held back because an instance has just ended under a similar one.
	// leave is called when the attempt that follows has ended.
	Enter(ctx context.Context, s *quarantine.Suspect) (leave func())
	// Holds reports whether requests like this one are held back.
	Holds(s *quarantine.Suspect) bool
	// Answering is called when an answer has begun, and ended at its end.
	Answering(s *quarantine.Suspect) (ended func())
	// Finished is called when an instance has run a request to its end.
	Finished(s *quarantine.Suspect)
	// CheckAfterAnswer is called instead if only the end of the connection marks the end of the answer.
	// It returns what is known of the instance after that. Unless it is alive, the answer may be cut.
	// patience is for how long an instance that is silent is asked again.
	CheckAfterAnswer(ctx context.Context, i inventory.Instance, s *quarantine.Suspect, patience time.Duration) SignOfLife
	// ConnectionBroken is called when the connection on which an instance ran a request broke.
	// The channel is closed once the request may be tried again: when the instance turns out not
	// to have ended, when no other instance has ended under the request, or when the quarantine
	// decision is known. This can take too long for a request, so the caller limits its wait.
	ConnectionBroken(i inventory.Instance, s quarantine.Suspect) (decided <-chan struct{})
	// Abandoned is called when an exchange was given up before its answer was complete, although the
	// connection was sound. The instance may still end under the request.
	Abandoned(i inventory.Instance, s quarantine.Suspect)
	// InstanceEnded reports whether an instance ended while it ran a request of this daemon.
	InstanceEnded(i inventory.Instance) bool
}

// quarantineDecisionTimeout bounds how long a request under which two or more instances have
// ended waits for the quarantine decision before its next attempt.
const quarantineDecisionTimeout = 300 * time.Millisecond

// awaitQuarantineDecision waits for the quarantine decision on a request whose last connection
// broke.
//
// Without it, a request that has just crashed its third instance would crash a fourth one by
// the daemon's own retry, some milliseconds before it is refused.
func (q *request) awaitQuarantineDecision(ctx context.Context) {
	if q.quarantineDecided == nil {
		return
	}
	timer := time.NewTimer(quarantineDecisionTimeout)
	defer timer.Stop()
	select {
	case <-q.quarantineDecided:
	case <-timer.C:
	case <-ctx.Done():
	}
	q.quarantineDecided = nil
	if q.Quarantine.InstanceEnded(q.lastInstance) {
		q.endedInstances++
	}
}

// maxEndedWhileHeld is the number of instances that may end under a request whose like are held back.
// Its next attempt would probably end another one.
const maxEndedWhileHeld = 2

// checkQuarantine returns an error if the request is quarantined.
//
// No other check relates the crash of an instance to the content of a request. A caller
// repeats the request with a new ID at any daemon, or sends others that have the same part in
// their prompts, and each would crash up to three instances with all other requests on them.
func (q *request) checkQuarantine() error {
	entry, refused := q.Quarantine.Refused(q.suspect())
	if !refused {
		return nil
	}
	q.refusedBy = entry
	if len(entry.RefusedParts) > 0 {
		return fault.New(fault.Quarantined, "instances ended under requests with the parts %s (digest %s)", strings.Join(entry.RefusedParts, ","), entry.Digest).WithRetryAfter(entry.Left)
	}
	return fault.New(fault.Quarantined, "instances ended under this request (digest %s)", entry.Digest).WithRetryAfter(entry.Left)
}

// suspect returns the request as it is listed in crash reports. It is available once the body has been
// read.
func (q *request) suspect() *quarantine.Suspect {
	if q.suspected != nil {
		return q.suspected
	}
	s := &quarantine.Suspect{Route: q.route.Name, Parts: q.comparedParts()}
	if q.organisation != nil {
		s.Organisation = q.organisation.Name
	}
	q.digest = quarantine.NewDigest(q.r.Method, q.r.Host, q.r.RequestURI, s.Organisation, q.body...)
	s.Digest = q.digest
	q.suspected = s
	return s
}

// comparedParts returns the parts of the prompt that other requests may share: all but the last one,
// each once.
func (q *request) comparedParts() []string {
	n := len(q.headers.Prompt)
	if n < 2 {
		return nil
	}
	out, seen := make([]string, 0, n-1), make(map[string]bool, n-1)
	for _, part := range q.headers.Prompt[:n-1] {
		if id := quarantine.NormalisePart(part.ID); !seen[id] {
			seen[id] = true
			out = append(out, id)
		}
	}
	return out
}

// maxLoggedParts bounds the parts in a line of the log.
const maxLoggedParts = 16

// loggedParts returns the parts that the quarantine compares, for the log.
func (q *request) loggedParts() string {
	parts := q.suspect().Parts
	return strings.Join(parts[:min(len(parts), maxLoggedParts)], ",")
}

// endedSuspect returns the request as it was when its connection broke.
func (a *attempt) endedSuspect() quarantine.Suspect {
	s := *a.suspect()
	s.Ran = time.Since(a.sentAt)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.headAt.IsZero() {
		s.Progress = time.Since(a.headAt)
	}
	return s
}

// errInstanceEnded means that an answer that ends with its connection may have done so because the
// instance ended.
var errInstanceEnded = fmt.Errorf("the instance ended with the answer: %w", io.ErrUnexpectedEOF)

// silencePatience is for how long an instance may be silent after an answer that cannot be asked for
// again. A sound one may be for one and a half seconds.
const silencePatience = 2 * time.Second

// finish records that the instance has run the request to its end. It returns an error if the answer
// may have been cut: the end of a connection ends an answer only if the instance lives on. The end of an
// instance may be planned, though, so that it has ended after its last answer.
func (a *attempt) finish() error {
	if a.isRejection() {
		return nil
	}
	if a.exchange.IsSelfDelimited() {
		a.Quarantine.Finished(a.suspect())
		return nil
	}
	mayAskAgain := a.route.Idempotent() && (a.route.Kind == catalog.Stream || !a.headSent)
	patience := silencePatience
	if mayAskAgain {
		patience = 0
	}
	ctx, cancel := context.WithDeadline(a.r.Context(), a.deadline)
	defer cancel()
	a.sign = a.Quarantine.CheckAfterAnswer(ctx, a.instance, a.suspect(), patience)
	switch {
	case a.sign.Liveness == upconn.Alive:
		a.Metrics.EndsConfirmed.Add(1)
		return nil
	case a.sign.Liveness == upconn.Ended && !mayAskAgain && a.endIsPlanned(ctx):
		a.Metrics.EndsPlanned.Add(1)
		return nil
	}
	a.Metrics.EndsUnconfirmed.Add(1)
	return fmt.Errorf("%w: %w", errAnswerCut, errInstanceEnded)
}

// endIsPlanned reports whether the instance has announced its end, and ended with nothing else under way. A
// successor that rejects requests announces nothing, although it takes the instance out of use.
func (a *attempt) endIsPlanned(ctx context.Context) bool {
	if !a.answerHeaders.Leaving && !a.Table.IsListedAsLeaving(a.instance.Incarnation()) {
		return false
	}
	return a.Endings.EndedIdle(ctx, a.instance, 1)
}

// noteAbandoned records an attempt that was sent and given up before its answer was complete.
func (a *attempt) noteAbandoned() {
	if !a.sent || a.broken || a.answerHeaders.NotRun || a.exchange != nil && a.exchange.IsWhole() {
		return
	}
	a.Quarantine.Abandoned(a.instance, a.endedSuspect())
}

// isRefused reports whether the request has been quarantined since the attempt began.
func (a *attempt) isRefused() bool {
	_, refused := a.Quarantine.Refused(a.suspect())
	return refused
}

// errQuarantinedSince means that an attempt was ended because its request has been quarantined.
var errQuarantinedSince = errors.New("the request has been quarantined since it was sent")

// withdrawnError returns the error of an attempt that WithdrawRefused has ended.
func withdrawnError(err error) error {
	if upconn.NotSent(err) {
		return err
	}
	return errQuarantinedSince
}

// WithdrawRefused ends the attempts whose requests are refused by now and whose answers have not begun:
// they may still wait at their instances. The close of its connection tells an instance to drop a request.
// It returns how many were ended. Each may have run.
func (h *Handler) WithdrawRefused() int {
	all := h.unanswered.matching((*attempt).isRefused)
	for _, a := range all {
		a.withdrawn.Store(true)
		a.cancel()
	}
	return len(all)
}

// isConnectionBroken reports whether an attempt ended because the server closed or reset the
// connection, or its process ended. Timeouts and cancellations by this daemon cause other
// errors.
func isConnectionBroken(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, errPartialEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
