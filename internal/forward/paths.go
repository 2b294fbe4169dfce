package forward

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// Paths knows from which services this daemon is cut off, so that their instances are reached through
// other daemons, and is told of signs of life on direct connections.
type Paths interface {
	Tunneled(service string) (since time.Time, ok bool)
	// AwaitCheck waits for the end of a check whether this daemon is cut off, if there is one.
	AwaitCheck(ctx context.Context, service string)
	// Sent and Answered are called for each request over a direct connection; heard is set if an
	// answer began. Heard is called when more of an answer has arrived.
	Sent(service string)
	Answered(service string, heard bool)
	Heard(service string)
	// HeardSince reports whether a service has given a sign of life after a time.
	HeardSince(service string, after time.Time) bool
	// SignOfLife asks an instance for a sign of life.
	SignOfLife(ctx context.Context, i inventory.Instance) SignOfLife
}

// directPaths is a Paths for daemons that only have direct connections.
type directPaths struct{}

func (directPaths) Tunneled(string) (since time.Time, ok bool) { return time.Time{}, false }
func (directPaths) AwaitCheck(context.Context, string)         {}
func (directPaths) Sent(string)                                {}
func (directPaths) Answered(string, bool)                      {}
func (directPaths) Heard(string)                               {}
func (directPaths) HeardSince(string, time.Time) bool          { return true }
func (directPaths) SignOfLife(context.Context, inventory.Instance) SignOfLife {
	return SignOfLife{}
}

const (
	// pathCheckTimeout bounds the wait for a check of the path to a service.
	pathCheckTimeout = 900 * time.Millisecond
	// triesBeforeCheck is the number of instances to which a request could not be sent before it waits
	// for such a check. A single one has probably ended.
	triesBeforeCheck = 2
)

// awaitPath waits until it is known whether this daemon is cut off from the service, if a request
// could not be sent to several instances. All instances may then be tried again through other
// daemons.
func (q *request) awaitPath(ctx context.Context) {
	if _, tunneled := q.Paths.Tunneled(q.service.Name); tunneled || len(q.tried) < min(triesBeforeCheck, q.Table.Count(q.service.Name, anyVersion)) {
		return
	}
	wait, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	q.Paths.AwaitCheck(wait, q.service.Name)
	if _, tunneled := q.Paths.Tunneled(q.service.Name); tunneled {
		clear(q.tried)
	}
}

func anyVersion(string, bool) bool { return true }

// gatewayFault returns the error for a request that could not be sent because no other daemon passes
// it on, or nil.
func gatewayFault(err error) *fault.Error {
	switch {
	case errors.Is(err, upconn.ErrGatewaysBusy):
		return fault.New(fault.NoCapacity, "%v", upconn.ErrGatewaysBusy).WithRetryAfter(gatewayRetryAfter)
	case errors.Is(err, upconn.ErrNoGateway):
		return fault.New(fault.NoUpstream, "%v", upconn.ErrNoGateway).WithRetryAfter(gatewayRetryAfter)
	}
	return nil
}

// gatewayRetryAfter is the retry time sent to callers if no other daemon passes a request on. Within
// that time the directory leads callers to other daemons.
const gatewayRetryAfter = 1 * time.Second

// AbortDirect ends the attempts over direct connections to a service from which this daemon is cut
// off, so that they are made again through other daemons. Those that must not be repeated go on: the
// links may come back before their connections end. So do those whose answer the caller already has a
// part of, unless it can be resumed. It returns how many were ended.
func (h *Handler) AbortDirect(service string) int {
	all := h.direct.matching(func(a *attempt) bool { return a.service.Name == service && !a.delivering.Load() })
	for _, a := range all {
		a.pathLost.Store(true)
		a.cancel()
	}
	return len(all)
}

// errPathLost means that an attempt was ended by AbortDirect.
var errPathLost = errors.New("this daemon is cut off from the instance")

// pathOutcome returns the outcome of an attempt as far as it is that of the instance: a failure that
// may be one of the path to it says nothing about the instance.
func (a *attempt) pathOutcome(outcome inventory.Outcome, err error) inventory.Outcome {
	if a.pathLost.Load() || a.withdrawn.Load() {
		return inventory.OutcomeNone
	}
	var status *serverError
	if outcome == inventory.OutcomeNone || errors.As(err, &status) || errors.Is(err, errUnverifiable) {
		return outcome
	}
	if a.tunneled.Load() || outcome == inventory.OutcomeTimeout && !a.Paths.HeardSince(a.service.Name, a.sentAt) {
		return inventory.OutcomeNone
	}
	return outcome
}

// observeLater reports the observation of an attempt whose connection broke, once it is known whether
// that was the fault of this daemon's own links.
func (a *attempt) observeLater() {
	o, ok := a.finalObservation(inventory.OutcomeFailed)
	if !ok {
		return
	}
	time.AfterFunc(crashCheckDelay, func() {
		if _, tunneled := a.Paths.Tunneled(a.service.Name); !tunneled {
			a.Versions.Observe(a.service.Name, o)
		}
	})
}
