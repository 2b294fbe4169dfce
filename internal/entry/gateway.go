package entry

import (
	"context"
	"net"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

const (
	// tunnelDivisor is the divisor of the descriptors that gives the limit of tunnels; each takes two.
	tunnelDivisor = 10
	// tunnelMemory is the memory that a tunnel takes, in bytes, and tunnelMemoryDivisor the divisor of
	// the memory that gives the part for tunnels.
	tunnelMemory        = 48 << 10
	tunnelMemoryDivisor = 16
)

// tunnelLimit returns the number of tunnels that a daemon carries at once.
func tunnelLimit(s settings.Routes) int {
	limit := s.MemoryMB << 20 / tunnelMemoryDivisor / tunnelMemory
	if s.Descriptors > 0 {
		limit = min(limit, max(s.Descriptors-reservedDescriptors, 0)/tunnelDivisor)
	}
	return max(limit, 1)
}

// OnReach implements peer.RoutesHandler.
func (n *Node) OnReach(r peer.ReachRequest) peer.ReachReply {
	reply := peer.ReachReply{Limit: n.gateway.Limit()}
	reply.Free = max(reply.Limit-n.gateway.Running(), 0)
	if _, reply.CutOff = n.paths.tracker.CutOff(r.Service); reply.CutOff {
		return reply
	}
	if !n.outbound.begin("Reach") {
		return reply
	}
	defer n.outbound.end()
	ctx, cancel := context.WithTimeout(context.Background(), upconn.DialTimeout)
	defer cancel()
	results := make(chan upconn.Liveness, peer.MaxReachInstances)
	asked := 0
	for _, id := range r.Instances[:min(len(r.Instances), peer.MaxReachInstances)] {
		i, ok := n.table.Get(id)
		if !ok || i.Service != r.Service {
			continue
		}
		if !r.Anew && n.pool.ReachedSince(targetOf(i), time.Now().Add(-reachedRecently)) {
			reply.Reached = true
			break
		}
		asked++
		go func() {
			liveness, _ := n.checkInstance(ctx, targetOf(i))
			results <- liveness
		}()
	}
	for range asked {
		switch <-results {
		case upconn.Alive:
			reply.Reached, reply.Confirmed = true, true
		case upconn.Ended:
			reply.Refused = true
		}
	}
	return reply
}

// ConnectTunnel implements peer.GatewayHandler.
func (n *Node) ConnectTunnel(r peer.TunnelRequest) (net.Conn, peer.TunnelError) {
	from, known := n.registry.Get(r.From)
	if r.To != n.registry.Self().Incarnation || !known || from.State == member.Left {
		return nil, peer.TunnelDenied
	}
	if refused := n.MayPass(r); refused != "" {
		return nil, refused
	}
	i, ok := n.table.Get(r.Instance)
	if !ok {
		return nil, peer.TunnelWithdrawn
	}
	ctx, cancel := context.WithTimeout(context.Background(), upconn.DialTimeout)
	defer cancel()
	conn, err := n.pool.DialDirect(ctx, targetOf(i))
	if err != nil {
		return nil, peer.TunnelUnreachable
	}
	return conn, ""
}

// MayPass implements peer.GatewayHandler.
func (n *Node) MayPass(r peer.TunnelRequest) peer.TunnelError {
	if _, cut := n.paths.tracker.CutOff(r.Service); cut {
		return peer.TunnelCutOff
	}
	switch {
	case n.leaving.Load():
		return peer.TunnelStopping
	case !n.table.MayServe(r.Instance, r.Service):
		return peer.TunnelWithdrawn
	}
	return ""
}
