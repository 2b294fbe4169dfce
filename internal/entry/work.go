package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

const (
	// workInterval is the minimum interval between two rounds in which a reader collects and
	// sends the outstanding work at upstream instances. It is a tenth of the prefill time of a
	// long prompt on a large model. Between two rounds all daemons choose by the same data, so
	// an instance that looks idle gets more than it can start in time.
	workInterval = 100 * time.Millisecond
	// workIntervalPerInstance is the minimum interval for each instance in a round. At some 7
	// bytes per instance, a daemon of a large fleet receives 7 kB per second.
	workIntervalPerInstance = 1 * time.Millisecond
	// maxSentAmounts is the number of instances in a round, the busiest ones. It keeps a round
	// well below the time for which the reported work is used. Daemons go by their own requests
	// at other instances, which have less to do.
	maxSentAmounts = 1000
	// domainWorkTTL is how long the work reported by another failure domain is used.
	domainWorkTTL = 4 * time.Second
	// prefixesPerSecond limits the cached prefixes sent to each daemon: 3 kB per second at 8
	// bytes each, whatever the size of the fleet. If callers send more prompts than that,
	// daemons place the rest by the prefixes that they sent themselves.
	prefixesPerSecond = 375
	// maxPendingPrefixes limits the prefixes that wait to be sent to what can be sent in some
	// seconds. The oldest are dropped, since engines most likely still cache what they
	// processed last.
	maxPendingPrefixes = 4 * prefixesPerSecond
)

// workTotals adds up the outstanding work of daemons at upstream instances and collects which
// prompt prefixes they sent to which instance. A single daemon cannot tell a busy instance
// from an idle one: in a large fleet it sends an instance one or two requests per minute.
//
// Lock order: no other lock is taken while mu is held.
type workTotals struct {
	mu      sync.Mutex
	group   *inventory.WorkSum
	domains map[string]domainWork
	// pendingForGroup and pendingForDomains are prefixes that were not sent to the group and
	// to other failure domains yet.
	pendingForGroup, pendingForDomains []inventory.CachedPrefix
	losses                             *inventory.LossSum
	errors                             *inventory.ErrorSum
	speeds                             speedTotals
}

type domainWork struct {
	work inventory.Work
	at   time.Time
}

func newWorkTotals() *workTotals {
	return &workTotals{group: inventory.NewWorkSum(), domains: map[string]domainWork{}, losses: inventory.NewLossSum(), errors: inventory.NewErrorSum()}
}

// add records the work of a daemon of the group.
func (w *workTotals) add(own peer.DaemonWork, now time.Time) {
	w.speeds.add(own.Speeds, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.Add(own.Incarnation, peer.UnpackWork(own.Amounts), now)
	w.losses.Add(own.Incarnation, peer.UnpackLosses(own.Losses), now)
	w.errors.Add(own.Incarnation, peer.UnpackErrors(own.Errors), now)
	prefixes := peer.UnpackPrefixes(own.Readings)
	w.pendingForGroup = newest(append(w.pendingForGroup, prefixes...), maxPendingPrefixes)
	w.pendingForDomains = newest(append(w.pendingForDomains, prefixes...), maxPendingPrefixes)
}

// addDomain records the work of another failure domain.
func (w *workTotals) addDomain(d peer.DomainWork, now time.Time) {
	w.speeds.addDomain(d.Domain, d.Speeds, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domains[d.Domain] = domainWork{work: peer.UnpackWork(d.Amounts), at: now}
	w.losses.AddDomain(d.Domain, peer.UnpackLosses(d.Losses), now)
	w.errors.AddDomain(d.Domain, peer.UnpackErrors(d.Errors), now)
	w.pendingForGroup = newest(append(w.pendingForGroup, peer.UnpackPrefixes(d.Readings)...), maxPendingPrefixes)
}

// newest returns the last n prefixes, or all if there are fewer.
func newest(all []inventory.CachedPrefix, n int) []inventory.CachedPrefix {
	return all[max(len(all)-n, 0):]
}

// takeNewest splits off the last n prefixes and returns them and the rest.
func takeNewest(all []inventory.CachedPrefix, n int) (taken, rest []inventory.CachedPrefix) {
	at := max(len(all)-n, 0)
	return all[at:], all[:at:at]
}

// prefixesIn returns how many prefixes may be sent after a pause.
func prefixesIn(pause time.Duration) int { return int(prefixesPerSecond * pause.Seconds()) }

// fleetWork returns the work of all groups, and removes and returns up to maxPrefixes prefixes
// to send to the group.
func (w *workTotals) fleetWork(now time.Time, maxPrefixes int) (inventory.Work, []inventory.CachedPrefix) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.group.Total(now)
	for _, d := range w.domains {
		if now.Sub(d.at) > domainWorkTTL {
			continue
		}
		for instance, amount := range d.work {
			out.Add(instance, amount)
		}
	}
	prefixes, rest := takeNewest(w.pendingForGroup, maxPrefixes)
	w.pendingForGroup = rest
	return out, prefixes
}

// groupWork returns the work of this group, and removes and returns up to maxPrefixes prefixes
// to send to other failure domains.
func (w *workTotals) groupWork(now time.Time, maxPrefixes int) (inventory.Work, []inventory.CachedPrefix) {
	w.mu.Lock()
	defer w.mu.Unlock()
	prefixes, rest := takeNewest(w.pendingForDomains, maxPrefixes)
	w.pendingForDomains = rest
	return w.group.Total(now), prefixes
}

// workLoop exchanges the outstanding work at upstream instances while this daemon is the first
// reader of its group.
func (n *Node) workLoop(ctx context.Context) {
	pause := workInterval
	for n.sleep(ctx, pause) {
		first := n.readers(1, n.workGroup())
		if len(first) == 0 || first[0].Incarnation != n.registry.Self().Incarnation {
			continue
		}
		pause = workRoundInterval(n.sendFleetWork(ctx, prefixesIn(pause)))
		if n.registry.LiveCount() > maxFleetWorkGroup {
			n.sendDomainWork(ctx, prefixesIn(pause))
		}
	}
}

// workRoundInterval returns the time to the next round after one with the given number of
// instances.
func workRoundInterval(instances int) time.Duration {
	return max(workInterval, time.Duration(instances)*workIntervalPerInstance)
}

// sendFleetWork sends the outstanding work of all daemons and up to maxPrefixes prefixes to the
// group, and collects the work of each daemon from the replies. It returns the
// number of instances sent.
func (n *Node) sendFleetWork(ctx context.Context, maxPrefixes int) int {
	own := n.ownWork()
	n.workTotals.add(own, n.clock.Now())
	n.noteDaemonWork(own)
	work, prefixes := n.workTotals.fleetWork(n.clock.Now(), maxPrefixes)
	n.table.SetFleetWork(work)
	n.prefixes.Merge(prefixes)
	work = work.Busiest(maxSentAmounts)
	update := peer.FleetWork{Amounts: peer.PackWork(work), Readings: peer.PackPrefixes(prefixes), Losses: n.fleetLosses(), Errors: n.fleetErrors(), Speeds: n.fleetSpeeds()}
	others := n.otherDaemons(n.workGroup())
	n.fillFleetUsage(&update, len(others))
	n.extendFleetWork(&update)
	n.callEach(ctx, peerCallTimeout, others, func(call context.Context, address string) {
		own, err := n.peers.SendFleetWork(call, address, update)
		if err != nil {
			slog.Debug("work.not_sent", "peer", address, "error", err)
			return
		}
		n.workTotals.add(own, n.clock.Now())
		n.addUsage(own)
		n.noteDaemonWork(own)
	})
	return len(work)
}

// sendDomainWork sends the work of this group and up to maxPrefixes prefixes to the first
// reader of each other failure domain.
func (n *Node) sendDomainWork(ctx context.Context, maxPrefixes int) {
	work, prefixes := n.workTotals.groupWork(n.clock.Now(), maxPrefixes)
	mine := peer.DomainWork{
		Domain: n.settings.FailureDomain, Amounts: peer.PackWork(work.Busiest(maxSentAmounts)), Readings: peer.PackPrefixes(prefixes),
		Usage:  n.groupUsage(),
		Losses: n.workTotals.groupLosses(n.clock.Now()),
		Errors: n.workTotals.groupErrors(),
		Speeds: n.workTotals.speeds.forDomains(n.clock.Now()),
	}
	n.extendDomainWork(&mine)
	var readers []member.Daemon
	for _, domain := range n.otherDomains() {
		readers = append(readers, n.readers(1, domain)...)
	}
	n.callEach(ctx, peerCallTimeout, readers, func(call context.Context, address string) {
		if err := n.peers.SendDomainWork(call, address, mine); err != nil {
			slog.Debug("work.not_sent", "peer", address, "error", err)
		}
	})
}

func (n *Node) ownWork() peer.DaemonWork {
	own := peer.DaemonWork{
		Incarnation: n.registry.Self().Incarnation,
		Amounts:     peer.PackWork(n.table.OwnWork()), Readings: peer.PackPrefixes(n.prefixes.TakePending()),
		Losses: peer.PackLosses(n.table.OwnLosses(maxSentLosses)),
		Errors: peer.PackErrors(n.table.OwnErrors(maxSentErrors)),
		Speeds: n.ownSpeeds(),
	}
	n.extendDaemonWork(&own)
	return own
}

// OnFleetWork implements peer.RoutesHandler.
func (n *Node) OnFleetWork(w peer.FleetWork) peer.DaemonWork {
	n.table.SetFleetWork(peer.UnpackWork(w.Amounts))
	n.prefixes.Merge(peer.UnpackPrefixes(w.Readings))
	n.setFleetUsage(w)
	n.mergeLosses(peer.UnpackLosses(w.Losses))
	n.mergeErrors(peer.UnpackErrorStates(w.Errors))
	n.onFleetSpeeds(w.Speeds)
	n.noteFleetWork(w)
	own := n.ownWork()
	own.Usage = n.ownUsage(w.WantUsage)
	return own
}

// OnDomainWork implements peer.RoutesHandler.
func (n *Node) OnDomainWork(w peer.DomainWork) {
	n.workTotals.addDomain(w, n.clock.Now())
	n.addDomainUsage(w)
	n.noteDomainWork(w)
}
