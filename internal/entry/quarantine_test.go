package entry

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

var suspect = quarantine.Suspect{Digest: quarantine.NewDigest("POST", "shop.example", "/notes/one", "visrad", nil), Route: "notes"}

// A request was refused for what others had done, and a run of it that had begun before
// comes to its end. It is let run again: no request that runs well crashes instances.
func TestQuarantinedRequestIsReleasedWhenItFinishes(t *testing.T) {
	n := newTestNode(clockwork.NewRealClock(), nil)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go n.quarantine.judgeLoop(ctx)
	n.OnQuarantineUpdate(peer.QuarantineUpdate{Entries: []quarantine.Entry{{Suspect: suspect, Stamp: 1, Left: time.Minute}}})
	_, refused := n.quarantine.Refused(suspect.Digest)
	require.True(t, refused)
	n.quarantine.Finished(suspect.Digest)
	require.Eventually(t, func() bool { return !n.quarantine.list.Held(suspect.Digest) }, 10*time.Second, time.Millisecond)
}

// A daemon that has just been chosen to judge is told of three crashes, all at once and not
// in their order. What ended beside them counts by when it ended.
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
	_, refused := n.quarantine.Refused(suspect.Digest)
	require.False(t, refused, "an instance has ended without it")
}

// Requests that broke off with an instance that has ended wait for the judges; one that was on
// a single ended instance goes on as soon as it is told of.
func TestFirstCrashDoesNotDelayRetry(t *testing.T) {
	n := newTestNode(clockwork.NewRealClock(), nil)
	decided := n.quarantine.Broken(inventory.Instance{ID: "i", Address: "127.0.0.1:1"}, suspect)
	<-n.quarantine.pending
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n.quarantine.signal()
	go n.quarantine.reportLoop(ctx)
	<-decided
	require.True(t, n.quarantine.Ended(inventory.Instance{ID: "i"}))
}

// A request and another one were on the same three instances that ended, so neither is
// refused. Then the other one runs to its end elsewhere, and no instance ends any more: the
// first one is refused at the next look. It was refused with the next crash only.
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
	require.NoError(t, clock.BlockUntilContext(ctx, 1), "it is to look again")
	_, refused := n.quarantine.Refused(suspect.Digest)
	require.False(t, refused)
	n.quarantine.Finished(beside.Digest)
	clock.Advance(rejudgeDelay)
	require.Eventually(t, func() bool { _, yes := n.quarantine.Refused(suspect.Digest); return yes }, 20*time.Second, time.Millisecond)
	_, refused = n.quarantine.Refused(beside.Digest)
	require.False(t, refused)
}
