package process_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// summaryRequest returns a request that may run more than once.
func summaryRequest(prompt string) cluster.ChatRequest {
	return cluster.ChatRequest{APIKey: visradAPIKey, Model: "clauses", Prompt: prompt, Kind: "default"}
}

// requireAllAnswered sends n requests at once to a daemon and requires a complete
// answer to each.
func requireAllAnswered(t *testing.T, d *cluster.Daemon, n int, name string) {
	t.Helper()
	var all sync.WaitGroup
	errs := make(chan error, n)
	for i := range n {
		all.Go(func() {
			reply, err := summaryRequest(fmt.Sprintf("%s %d", name, i)).Send(context.Background(), d.CallerURL, nil)
			if err == nil && !reply.Complete() {
				err = reply.Err
			}
			if err != nil {
				errs <- err
			}
		})
	}
	all.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

// requireBill waits until the bill of a request is in a state, and returns it.
func (s *site) requireBill(d *cluster.Daemon, id string, state ledger.State) ledger.Entry {
	s.t.Helper()
	var bill ledger.Entry
	require.NoError(s.t, cluster.Eventually(func() error {
		var ok bool
		if bill, ok = s.bills(d)[id]; !ok || bill.State != state {
			return fmt.Errorf("bill of %s is %q, not %q", id, bill.State, state)
		}
		return nil
	}))
	return bill
}

// A daemon is killed while an engine works on its request, and the engine finishes.
// Guards against work that is never billed because the daemon that dispatched it no
// longer exists: another daemon must bill what the engine counted.
func TestDaemonKilledBeforeTheBillIsClosed(t *testing.T) {
	s := newSite(t, 3, slowTokens)
	reply, _ := streamAndAct(t, s.Daemons[0], summaryRequest("bill 1"), 3, func(cluster.Reply) { s.Daemons[0].Kill() })
	require.False(t, reply.Done)
	bill := s.requireBill(s.Daemons[1], reply.RequestID(), ledger.Answered)
	require.Equal(t, int64(24*9+2*3), bill.Amount, "must be the amount by the engine's own count")
	s.requireFinishedBilled(s.Daemons[2])
}

// A daemon completes answers and is killed before its next commit to the ledger.
// Guards against lost bills: the peers that have replicas of the closed bills must
// write them.
func TestDaemonKilledBeforeTheCommit(t *testing.T) {
	s := newSite(t, 2, nil)
	d, err := s.StartDaemon("gbg-c", func(set *settings.Settings) { set.Timing.CommitMS = int64(time.Hour / time.Millisecond) })
	require.NoError(t, err)
	require.NoError(t, s.WaitReady(s.Daemons, 2))
	requireAllAnswered(t, d, 20, "commit")
	require.Empty(t, s.bills(s.Daemons[0]))
	d.Kill()
	s.requireFinishedBilled(s.Daemons[0])
}

// The store executes commits and the answers to them are lost. Guards against
// billing a request twice when the daemon repeats the commit.
func TestCommitAnswersLost(t *testing.T) {
	s := newSite(t, 3, nil)
	s.setPlatformFault(standin.FaultLoseAnswer)
	for i, d := range s.Daemons {
		requireAllAnswered(t, d, 10, fmt.Sprintf("lost %d", i))
	}
	s.setPlatformFault(standin.FaultNone)
	s.requireFinishedBilled(s.Daemons[0])
	require.Len(t, s.bills(s.Daemons[1]), 30)
}

// Requests run while the store is unavailable, and a daemon dies before the store
// is available again. Guards against requests that ran and are missing from the
// ledger.
func TestDaemonKilledDuringStoreOutage(t *testing.T) {
	s := newSite(t, 3, nil)
	s.setPlatformFault(standin.FaultRefuse)
	for i, d := range s.Daemons {
		requireAllAnswered(t, d, 10, fmt.Sprintf("outage %d", i))
	}
	s.Daemons[0].Kill()
	s.setPlatformFault(standin.FaultNone)
	s.requireFinishedBilled(s.Daemons[1])
	require.Len(t, s.bills(s.Daemons[2]), 30)
}

// A daemon is paused with open requests until its peers regard it as dead and close
// its bills. Then it resumes and completes the requests. Guards against billing
// these requests twice.
func TestDaemonPausedUntilPeersClosedItsBills(t *testing.T) {
	s := newSite(t, 3, slowTokens)
	var paused sync.WaitGroup
	replies := make([]cluster.Reply, 6)
	started := make(chan struct{}, len(replies))
	for i := range replies {
		paused.Go(func() {
			var once sync.Once
			signalStarted := func() { once.Do(func() { started <- struct{}{} }) }
			defer signalStarted()
			replies[i], _ = streamAndAct(t, s.Daemons[0], summaryRequest(fmt.Sprintf("pause %d", i)), 2, func(cluster.Reply) { signalStarted() })
		})
	}
	for range replies {
		<-started
	}
	require.NoError(t, s.Daemons[0].Pause())
	require.NoError(t, cluster.Eventually(func() error {
		if n := len(s.bills(s.Daemons[1])); n < len(replies) {
			return fmt.Errorf("%d bills closed", n)
		}
		return nil
	}))
	s.Daemons[0].Resume()
	paused.Wait()
	for _, r := range replies {
		require.True(t, r.Complete(), "the pause must only delay the answer: %v", r.Err)
	}
	requireAllAnswered(t, s.Daemons[0], 4, "after")
	s.requireFinishedBilled(s.Daemons[2])
	require.Len(t, s.bills(s.Daemons[1]), len(replies)+4)
}

// A daemon dies in the middle of a stream, and the caller resumes the stream at
// another daemon with the resume token. Guards against gaps or repeated parts in
// the answer, and against billing the request twice.
func TestResumedStreamBilledOnce(t *testing.T) {
	s := newSite(t, 3, slowTokens)
	first, _ := streamAndAct(t, s.Daemons[0], summaryRequest("resume"), 5, func(cluster.Reply) { s.Daemons[0].Kill() })
	rest, err := resume(t, s.Daemons[1], first)
	require.NoError(t, err)
	require.True(t, rest.Complete())
	requireComplete(t, first.Text+rest.Text)
	s.requireBill(s.Daemons[2], first.RequestID(), ledger.Answered)
	s.requireFinishedBilled(s.Daemons[1])
}

// The only daemon of a site dies in the middle of an answer, with no peer that has
// replicas of its bills. Guards against a lost bill: the next daemon that starts
// must find the open bill in the store and close it.
func TestOnlyDaemonKilled(t *testing.T) {
	s := newSite(t, 1, slowTokens)
	reply, _ := streamAndAct(t, s.Daemons[0], summaryRequest("alone"), 2, func(cluster.Reply) { s.Daemons[0].Kill() })
	d, err := s.StartDaemon("gbg-b", nil)
	require.NoError(t, err)
	s.requireBill(d, reply.RequestID(), ledger.Answered)
	s.requireFinishedBilled(d)
}

// Two of four daemons die together: the one that dispatched the request, and one
// that has replicas of bills. Guards against a lost bill when a replica is lost
// together with the original.
func TestBillOwnerAndReplicaKilled(t *testing.T) {
	s := newSite(t, 4, slowTokens)
	reply, _ := streamAndAct(t, s.Daemons[0], summaryRequest("two die"), 2, func(cluster.Reply) {
		for _, d := range s.Daemons[1:] {
			status, err := d.Status()
			if err == nil && status.BillsHeld > 0 {
				d.Kill()
				break
			}
		}
		s.Daemons[0].Kill()
	})
	require.NoError(t, cluster.Eventually(func() error {
		for _, d := range s.Daemons[1:] {
			if status, err := d.Status(); err == nil && status.BillsPending == 0 {
				if b := s.bills(d)[reply.RequestID()]; b.State == ledger.Answered {
					return nil
				}
			}
		}
		return fmt.Errorf("not billed yet")
	}))
}
