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

// Quarantine tells which requests are refused because they crash the instances that run
// them, and takes in what tells which do.
type Quarantine interface {
	// Refused returns for how long a request is still refused.
	Refused(d quarantine.Digest) (left time.Duration, refused bool)
	// Finished is called when a request has run to its end.
	Finished(d quarantine.Digest)
	// Broken is called when the connection on which an instance ran a request broke. The
	// channel is closed once the request may be tried again, as far as that is known
	// soon: the instance has not ended, the request was on no other that did, or it is
	// decided whether the request is refused.
	Broken(i inventory.Instance, s quarantine.Suspect) (decided <-chan struct{})
	// Ended reports whether an instance ended under a request of this daemon.
	Ended(i inventory.Instance) bool
}

// judgeTime is how long another attempt of a request that was on two ended instances or
// more waits at most until it is decided whether the request is refused.
const quarantineDecisionTimeout = 300 * time.Millisecond

// awaitJudgement waits for what is decided of a request whose last attempt broke off.
//
// Without it a request that has just crashed its third instance crashes a fourth by the
// daemon's own retry, some milliseconds before it is refused.
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
	q.instanceEnded = q.instanceEnded || q.Quarantine.Ended(q.lastInstance)
}

// checkQuarantine refuses a request that crashes instances.
//
// Nothing else ties the end of an instance to what the request was: its caller repeats
// it with a new id, at any daemon, and each repeat would end up to three instances
// with all that runs on them.
func (q *request) checkQuarantine() error {
	organisation := ""
	if q.organisation != nil {
		organisation = q.organisation.Name
	}
	if q.digest == (quarantine.Digest{}) {
		q.digest = quarantine.NewDigest(q.r.Method, q.r.Host, q.r.RequestURI, organisation, q.body)
	}
	left, refused := q.Quarantine.Refused(q.digest)
	if !refused {
		return nil
	}
	return fault.New(fault.Quarantined, "instances ended under this request (digest %s)", q.digest).WithRetryAfter(left)
}

// suspect is the request as it stands in reports of a crash.
func (q *request) suspect() quarantine.Suspect {
	s := quarantine.Suspect{Digest: q.digest, Route: q.route.Name}
	if q.organisation != nil {
		s.Organisation = q.organisation.Name
	}
	return s
}

// finished notes that the instance has run the request to its end. An answer without a
// length ends like a connection whose server has crashed, and proves nothing.
func (a *attempt) noteFinished() {
	if a.exchange.IsSelfDelimited() {
		a.Quarantine.Finished(a.request.digest)
	}
}

// broke reports whether an attempt ended by the other end of its connection: the server
// closed or reset it, or ended. Our own time-outs and cancels do not look like this.
func isConnectionBroken(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, errPartialEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
