package peer

import (
	"context"

	"github.com/hornbeamsill/hornbeamsill/internal/terms"
)

// TermsUpdate has overrides of the terms of organisations that were set or cleared.
type TermsUpdate struct {
	From      string
	Overrides []terms.Override
	// Relay is set if the receiver passes the update on to its group.
	Relay bool
}

// Terms receives overrides of the terms of organisations.
func (s *routesService) Terms(in TermsUpdate, _ *Empty) error {
	s.handler.OnTermsUpdate(in)
	return nil
}

// SendTermsUpdate sends overrides of the terms of organisations to a peer.
func (c *Client) SendTermsUpdate(ctx context.Context, address string, u TermsUpdate) error {
	_, err := callService[Empty](ctx, c, address, routesName, "Terms", u)
	return err
}
