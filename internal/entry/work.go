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
	// workInterval is the time between two rounds in which a reader collects and
	// tells what waits at upstream instances: a fifth of what a long prompt takes
	// to be read by a large model.
	workInterval = 200 * time.Millisecond
	// workPerInstance is the least time between two rounds for each instance told of:
	// at some 10 bytes each, a daemon of a large fleet gets 10 kB a second. At 5 ms,
	// with 140 engines told of every 0.7 s, the heavy days of 79 daemons had a mean
	// worth of 0.472, and 0.492 at 200 ms, but were played on a busier machine.
	workPerInstance = 1 * time.Millisecond
	// domainRounds is how many of these rounds pass between two in which it is
	// told to other groups: bytes between failure domains cost.
	domainRounds = 2
	// domainTime is how long the sum of another failure domain is relied on.
	domainTime = 4 * time.Second
	// maxUntold bounds the readings kept for other groups, which may be none.
	maxUntold = 4000
)

// workSums add up what daemons have under way at upstream instances, and collect
// which parts of prompts they sent where. Each daemon by itself sees too little of
// it to tell a busy instance from an idle one: of 88 daemons one sends an instance a
// request in half a minute.
//
// Lock order: mu is taken alone.
type workSums struct {
	mu      sync.Mutex
	group   *inventory.Sum
	domains map[string]domainSum
	// forGroup and forDomains are readings that were not told to them yet.
	forGroup, forDomains []inventory.Reading
}

type domainSum struct {
	work inventory.Work
	at   time.Time
}

func newWorkSums() *workSums {
	return &workSums{group: inventory.NewSum(), domains: map[string]domainSum{}}
}

// add takes in the work of a daemon of the group.
func (w *workSums) add(own peer.OwnWork, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.Add(own.Incarnation, peer.UnpackWork(own.Work), now)
	w.forGroup = append(w.forGroup, own.Read...)
	if len(w.forDomains) < maxUntold {
		w.forDomains = append(w.forDomains, own.Read...)
	}
}

// addDomain takes in the work of another failure domain.
func (w *workSums) addDomain(d peer.DomainWork, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domains[d.Domain] = domainSum{work: peer.UnpackWork(d.Work), at: now}
	w.forGroup = append(w.forGroup, d.Read...)
}

// tellGroup returns the sum over all groups, and what to tell of prompts.
func (w *workSums) tellGroup(now time.Time) (inventory.Work, []inventory.Reading) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.group.Total(now)
	for _, d := range w.domains {
		if now.Sub(d.at) > domainTime {
			continue
		}
		for id, amount := range d.work {
			out.Add(id, amount)
		}
	}
	read := w.forGroup
	w.forGroup = nil
	return out, read
}

// tellDomains returns the sum of this group, and what to tell others of prompts.
func (w *workSums) tellDomains(now time.Time) (inventory.Work, []inventory.Reading) {
	w.mu.Lock()
	defer w.mu.Unlock()
	read := w.forDomains
	w.forDomains = nil
	return w.group.Total(now), read
}

// workLoop tells what waits at upstream instances, when this daemon is the first of
// its group's readers.
func (n *Node) workLoop(ctx context.Context) {
	told := 0
	for round := 0; n.pause(ctx, workPause(told)); round++ {
		first := n.registry.Firsts(readerDuty, 1, n.group())
		if len(first) == 0 || first[0].Incarnation != n.registry.Self().Incarnation {
			continue
		}
		told = n.tellWork(ctx)
		if round%domainRounds == 0 && len(n.registry.Live()) > wholeFleet {
			n.tellDomainWork(ctx)
		}
	}
}

// workPause is the time to the next round after one that told of some instances.
func workPause(instances int) time.Duration {
	return max(workInterval, time.Duration(instances)*workPerInstance)
}

// tellWork tells the group what all daemons have under way, and collects what each
// of them has. It returns the number of instances told of.
func (n *Node) tellWork(ctx context.Context) int {
	n.work.add(n.ownWork(), n.clock.Now())
	work, read := n.work.tellGroup(n.clock.Now())
	n.table.SetFleet(work)
	n.prompts.Learn(read)
	told := peer.GroupWork{Work: peer.PackWork(work), Read: read}
	n.callEach(ctx, beatTimeout, n.others(), func(call context.Context, address string) {
		own, err := n.peers.GroupWork(call, address, told)
		if err != nil {
			slog.Debug("work.not_told", "peer", address, "error", err)
			return
		}
		n.work.add(own, n.clock.Now())
	})
	return len(work)
}

// tellDomainWork tells the readers of other groups the sum of this one.
func (n *Node) tellDomainWork(ctx context.Context) {
	work, read := n.work.tellDomains(n.clock.Now())
	mine := peer.DomainWork{Domain: n.settings.FailureDomain, Work: peer.PackWork(work), Read: read}
	var readers []member.Daemon
	for domain := range n.settings.FailureDomains {
		if domain != n.settings.FailureDomain {
			readers = append(readers, n.registry.Firsts(readerDuty, 1, inDomain(domain))...)
		}
	}
	n.callEach(ctx, beatTimeout, readers, func(call context.Context, address string) {
		if err := n.peers.DomainWork(call, address, mine); err != nil {
			slog.Debug("work.not_told", "peer", address, "error", err)
		}
	})
}

func inDomain(domain string) func(member.Daemon) bool {
	return func(d member.Daemon) bool { return d.FailureDomain == domain }
}

func (n *Node) ownWork() peer.OwnWork {
	return peer.OwnWork{
		Incarnation: n.registry.Self().Incarnation, Work: peer.PackWork(n.table.Own()), Read: n.prompts.Untold(),
	}
}

// OnGroupWork implements peer.RoutesHandler.
func (n *Node) OnGroupWork(w peer.GroupWork) peer.OwnWork {
	n.table.SetFleet(peer.UnpackWork(w.Work))
	n.prompts.Learn(w.Read)
	return n.ownWork()
}

// OnDomainWork implements peer.RoutesHandler.
func (n *Node) OnDomainWork(w peer.DomainWork) { n.work.addDomain(w, n.clock.Now()) }
