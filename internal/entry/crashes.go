package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

const (
	// lookAgain is when an instance whose connections broke is looked at a second time:
	// a process that ends closes its sockets one after the other, the one it listens at
	// among them.
	secondProbeDelay = 40 * time.Millisecond
	// keptReports and maxReports bound the crashes that a daemon can still tell of: to
	// judges that were chosen since, or have missed it.
	reportTTL  = quarantine.EvidenceTTL
	maxReports = 256
	// judgeDuty names the order in which daemons are chosen to judge.
	judgeRankKey = "judge"
	// judgeCount is two, so that the loss of one is not noticed.
	judgeCount = 2
)

// crashes finds out which instances have ended under requests of this daemon, and tells
// the judges.
//
// Lock order: mu is taken alone.
type crashReporter struct {
	*Node
	// news is signalled when there is something to tell.
	pending chan struct{}

	mu sync.Mutex
	// broken are instances whose connections broke, until they have been looked at.
	broken  map[inventory.InstanceHash][]quarantine.Suspect
	reports []*report
	// waiting are requests whose next attempt waits for what is decided.
	waiting map[quarantine.Digest][]chan struct{}
	// telling are the judges that are being told, by incarnation.
	reporting  map[string]bool
	endedCount int64
}

// report is an instance that ended.
type report struct {
	instance inventory.Instance
	at       time.Time
	suspects []quarantine.Suspect
	// told has the number of suspects that a judge was told of, by incarnation.
	sent map[string]int
}

func newCrashReporter(n *Node) *crashReporter {
	return &crashReporter{
		Node: n, pending: make(chan struct{}, 1), broken: map[inventory.InstanceHash][]quarantine.Suspect{},
		waiting: map[quarantine.Digest][]chan struct{}{}, reporting: map[string]bool{},
	}
}

// Broken implements forward.Quarantine. It does not block.
func (c *crashReporter) Broken(i inventory.Instance, s quarantine.Suspect) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	decided := make(chan struct{})
	c.waiting[s.Digest] = append(c.waiting[s.Digest], decided)
	if r := c.reportOf(i); r != nil {
		r.suspects = append(r.suspects, s)
		c.signal()
		return decided
	}
	number := i.Hash()
	first := c.broken[number] == nil
	c.broken[number] = append(c.broken[number], s)
	if first {
		go c.probe(i)
	}
	return decided
}

// Ended implements forward.Quarantine.
func (c *crashReporter) Ended(i inventory.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportOf(i) != nil
}

// goOn lets the next attempts of some requests begin.
func (c *crashReporter) resumeWaiting(all []quarantine.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range all {
		for _, decided := range c.waiting[d] {
			close(decided)
		}
		delete(c.waiting, d)
	}
}

// report returns what is known of the end of an instance. The lock is held.
func (c *crashReporter) reportOf(i inventory.Instance) *report {
	for _, r := range c.reports {
		if r.instance.ID == i.ID && r.instance.Born == i.Born {
			return r
		}
	}
	return nil
}

// examine looks whether an instance whose connections broke has ended. One that was
// leaving ends as planned, whatever is under way there.
func (c *crashReporter) probe(i inventory.Instance) {
	at := c.clock.Now()
	ended := c.pool.Ended(context.Background(), i.Address)
	if !ended {
		c.resumeWaiting(c.brokenSuspects(i))
		c.clock.Sleep(secondProbeDelay)
		ended = c.pool.Ended(context.Background(), i.Address)
	}
	suspects := c.takeBroken(i)
	if !ended || c.table.IsLeaving(i.Incarnation()) {
		c.resumeWaiting(quarantine.Digests(suspects))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedCount++
	c.reports = append(c.reports, &report{instance: i, at: at, suspects: suspects, sent: map[string]int{}})
	c.reports = c.reports[max(len(c.reports)-maxReports, 0):]
	c.signal()
	slog.Warn("instance.ended", "instance", i.ID, "address", i.Address, "version", i.Version, "requests", len(suspects))
}

// suspects returns the requests whose connections to an instance broke.
func (c *crashReporter) brokenSuspects(i inventory.Instance) []quarantine.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return quarantine.Digests(c.broken[i.Hash()])
}

// looked ends the look at an instance and returns the requests whose connections broke.
func (c *crashReporter) takeBroken(i inventory.Instance) []quarantine.Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspects := c.broken[i.Hash()]
	delete(c.broken, i.Hash())
	return suspects
}

func (c *crashReporter) signal() {
	select {
	case c.pending <- struct{}{}:
	default:
	}
}

// recent returns the crashes of this daemon that are not older than within.
func (c *crashReporter) recent(within time.Duration) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []quarantine.Crash
	for _, r := range c.reports {
		if age := c.clock.Since(r.at); age <= within {
			out = append(out, r.crash(age))
		}
	}
	return out
}

func (r *report) crash(age time.Duration) quarantine.Crash {
	return quarantine.Crash{
		Instance: r.instance.Hash(), ID: r.instance.ID, Age: age, Suspects: slices.Clone(r.suspects),
	}
}

// tellLoop tells the judges what they do not know yet, each by itself: one that does not
// answer must not keep the other from deciding.
func (c *crashReporter) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.pending:
		case <-c.clock.After(cleanupInterval):
		}
		c.dropExpired()
		for _, judge := range c.judges() {
			if c.beginReporting(judge) {
				go c.reportAll(ctx, judge)
			}
		}
	}
}

// beginTelling reports whether a judge is not being told yet, and notes that it is.
func (c *crashReporter) beginReporting(judge member.Daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reporting[judge.Incarnation] {
		return false
	}
	c.reporting[judge.Incarnation] = true
	return true
}

// inform tells a judge all that it does not know, and what comes meanwhile.
func (c *crashReporter) reportAll(ctx context.Context, judge member.Daemon) {
	answered := c.reportUnsent(ctx, judge)
	c.mu.Lock()
	delete(c.reporting, judge.Incarnation)
	c.mu.Unlock()
	if told, _ := c.unsent(judge.Incarnation); answered && len(told) > 0 {
		c.signal()
	}
}

// forget drops old reports. No attempt waits for what is decided of them any more.
func (c *crashReporter) dropExpired() {
	c.mu.Lock()
	var over []quarantine.Digest
	c.reports = slices.DeleteFunc(c.reports, func(r *report) bool {
		old := c.clock.Since(r.at) > reportTTL
		if old {
			over = append(over, quarantine.Digests(r.suspects)...)
		}
		return old
	})
	c.mu.Unlock()
	c.resumeWaiting(over)
}

// judges are the daemons that weigh the crashes of all.
func (n *Node) judges() []member.Daemon {
	return n.registry.TopRanked(judgeRankKey, judgeCount, func(member.Daemon) bool { return true })
}

// tellJudge tells a judge what it does not know. Requests that were on no other ended
// instance go on at once; that they are many, and the one at fault is among them, is
// found out by the next crash. It reports whether the judge knows all that there was.
func (c *crashReporter) reportUnsent(ctx context.Context, judge member.Daemon) bool {
	told, counts := c.unsent(judge.Incarnation)
	if len(told) == 0 {
		return true
	}
	report := peer.CrashReport{Crashes: told}
	var reply peer.CrashReply
	if judge.Incarnation == c.registry.Self().Incarnation {
		reply = c.OnCrashes(report)
	} else {
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		var err error
		if reply, err = c.peers.ReportCrashes(call, judge.PeerAddress, report); err != nil {
			slog.Debug("crashes.not_told", "peer", judge.PeerAddress, "error", err)
			return false
		}
	}
	c.resumeWaiting(reply.First)
	c.mu.Lock()
	defer c.mu.Unlock()
	for r, n := range counts {
		r.sent[judge.Incarnation] = n
	}
	return true
}

// untold returns what a judge has not been told, and how many suspects of each report it
// then has.
func (c *crashReporter) unsent(judge string) ([]quarantine.Crash, map[*report]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []quarantine.Crash
	counts := map[*report]int{}
	for _, r := range c.reports {
		if told, ok := r.sent[judge]; !ok || told < len(r.suspects) {
			out = append(out, r.crash(c.clock.Since(r.at)))
			counts[r] = len(r.suspects)
		}
	}
	return out, counts
}
