package session

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

const (
	keysRow   = "session/keys"
	secretLen = 32
	// SpreadTime is how long a new key is only accepted and not yet used for
	// signing, so that every daemon knows it before tokens carry it.
	SpreadTime = time.Minute
)

// Key is a signing key.
type Key struct {
	ID      string    `json:"id"`
	Secret  []byte    `json:"secret"`
	Created time.Time `json:"created"`
}

// keySet is the row that holds the keys, oldest first.
type keySet struct {
	Keys []Key `json:"keys"`
}

// Keyring holds the signing keys, which live in the table.
type Keyring struct {
	table backing.Table
	clock clockwork.Clock

	mu   sync.Mutex
	keys []Key
}

// NewKeyring returns an empty keyring; Refresh fills it.
func NewKeyring(table backing.Table, clock clockwork.Clock) *Keyring {
	return &Keyring{table: table, clock: clock}
}

// Refresh reads the keys and makes the first one when there is none.
func (k *Keyring) Refresh(ctx context.Context) error {
	var set keySet
	if _, err := backing.GetJSON(ctx, k.table, keysRow, &set); err != nil {
		return trace.Wrap(err)
	}
	if len(set.Keys) > 0 {
		k.Install(set.Keys)
		return nil
	}
	// Several daemons may start at once; the row is made by one of them.
	if err := k.write(ctx, 0, keySet{}); err != nil && !trace.IsCompareFailed(err) {
		return trace.Wrap(err)
	}
	// Whoever made the first key, the row says which it is.
	if _, err := backing.GetJSON(ctx, k.table, keysRow, &set); err != nil {
		return trace.Wrap(err)
	}
	k.Install(set.Keys)
	return nil
}

// Rotate adds a key and drops those older than retention. Tokens signed with
// the earlier keys stay good until then.
func (k *Keyring) Rotate(ctx context.Context, retention time.Duration) error {
	var set keySet
	revision, err := backing.GetJSON(ctx, k.table, keysRow, &set)
	if err != nil {
		return trace.Wrap(err)
	}
	if n := len(set.Keys); n > 0 {
		newest := set.Keys[n-1].ID
		set.Keys = slices.DeleteFunc(set.Keys, func(key Key) bool {
			return k.clock.Since(key.Created) > retention && key.ID != newest
		})
	}
	return trace.Wrap(k.write(ctx, revision, set))
}

// write adds a new key to set and writes it in place of the row at revision.
func (k *Keyring) write(ctx context.Context, revision int64, set keySet) error {
	secret := make([]byte, secretLen)
	_, _ = rand.Read(secret)
	set.Keys = append(set.Keys, Key{ID: rand.Text()[:12], Secret: secret, Created: k.clock.Now()})
	_, err := k.table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{{Key: keysRow, Revision: revision}},
		Puts:   []backing.Put{backing.PutJSON(keysRow, set)},
	})
	return err
}

// Install replaces the keys, as when a peer hands them over.
func (k *Keyring) Install(keys []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = slices.Clone(keys)
}

// Keys returns the keys, oldest first.
func (k *Keyring) Keys() []Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.keys)
}

// Signing returns the newest key that every daemon has had time to learn.
func (k *Keyring) Signing() (Key, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for _, key := range slices.Backward(k.keys) {
		if now.Sub(key.Created) >= SpreadTime {
			return key, nil
		}
	}
	if len(k.keys) == 0 {
		return Key{}, trace.NotFound("no signing key yet")
	}
	return k.keys[0], nil
}

// Lookup returns a key by id.
func (k *Keyring) Lookup(id string) (Key, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}
