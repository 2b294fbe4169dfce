package entry

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

const (
	// settleEvidence is how long a judge waits after news of a crash for what the other
	// daemons tell of it: each finds out within some milliseconds.
	crashSettleTime = 80 * time.Millisecond
	// secondJudge is how much later the second judge decides. What the first one has
	// decided by then is known.
	judgeRankDelay = 300 * time.Millisecond
	// inquiryTime bounds the question to all daemons before a request is quarantined.
	inquiryTimeout = 250 * time.Millisecond
	// judgeAgain is the first pause until suspects that are not condemned are judged
	// again. It doubles each time, up to judgeTimes: what clears a request beside the one
	// at fault is that it runs to its end, after some hundred milliseconds or seconds.
	rejudgeDelay = 100 * time.Millisecond
	maxRejudges  = 6
	// maxFreed bounds the releases that wait; a request that runs again asks again.
	maxPendingReleases = 16
	// inquiryWithin is how old the crashes are that daemons are asked for.
	inquiryWindow = 30 * time.Second
)

// quarantined refuses the requests that crash instances, and judges which do.
type quarantineManager struct {
	*crashReporter
	list     *quarantine.List
	evidence *quarantine.Evidence
	finished *quarantine.Finished
	refusals atomic.Int64
	// due is signalled when crashes were told.
	judgeDue chan struct{}
	// freed are quarantined requests that have run to their end.
	pendingReleases chan quarantine.Digest
	// unsaved are decisions that the store does not have yet.
	unsaved chan []quarantine.Entry
}

func newQuarantineManager(n *Node) *quarantineManager {
	return &quarantineManager{
		crashReporter: newCrashReporter(n), list: quarantine.NewList(n.clock), evidence: quarantine.NewEvidence(n.clock),
		finished: quarantine.NewFinished(n.clock), judgeDue: make(chan struct{}, 1),
		pendingReleases: make(chan quarantine.Digest, maxPendingReleases),
		unsaved:         make(chan []quarantine.Entry, maxUnsaved),
	}
}

// Refused implements forward.Quarantine.
func (q *quarantineManager) Refused(d quarantine.Digest) (time.Duration, bool) {
	left, refused := q.list.Refused(d)
	if refused {
		q.refusals.Add(1)
	}
	return left, refused
}

// Finished implements forward.Quarantine.
//
// A quarantined request that runs to its end, begun before it was refused or after its time
// was over, crashes nothing, or nothing any more. Kept on the list, the next loss of power
// under it would have it refused again.
func (q *quarantineManager) Finished(d quarantine.Digest) {
	q.finished.Record(d)
	if !q.list.Held(d) {
		return
	}
	select {
	case q.pendingReleases <- d:
	default:
	}
}

// judgeLoop weighs what daemons tell of crashes, and again while suspects are left that
// nothing is decided of.
//
// Another request may be on the same ended instances as the one at fault, and run to its end
// elsewhere a moment later. Judged with the next crash only, the one at fault ends one more
// instance by then.
func (q *quarantineManager) judgeLoop(ctx context.Context) {
	var again <-chan time.Time
	tries := 0
	for {
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
		if q.judge(ctx) && tries < maxRejudges {
			again = q.clock.After(rejudgeDelay << tries)
			tries++
		}
	}
}

// signalDue asks the judge's loop to look at what was told.
func (q *quarantineManager) signalJudge() {
	select {
	case q.judgeDue <- struct{}{}:
	default:
	}
}

// judgeRank is this daemon's place among the judges, from 0. One that is none was told by
// a daemon that knows others, and comes last.
func (q *quarantineManager) judgeRank() int {
	judges, own := q.judges(), q.registry.Self().Incarnation
	for rank, d := range judges {
		if d.Incarnation == own {
			return rank
		}
	}
	return len(judges)
}

// judge quarantines what is condemned by all that is known. It reports whether suspects are
// left that may be, once more is known.
func (q *quarantineManager) judge(ctx context.Context) (undecided bool) {
	refused := func(d quarantine.Digest) bool {
		_, yes := q.list.Refused(d)
		return yes
	}
	suspected := q.evidence.Suspected(refused, q.list.OnProbation)
	if len(suspected) == 0 {
		return false
	}
	complete := q.collectEvidence(ctx, suspected)
	var decided []quarantine.Entry
	for _, c := range q.evidence.Culprits(complete, refused, q.list.OnProbation) {
		decided = append(decided, q.list.Quarantine(c))
		q.resumeWaiting([]quarantine.Digest{c.Digest})
		slog.Warn("quarantine.decided", "digest", c.Digest, "route", c.Route, "organisation", c.Organisation,
			"ended", strings.Join(c.Ended, ","), "since_ms", c.Since.Milliseconds(), "complete_ms", complete.Milliseconds())
	}
	q.sendDecisions(ctx, decided)
	return len(q.evidence.Suspected(refused, q.list.OnProbation)) > 0
}

// inquire asks all daemons which of the requests have run to their end, and for crashes
// that they may not have been able to tell. It returns for how long back all know.
//
// A request that was beside the one at fault is saved by the first of these, or by
// knowing of the other one. A daemon that does not answer may have either.
func (q *quarantineManager) collectEvidence(ctx context.Context, suspected []quarantine.Digest) (complete time.Duration) {
	ask := peer.QuarantineEvidenceRequest{Within: inquiryWindow, Digests: suspected}
	own := q.OnQuarantineEvidence(ask)
	q.addEvidence(own)
	var mu sync.Mutex
	complete = own.Up
	atMost := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		complete = min(complete, d)
	}
	q.callEach(ctx, inquiryTimeout, q.otherRunningDaemons(), func(call context.Context, address string) {
		answer, err := q.peers.QuarantineEvidence(call, address, ask)
		if err != nil {
			atMost(0)
			slog.Info("quarantine.no_answer", "peer", address, "error", err)
			return
		}
		atMost(answer.Up)
		q.addEvidence(answer)
	})
	return complete
}

func (q *quarantineManager) addEvidence(answer peer.QuarantineEvidence) {
	for d, age := range answer.Finished {
		q.evidence.Clear(d, age)
	}
	for _, c := range answer.Crashes {
		q.evidence.Add(c)
	}
}

// everyOther returns the daemons that may have requests: all that are not known to have
// ended. At the address of one that was restarted its successor answers.
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

// tellQuarantine tells all daemons what was decided. Who misses it learns it by heartbeats.
func (q *quarantineManager) sendDecisions(ctx context.Context, decided []quarantine.Entry) {
	if len(decided) == 0 {
		return
	}
	news := peer.QuarantineUpdate{From: q.registry.Self().PeerAddress, Entries: decided}
	select {
	case q.unsaved <- decided:
	default:
		slog.Warn("quarantine.not_stored", "count", len(decided))
	}
	q.callEach(ctx, peerCallTimeout, q.otherRunningDaemons(), func(call context.Context, address string) {
		if err := q.peers.SendQuarantineUpdate(call, address, news); err != nil {
			slog.Debug("quarantine.not_told", "peer", address, "error", err)
		}
	})
}

// learnQuarantine takes in what a peer, or the store, tells.
func (q *quarantineManager) applyEntries(told []quarantine.Entry, source string) {
	for _, e := range q.list.Merge(told) {
		if e.Released {
			// What it had done before speaks against it no more.
			q.evidence.Clear(e.Digest, 0)
		}
		q.resumeWaiting([]quarantine.Digest{e.Digest})
		slog.Info("quarantine.learned", "digest", e.Digest, "route", e.Route, "organisation", e.Organisation,
			"ended", strings.Join(e.Ended, ","), "released", e.Released, "left_ms", e.Left.Milliseconds(), "source", source)
	}
}

// Release ends the quarantine of a request; it reports false when there is none.
func (q *quarantineManager) Release(ctx context.Context, d quarantine.Digest) bool {
	e, ok := q.list.Release(d)
	if !ok {
		return false
	}
	q.evidence.Clear(d, 0)
	slog.Warn("quarantine.released", "digest", d, "route", e.Route, "organisation", e.Organisation)
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

// OnInquiry implements peer.RoutesHandler.
func (n *Node) OnQuarantineEvidence(r peer.QuarantineEvidenceRequest) peer.QuarantineEvidence {
	answer := peer.QuarantineEvidence{Up: n.clock.Since(n.startedAt), Finished: map[quarantine.Digest]time.Duration{}, Crashes: n.quarantine.recent(r.Within)}
	for _, d := range r.Digests {
		if age, ok := n.quarantine.finished.Age(d); ok {
			answer.Finished[d] = age
		}
	}
	return answer
}

// OnQuarantine implements peer.RoutesHandler.
func (n *Node) OnQuarantineUpdate(news peer.QuarantineUpdate) {
	n.quarantine.applyEntries(news.Entries, news.From)
}
