package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

var suspect = quarantine.Suspect{Digest: quarantine.NewDigest("POST", "shop.example", "/notes/one", "visrad", nil), Route: "notes"}

// Guards against a request that stays quarantined for the crashes of others. A run of it that
// had begun before it was quarantined finishes, which shows that it does not crash instances.
func TestQuarantinedRequestIsReleasedWhenItFinishes(t *testing.T) {
	n := newTestNode(clockwork.NewRealClock(), nil)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go n.quarantine.judgeLoop(ctx)
	n.OnQuarantineUpdate(peer.QuarantineUpdate{Entries: []quarantine.Entry{{Suspect: suspect, Stamp: 1, Left: time.Minute}}})
	_, refused := n.quarantine.Refused(&suspect)
	require.True(t, refused)
	n.quarantine.Finished(&suspect)
	require.Eventually(t, func() bool { _, listed := n.quarantine.list.ToRelease(&suspect); return !listed }, 10*time.Second, time.Millisecond)
}

// A newly chosen judge gets the reports of several crashes at once and not in order of time.
// Guards against evaluating them in the order of arrival: the crash of an instance without the
// request clears it by the time of that crash.
func TestJudgeHandlesCrashesOutOfOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newTestNode(clock, nil)
	clock.Advance(time.Hour)
	var report peer.CrashReport
	for i, age := range []time.Duration{1, 9, 5} {
		report.Crashes = append(report.Crashes, quarantine.Crash{
			Instance: inventory.InstanceHash(i), Age: age * time.Second, Suspects: []quarantine.Suspect{suspect},
		})
	}
	report.Crashes = append(report.Crashes, quarantine.Crash{Instance: 9, Age: 7 * time.Second})
	n.OnCrashes(report)
	n.quarantine.judge(context.Background())
	_, refused := n.quarantine.Refused(&suspect)
	require.False(t, refused, "an instance ended without the request")
}

// Guards against delaying the next attempt of requests after a single crash. Requests whose
// instance ended wait for the judges; one that was on only one ended instance continues as
// soon as a judge has the report.
func TestFirstCrashDoesNotDelayRetry(t *testing.T) {
	n := newTestNode(clockwork.NewRealClock(), nil)
	decided := n.quarantine.ConnectionBroken(inventory.Instance{ID: "i", Address: "127.0.0.1:1"}, suspect)
	<-n.quarantine.pending
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n.quarantine.signal()
	go n.quarantine.reportLoop(ctx)
	<-decided
	require.True(t, n.quarantine.InstanceEnded(inventory.Instance{ID: "i"}))
}

// Guards against requests that seem to have run for longer, or shorter, than others on the same instance, since
// their connections break later or they were given up before. Such a repeat did not seem to follow the end of the
// instance before.
func TestRunsOfSuspectsEndWithTheirInstance(t *testing.T) {
	const ran, before, after = 20 * time.Millisecond, 30 * time.Millisecond, 400 * time.Millisecond
	clock := clockwork.NewFakeClock()
	n := newTestNode(clock, nil)
	ended := inventory.Instance{ID: "i", Address: "127.0.0.1:1"}
	next := 0
	suspectSeen := func(offset time.Duration) quarantine.Suspect {
		next++
		return quarantine.Suspect{Digest: quarantine.NewDigest("POST", "shop.example", fmt.Sprint("/notes/", next), "visrad", nil), Ran: ran + offset}
	}
	n.quarantine.Abandoned(ended, suspectSeen(-before))
	clock.Advance(before)
	n.quarantine.ConnectionBroken(ended, suspectSeen(0))
	require.Eventually(t, func() bool { return n.quarantine.InstanceEnded(ended) }, 10*time.Second, time.Millisecond)
	clock.Advance(after)
	n.quarantine.ConnectionBroken(ended, suspectSeen(after))
	n.quarantine.Abandoned(ended, suspectSeen(after))
	crashes, _ := n.quarantine.unsent("judge")
	require.Len(t, crashes, 1)
	require.Len(t, crashes[0].Suspects, next)
	for _, s := range crashes[0].Suspects {
		require.Equal(t, ran, s.Ran)
	}
}

// Two requests were on the same three instances that ended, so neither is quarantined. Then
// one of them finishes elsewhere and no more instances end. Guards against quarantining the
// other one only after a further crash.
func TestJudgeReconsidersSuspects(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newTestNode(clock, nil)
	clock.Advance(time.Hour)
	beside := quarantine.Suspect{Digest: quarantine.NewDigest("POST", "shop.example", "/notes/two", "visrad", nil), Route: "notes"}
	var report peer.CrashReport
	for i := range 3 {
		report.Crashes = append(report.Crashes, quarantine.Crash{Instance: inventory.InstanceHash(i), Suspects: []quarantine.Suspect{suspect, beside}})
	}
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	go n.quarantine.judgeLoop(ctx)
	n.OnCrashes(report)
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	clock.Advance(crashSettleTime)
	require.NoError(t, clock.BlockUntilContext(ctx, 1), "another decision must be scheduled")
	_, refused := n.quarantine.Refused(&suspect)
	require.False(t, refused)
	n.quarantine.Finished(&beside)
	clock.Advance(rejudgeDelay)
	require.Eventually(t, func() bool { _, yes := n.quarantine.Refused(&suspect); return yes }, 20*time.Second, time.Millisecond)
	_, refused = n.quarantine.Refused(&beside)
	require.False(t, refused)
}

// Guards against ends of instances whose cause is not known: a request is given up, for example because the
// answer of a small model is dropped, and ends its instance a moment later.
func TestRequestsThatWereGivenUpAreSuspects(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newTestNode(clock, nil)
	i, other := inventory.Instance{ID: "i"}, inventory.Instance{ID: "other"}
	n.quarantine.Abandoned(i, suspect)
	n.quarantine.Abandoned(other, suspect)
	clock.Advance(200 * time.Millisecond)
	answer := n.OnQuarantineEvidence(peer.QuarantineEvidenceRequest{HasTraits: true, Within: inquiryWindow, Ended: map[inventory.InstanceHash]time.Duration{i.Hash(): 100 * time.Millisecond}})
	require.Len(t, answer.Crashes, 1)
	require.Equal(t, i.Hash(), answer.Crashes[0].Instance)
	require.Equal(t, []quarantine.Digest{suspect.Digest}, quarantine.Digests(answer.Crashes[0].Suspects))
	clock.Advance(2 * time.Second)
	answer = n.OnQuarantineEvidence(peer.QuarantineEvidenceRequest{HasTraits: true, Within: inquiryWindow, Ended: map[inventory.InstanceHash]time.Duration{i.Hash(): 0}})
	require.Empty(t, answer.Crashes, "it was given up long before")
}
