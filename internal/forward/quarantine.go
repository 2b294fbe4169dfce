package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

// Quarantine determines which requests are refused because they crash the instances that run
// them, and collects the evidence for it.
type Quarantine interface {
	// Refused reports whether a request is refused, and for how much longer.
	Refused(d quarantine.Digest) (remaining time.Duration, refused bool)
	// Finished is called when an instance has run a request to its end.
	Finished(d quarantine.Digest)
	// ConnectionBroken is called when the connection on which an instance ran a request broke.
	// The channel is closed once the request may be tried again: when the instance turns out not
	// to have ended, when no other instance has ended under the request, or when the quarantine
	// decision is known. This can take too long for a request, so the caller limits its wait.
	ConnectionBroken(i inventory.Instance, s quarantine.Suspect) (decided <-chan struct{})
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
	q.instanceEnded = q.instanceEnded || q.Quarantine.InstanceEnded(q.lastInstance)
}

// checkQuarantine returns an error if the request is quarantined.
//
// No other check relates the crash of an instance to the content of a request. A caller
// repeats the request with a new ID at any daemon, and each repetition would crash up to three
// instances with all other requests on them.
func (q *request) checkQuarantine() error {
	organisation := ""
	if q.organisation != nil {
		organisation = q.organisation.Name
	}
	if q.digest == (quarantine.Digest{}) {
		q.digest = quarantine.NewDigest(q.r.Method, q.r.Host, q.r.RequestURI, organisation, q.body)
	}
	remaining, refused := q.Quarantine.Refused(q.digest)
	if !refused {
		return nil
	}
	return fault.New(fault.Quarantined, "instances ended under this request (digest %s)", q.digest).WithRetryAfter(remaining)
}

// suspect returns the request as it is listed in crash reports.
func (q *request) suspect() quarantine.Suspect {
	s := quarantine.Suspect{Digest: q.digest, Route: q.route.Name}
	if q.organisation != nil {
		s.Organisation = q.organisation.Name
	}
	return s
}

// noteFinished records that the instance has run the request to its end. An answer that is
// delimited by the end of the connection proves nothing, because a crash ends it in the same
// way.
func (a *attempt) noteFinished() {
	if a.exchange.IsSelfDelimited() {
		a.Quarantine.Finished(a.request.digest)
	}
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
