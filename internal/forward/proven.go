package forward

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// crashCheckDelay is the time after a broken connection at which the daemon knows whether the
// instance has crashed: the second probe starts 40 ms after the first and its connection takes at
// most 250 ms.
const crashCheckDelay = 400 * time.Millisecond

// watchesLosses reports whether lost answers count against the instances of the service.
func (q *request) watchesLosses() bool {
	return q.Overload != nil && q.service != nil && q.Overload.ProvenInstances(q.service.Name)
}

// mustNotBeLost reports whether nothing could replace a lost answer to the next attempt.
func (q *request) mustNotBeLost() bool {
	return !q.route.Idempotent() || q.runs+1 >= q.route.MaxAttempts
}

// preferProven returns the candidates for the next attempt: proven ones as far as they have free
// capacity if a lost answer could not be replaced.
func (q *request) preferProven(candidates []place.Candidate) []place.Candidate {
	if !q.watchesLosses() || !q.mustNotBeLost() {
		return candidates
	}
	return place.Proven(candidates)
}

// countUnproven counts an attempt that must not be lost at an instance that is not proven.
func (q *request) countUnproven(picked place.Candidate) {
	if picked.Unproven && q.watchesLosses() && q.mustNotBeLost() {
		q.Metrics.UnprovenRuns.Add(1)
	}
}

// noteWhole records the end of an attempt with a whole answer. An answer that ends with the
// connection proves nothing, because a lost one may end in the same way.
func (a *attempt) noteWhole(outcome inventory.Outcome) {
	if outcome == inventory.OutcomeSuccess && !a.dropped && a.exchange != nil && a.exchange.IsSelfDelimited() && a.watchesLosses() {
		a.Table.NoteWholeAnswer(a.instance)
	}
}

// noteStatus records whether the instance has answered with an error status of its own. It is called
// at the head of an answer, since good streams last longer than errors and would be counted later.
func (a *attempt) noteStatus() {
	if !a.watchesLosses() {
		return
	}
	isError := a.exchange.Status() >= http.StatusInternalServerError
	if isError {
		a.Metrics.ErrorAnswers.Add(1)
	}
	a.Table.NoteStatus(a.instance, a.route.Name, isError)
}

// noteLoss records a lost or corrupted answer.
//
// When a connection breaks, the instance may have crashed, which is not a loss: the instance is
// gone, and its next incarnation has to prove itself anyway. Or this daemon may have lost its own
// links. Which of these it was is known only after some 50 ms or more. Until then the break counts as a loss, since requests sent to a crashed
// instance fail just as well.
func (a *attempt) noteLoss(err error) {
	if a.callerFailed || a.tunneled.Load() && isConnectionBroken(err) || !isLoss(err) || !a.watchesLosses() {
		return
	}
	a.Metrics.LostAnswers.Add(1)
	hold := time.Duration(0)
	if isConnectionBroken(err) {
		hold = 2 * crashCheckDelay
	}
	if a.Table.NoteLoss(a.instance, hold) {
		slog.Info("instance.unproven", "instance", a.instance.ID, "version", a.instance.Version, "source", "answer", "request", a.request.headers.ID)
	}
	if hold > 0 {
		time.AfterFunc(crashCheckDelay, func() {
			_, cutOff := a.Paths.Tunneled(a.service.Name)
			if cutOff || a.Quarantine.InstanceEnded(a.instance) {
				a.Table.NoteCrash(a.instance)
			}
		})
	}
}

// isLoss reports whether an attempt was sent and its answer was lost or corrupted. A timeout, a
// refusal and an error of the server are no losses.
func isLoss(err error) bool {
	if errors.Is(err, errUnverifiable) {
		return true
	}
	return isConnectionBroken(err) && !upconn.NotSent(err)
}
