package forward

import (
	"context"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// rejecter is who has rejected a request as not meant for it.
type rejecter int

const (
	// nobody is the rejecter of a request that was not rejected so.
	nobody rejecter = iota
	// anyInstance means that the answer does not say who sent it.
	anyInstance
	// otherInstance means that another instance now has the address.
	otherInstance
	// askedInstance means that the instance that was asked does not serve such a request. That says nothing
	// of the instance: callers choose the model.
	askedInstance
)

// rejecterOf returns who has rejected a request for an instance.
func rejecterOf(h AnswerHeaders, instance string) rejecter {
	switch {
	case !h.Misdirected:
		return nobody
	case h.Sender == "":
		return anyInstance
	case h.Sender == instance:
		return askedInstance
	}
	return otherInstance
}

// mayBeOther reports whether the answer may come from another instance than the one that was asked.
func (r rejecter) mayBeOther() bool { return r == anyInstance || r == otherInstance }

// identifyRejecter asks the instance whether it lives if the answer does not say who has rejected the request.
func (a *attempt) identifyRejecter(ctx context.Context) {
	if a.misdirected != anyInstance {
		return
	}
	switch a.Paths.SignOfLife(ctx, a.instance).Liveness {
	case upconn.Alive:
		a.misdirected = askedInstance
	case upconn.Ended:
		a.misdirected = otherInstance
	}
}

// isRejection reports whether the caller gets the answer as the instance's own rejection of its request. The
// status promises that the request has not run, so no earlier attempt may have run it.
func (a *attempt) isRejection() bool {
	return a.misdirected == askedInstance && a.ran == fault.RanNo && !a.headSent && a.exchange.IsSelfDelimited()
}
