package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/reach"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

const (
	// pathTick is the interval at which the state of the paths to instances is looked at.
	pathTick = 100 * time.Millisecond
	// askedPeers is the number of daemons asked in a check, and maxAskedPeers the number to which it
	// grows with checks in which none reached the instances. Few of them reach any if most are cut off.
	askedPeers    = 6
	maxAskedPeers = 32
	// askGrowth is the factor by which it grows.
	askGrowth = 4
	// maxGateways is the largest number of gateways that are known at a time.
	maxGateways = 10
	// moreGateways is how long after the first gateway has answered others are waited for.
	moreGateways = 50 * time.Millisecond
	// reachTimeout bounds the question to a peer, which may connect to instances itself.
	reachTimeout = upconn.DialTimeout + 150*time.Millisecond
	// reachedRecently is how long a sign of life of an instance counts as reaching it.
	reachedRecently = 500 * time.Millisecond
	// abortAfter is the time after the beginning of a cut in which open connections may give a sign of
	// life.
	abortAfter = 400 * time.Millisecond
	// findInterval is the shortest interval at which gateways are looked for while none is found.
	findInterval = 250 * time.Millisecond
	// gatewayInterval is the interval at which the free capacity of gateways is asked for.
	gatewayInterval = 700 * time.Millisecond
	// tunnelTries is the number of gateways tried for one tunnel.
	tunnelTries = 3
)

// pathManager knows which services this daemon is cut off from, and the daemons through which it
// reaches them.
//
// Lock order: finding, then mu. No other lock is taken while mu is held.
type pathManager struct {
	*Node
	tracker *reach.Tracker
	// failed is signalled when a direct connection has failed.
	failed chan struct{}

	// finding is held while gateways are looked for. It is taken before mu.
	finding sync.Mutex

	mu sync.Mutex
	// gateways are the known gateways by service, and refreshed is when they were last asked.
	gateways  map[string][]gateway
	refreshed map[string]time.Time
	// none is set for services of which no gateway was found then.
	none map[string]bool

	// Cuts counts the cuts, Opened the tunnels opened, and Failed those that could not be opened.
	cuts, opened, notOpened atomic.Int64
}

// gateway is a daemon through which instances of a service are reached.
type gateway struct {
	member.Daemon
	reach.Gateway
}

func newPathManager(n *Node) *pathManager {
	return &pathManager{
		Node: n, tracker: reach.NewTracker(n.clock), failed: make(chan struct{}, 1),
		gateways: map[string][]gateway{}, refreshed: map[string]time.Time{}, none: map[string]bool{},
	}
}

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

// Sent, Answered, Heard and HeardSince implement forward.Paths.
func (p *pathManager) Sent(service string)                 { p.tracker.Sent(service) }
func (p *pathManager) Answered(service string, heard bool) { p.tracker.Answered(service, heard) }
func (p *pathManager) Heard(service string)                { p.tracker.Heard(service) }
func (p *pathManager) HeardSince(service string, after time.Time) bool {
	return p.tracker.HeardSince(service, after)
}

// pathVars are the counters in /debug/vars.
type pathVars struct {
	// CutOff are the services that this daemon does not reach, and Cuts counts how often that began.
	CutOff []string `json:"cut_off"`
	Cuts   int64    `json:"cuts"`
	// Gateways is the number of known gateways. TunnelsOpened and TunnelsNotOpened count the tunnels
	// that this daemon asked for.
	Gateways         int   `json:"gateways"`
	TunnelsOpened    int64 `json:"tunnels_opened"`
	TunnelsNotOpened int64 `json:"tunnels_not_opened"`
	// Carried is the number of open tunnels that this daemon carries for others, and CarriedLimit the
	// most that it carries. CarriedRequests and CarriedRefused count requests and refusals.
	Carried         int   `json:"carried"`
	CarriedLimit    int   `json:"carried_limit"`
	CarriedRequests int64 `json:"carried_requests"`
	CarriedRefused  int64 `json:"carried_refused"`
}

func (p *pathManager) vars() pathVars {
	p.mu.Lock()
	known := map[string]bool{}
	for _, all := range p.gateways {
		for _, g := range all {
			known[g.Incarnation] = true
		}
	}
	p.mu.Unlock()
	return pathVars{
		CutOff: p.tracker.CutOffServices(), Cuts: p.cuts.Load(), Gateways: len(known), TunnelsOpened: p.opened.Load(), TunnelsNotOpened: p.notOpened.Load(),
		Carried: p.gateway.Open(), CarriedLimit: p.gateway.Limit(), CarriedRequests: p.gateway.Passed.Load(), CarriedRefused: p.gateway.Refused.Load(),
	}
}

// Tunneled implements upconn.Paths.
func (p *pathManager) Tunneled(service string) (since time.Time, ok bool) {
	return p.tracker.CutOff(service)
}

// NoteDial implements upconn.Paths.
func (p *pathManager) NoteDial(to upconn.Target, err error) {
	if to.Service == "" {
		return
	}
	if err == nil {
		if p.tracker.Connected(to.Service) {
			p.restored(to.Service)
		}
		return
	}
	p.tracker.Failed(to.Service, to.Instance)
	select {
	case p.failed <- struct{}{}:
	default:
	}
}

// loop checks services whose connections fail, and tries direct connections while this daemon is cut
// off.
func (p *pathManager) loop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.failed:
		case <-p.clock.After(pathTick):
		}
		for _, service := range p.tracker.Due() {
			if p.tracker.BeginCheck(service) {
				go p.check(ctx, service)
			}
		}
		for _, service := range p.tracker.CutOffServices() {
			if p.tracker.ProbeDue(service) {
				go p.probe(ctx, p.sampleTargets(service, 1, noTarget))
			}
			if p.refreshDue(service, gatewayInterval) {
				go p.refreshGateways(ctx, service)
			}
		}
	}
}

// check finds out whether this daemon is cut off from a service whose connections fail. It first
// connects to others, until enough have failed: one that failed alone has probably ended.
func (p *pathManager) check(ctx context.Context, service string) {
	fruitless := p.tracker.Fruitless(service)
	if fruitless == 0 {
		p.probe(ctx, p.sampleTargets(service, p.tracker.ProbesNeeded(service), p.tracker.HasFailed))
	}
	failed := p.tracker.FailedInstances(service, p.table.Count(service, anyVersion))
	var reached []gateway
	if len(failed) > 0 {
		count := askedPeers
		for range fruitless {
			count = min(count*askGrowth, maxAskedPeers)
		}
		reached, _ = p.ask(ctx, p.peersToAsk(service, nil, count), peer.ReachRequest{Service: service, Instances: failed})
		p.setGateways(service, reached)
	}
	if cut, evidence := p.tracker.EndCheck(service, len(reached)); cut {
		p.cuts.Add(1)
		p.table.ForgiveFailures(service)
		slog.Warn("service.cut_off", "service", service, "failed", strings.Join(evidence.Failed, ","), "reached_by", evidence.Peers)
		p.announceCuts()
		p.clock.AfterFunc(abortAfter, func() { p.abortSilent(service) })
	}
}

// abortSilent ends the attempts over open connections to a service if these have lost their link, too.
func (p *pathManager) abortSilent(service string) {
	if !p.tracker.IsSilent(service) {
		return
	}
	if n := p.handler.AbortDirect(service); n > 0 {
		slog.Info("attempts.aborted", "service", service, "count", n)
	}
}

// restored records the end of a cut.
func (p *pathManager) restored(service string) {
	slog.Info("service.reached_again", "service", service)
	p.table.ForgiveFailures(service)
	p.announceCuts()
}

// announceCuts tells the other daemons which services this one is cut off from.
func (p *pathManager) announceCuts() {
	p.registry.SetSelf(func(d *member.Daemon) {
		d.CutOff = p.tracker.CutOffServices()
		d.Version++
	})
	p.requestHeartbeat()
}

func anyVersion(string, bool) bool { return true }

// sampledTargets is the number of instances from which sampleTargets chooses.
const sampledTargets = 12

// sampleTargets returns up to n instances of a service at random, without those that leaveOut accepts.
func (p *pathManager) sampleTargets(service string, n int, leaveOut func(service, instance string) bool) []upconn.Target {
	views, _ := p.table.Sample(service, inventory.Selection{Accept: anyVersion, Start: rand.Uint64(), FailureDomain: p.settings.FailureDomain, Size: sampledTargets})
	rand.Shuffle(len(views), func(i, j int) { views[i], views[j] = views[j], views[i] })
	var out []upconn.Target
	for _, v := range views {
		if len(out) < n && !leaveOut(service, v.Instance.ID) {
			out = append(out, targetOf(v.Instance))
		}
	}
	return out
}

func noTarget(string, string) bool { return false }

func targetOf(i inventory.Instance) upconn.Target {
	return upconn.Target{Address: i.Address, Service: i.Service, Instance: i.ID}
}

// probe opens direct connections to instances, which are kept for requests.
func (p *pathManager) probe(ctx context.Context, targets []upconn.Target) {
	call, cancel := context.WithTimeout(ctx, 2*upconn.DialTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, to := range targets {
		// The pool reports the result to NoteDial.
		all.Go(func() { _ = p.pool.Probe(call, to) })
	}
	all.Wait()
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

func isCutOff(d member.Daemon, service string) bool {
	for _, s := range d.CutOff {
		if s == service {
			return true
		}
	}
	return false
}

// ask asks daemons whether they reach instances, and returns those that do: all that answer within
// moreGateways of the first one. ended is set if none does, and an instance refuses their
// connections.
func (p *pathManager) ask(ctx context.Context, daemons []member.Daemon, r peer.ReachRequest) (reached []gateway, ended bool) {
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
	for range daemons {
		select {
		case a := <-answers:
			ended = ended || a.reply.Refused
			if !a.reply.Reached || a.reply.CutOff {
				continue
			}
			near := a.from.FailureDomain == p.settings.FailureDomain
			reached = append(reached, gateway{Daemon: a.from, Gateway: reach.Gateway{Near: near, Free: a.reply.Free, Limit: a.reply.Limit}})
			if enough == nil {
				enough = p.clock.After(moreGateways)
			}
		case <-enough:
			return reached, false
		}
	}
	return reached, ended && len(reached) == 0
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

// instanceEnded reports whether the process of an instance has certainly ended. Connections that are
// refused here may be refused by this daemon's own network, so that another daemon must not reach the
// instance.
func (p *pathManager) instanceEnded(ctx context.Context, i inventory.Instance) bool {
	to := targetOf(i)
	_, cut := p.tracker.CutOff(i.Service)
	if !cut && !p.pool.ProcessEnded(ctx, to) {
		return false
	}
	peers := p.peersToAsk(i.Service, nil, askedPeers)
	if len(peers) == 0 {
		return !cut
	}
	reached, ended := p.ask(ctx, peers, peer.ReachRequest{Service: i.Service, Instances: []string{i.ID}})
	return len(reached) == 0 && (ended || !cut)
}

// AwaitCheck implements forward.Paths.
func (p *pathManager) AwaitCheck(ctx context.Context, service string) {
	if p.tracker.Checked(service) == nil {
		for _, due := range p.tracker.Due() {
			if due == service && p.tracker.BeginCheck(service) {
				go p.check(context.WithoutCancel(ctx), service)
			}
		}
	}
	checked := p.tracker.Checked(service)
	if checked == nil {
		return
	}
	select {
	case <-checked:
	case <-ctx.Done():
	}
}

// OnReach implements peer.RoutesHandler.
func (n *Node) OnReach(r peer.ReachRequest) peer.ReachReply {
	reply := peer.ReachReply{Limit: n.gateway.Limit()}
	reply.Free = max(reply.Limit-n.gateway.Running(), 0)
	if _, reply.CutOff = n.paths.tracker.CutOff(r.Service); reply.CutOff {
		return reply
	}
	ctx, cancel := context.WithTimeout(context.Background(), upconn.DialTimeout)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, id := range r.Instances[:min(len(r.Instances), peer.MaxReachInstances)] {
		i, ok := n.table.Get(id)
		if !ok || i.Service != r.Service {
			continue
		}
		if n.pool.ReachedSince(i.Address, time.Now().Add(-reachedRecently)) {
			reply.Reached = true
			break
		}
		all.Go(func() {
			err := n.pool.Probe(ctx, targetOf(i))
			mu.Lock()
			defer mu.Unlock()
			reply.Reached = reply.Reached || err == nil
			reply.Refused = reply.Refused || errors.Is(err, syscall.ECONNREFUSED)
		})
	}
	all.Wait()
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
