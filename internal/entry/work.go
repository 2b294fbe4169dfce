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
	// workInterval is the least time between two rounds in which a reader collects and
	// tells what waits at upstream instances: a tenth of what a long prompt takes to be
	// read by a large model. Between two rounds all daemons choose by the same list, and
	// an instance that looks idle there gets more than it can begin in time.
	workInterval = 100 * time.Millisecond
	// workPerInstance is the least time between two rounds for each instance told of:
	// at some 7 bytes each, a daemon of a large fleet gets 7 kB a second.
	workIntervalPerInstance = 1 * time.Millisecond
	// domainTime is how long the sum of another failure domain is relied on.
	domainWorkTTL = 4 * time.Second
	// readingsPerSecond bounds the readings that each daemon is told of: 3 kB a second
	// at 8 bytes each, whatever the size of the fleet. Daemons whose callers ask for more
	// than that in a second place the rest by what they sent themselves.
	prefixesPerSecond = 375
	// maxUntold bounds the readings that wait to be told: some seconds of them. Older
	// ones are told no more, since what an engine read lately it most likely keeps.
	maxPendingPrefixes = 4 * prefixesPerSecond
)

// workSums add up what daemons have under way at upstream instances, and collect
// which beginnings of prompts they sent where. Each daemon by itself sees too little of
// it to tell a busy instance from an idle one: in a large fleet it sends an instance a
// request or two in a minute.
//
// Lock order: mu is taken alone.
type workTotals struct {
	mu      sync.Mutex
	group   *inventory.WorkSum
	domains map[string]domainWork
	// forGroup and forDomains are readings that were not told to them yet.
	pendingForGroup, pendingForDomains []inventory.CachedPrefix
}

type domainWork struct {
	work inventory.Work
	at   time.Time
}

func newWorkTotals() *workTotals {
	return &workTotals{group: inventory.NewWorkSum(), domains: map[string]domainWork{}}
}

// add takes in the work of a daemon of the group.
func (w *workTotals) add(own peer.DaemonWork, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.Add(own.Incarnation, peer.UnpackWork(own.Amounts), now)
	read := peer.UnpackReadings(own.Readings)
	w.pendingForGroup = newest(append(w.pendingForGroup, read...), maxPendingPrefixes)
	w.pendingForDomains = newest(append(w.pendingForDomains, read...), maxPendingPrefixes)
}

// addDomain takes in the work of another failure domain.
func (w *workTotals) addDomain(d peer.DomainWork, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domains[d.Domain] = domainWork{work: peer.UnpackWork(d.Amounts), at: now}
	w.pendingForGroup = newest(append(w.pendingForGroup, peer.UnpackReadings(d.Readings)...), maxPendingPrefixes)
}

// newest returns the last n readings, or all if there are fewer.
func newest(all []inventory.CachedPrefix, n int) []inventory.CachedPrefix {
	return all[max(len(all)-n, 0):]
}

// split takes the last n readings off and returns them and the rest.
func takeNewest(all []inventory.CachedPrefix, n int) (taken, rest []inventory.CachedPrefix) {
	at := max(len(all)-n, 0)
	return all[at:], all[:at:at]
}

// readingsIn is how many readings may be told after some time without.
func prefixesIn(pause time.Duration) int { return int(prefixesPerSecond * pause.Seconds()) }

// tellGroup returns the sum over all groups, and at most some readings to tell.
func (w *workTotals) fleetWork(now time.Time, most int) (inventory.Work, []inventory.CachedPrefix) {
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
	read, rest := takeNewest(w.pendingForGroup, most)
	w.pendingForGroup = rest
	return out, read
}

// tellDomains returns the sum of this group, and at most some readings to tell others.
func (w *workTotals) groupWork(now time.Time, most int) (inventory.Work, []inventory.CachedPrefix) {
	w.mu.Lock()
	defer w.mu.Unlock()
	read, rest := takeNewest(w.pendingForDomains, most)
	w.pendingForDomains = rest
	return w.group.Total(now), read
}

// workLoop tells what waits at upstream instances, when this daemon is the first of
// its group's readers.
func (n *Node) workLoop(ctx context.Context) {
	pause := workInterval
	for n.sleep(ctx, pause) {
		first := n.readers(1, n.workGroup())
		if len(first) == 0 || first[0].Incarnation != n.registry.Self().Incarnation {
			continue
		}
		pause = workRoundInterval(n.sendFleetWork(ctx, prefixesIn(pause)))
		if len(n.registry.Live()) > maxFleetWorkGroup {
			n.sendDomainWork(ctx, prefixesIn(pause))
		}
	}
}

// workPause is the time to the next round after one that told of some instances.
func workRoundInterval(instances int) time.Duration {
	return max(workInterval, time.Duration(instances)*workIntervalPerInstance)
}

// tellWork tells the group what all daemons have under way and at most some readings,
// and collects what each of them has. It returns the number of instances told of.
func (n *Node) sendFleetWork(ctx context.Context, readings int) int {
	n.workTotals.add(n.ownWork(), n.clock.Now())
	work, read := n.workTotals.fleetWork(n.clock.Now(), readings)
	n.table.SetFleetWork(work)
	n.prefixes.Merge(read)
	told := peer.FleetWork{Amounts: peer.PackWork(work), Readings: peer.PackReadings(read)}
	n.callEach(ctx, peerCallTimeout, n.otherDaemons(n.workGroup()), func(call context.Context, address string) {
		own, err := n.peers.SendFleetWork(call, address, told)
		if err != nil {
			slog.Debug("work.not_told", "peer", address, "error", err)
			return
		}
		n.workTotals.add(own, n.clock.Now())
	})
	return len(work)
}

// tellDomainWork tells the readers of other groups the sum of this one, and at most
// some readings.
func (n *Node) sendDomainWork(ctx context.Context, readings int) {
	work, read := n.workTotals.groupWork(n.clock.Now(), readings)
	mine := peer.DomainWork{
		Domain: n.settings.FailureDomain, Amounts: peer.PackWork(work), Readings: peer.PackReadings(read),
	}
	var readers []member.Daemon
	for domain := range n.settings.FailureDomains {
		if domain != n.settings.FailureDomain {
			readers = append(readers, n.readers(1, inDomain(domain))...)
		}
	}
	n.callEach(ctx, peerCallTimeout, readers, func(call context.Context, address string) {
		if err := n.peers.SendDomainWork(call, address, mine); err != nil {
			slog.Debug("work.not_told", "peer", address, "error", err)
		}
	})
}

func inDomain(domain string) func(member.Daemon) bool {
	return func(d member.Daemon) bool { return d.FailureDomain == domain }
}

func (n *Node) ownWork() peer.DaemonWork {
	return peer.DaemonWork{
		Incarnation: n.registry.Self().Incarnation,
		Amounts:     peer.PackWork(n.table.OwnWork()), Readings: peer.PackReadings(n.prefixes.TakePending()),
	}
}

// OnGroupWork implements peer.RoutesHandler.
func (n *Node) OnFleetWork(w peer.FleetWork) peer.DaemonWork {
	n.table.SetFleetWork(peer.UnpackWork(w.Amounts))
	n.prefixes.Merge(peer.UnpackReadings(w.Readings))
	return n.ownWork()
}

// OnDomainWork implements peer.RoutesHandler.
func (n *Node) OnDomainWork(w peer.DomainWork) { n.workTotals.addDomain(w, n.clock.Now()) }
