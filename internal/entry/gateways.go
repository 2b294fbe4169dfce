package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/reach"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// gateway is a daemon through which instances of a service are reached.
type gateway struct {
	member.Daemon
	reach.Gateway
}

// peersToAsk returns the daemons to ask about a service: the known ones, and count others at random,
// half of them in this daemon's failure domain. Daemons that are cut off, too, are left out.
func (p *pathManager) peersToAsk(service string, known []gateway, count int) []member.Daemon {
	var out, near, far []member.Daemon
	for _, g := range known {
		out = append(out, g.Daemon)
	}
	own := p.registry.Self().Incarnation
	for _, d := range p.registry.Live() {
		switch {
		case d.Incarnation == own, isCutOff(d, service), member.Contains(out, d.Incarnation):
		case d.FailureDomain == p.settings.FailureDomain:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	shuffle := func(all []member.Daemon) {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	}
	shuffle(near)
	shuffle(far)
	fromNear := min(len(near), max(count/2, count-len(far)))
	return append(append(out, near[:fromNear]...), far[:min(len(far), count-fromNear)]...)
}

func isCutOff(d member.Daemon, service string) bool { return slices.Contains(d.CutOff, service) }

// ask asks daemons whether they reach instances, and returns those that do: all that answer within
// moreGateways of the first one. told is what they know of the instance if r names only one and asks
// for an answer anew: any of them that has an answer of its own outweighs those that are refused.
func (p *pathManager) ask(ctx context.Context, daemons []member.Daemon, r peer.ReachRequest) (reached []gateway, told upconn.Liveness) {
	type answer struct {
		from  member.Daemon
		reply peer.ReachReply
	}
	answers := make(chan answer, len(daemons))
	call, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	for _, d := range daemons {
		go func() {
			reply, err := p.peers.Reach(call, d.PeerAddress, r)
			if err != nil {
				slog.Debug("reach.not_answered", "peer", d.PeerAddress, "error", err)
			}
			answers <- answer{d, reply}
		}()
	}
	var enough <-chan time.Time
	ended := false
	for range daemons {
		select {
		case a := <-answers:
			ended = ended || a.reply.Refused
			if a.reply.Confirmed {
				told = upconn.Alive
			}
			if !a.reply.Reached || a.reply.CutOff {
				continue
			}
			near := a.from.FailureDomain == p.settings.FailureDomain
			reached = append(reached, gateway{Daemon: a.from, Gateway: reach.Gateway{Near: near, Free: a.reply.Free, Limit: a.reply.Limit}})
			if enough == nil {
				enough = p.clock.After(moreGateways)
			}
		case <-enough:
			return reached, told
		}
	}
	if ended && len(reached) == 0 {
		told = upconn.Ended
	}
	return reached, told
}

func (p *pathManager) setGateways(service string, all []gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways[service], p.refreshed[service], p.none[service] = all[:min(len(all), maxGateways)], p.clock.Now(), len(all) == 0
}

func (p *pathManager) knownGateways(service string) []gateway {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]gateway(nil), p.gateways[service]...)
}

// refreshDue reports whether the gateways of a service were last asked at least interval ago, and
// counts them as asked then.
func (p *pathManager) refreshDue(service string, interval time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Sub(p.refreshed[service]) < interval {
		return false
	}
	p.refreshed[service] = now
	return true
}

// refreshGateways asks the known gateways of a service and some other daemons for their free
// capacity.
func (p *pathManager) refreshGateways(ctx context.Context, service string) {
	known := p.knownGateways(service)
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	r := peer.ReachRequest{Service: service}
	for _, to := range p.sampleTargets(service, peer.MaxReachInstances, noTarget) {
		r.Instances = append(r.Instances, to.Instance)
	}
	reached, _ := p.ask(ctx, p.peersToAsk(service, known[:min(len(known), maxGateways-askedPeers)], askedPeers), r)
	p.setGateways(service, reached)
}

// findGateways looks for gateways of a service of which none is known. The requests that need one at
// the same time wait for the same answer.
func (p *pathManager) findGateways(ctx context.Context, service string) {
	p.finding.Lock()
	defer p.finding.Unlock()
	if len(p.knownGateways(service)) > 0 {
		return
	}
	interval := time.Duration(0)
	if p.foundNone(service) {
		interval = findInterval
	}
	if p.refreshDue(service, interval) {
		p.refreshGateways(ctx, service)
	}
}

// foundNone reports whether no gateway of a service was found when they were last asked.
func (p *pathManager) foundNone(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.none[service]
}

// takeGateway chooses a gateway that has not been tried, and counts a tunnel there. busy is set if
// the others have no free capacity.
func (p *pathManager) takeGateway(service string, tried map[string]bool) (d member.Daemon, busy, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []reach.Gateway
	var places []int
	for i, g := range p.gateways[service] {
		if !tried[g.Incarnation] {
			all, places = append(all, g.Gateway), append(places, i)
		}
	}
	i, ok := reach.Choose(all, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if !ok {
		return d, len(all) > 0, false
	}
	g := &p.gateways[service][places[i]]
	g.Free--
	return g.Daemon, false, true
}

// dropGateway removes a gateway of a service, or takes it for busy until it is asked again.
func (p *pathManager) dropGateway(service, incarnation string, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []gateway
	for _, g := range p.gateways[service] {
		if g.Incarnation == incarnation {
			if !busy {
				continue
			}
			g.Free = 0
		}
		kept = append(kept, g)
	}
	p.gateways[service] = kept
}

// OpenTunnel implements upconn.Paths.
func (p *pathManager) OpenTunnel(ctx context.Context, to upconn.Target) (upconn.Tunnel, error) {
	tried := map[string]bool{}
	var unreachable error
	busy := false
	for range tunnelTries {
		d, noneFree, ok := p.takeGateway(to.Service, tried)
		if !ok && !noneFree && !busy && unreachable == nil {
			p.findGateways(ctx, to.Service)
			d, noneFree, ok = p.takeGateway(to.Service, tried)
		}
		busy = busy || noneFree
		if !ok {
			break
		}
		tried[d.Incarnation] = true
		t, err := peer.OpenTunnel(ctx, d, peer.TunnelRequest{From: p.registry.Self().Incarnation, Service: to.Service, Instance: to.Instance})
		if err == nil {
			p.opened.Add(1)
			slog.Debug("tunnel.opened", "service", to.Service, "instance", to.Instance, "gateway", d.PeerAddress)
			return t, nil
		}
		slog.Info("tunnel.not_opened", "service", to.Service, "instance", to.Instance, "gateway", d.PeerAddress, "error", err)
		switch refused := peer.TunnelError(""); {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case !errors.As(err, &refused):
			p.dropGateway(to.Service, d.Incarnation, false)
		case refused == peer.TunnelBusy:
			busy = true
			p.dropGateway(to.Service, d.Incarnation, true)
		case refused == peer.TunnelUnreachable && unreachable != nil:
			// Two gateways do not reach the instance. It is the instance's fault.
			return nil, err
		case refused == peer.TunnelUnreachable:
			unreachable = err
		case refused == peer.TunnelWithdrawn:
			return nil, upconn.ErrWithdrawn
		default:
			p.dropGateway(to.Service, d.Incarnation, false)
		}
	}
	p.notOpened.Add(1)
	switch {
	case unreachable != nil:
		return nil, unreachable
	case busy:
		return nil, upconn.ErrGatewaysBusy
	}
	return nil, upconn.ErrNoGateway
}
