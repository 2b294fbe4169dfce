package lease

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

const duration = 9 * time.Second

func renew(t *testing.T, l *Lease) bool {
	t.Helper()
	held, err := l.Renew(context.Background())
	require.NoError(t, err)
	return held
}

// Guards against a holder that is paused until its lease expires and continues to act after
// another daemon took it. It must see from its own clock that it holds nothing, its write must
// fail, and its fencing token must be the lower one.
func TestHolderPausedPastItsLease(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := backing.NewMemory()
	a, b := New("duty", "a", duration, store, clock), New("duty", "b", duration, store, clock)
	require.True(t, renew(t, a))
	require.False(t, renew(t, b))
	clock.Advance(duration - time.Second)
	require.False(t, a.Held())
	require.False(t, renew(t, b), "the lease has not expired for a contender yet")
	clock.Advance(time.Second)
	require.True(t, renew(t, b))
	require.False(t, a.Held())
	require.Greater(t, b.Fence(), a.Fence())
	_, err := store.Commit(context.Background(), backing.Txn{
		Checks: []backing.Check{a.Check()},
		Puts:   []backing.Put{backing.PutJSON("x", 1)},
	})
	require.True(t, trace.IsCompareFailed(err))
	require.False(t, renew(t, a))
}

// Guards against a contender taking a lease that is still held. It starts long after the last
// renewal and cannot know the age of the row, so it waits a whole duration.
func TestContenderWaitsAWholeDuration(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := backing.NewMemory()
	a := New("duty", "a", duration, store, clock)
	require.True(t, renew(t, a))
	clock.Advance(time.Hour)
	b := New("duty", "b", duration, store, clock)
	require.False(t, renew(t, b))
	clock.Advance(duration)
	require.True(t, renew(t, b))
}

// Guards against a holder counting a renewal whose answer was lost. The lease is held only as
// long as the last confirmed renewal lasts, and is recovered when the store answers again.
func TestLostAnswerToARenewal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := backing.NewMemory()
	a := New("duty", "a", duration, store, clock)
	store.SetFault(func(p backing.FaultPoint) backing.FaultAction {
		if p.Op == "commit" {
			return backing.FaultLoseAnswer
		}
		return backing.FaultNone
	})
	_, err := a.Renew(context.Background())
	require.Error(t, err)
	require.False(t, a.Held(), "not confirmed")
	store.SetFault(nil)
	require.True(t, renew(t, a))
	require.Equal(t, int64(1), a.Fence())
	require.True(t, a.Held())
}

// A released lease can be taken at once, with a higher fencing token.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := backing.NewMemory()
	a, b := New("duty", "a", duration, store, clock), New("duty", "b", duration, store, clock)
	require.True(t, renew(t, a))
	require.NoError(t, a.Release(context.Background()))
	require.True(t, renew(t, b))
	require.Equal(t, int64(2), b.Fence())
}

// Guards against waiting for the lease of a process that has certainly ended, after all
// daemons were killed and restarted. A holder whose state is unknown keeps its lease.
func TestLeaseOfAnEndedProcessIsTakenAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := backing.NewMemory()
	a, b := New("duty", "a", duration, store, clock), New("duty", "b", duration, store, clock)
	require.True(t, renew(t, a))
	b.HolderEnded = func(_ context.Context, holder string) bool { return holder != "a" }
	require.False(t, renew(t, b))
	b.HolderEnded = func(_ context.Context, holder string) bool { return holder == "a" }
	require.True(t, renew(t, b))
	require.Greater(t, b.Fence(), a.Fence())
}

// Guards against issuing a fencing token twice because the table has lost a lease.
func TestFenceRisesAfterTheTableLostTheLease(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := backing.NewMemory()
	a, b := New("duty", "a", duration, table, clock), New("duty", "b", duration, table, clock)
	require.True(t, renew(t, a))
	require.False(t, renew(t, b))
	clock.Advance(duration)
	require.True(t, renew(t, b))
	before := b.Fence()
	_, err := table.Commit(context.Background(), backing.Txn{Deletes: []string{b.Key()}})
	require.NoError(t, err)
	clock.Advance(duration)
	require.True(t, renew(t, b))
	require.Greater(t, b.Fence(), before)
}

// Guards against a lease that stays taken for a whole duration although its holder has stopped:
// the answer to the holder's last write was lost, so that it does not know the row's revision.
func TestLeaseIsReleasedAfterALostAnswer(t *testing.T) {
	for _, renewals := range []int{0, 1} {
		clock := clockwork.NewFakeClock()
		store := backing.NewMemory()
		a, b := New("duty", "a", duration, store, clock), New("duty", "b", duration, store, clock)
		for range renewals {
			require.True(t, renew(t, a))
		}
		store.SetFault(func(p backing.FaultPoint) backing.FaultAction {
			if p.Op == "commit" {
				return backing.FaultLoseAnswer
			}
			return backing.FaultNone
		})
		_, err := a.Renew(context.Background())
		require.Error(t, err)
		store.SetFault(nil)
		require.NoError(t, a.Release(context.Background()))
		require.True(t, renew(t, b), "after %d confirmed renewals", renewals)
	}
}
