package entry

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/forward"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

const (
	// crashSettleTime is how long a judge waits after a crash report for the reports of other
	// daemons, each of which detects the crash within some milliseconds.
	crashSettleTime = 80 * time.Millisecond
	// judgeRankDelay is how much later the second judge decides. By then it knows the
	// decisions of the first.
	judgeRankDelay = 300 * time.Millisecond
	// inquiryTimeout limits the request to all daemons for evidence before a request is
	// quarantined.
	inquiryTimeout = 250 * time.Millisecond
	// rejudgeDelay is the delay before the first of maxRejudges further decisions about
	// suspects that have not been quarantined; it doubles each time. A request that only ran
	// beside the culprit is cleared when it finishes, which takes some hundred milliseconds to
	// seconds.
	rejudgeDelay = 100 * time.Millisecond
	maxRejudges  = 6
	// maxPendingReleases limits the releases that are queued. A dropped one is queued again
	// when the request next finishes.
	maxPendingReleases = 16
	// judgePauseFactor is the ratio of a pause after a decision to the time that weighing took, and
	// maxJudgePause the longest pause.
	judgePauseFactor = 10
	maxJudgePause    = 400 * time.Millisecond
	// inquiryWindow is the maximum age of the crashes that daemons are asked for.
	inquiryWindow = 30 * time.Second
)

// quarantineManager refuses quarantined requests and, on a judge, decides which requests to
// quarantine.
type quarantineManager struct {
	*crashReporter
	list     *quarantine.List
	evidence *quarantine.Evidence
	refusals atomic.Int64
	// judgeDue is signalled when a crash report has arrived.
	judgeDue chan struct{}
	// pendingReleases are quarantined requests that have finished without a crash.
	pendingReleases chan quarantine.Digest
	// unsaved are decisions that are not stored yet.
	unsaved chan []quarantine.Entry
}

func newQuarantineManager(n *Node) *quarantineManager {
	return &quarantineManager{
		crashReporter: newCrashReporter(n), list: quarantine.NewList(n.clock), evidence: quarantine.NewEvidence(n.clock),
		judgeDue:        make(chan struct{}, 1),
		pendingReleases: make(chan quarantine.Digest, maxPendingReleases),
		unsaved:         make(chan []quarantine.Entry, maxUnsaved),
	}
}

// Refused implements forward.Quarantine.
func (q *quarantineManager) Refused(s *quarantine.Suspect) (quarantine.Entry, bool) {
	e, refused := q.list.Refused(s)
	if refused {
		q.refusals.Add(1)
	}
	return e, refused
}

// Finished implements forward.Quarantine.
//
// A quarantined request can still finish if it began before the quarantine or after its time
// was over. It then does not crash instances, or no longer does, so it is released. If it
// stayed on the list, a single unrelated crash under it, such as a power failure, would
// quarantine it again.
func (q *quarantineManager) Finished(s *quarantine.Suspect) {
	q.completions.Record(s)
	q.gate.Open(s.Parts)
	d, ok := q.list.ToRelease(s)
	if !ok {
		return
	}
	select {
	case q.pendingReleases <- d:
	default:
	}
}

// CheckAfterAnswer implements forward.Quarantine.
func (q *quarantineManager) CheckAfterAnswer(ctx context.Context, i inventory.Instance, s *quarantine.Suspect, patience time.Duration) forward.SignOfLife {
	sign := q.signAfterAnswer(ctx, i, patience)
	if sign.Liveness == upconn.Alive {
		q.Finished(s)
	}
	return sign
}

// maxProbeDelay is the longest time between two probes of an instance that is silent.
const maxProbeDelay = 8 * secondProbeDelay

// signAfterAnswer asks an instance for a sign of life until one is known or patience is over, but at
// least twice, since a process that exits may not have closed its listener yet. An answer to a request
// that was sent since is a sign of life, too.
func (q *quarantineManager) signAfterAnswer(ctx context.Context, i inventory.Instance, patience time.Duration) forward.SignOfLife {
	begin, delay := q.clock.Now(), secondProbeDelay
	for again := false; ; again = true {
		if q.InstanceEnded(i) {
			return forward.SignOfLife{Liveness: upconn.Ended, Source: forward.FromReport}
		}
		if q.pool.AliveSince(targetOf(i), begin) {
			return forward.SignOfLife{Liveness: upconn.Alive, Source: forward.FromAnswer}
		}
		sign := q.paths.SignOfLife(ctx, i)
		if sign.Liveness != upconn.Unknown || ctx.Err() != nil || again && q.clock.Since(begin) >= patience {
			return sign
		}
		q.clock.Sleep(delay)
		delay = min(2*delay, maxProbeDelay)
	}
}

// judgeLoop decides after crash reports, and again later while there are undecided suspects.
//
// Another request may have run on the same ended instances as the culprit and finish elsewhere
// a moment later, which clears it. If the judge waited for the next crash report to decide
// again, the culprit would have crashed one more instance by then.
func (q *quarantineManager) judgeLoop(ctx context.Context) {
	var again <-chan time.Time
	tries := 0
	var busy time.Duration
	for {
		// A judge with much evidence, as after the loss of a failure domain, must serve its callers, too.
		q.sleep(ctx, min(judgePauseFactor*busy, maxJudgePause))
		busy = 0
		select {
		case <-ctx.Done():
			return
		case d := <-q.pendingReleases:
			q.Release(ctx, d)
			continue
		case <-q.judgeDue:
			q.sleep(ctx, crashSettleTime+time.Duration(q.judgeRank())*judgeRankDelay)
			tries = 0
		case <-again:
		}
		again = nil
		var undecided bool
		if undecided, busy = q.judge(ctx); undecided && tries < maxRejudges {
			again = q.clock.After(rejudgeDelay << tries)
			tries++
		}
	}
}

// signalJudge triggers a decision in judgeLoop.
func (q *quarantineManager) signalJudge() {
	select {
	case q.judgeDue <- struct{}{}:
	default:
	}
}

// judgeRank returns this daemon's rank among the judges, starting at 0. A daemon that is not a
// judge, but got a report from a daemon that considers it one, decides last.
func (q *quarantineManager) judgeRank() int {
	judges, own := q.judges(), q.registry.Self().Incarnation
	for rank, d := range judges {
		if d.Incarnation == own {
			return rank
		}
	}
	return len(judges)
}

// judge quarantines the requests that crash instances according to the evidence of all daemons.
// It reports whether suspects are left for which the evidence does not suffice yet, and how long
// weighing took.
func (q *quarantineManager) judge(ctx context.Context) (undecided bool, busy time.Duration) {
	began := q.clock.Now()
	suspected := q.evidence.Suspected(q.list)
	if len(suspected) == 0 {
		return false, q.clock.Since(began)
	}
	request := q.evidenceRequest(suspected)
	own := q.OnQuarantineEvidence(request)
	q.addEvidence(own)
	mayDecide := q.evidence.MayDecide(q.list, own.Running)
	busy = q.clock.Since(began)
	if !mayDecide {
		return true, busy
	}
	complete, running := q.collectEvidence(ctx, request, own)
	began = q.clock.Now()
	verdicts, undecided := q.evidence.Culprits(complete, q.list, running)
	busy += q.clock.Since(began)
	var decided []quarantine.Entry
	for _, v := range verdicts {
		e := q.list.Quarantine(v)
		decided = append(decided, e)
		q.applyDecided(e)
		slog.Warn("quarantine.decided", "digest", e.Digest, "parts", strings.Join(e.RefusedParts, ","), "shared", e.Shared, "route", e.Route, "organisation", e.Organisation,
			"ended", strings.Join(e.Ended, ","), "since_ms", v.Since.Milliseconds(), "complete_ms", complete.Milliseconds(),
			"requests", v.Requests, "unrelated", v.Unrelated, "suspected", len(suspected), "running", len(running))
	}
	q.sendDecisions(ctx, decided)
	return undecided, busy
}

// maxInquiredTraits bounds the traits that daemons are asked about.
const maxInquiredTraits = 2048

// evidenceRequest returns the question about the suspected traits.
func (q *quarantineManager) evidenceRequest(suspected []quarantine.Trait) peer.QuarantineEvidenceRequest {
	request := peer.QuarantineEvidenceRequest{Within: inquiryWindow, HasTraits: true, From: q.registry.Self().Incarnation, Ended: q.evidence.Ended()}
	for _, t := range suspected[:min(len(suspected), maxInquiredTraits)] {
		if t.Part == "" {
			request.Digests = append(request.Digests, t.Request)
		} else {
			request.Parts = append(request.Parts, t.Part)
		}
	}
	return request
}

// collectEvidence asks all daemons with which of the suspected traits requests have finished or run
// now, and for crashes that they may have been unable to report. own is this daemon's answer. It returns
// how far back the evidence is complete.
//
// A request that only ran beside the culprit is cleared by having finished, or by the crash of
// an instance that did not run it. A daemon that does not answer may know of either, so complete is 0
// then.
func (q *quarantineManager) collectEvidence(ctx context.Context, request peer.QuarantineEvidenceRequest, own peer.QuarantineEvidence) (complete time.Duration, running quarantine.Running) {
	running = quarantine.Running{}
	running.Merge(own.Running)
	var mu sync.Mutex
	complete = own.Up
	add := func(answer peer.QuarantineEvidence) {
		q.addEvidence(answer)
		mu.Lock()
		defer mu.Unlock()
		complete = min(complete, answer.Up)
		if !answer.HasTraits {
			// A daemon of an older version knows nothing of parts.
			complete = 0
		}
		running.Merge(answer.Running)
	}
	q.callEach(ctx, inquiryTimeout, q.otherRunningDaemons(), func(call context.Context, address string) {
		answer, err := q.peers.QuarantineEvidence(call, address, request)
		if err != nil {
			mu.Lock()
			complete = 0
			mu.Unlock()
			slog.Info("quarantine.no_answer", "peer", address, "error", err)
			return
		}
		add(answer)
	})
	return complete, running
}

func (q *quarantineManager) addEvidence(answer peer.QuarantineEvidence) {
	for d, age := range answer.Finished {
		q.evidence.ClearRequest(d, age)
	}
	for part, age := range answer.FinishedParts {
		q.evidence.ClearPart(part, age)
	}
	for _, c := range answer.Crashes {
		q.evidence.Add(c)
	}
}

// otherRunningDaemons returns the other daemons that may have requests: all that are not known
// to have ended. It has one daemon per address, since a restarted daemon answers at the
// address of its predecessor.
func (n *Node) otherRunningDaemons() []member.Daemon {
	own := n.registry.Self()
	known := map[string]bool{own.PeerAddress: true}
	var out []member.Daemon
	for _, d := range n.registry.All() {
		if d.State != member.Left && !known[d.PeerAddress] {
			known[d.PeerAddress] = true
			out = append(out, d)
		}
	}
	return out
}

// sendDecisions sends decisions to all daemons and queues them to be stored. A daemon that
// misses them gets them after a heartbeat.
func (q *quarantineManager) sendDecisions(ctx context.Context, decided []quarantine.Entry) {
	if len(decided) == 0 {
		return
	}
	update := peer.QuarantineUpdate{From: q.registry.Self().PeerAddress, Entries: decided}
	select {
	case q.unsaved <- decided:
	default:
		slog.Warn("quarantine.not_stored", "count", len(decided))
	}
	q.callEach(ctx, peerCallTimeout, q.otherRunningDaemons(), func(call context.Context, address string) {
		if err := q.peers.SendQuarantineUpdate(call, address, update); err != nil {
			slog.Debug("quarantine.not_sent", "peer", address, "error", err)
		}
	})
}

// applyEntries merges entries from a peer or the store.
func (q *quarantineManager) applyEntries(entries []quarantine.Entry, source string) {
	for _, e := range q.list.Merge(entries) {
		if e.Released {
			// Crashes before the release no longer count against the request.
			q.evidence.ClearEntry(e)
		}
		q.applyDecided(e)
		slog.Info("quarantine.learned", "digest", e.Digest, "parts", strings.Join(e.RefusedParts, ","), "shared", e.Shared, "route", e.Route, "organisation", e.Organisation,
			"ended", strings.Join(e.Ended, ","), "released", e.Released, "left_ms", e.Left.Milliseconds(), "source", source)
	}
}

// Release ends the quarantine of a request. It returns false if the request is not
// quarantined.
func (q *quarantineManager) Release(ctx context.Context, d quarantine.Digest) bool {
	e, ok := q.list.Release(d)
	if !ok {
		return false
	}
	q.evidence.ClearEntry(e)
	slog.Warn("quarantine.released", "digest", d, "parts", strings.Join(e.RefusedParts, ","), "route", e.Route, "organisation", e.Organisation)
	q.sendDecisions(ctx, []quarantine.Entry{e})
	return true
}

// OnCrashes implements peer.RoutesHandler.
func (n *Node) OnCrashes(r peer.CrashReport) peer.CrashReply {
	var reply peer.CrashReply
	for _, c := range r.Crashes {
		n.quarantine.evidence.Add(c)
		reply.First = append(reply.First, n.quarantine.evidence.AtMostOneCrash(quarantine.Digests(c.Suspects))...)
	}
	n.quarantine.signalJudge()
	return reply
}

// OnQuarantineEvidence implements peer.RoutesHandler.
func (n *Node) OnQuarantineEvidence(r peer.QuarantineEvidenceRequest) peer.QuarantineEvidence {
	q := n.quarantine
	answer := peer.QuarantineEvidence{
		Up: n.clock.Since(n.startedAt), Finished: map[quarantine.Digest]time.Duration{}, FinishedParts: map[string]time.Duration{},
		Crashes: append(q.unreported(r), q.abandonedOn(r.Ended)...), HasTraits: r.HasTraits,
	}
	var traits []quarantine.Trait
	for _, d := range r.Digests {
		t := quarantine.Trait{Request: d}
		traits = append(traits, t)
		if age, ok := q.completions.Age(t); ok {
			answer.Finished[d] = age
		}
	}
	for _, part := range r.Parts {
		t := quarantine.Trait{Part: part, Shared: true}
		traits = append(traits, t)
		if age, ok := q.completions.Age(t); ok {
			answer.FinishedParts[part] = age
		}
	}
	answer.Running = q.inFlight.Longest(traits)
	return answer
}

// OnQuarantineUpdate implements peer.RoutesHandler.
func (n *Node) OnQuarantineUpdate(update peer.QuarantineUpdate) {
	n.quarantine.applyEntries(update.Entries, update.From)
}
