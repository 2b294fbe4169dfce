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

// stale is a daemon whose configuration was confirmed ten seconds ago, with
// two peers.
type stale struct {
	*freshness
	clock     *clockwork.FakeClock
	store     *config.Store
	suspected bool
}

func newStale(t *testing.T) *stale {
	t.Helper()
	clock := clockwork.NewFakeClock()
	store := config.NewStore(backing.NewMemory(), clock.Now)
	_, err := store.Apply(context.Background(), config.ApplyRequest{ChangeID: "1", Text: `{}`})
	require.NoError(t, err)
	follower := config.NewFollower("s", store, clock)
	require.NoError(t, follower.Refresh(context.Background()))
	s := &stale{clock: clock, store: store}
	s.freshness = &freshness{
		follower: follower,
		contact:  newContact(clock),
		refresh:  func(context.Context) error { return errors.New("store out") },
		suspects: func() bool { return s.suspected },
		fresh:    3 * time.Second,
		refuse:   15 * time.Second,
	}
	s.contact.setTargets([]string{"b", "c"})
	clock.Advance(10 * time.Second)
	return s
}

// A daemon was paused while a version was withdrawn. The first request after it
// wakes must see the new generation, not the one in memory.
func TestAsksBeforeItDispatchesAfterAPause(t *testing.T) {
	s := newStale(t)
	s.refresh = s.follower.Refresh
	_, err := s.store.Apply(context.Background(), config.ApplyRequest{FromRevision: 1, ChangeID: "2", Text: `{}`})
	require.NoError(t, err)
	snapshot, provenOnly, err := s.Ensure(context.Background())
	require.NoError(t, err)
	require.False(t, provenOnly)
	require.Equal(t, int64(2), snapshot.Generation)
}

// The store is out. What a daemon may still do depends on which peers answer:
// all, most, or none.
func TestWithoutTheStore(t *testing.T) {
	s := newStale(t)
	ensure := func() (bool, error) {
		_, provenOnly, err := s.Ensure(context.Background())
		return provenOnly, err
	}
	s.contact.note("b", s.clock.Now())
	s.contact.note("c", s.clock.Now())
	provenOnly, err := ensure()
	require.NoError(t, err)
	require.False(t, provenOnly, "nobody can have accepted anything")
	s.suspected = true
	provenOnly, err = ensure()
	require.NoError(t, err)
	require.True(t, provenOnly, "the suspect may have reached the store")
	s.clock.Advance(4 * time.Second)
	provenOnly, err = ensure()
	require.NoError(t, err)
	require.True(t, provenOnly, "cut off, within the limit")
	s.clock.Advance(2 * time.Second)
	_, err = ensure()
	require.True(t, fault.Is(err, fault.ConfigStale), "cut off for too long")
	s.contact.note("b", s.clock.Now())
	s.contact.note("c", s.clock.Now())
	provenOnly, err = ensure()
	require.NoError(t, err)
	require.True(t, provenOnly)
}
