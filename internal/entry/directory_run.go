package entry

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

const (
	// lateTick is the interval of the timer whose lateness is measured.
	lateTick = 100 * time.Millisecond
	// lateSendInterval is the interval at which the slow daemons are sent: at 5 bytes each.
	lateSendInterval = 1 * time.Second
	// lateTTL is how long a report of slowness is used.
	lateTTL = 3 * time.Second
)

func decay(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// directory is the state of the directory's answers.
//
// Lock order: no other lock is taken while mu is held.
type directory struct {
	// Answers counts the answers by weight, Named the addresses in them.
	Answers, Named atomic.Int64

	mu   sync.Mutex
	own  lateMeter
	book lateBook
}

// directoryVars are the counters in /debug/vars.
type directoryVars struct {
	Answers int64 `json:"answers"`
	Named   int64 `json:"named"`
	// Late is how slow this daemon is, LateMS the mean lateness of its timers, and Slow the number
	// of slow daemons that it knows.
	Late   int   `json:"late"`
	LateMS int64 `json:"late_ms"`
	Slow   int   `json:"slow"`
}

func (d *directory) vars() directoryVars {
	d.mu.Lock()
	defer d.mu.Unlock()
	return directoryVars{
		Answers: d.Answers.Load(), Named: d.Named.Load(), Late: int(d.own.level), LateMS: d.own.mean.Milliseconds(), Slow: len(d.book.fleet.levels),
	}
}

// weightedAddresses returns the addresses for an answer to a caller in a failure domain.
func (n *Node) weightedAddresses(failureDomain string) []string {
	now := n.clock.Now()
	serving := servingDaemons(n.registry.Live())
	var all []carrier
	n.directory.mu.Lock()
	for _, d := range serving {
		all = append(all, carrier{
			address: d.CallerURL, near: d.FailureDomain == failureDomain, cpu: d.CPUShare, memory: float64(d.MemoryMB), linkM: d.LinkMbps,
			late: n.directory.book.level(d.Incarnation, now),
		})
	}
	n.directory.mu.Unlock()
	out := chooseAddresses(all, platform.MaxAddresses, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.directory.Answers.Add(1)
	n.directory.Named.Add(int64(len(out)))
	return out
}

// latenessLoop measures how late the timers of this daemon run while the directory needs it.
func (n *Node) latenessLoop(ctx context.Context) {
	var rated *catalog.Catalog
	limit := defaultLateLimit
	for {
		before := n.clock.Now()
		if !n.sleep(ctx, lateTick) {
			return
		}
		if !n.overload.DirectoryWeights() {
			continue
		}
		if c := n.current.Load(); c != rated {
			rated, limit = c, lateLimit(c)
		}
		now := n.clock.Now()
		n.directory.mu.Lock()
		changed := n.directory.own.note(now.Sub(before)-lateTick, limit, now)
		level, mean := n.directory.own.level, n.directory.own.mean
		n.directory.mu.Unlock()
		if changed {
			slog.Info("daemon.late", "level", level, "mean_ms", mean.Milliseconds(), "limit_ms", limit.Milliseconds())
		}
	}
}

// lateLimit returns the lateness from which a daemon counts as slow.
func lateLimit(c *catalog.Catalog) time.Duration {
	shortest := time.Duration(0)
	for _, r := range c.Routes() {
		if r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
			shortest = r.Objective
		}
	}
	if shortest == 0 {
		return defaultLateLimit
	}
	return time.Duration(lateFraction * float64(shortest))
}

// lateSet has the levels of slow daemons as of a time.
type lateSet struct {
	levels peer.LateLevels
	at     time.Time
}

// lateBook has the levels of slow daemons. Its owner's lock is held during calls.
type lateBook struct {
	// group are the levels that daemons reported to this one as the first reader of the group, and
	// domains those of other failure domains.
	group   map[peer.DaemonHash]lateReport
	domains map[string]lateSet
	// fleet are those that the first reader sent.
	fleet lateSet
	// sentAt and sentOutAt are when levels were last sent to the group and to other domains.
	sentAt, sentOutAt time.Time
}

type lateReport struct {
	level uint8
	at    time.Time
}

// level returns the level of a daemon; 0 is normal.
func (b *lateBook) level(incarnation string, now time.Time) uint8 {
	if now.Sub(b.fleet.at) > lateTTL {
		return 0
	}
	return b.fleet.levels[peer.HashDaemon(incarnation)]
}

// noteDaemon records the level that a daemon of the group reported.
func (b *lateBook) noteDaemon(incarnation string, level uint8, now time.Time) {
	if b.group == nil {
		b.group, b.domains = map[peer.DaemonHash]lateReport{}, map[string]lateSet{}
	}
	if level == 0 {
		delete(b.group, peer.HashDaemon(incarnation))
		return
	}
	b.group[peer.HashDaemon(incarnation)] = lateReport{level: min(level, maxLate), at: now}
}

// noteDomain records the levels of another failure domain.
func (b *lateBook) noteDomain(domain string, levels peer.LateLevels, now time.Time) {
	if b.domains == nil {
		b.group, b.domains = map[peer.DaemonHash]lateReport{}, map[string]lateSet{}
	}
	b.domains[domain] = lateSet{levels: levels, at: now}
}

// groupLevels returns the levels of the group.
func (b *lateBook) groupLevels(now time.Time) peer.LateLevels {
	out := peer.LateLevels{}
	for daemon, r := range b.group {
		if now.Sub(r.at) > lateTTL {
			delete(b.group, daemon)
			continue
		}
		out[daemon] = r.level
	}
	return out
}

// forGroup returns the levels of all daemons for the group, if they are due.
func (b *lateBook) forGroup(now time.Time) (levels peer.LateLevels, due bool) {
	if now.Sub(b.sentAt) < lateSendInterval {
		return nil, false
	}
	b.sentAt = now
	levels = b.groupLevels(now)
	for _, s := range b.domains {
		if now.Sub(s.at) <= lateTTL {
			for daemon, level := range s.levels {
				levels[daemon] = level
			}
		}
	}
	b.fleet = lateSet{levels: levels, at: now}
	return levels, true
}

// forDomains returns the levels of the group for other failure domains, if they are due.
func (b *lateBook) forDomains(now time.Time) (levels peer.LateLevels, due bool) {
	if now.Sub(b.sentOutAt) < lateSendInterval {
		return nil, false
	}
	b.sentOutAt = now
	return b.groupLevels(now), true
}
