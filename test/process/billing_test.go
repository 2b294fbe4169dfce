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

func summary(prompt string) cluster.Ask {
	return cluster.Ask{APIKey: keyVisrad, Model: "clauses", Prompt: prompt, Kind: "default"}
}

// ask sends n requests at once to a daemon and wants n whole answers.
func askMany(t *testing.T, d *cluster.Daemon, n int, name string) {
	t.Helper()
	var all sync.WaitGroup
	errs := make(chan error, n)
	for i := range n {
		all.Go(func() {
			reply, err := summary(fmt.Sprintf("%s %d", name, i)).Send(context.Background(), d.CallerURL, nil)
			if err == nil && !reply.Whole() {
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

// requireBill waits for the bill of a request in a state.
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

// A daemon is killed while an engine works for it. The engine finishes; the
// songwriter must be paid although nobody who dispatched the work is left.
func TestDaemonKilledBeforeTheBillIsClosed(t *testing.T) {
	s := newSite(t, 3, slow)
	reply, _ := streamUntil(t, s.Daemons[0], summary("bill 1"), 3, func(cluster.Reply) { s.Daemons[0].Kill() })
	require.False(t, reply.Done)
	bill := s.requireBill(s.Daemons[1], reply.RequestID(), ledger.Answered)
	require.Equal(t, int64(24*9+2*3), bill.Amount, "the engine's own count")
	s.requireBilled(s.Daemons[2])
}

// A daemon gives a whole answer and is killed before its next commit. The
// peers that hold the closed bill write it.
func TestDaemonKilledBeforeTheCommit(t *testing.T) {
	s := newSite(t, 2, nil)
	d, err := s.StartDaemon("gbg-c", func(set *settings.Settings) { set.Timing.CommitMS = int64(time.Hour / time.Millisecond) })
	require.NoError(t, err)
	require.NoError(t, s.Settle(s.Daemons, 2))
	askMany(t, d, 20, "commit")
	require.Empty(t, s.bills(s.Daemons[0]))
	d.Kill()
	s.requireBilled(s.Daemons[0])
}

// The platform takes a commit and its answer is lost, again and again. A
// repeated commit must not bill twice.
func TestLostAnswersToCommits(t *testing.T) {
	s := newSite(t, 3, nil)
	s.platformFault(standin.FaultLoseAnswer)
	for i, d := range s.Daemons {
		askMany(t, d, 10, fmt.Sprintf("lost %d", i))
	}
	s.platformFault(standin.FaultNone)
	s.requireBilled(s.Daemons[0])
	require.Len(t, s.bills(s.Daemons[1]), 30)
}

// The store is out while requests go on, and one of the daemons dies before
// the store is back. Nothing that ran may be missing from the ledger.
func TestStoreOutAndADaemonDies(t *testing.T) {
	s := newSite(t, 3, nil)
	s.platformFault(standin.FaultRefuse)
	for i, d := range s.Daemons {
		askMany(t, d, 10, fmt.Sprintf("outage %d", i))
	}
	s.Daemons[0].Kill()
	s.platformFault(standin.FaultNone)
	s.requireBilled(s.Daemons[1])
	require.Len(t, s.bills(s.Daemons[2]), 30)
}

// A daemon is paused with open requests until the others take it for dead and
// close its bills. Then it wakes up and goes on. Each request is billed once,
// with what the engine counted.
func TestPausedDaemonWakesAfterItsBillsWereClosed(t *testing.T) {
	s := newSite(t, 3, slow)
	var paused sync.WaitGroup
	replies := make([]cluster.Reply, 6)
	started := make(chan struct{}, len(replies))
	for i := range replies {
		paused.Go(func() {
			var once sync.Once
			note := func() { once.Do(func() { started <- struct{}{} }) }
			defer note()
			replies[i], _ = streamUntil(t, s.Daemons[0], summary(fmt.Sprintf("pause %d", i)), 2, func(cluster.Reply) { note() })
		})
	}
	for range replies {
		<-started
	}
	require.NoError(t, s.Daemons[0].Freeze())
	require.NoError(t, cluster.Eventually(func() error {
		if n := len(s.bills(s.Daemons[1])); n < len(replies) {
			return fmt.Errorf("%d bills closed", n)
		}
		return nil
	}))
	s.Daemons[0].Wake()
	paused.Wait()
	for _, r := range replies {
		require.True(t, r.Whole(), "the callers were only kept waiting: %v", r.Err)
	}
	askMany(t, s.Daemons[0], 4, "after")
	s.requireBilled(s.Daemons[2])
	require.Len(t, s.bills(s.Daemons[1]), len(replies)+4)
}

// A caller's daemon dies in the middle of a stream; the caller continues at
// another daemon with the resume token. It holds the whole answer, and the
// request is billed once.
func TestStreamContinuedElsewhereIsBilledOnce(t *testing.T) {
	s := newSite(t, 3, slow)
	first, _ := streamUntil(t, s.Daemons[0], summary("resume"), 5, func(cluster.Reply) { s.Daemons[0].Kill() })
	rest, err := resume(t, s.Daemons[1], first)
	require.NoError(t, err)
	require.True(t, rest.Whole())
	requireWhole(t, first.Text+rest.Text)
	s.requireBill(s.Daemons[2], first.RequestID(), ledger.Answered)
	s.requireBilled(s.Daemons[1])
}

// The only daemon of a site dies in the middle of an answer, with no peer to
// hold its bills. The next daemon that starts finds the open bill in the table.
func TestLastDaemonDies(t *testing.T) {
	s := newSite(t, 1, slow)
	reply, _ := streamUntil(t, s.Daemons[0], summary("alone"), 2, func(cluster.Reply) { s.Daemons[0].Kill() })
	d, err := s.StartDaemon("gbg-b", nil)
	require.NoError(t, err)
	s.requireBill(d, reply.RequestID(), ledger.Answered)
	s.requireBilled(d)
}

// Two of three daemons die together, one of them holding the other's bills.
func TestOwnerAndOneHolderDie(t *testing.T) {
	s := newSite(t, 4, slow)
	reply, _ := streamUntil(t, s.Daemons[0], summary("two die"), 2, func(cluster.Reply) {
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
