package peer

import (
	"context"

	"github.com/hornbeamsill/hornbeamsill/internal/endings"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// EndingsRequest asks a daemon for its exchanges with an instance that has ended.
type EndingsRequest struct{ Instance inventory.InstanceHash }

// Endings returns what this daemon knows of its exchanges with an instance.
func (s *routesService) Endings(in EndingsRequest, out *endings.Evidence) error {
	*out = s.handler.OnEndings(in)
	return nil
}

// Endings asks a peer for its exchanges with an instance. Daemons of an earlier build answer with an error.
func (c *Client) Endings(ctx context.Context, address string, r EndingsRequest) (endings.Evidence, error) {
	return callService[endings.Evidence](ctx, c, address, routesName, "Endings", r)
}
