package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/forward"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/reach"
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

	// finding is held while gateways are looked for.
	finding sync.Mutex

	mu sync.Mutex
	// gateways are the known gateways by service, and refreshed is when they were last asked.
	gateways  map[string][]gateway
	refreshed map[string]time.Time
	// none is set for services of which no gateway was found then.
	none map[string]bool

	// cuts counts the cuts, opened the tunnels that were opened, and notOpened those that were not.
	cuts, opened, notOpened atomic.Int64
}

func newPathManager(n *Node) *pathManager {
	return &pathManager{
		Node: n, tracker: reach.NewTracker(n.clock), failed: make(chan struct{}, 1),
		gateways: map[string][]gateway{}, refreshed: map[string]time.Time{}, none: map[string]bool{},
	}
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

// NoteFailure implements upconn.Paths.
func (p *pathManager) NoteFailure(to upconn.Target, l upconn.Link) {
	if to.Service == "" {
		return
	}
	p.tracker.Failed(to.Service, to.Instance, l.OpenedAt, l.Reused)
	select {
	case p.failed <- struct{}{}:
	default:
	}
}

// NoteAnswer implements upconn.Paths.
func (p *pathManager) NoteAnswer(to upconn.Target, l upconn.Link) {
	if to.Service != "" && p.tracker.Reached(to.Service, l.OpenedAt) {
		p.restored(to.Service)
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

// check finds out whether this daemon is cut off from a service whose connections fail. It first asks
// others, until enough have failed: one that failed alone has probably ended. It asks one of those that
// failed, too, since only its old connections may have ended.
func (p *pathManager) check(ctx context.Context, service string) {
	fruitless := p.tracker.Fruitless(service)
	if fruitless == 0 {
		targets := p.sampleTargets(service, p.tracker.ProbesNeeded(service), p.tracker.HasFailed)
		again := p.sampleTargets(service, 1, func(service, instance string) bool { return !p.tracker.HasFailed(service, instance) })
		p.probe(ctx, append(targets, again...))
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

// probe asks instances for a sign of life over new direct connections, which are kept for requests.
func (p *pathManager) probe(ctx context.Context, targets []upconn.Target) {
	call, cancel := context.WithTimeout(ctx, 2*upconn.DialTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, to := range targets {
		// The pool reports the result to NoteFailure and NoteAnswer.
		all.Go(func() { _, _ = p.checkInstance(call, to) })
	}
	all.Wait()
}

// checkInstance asks an instance for a sign of life over a direct connection.
func (n *Node) checkInstance(ctx context.Context, to upconn.Target) (upconn.Liveness, error) {
	return n.pool.Check(ctx, to, upconn.StatusCheck{Path: n.healthPath(to.Service), Headers: n.codec.CheckHeaders, Sender: n.codec.CheckedServer})
}

// healthPath returns the path of the status check of a service.
func (n *Node) healthPath(service string) string {
	if c := n.current.Load(); c != nil {
		if s, ok := c.Service(service); ok && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return "/"
}

// instanceEnded reports whether the process of an instance has certainly ended.
func (p *pathManager) instanceEnded(ctx context.Context, i inventory.Instance) bool {
	return p.SignOfLife(ctx, i).Liveness == upconn.Ended
}

// SignOfLife implements forward.Paths. The result is never older than the call. Connections that are refused
// here may be refused by this daemon's own network, so that another daemon must not reach the instance.
func (p *pathManager) SignOfLife(ctx context.Context, i inventory.Instance) forward.SignOfLife {
	_, cut := p.tracker.CutOff(i.Service)
	direct := forward.SignOfLife{Source: forward.FromCheck}
	if !cut {
		check, cancel := context.WithTimeout(ctx, upconn.DialTimeout)
		defer cancel()
		var err error
		if direct.Liveness, err = p.checkInstance(check, targetOf(i)); direct.Liveness != upconn.Ended || err == nil {
			return direct
		}
	}
	peers := p.peersToAsk(i.Service, nil, askedPeers)
	if len(peers) == 0 {
		return direct
	}
	reached, told := p.ask(ctx, peers, peer.ReachRequest{Service: i.Service, Instances: []string{i.ID}, Anew: true})
	switch {
	case told != upconn.Unknown:
		return forward.SignOfLife{Liveness: told, Source: forward.FromPeers}
	case len(reached) > 0:
		// Daemons of an earlier build take any answer for that of the instance.
		return forward.SignOfLife{Source: forward.FromPeers}
	}
	return direct
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
