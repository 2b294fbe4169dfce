package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// staleDaemon is the freshness of a daemon that has two heartbeat targets, whose
// configuration was confirmed ten seconds ago, and whose store is unavailable.
type staleDaemon struct {
	*freshness
	clock     *clockwork.FakeClock
	store     *config.Store
	suspected bool
}

func newStaleDaemon(t *testing.T) *staleDaemon {
	t.Helper()
	clock := clockwork.NewFakeClock()
	store := config.NewStore(backing.NewMemory(), clock.Now)
	_, err := store.Apply(context.Background(), config.ApplyRequest{ChangeID: "1", Text: `{}`})
	require.NoError(t, err)
	follower := config.NewFollower("s", store, clock)
	require.NoError(t, follower.Refresh(context.Background()))
	s := &staleDaemon{clock: clock, store: store}
	s.freshness = &freshness{
		follower:     follower,
		reachability: newReachability(clock),
		refresh:      func(context.Context) error { return errors.New("store unavailable") },
		anySuspect:   func() bool { return s.suspected },
		maxAge:       3 * time.Second,
		refuseAge:    15 * time.Second,
	}
	s.reachability.setTargets([]string{"b", "c"})
	clock.Advance(10 * time.Second)
	return s
}

// Guards against dispatching with an old configuration after a pause of the
// process. A version may have been withdrawn in that time, so the first request
// must see the new generation instead of the one in memory.
func TestFreshnessRefreshesAfterPause(t *testing.T) {
	s := newStaleDaemon(t)
	s.refresh = s.follower.Refresh
	_, err := s.store.Apply(context.Background(), config.ApplyRequest{FromRevision: 1, ChangeID: "2", Text: `{}`})
	require.NoError(t, err)
	snapshot, provenOnly, err := s.UsableSnapshot(context.Background())
	require.NoError(t, err)
	require.False(t, provenOnly)
	require.Equal(t, int64(2), snapshot.Generation)
}

// Guards against serving a version that another daemon knows to be withdrawn
// while this daemon cannot read the store. The versions that it may use depend on
// whether all, most or none of its peers answer.
func TestFreshnessWithoutStore(t *testing.T) {
	s := newStaleDaemon(t)
	provenOnlyNow := func() (bool, error) {
		_, provenOnly, err := s.UsableSnapshot(context.Background())
		return provenOnly, err
	}
	s.reachability.recordReply("b", s.clock.Now())
	s.reachability.recordReply("c", s.clock.Now())
	provenOnly, err := provenOnlyNow()
	require.NoError(t, err)
	require.False(t, provenOnly, "no daemon can have accepted a change")
	s.suspected = true
	provenOnly, err = provenOnlyNow()
	require.NoError(t, err)
	require.True(t, provenOnly, "the suspect may have reached the store")
	s.clock.Advance(4 * time.Second)
	provenOnly, err = provenOnlyNow()
	require.NoError(t, err)
	require.True(t, provenOnly, "cut off, within the limit")
	s.clock.Advance(2 * time.Second)
	_, err = provenOnlyNow()
	require.True(t, fault.Is(err, fault.ConfigStale), "cut off for too long")
	s.reachability.recordReply("b", s.clock.Now())
	s.reachability.recordReply("c", s.clock.Now())
	provenOnly, err = provenOnlyNow()
	require.NoError(t, err)
	require.True(t, provenOnly)
}
