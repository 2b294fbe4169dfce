package forward

import (
	"context"

	"github.com/hornbeamsill/hornbeamsill/internal/endings"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// Endings knows the exchanges with instances that are under way, or broke off a moment ago.
type Endings interface {
	Begin(i inventory.InstanceHash)
	// End follows Begin. brokeOff is set if the connection broke.
	End(i inventory.InstanceHash, brokeOff bool)
	// EndedIdle reports whether no daemon had an exchange under way when an instance ended, but for the given
	// number of this daemon.
	EndedIdle(ctx context.Context, i inventory.Instance, own int) bool
}

// ownEndings is the Endings of a daemon that is alone.
type ownEndings struct{ *endings.Log }

func (o ownEndings) EndedIdle(_ context.Context, i inventory.Instance, own int) bool {
	return o.Of(i.Hash()).IsIdle(own)
}
