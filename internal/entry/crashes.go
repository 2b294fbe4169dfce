package entry

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

const (
	// secondProbeDelay is the time between the two probes of an instance whose connections
	// broke. A process that exits closes its sockets one after the other, the listening socket
	// among them, so the first probe may find it still listening.
	secondProbeDelay = 40 * time.Millisecond
	// reportTTL and maxReports limit the crash reports that a daemon keeps, for judges that
	// have been chosen since or have missed a report.
	reportTTL  = quarantine.EvidenceTTL
	maxReports = 256
	// judgeRankKey is the key of the rendezvous order in which judges are chosen.
	judgeRankKey = "judge"
	// judgeCount is two, so that the failure of one judge has no effect.
	judgeCount = 2
)

// crashReporter detects which instances have crashed under requests of this daemon and reports
// them to the judges, the daemons that decide which requests to quarantine.
//
// Lock order: no other lock is taken while mu is held.
type crashReporter struct {
	*Node
	// pending is signalled when there is something to report.
	pending chan struct{}

	mu sync.Mutex
	// broken are the instances to which connections broke, until they have been probed.
	broken  map[inventory.InstanceHash]*brokenInstance
	reports []*report
	// waiting are the requests whose next attempt waits, until the instance is found not to
	// have ended or the judges have decided.
	waiting map[quarantine.Digest]*waitingRequest
	// reporting has the incarnations of the judges to which a report is being sent.
	reporting  map[string]bool
	endedCount int64

	completions *quarantine.Completions
	inFlight    *quarantine.InFlight
	abandoned   *quarantine.Abandoned
	gate        *quarantine.Gate
}

// brokenInstance has the requests whose connections to an instance broke. The first one did at a given time.
type brokenInstance struct {
	at       time.Time
	suspects []quarantine.Suspect
}

// waitingRequest is a request whose next attempt waits; each of channels is closed when it may go on.
type waitingRequest struct {
	suspect  quarantine.Suspect
	channels []chan struct{}
}

// report is the report of an instance that ended.
type report struct {
	instance inventory.Instance
	at       time.Time
	suspects []quarantine.Suspect
	// parts is the number of parts of all suspects.
	parts int
	// sent is the number of suspects already reported to each judge, by incarnation.
	sent map[string]int
}

func newCrashReporter(n *Node) *crashReporter {
	return &crashReporter{
		Node: n, pending: make(chan struct{}, 1), broken: map[inventory.InstanceHash]*brokenInstance{},
		waiting: map[quarantine.Digest]*waitingRequest{}, reporting: map[string]bool{},
		completions: quarantine.NewCompletions(n.clock), inFlight: quarantine.NewInFlight(n.clock), gate: quarantine.NewGate(n.clock),
		abandoned: quarantine.NewAbandoned(n.clock),
	}
}

// ConnectionBroken implements forward.Quarantine. It does not block.
func (c *crashReporter) ConnectionBroken(i inventory.Instance, s quarantine.Suspect) <-chan struct{} {
	suspectParts := c.completions.SuspectParts(s.Parts)
	s.Parts = cloneAll(c.completions.OrderParts(s.Parts))
	c.mu.Lock()
	defer c.mu.Unlock()
	decided := make(chan struct{})
	w := c.waiting[s.Digest]
	if w == nil {
		w = &waitingRequest{suspect: s}
		c.waiting[s.Digest] = w
	}
	w.channels = append(w.channels, decided)
	now := c.clock.Now()
	if r := c.reportOf(i); r != nil {
		r.add(s.UntilEnd(r.at, now))
		c.gate.Hold(suspectParts)
		c.signal()
		return decided
	}
	b := c.broken[i.Hash()]
	if b == nil {
		b = &brokenInstance{at: now}
		c.broken[i.Hash()] = b
		go c.probe(i, now)
	}
	b.suspects = append(b.suspects, s.UntilEnd(b.at, now))
	return decided
}

// Abandoned implements forward.Quarantine.
func (c *crashReporter) Abandoned(i inventory.Instance, s quarantine.Suspect) {
	s.Parts = cloneAll(c.completions.OrderParts(s.Parts))
	c.abandoned.Add(i.Hash(), s)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.reportOf(i); r != nil {
		r.add(s.UntilEnd(r.at, c.clock.Now()))
		c.signal()
	}
}

// cloneAll returns copies that do not keep the header alive of which the parts are substrings.
func cloneAll(parts []string) []string {
	for i, part := range parts {
		parts[i] = strings.Clone(part)
	}
	return parts
}

// Enter implements forward.Quarantine.
func (c *crashReporter) Enter(ctx context.Context, s *quarantine.Suspect) (leave func()) {
	return c.gate.Enter(ctx, s.Parts)
}

// Holds implements forward.Quarantine.
func (c *crashReporter) Holds(s *quarantine.Suspect) bool { return c.gate.Holds(s.Parts) }

// Answering implements forward.Quarantine.
func (c *crashReporter) Answering(s *quarantine.Suspect) (ended func()) {
	flight := c.inFlight.Begin(s)
	return func() { c.inFlight.End(flight) }
}

// InstanceEnded implements forward.Quarantine.
func (c *crashReporter) InstanceEnded(i inventory.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportOf(i) != nil
}

// resumeWaiting allows the next attempts of the given requests.
func (c *crashReporter) resumeWaiting(all []quarantine.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range all {
		c.resume(d)
	}
}

// resume allows the next attempts of a request. The caller holds mu.
func (c *crashReporter) resume(d quarantine.Digest) {
	w := c.waiting[d]
	if w == nil {
		return
	}
	for _, decided := range w.channels {
		close(decided)
	}
	delete(c.waiting, d)
}

// applyDecided ends the attempts of the requests that an entry refuses and that wait at instances, and lets
// the callers of those that wait for the decision go on.
func (c *crashReporter) applyDecided(e quarantine.Entry) {
	if !e.Released {
		if n := c.handler.WithdrawRefused(); n > 0 {
			slog.Info("quarantine.withdrawn", "digest", e.Digest, "count", n)
		}
	}
	c.gate.Open(e.RefusedParts)
	c.mu.Lock()
	defer c.mu.Unlock()
	for d, w := range c.waiting {
		if e.Refuses(&w.suspect) {
			c.resume(d)
		}
	}
}

// reportOf returns the report of an instance that ended, or nil. The caller holds mu.
func (c *crashReporter) reportOf(i inventory.Instance) *report {
	for _, r := range c.reports {
		if r.instance.ID == i.ID && r.instance.Born == i.Born {
			return r
		}
	}
	return nil
}

// probe checks whether an instance has ended to which connections have broken since at. The end of an instance
// that was leaving is planned and not reported.
func (c *crashReporter) probe(i inventory.Instance, at time.Time) {
	ended := c.paths.instanceEnded(context.Background(), i)
	if !ended {
		// The requests do not wait for the second probe.
		c.resumeWaiting(c.brokenSuspects(i))
		c.clock.Sleep(secondProbeDelay)
		ended = c.paths.instanceEnded(context.Background(), i)
	}
	suspects := append(c.takeBroken(i), c.abandoned.Of(i.Hash(), at)...)
	if !ended || c.table.IsLeaving(i.Incarnation()) {
		c.resumeWaiting(quarantine.Digests(suspects))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedCount++
	r := &report{instance: i, at: at, sent: map[string]int{}}
	c.reports = append(c.reports, r)
	c.reports = c.reports[max(len(c.reports)-maxReports, 0):]
	for _, s := range suspects {
		r.add(s)
		c.gate.Hold(c.completions.SuspectParts(s.Parts))
	}
	c.signal()
	slog.Warn("instance.ended", "instance", i.ID, "address", i.Address, "version", i.Version, "requests", len(suspects))
}

// brokenSuspects returns the requests whose connections to an instance broke.
func (c *crashReporter) brokenSuspects(i inventory.Instance) []quarantine.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return quarantine.Digests(c.broken[i.Hash()].suspects)
}

// takeBroken returns and removes the requests whose connections to an instance broke.
func (c *crashReporter) takeBroken(i inventory.Instance) []quarantine.Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspects := c.broken[i.Hash()].suspects
	delete(c.broken, i.Hash())
	return suspects
}

func (c *crashReporter) signal() {
	select {
	case c.pending <- struct{}{}:
	default:
	}
}

// abandonedOn returns the requests that were given up a moment before instances ended, of which this daemon
// may not know otherwise: it may have had no other connection to them.
func (c *crashReporter) abandonedOn(ended map[inventory.InstanceHash]time.Duration) []quarantine.Crash {
	var out []quarantine.Crash
	now := c.clock.Now()
	for i, age := range ended {
		if suspects := c.abandoned.Of(i, now.Add(-age)); len(suspects) > 0 {
			out = append(out, quarantine.Crash{Instance: i, Age: age, Suspects: suspects})
		}
	}
	return out
}

// unreported returns the recent crashes that this daemon has not yet reported to the judge which asks.
func (c *crashReporter) unreported(r peer.QuarantineEvidenceRequest) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []quarantine.Crash
	for _, one := range c.reports {
		sent, known := one.sent[r.From]
		if age := c.clock.Since(one.at); age <= r.Within && (!known || sent < len(one.suspects)) {
			out = append(out, one.crash(age))
		}
	}
	return out
}

func (r *report) add(s quarantine.Suspect) {
	s.Parts = quarantine.TrimParts(s.Parts, r.parts)
	r.parts += len(s.Parts)
	r.suspects = append(r.suspects, s)
}

func (r *report) crash(age time.Duration) quarantine.Crash {
	return quarantine.Crash{
		Instance: r.instance.Hash(), ID: r.instance.ID, Age: age, Suspects: slices.Clone(r.suspects),
	}
}

// reportLoop sends unsent reports to each judge in a goroutine of its own, so that a judge
// that does not answer does not delay the decision of the other.
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

// beginReporting marks that a report is being sent to a judge. It returns false if one already
// is.
func (c *crashReporter) beginReporting(judge member.Daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reporting[judge.Incarnation] {
		return false
	}
	c.reporting[judge.Incarnation] = true
	return true
}

// reportAll sends all unsent suspects to a judge, including those that are added in the
// meantime.
func (c *crashReporter) reportAll(ctx context.Context, judge member.Daemon) {
	answered := c.reportUnsent(ctx, judge)
	c.mu.Lock()
	delete(c.reporting, judge.Incarnation)
	c.mu.Unlock()
	if crashes, _ := c.unsent(judge.Incarnation); answered && len(crashes) > 0 {
		c.signal()
	}
}

// dropExpired drops expired reports and lets the requests that wait for them continue.
func (c *crashReporter) dropExpired() {
	c.mu.Lock()
	var expired []quarantine.Digest
	c.reports = slices.DeleteFunc(c.reports, func(r *report) bool {
		old := c.clock.Since(r.at) > reportTTL
		if old {
			expired = append(expired, quarantine.Digests(r.suspects)...)
		}
		return old
	})
	c.mu.Unlock()
	c.resumeWaiting(expired)
}

// judges returns the daemons that evaluate the crashes of the whole fleet.
func (n *Node) judges() []member.Daemon {
	return n.registry.TopRanked(judgeRankKey, judgeCount, func(member.Daemon) bool { return true })
}

// reportUnsent sends a judge the suspects that were not sent to it yet. It returns false if
// the judge did not answer.
//
// Requests that were on no other ended instance may continue at once. If one of them is the
// culprit, the next crash shows it.
func (c *crashReporter) reportUnsent(ctx context.Context, judge member.Daemon) bool {
	crashes, counts := c.unsent(judge.Incarnation)
	if len(crashes) == 0 {
		return true
	}
	report := peer.CrashReport{Crashes: crashes}
	var reply peer.CrashReply
	if judge.Incarnation == c.registry.Self().Incarnation {
		reply = c.OnCrashes(report)
	} else {
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		var err error
		if reply, err = c.peers.ReportCrashes(call, judge.PeerAddress, report); err != nil {
			slog.Debug("crashes.not_reported", "peer", judge.PeerAddress, "error", err)
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

// unsent returns the crashes with suspects that were not sent to a judge yet, and the number
// of suspects of each report after sending them.
func (c *crashReporter) unsent(judge string) ([]quarantine.Crash, map[*report]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []quarantine.Crash
	counts := map[*report]int{}
	for _, r := range c.reports {
		if sent, ok := r.sent[judge]; !ok || sent < len(r.suspects) {
			out = append(out, r.crash(c.clock.Since(r.at)))
			counts[r] = len(r.suspects)
		}
	}
	return out, counts
}
