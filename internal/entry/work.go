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

// domainTime is how long the sum of another failure domain is relied on.
const domainTime = 4 * time.Second

// workSums add up what daemons sent to upstream instances. Each daemon by itself
// sees too little of it to tell a busy instance from an idle one: of 88 daemons
// one sends an instance a request in half a minute.
//
// Readers collect the totals of their group with the news that they tell, and
// exchange their sums with the readers of other groups.
//
// Lock order: mu is taken alone.
type workSums struct {
	mu      sync.Mutex
	group   *inventory.Sum
	domains map[string]domainSum
}

type domainSum struct {
	work inventory.Work
	at   time.Time
}

func newWorkSums() *workSums {
	return &workSums{group: inventory.NewSum(), domains: map[string]domainSum{}}
}

func (w *workSums) add(daemon string, totals inventory.Work, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.Add(daemon, totals, now)
}

func (w *workSums) forget(keep func(string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.Forget(keep)
}

func (w *workSums) own(now time.Time) inventory.Work {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.group.Lately(now)
}

func (w *workSums) setDomain(domain string, work inventory.Work, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domains[domain] = domainSum{work: work, at: now}
}

// fleet is the sum over all groups.
func (w *workSums) fleet(now time.Time) inventory.Work {
	out := w.own(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.domains {
		if now.Sub(d.at) > domainTime {
			continue
		}
		for id, amount := range d.work {
			out.Add(id, amount)
		}
	}
	return out
}

// exchangeWork tells the readers of other groups the sum of this one.
func (n *Node) exchangeWork(ctx context.Context) {
	own := n.registry.Self().Incarnation
	first := n.registry.Firsts(readerDuty, 1, n.group())
	if len(n.registry.Live()) <= wholeFleet || len(first) == 0 || first[0].Incarnation != own {
		return
	}
	mine := peer.DomainWork{Domain: n.settings.FailureDomain, Work: peer.PackWork(n.work.own(n.clock.Now()))}
	var readers []member.Daemon
	for domain := range n.settings.FailureDomains {
		if domain != n.settings.FailureDomain {
			readers = append(readers, n.registry.Firsts(readerDuty, readersPerGroup, inDomain(domain))...)
		}
	}
	n.callEach(ctx, readers, func(call context.Context, address string) {
		if err := n.peers.Work(call, address, mine); err != nil {
			slog.Debug("work.not_told", "peer", address, "error", err)
		}
	})
}

func inDomain(domain string) func(member.Daemon) bool {
	return func(d member.Daemon) bool { return d.FailureDomain == domain }
}

// OnWork implements peer.RoutesHandler.
func (n *Node) OnWork(w peer.DomainWork) {
	n.work.setDomain(w.Domain, peer.UnpackWork(w.Work), n.clock.Now())
}
