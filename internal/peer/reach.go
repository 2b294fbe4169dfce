package peer

import "context"

// ReachRequest asks a daemon whether it reaches instances of a service by direct connections.
type ReachRequest struct {
	Service string
	// Instances are those to reach, the most important first; at most MaxReachInstances of them are
	// looked at.
	Instances []string
	// Anew is set if the receiver must ask the instances now: an earlier sign of life does not suffice.
	Anew bool
}

// MaxReachInstances is the number of instances in a ReachRequest that are looked at. Each may cost
// the receiver a connection.
const MaxReachInstances = 3

// ReachReply is the reply to a ReachRequest.
type ReachReply struct {
	// Reached is set if at least one of the instances is reached, and Refused if one has ended: its
	// address refuses connections, or another instance answers there.
	Reached, Refused bool
	// Confirmed is set if one of the instances has itself answered since the question. Daemons of
	// earlier builds never set it, and set Reached whichever instance answers.
	Confirmed bool
	// CutOff is set if the daemon is itself cut off from the service. It has looked at no instance
	// then.
	CutOff bool
	// Free is the number of tunnels that the daemon can carry beside those with a request, and Limit
	// with them.
	Free, Limit int
}

// Reach asks which instances this daemon reaches.
func (s *routesService) Reach(in ReachRequest, out *ReachReply) error {
	*out = s.handler.OnReach(in)
	return nil
}

// Reach asks a peer whether it reaches instances.
func (c *Client) Reach(ctx context.Context, address string, r ReachRequest) (ReachReply, error) {
	return callService[ReachReply](ctx, c, address, routesName, "Reach", r)
}
