package entry

import (
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

const (
	// usageInterval is the interval at which a reader sends the usage of all daemons. It is a
	// little below a second, since the interval is a whole number of rounds.
	usageInterval = 950 * time.Millisecond
	// usageAskAfter is how long after that the reader asks for usage again. The replies of one
	// round are then sent in the next one, a tenth of a second later.
	usageAskAfter = 850 * time.Millisecond
	// collectTime is how long a daemon that becomes a reader waits for the usage of half of its
	// group. Daemons of an older build never report theirs.
	collectTime = 2 * time.Second
	// readerPause is the time without a round after which a daemon counts as a new reader, whose
	// reports have become too old.
	readerPause = 3 * time.Second
)

// usageExchange adds up the usage of services that daemons report, while this daemon is the first
// reader of its group.
//
// Lock order: no other lock is taken while mu is held.
type usageExchange struct {
	mu  sync.Mutex
	sum *capacity.Sum
	// roundAt is when the last round began, and readerSince when the first of an unbroken series
	// did. sentAt is when usage was last sent, and askedAt when daemons were last asked for theirs.
	roundAt, readerSince, sentAt, askedAt time.Time
	// collected is set while the usage of the group has not been sent to other failure domains.
	collected bool

	counters usageCounters
}

// usageCounters are counters of the exchange of usage.
type usageCounters struct {
	// sent and received count messages with the usage of all daemons, reported the own usage
	// given to readers, and unreadable messages that could not be decoded.
	// shortChanges counts how often a service has become short of capacity or has ceased to be.
	sent, received, reported, unreadable, shortChanges atomic.Int64
}

func newUsageExchange() *usageExchange { return &usageExchange{sum: capacity.NewSum()} }

// begin begins a round and reports whether the usage of the daemons is asked for, and that of all
// is sent, in it. group is the number of daemons of the group.
func (e *usageExchange) begin(now time.Time, group int) (ask bool, usage capacity.Usage, send bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pause := now.Sub(e.roundAt); pause < 0 || pause > readerPause {
		e.readerSince, e.sentAt, e.askedAt, e.collected = now, time.Time{}, time.Time{}, false
	}
	e.roundAt = now
	due := now.Sub(e.sentAt)
	if ask = due >= usageAskAfter && now.Sub(e.askedAt) >= usageAskAfter; ask {
		e.askedAt, e.collected = now, true
	}
	// A new reader has the first reports after its first round.
	if due < usageInterval || now.Equal(e.readerSince) {
		return ask, usage, false
	}
	if 2*e.sum.Daemons(now) < group && now.Sub(e.readerSince) < collectTime {
		return ask, usage, false
	}
	e.sentAt = now
	return ask, e.sum.Fleet(now), true
}

// takeGroup returns the usage of the group if it has been collected since the last call.
func (e *usageExchange) takeGroup(now time.Time) (usage capacity.Usage, send bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.collected {
		return capacity.Usage{}, false
	}
	e.collected = false
	return e.sum.Group(now), true
}

// add records the usage of a daemon of the group.
func (e *usageExchange) add(incarnation string, u capacity.Usage, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sum.Add(incarnation, u, now)
}

// addDomain records the usage of another failure domain.
func (e *usageExchange) addDomain(domain string, u capacity.Usage, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sum.AddDomain(domain, u, now)
}

// forgetDomains drops the usage of other failure domains once the whole fleet is one group.
func (e *usageExchange) forgetDomains() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sum.ForgetDomains()
}

// fillFleetUsage adds the usage of all daemons to an update for the group if it is due, and asks
// the group for its usage.
func (n *Node) fillFleetUsage(update *peer.FleetWork, others int) {
	if !n.overload.ExchangesUsage() {
		return
	}
	now := n.clock.Now()
	if n.workGroup() == wholeFleet {
		n.usage.forgetDomains()
	}
	ask, usage, send := n.usage.begin(now, others+1)
	update.WantUsage = ask
	if ask {
		n.usage.add(n.registry.Self().Incarnation, n.meter.Usage().Bounded(), now)
	}
	if send {
		n.usage.counters.sent.Add(1)
		update.Usage = peer.PackUsage(usage)
		n.applyUsage(usage)
	}
}

// ownUsage returns the encoded usage of this daemon for a reader that asks for it.
func (n *Node) ownUsage(asked bool) []byte {
	if !asked || !n.overload.ExchangesUsage() {
		return nil
	}
	n.usage.counters.reported.Add(1)
	return peer.PackUsage(n.meter.Usage().Bounded())
}

// addUsage records the usage that a daemon of the group has reported, if any.
func (n *Node) addUsage(w peer.DaemonWork) {
	if u, ok := n.unpackUsage(w.Usage, w.Incarnation); ok {
		n.usage.add(w.Incarnation, u, n.clock.Now())
	}
}

// groupUsage returns the encoded usage of the group if the other failure domains lack it.
func (n *Node) groupUsage() []byte {
	if !n.overload.ExchangesUsage() {
		return nil
	}
	u, ok := n.usage.takeGroup(n.clock.Now())
	if !ok {
		return nil
	}
	return peer.PackUsage(u)
}

// addDomainUsage records the usage of another failure domain, if the message has any.
func (n *Node) addDomainUsage(w peer.DomainWork) {
	if u, ok := n.unpackUsage(w.Usage, w.Domain); ok {
		n.usage.addDomain(w.Domain, u, n.clock.Now())
	}
}

// setFleetUsage puts the usage of all daemons from a reader in force, if the message has any.
func (n *Node) setFleetUsage(w peer.FleetWork) {
	if u, ok := n.unpackUsage(w.Usage, "reader"); ok && n.overload.ExchangesUsage() {
		n.usage.counters.received.Add(1)
		n.applyUsage(u)
	}
}

func (n *Node) unpackUsage(packed []byte, from string) (capacity.Usage, bool) {
	if len(packed) == 0 {
		return capacity.Usage{}, false
	}
	u, err := peer.UnpackUsage(packed)
	if err != nil {
		n.usage.counters.unreadable.Add(1)
		slog.Debug("usage.unreadable", "from", from, "error", err)
		return capacity.Usage{}, false
	}
	return u, true
}

// applyUsage puts the usage of all daemons in force and logs which services have become short of
// capacity or are no longer.
func (n *Node) applyUsage(u capacity.Usage) {
	changes := n.account.SetFleet(u, n.clock.Now())
	if len(changes) == 0 {
		return
	}
	n.usage.counters.shortChanges.Add(int64(len(changes)))
	names := n.capacityNames()
	for _, c := range changes {
		slog.Info("capacity.changed", "service", names.of(c.Key), "short", c.Short, "demand", rounded(c.Demand),
			"completed", rounded(c.Completed), "waiting", c.Waiting, "refused", rounded(c.Refused), "age_ms", c.Age.Milliseconds(), "daemons", u.Daemons)
	}
}

// rounded returns a rate with two decimals for the log.
func rounded(rate float64) float64 { return math.Round(rate*100) / 100 }
