package session

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

var ctx = context.Background()

// Many daemons start at once on an empty table. If each created a key of its
// own, they would reject each other's tokens. Exactly one key must be created,
// and all daemons must load it.
func TestConcurrentStartCreatesOneKey(t *testing.T) {
	store := backing.NewMemory()
	rings := make([]*Keyring, 8)
	var all sync.WaitGroup
	for i := range rings {
		rings[i] = NewKeyring(store, clockwork.NewFakeClock())
		all.Go(func() { _ = rings[i].Refresh(ctx) })
		all.Go(func() { _ = rings[i].Refresh(ctx) })
	}
	all.Wait()
	for _, r := range rings {
		require.Len(t, r.Keys(), 1)
		require.Equal(t, rings[0].Keys(), r.Keys())
	}
}

// A token must be rejected if its signature, key or audience is wrong, or if it
// has expired.
func TestTokenVerification(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := backing.NewMemory()
	ring := NewKeyring(store, clock)
	require.NoError(t, ring.Refresh(ctx))
	signer := NewSigner(ring, clock, time.Hour)
	session := Session{Organisation: "o", Version: config.VersionRef{Model: "m", Version: "1"}, Started: clock.Now().Truncate(time.Second)}
	token, err := signer.SignSession(session)
	require.NoError(t, err)
	got, err := signer.ParseSession(token)
	require.NoError(t, err)
	require.True(t, session.Started.Equal(got.Started))
	require.Equal(t, session.Version, got.Version)
	_, err = signer.ParseResume(token)
	require.Error(t, err, "a session token is not a resume token")
	resume, err := signer.SignResume(Resume{RequestID: "r"})
	require.NoError(t, err)
	_, err = signer.ParseSession(resume)
	require.Error(t, err)
	_, err = signer.ParseSession(token[:len(token)-2] + "xx")
	require.Error(t, err)

	other := NewKeyring(backing.NewMemory(), clock)
	require.NoError(t, other.Refresh(ctx))
	_, err = NewSigner(other, clock, time.Hour).ParseSession(token)
	require.Error(t, err, "signed with an unknown key")

	clock.Advance(time.Hour + 2*time.Minute)
	_, err = signer.ParseSession(token)
	require.Error(t, err, "ended")
}

// A daemon that has not read a new key yet would reject tokens signed with it, so
// the key must not be used for signing before KeyPropagationDelay. Tokens of the
// old key must stay valid until that key is removed.
func TestKeyRotation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := backing.NewMemory()
	ring := NewKeyring(store, clock)
	require.NoError(t, ring.Refresh(ctx))
	clock.Advance(KeyPropagationDelay)
	first, err := ring.SigningKey()
	require.NoError(t, err)
	require.NoError(t, ring.Rotate(ctx, time.Hour))
	require.NoError(t, ring.Refresh(ctx))
	signing, err := ring.SigningKey()
	require.NoError(t, err)
	require.Equal(t, first, signing, "the new key is not used before the propagation delay")
	clock.Advance(KeyPropagationDelay)
	signing, err = ring.SigningKey()
	require.NoError(t, err)
	require.NotEqual(t, first.ID, signing.ID)
	_, known := ring.Lookup(first.ID)
	require.True(t, known)
	clock.Advance(2 * time.Hour)
	require.NoError(t, ring.Rotate(ctx, time.Hour))
	require.NoError(t, ring.Refresh(ctx))
	_, known = ring.Lookup(first.ID)
	require.False(t, known)
	require.Len(t, ring.Keys(), 2, "the previously newest key and the new one")
}

// Guards against dropping a key that still signs. An operator rotates twice in a row: the first
// key is old, and until a minute after the first rotation it is the one in use.
func TestSecondRotationKeepsTheKeyInUse(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := backing.NewMemory()
	ring := NewKeyring(store, clock)
	require.NoError(t, ring.Refresh(ctx))
	clock.Advance(48 * time.Hour)
	inUse, err := ring.SigningKey()
	require.NoError(t, err)
	for range 2 {
		require.NoError(t, ring.Rotate(ctx, time.Hour))
	}
	require.NoError(t, ring.Refresh(ctx))
	_, known := ring.Lookup(inUse.ID)
	require.True(t, known, "tokens signed a moment ago must stay valid")
	clock.Advance(2 * time.Hour)
	require.NoError(t, ring.Rotate(ctx, time.Hour))
	require.NoError(t, ring.Refresh(ctx))
	_, known = ring.Lookup(inUse.ID)
	require.False(t, known)
}
