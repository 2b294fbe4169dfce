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
	keysRowKey = "session/keys"
	secretLen  = 32
	// KeyPropagationDelay is the time for which a new key is accepted but not
	// yet used for signing, so that every daemon has read it before the first
	// token is signed with it.
	KeyPropagationDelay = time.Minute
)

// Key is a symmetric key that signs and verifies tokens.
type Key struct {
	ID      string    `json:"id"`
	Secret  []byte    `json:"secret"`
	Created time.Time `json:"created"`
}

// keyRow is the stored row with the keys, oldest first.
type keyRow struct {
	Keys []Key `json:"keys"`
}

// Keyring holds a copy of the signing keys that are stored in the table. It is
// safe for concurrent use.
type Keyring struct {
	table backing.Table
	clock clockwork.Clock

	mu   sync.Mutex
	keys []Key
}

// NewKeyring returns an empty keyring; Refresh loads the keys.
func NewKeyring(table backing.Table, clock clockwork.Clock) *Keyring {
	return &Keyring{table: table, clock: clock}
}

// Refresh reads the keys from the table. If there are none, it creates the first
// one.
func (k *Keyring) Refresh(ctx context.Context) error {
	var set keyRow
	if _, err := backing.GetJSON(ctx, k.table, keysRowKey, &set); err != nil {
		return trace.Wrap(err)
	}
	if len(set.Keys) > 0 {
		k.Install(set.Keys)
		return nil
	}
	// Several daemons may start at once; the conditional write of only one of
	// them succeeds.
	if err := k.commitNewKey(ctx, 0, keyRow{}); err != nil && !trace.IsCompareFailed(err) {
		return trace.Wrap(err)
	}
	// The row is read again because another daemon may have written the first
	// key.
	if _, err := backing.GetJSON(ctx, k.table, keysRowKey, &set); err != nil {
		return trace.Wrap(err)
	}
	k.Install(set.Keys)
	return nil
}

// Rotate adds a key and removes those whose successor is older than retention: a key
// is used until its successor replaces it. Tokens stay valid as long as their key is
// kept. The keyring itself changes only at the next Refresh.
func (k *Keyring) Rotate(ctx context.Context, retention time.Duration) error {
	var set keyRow
	revision, err := backing.GetJSON(ctx, k.table, keysRowKey, &set)
	if err != nil {
		return trace.Wrap(err)
	}
	for len(set.Keys) > 1 && k.clock.Since(set.Keys[1].Created) > retention {
		set.Keys = set.Keys[1:]
	}
	return trace.Wrap(k.commitNewKey(ctx, revision, set))
}

// commitNewKey adds a new key to set and writes set to the table, on the
// condition that the row is still at revision.
func (k *Keyring) commitNewKey(ctx context.Context, revision int64, set keyRow) error {
	secret := make([]byte, secretLen)
	_, _ = rand.Read(secret)
	set.Keys = append(set.Keys, Key{ID: rand.Text()[:12], Secret: secret, Created: k.clock.Now()})
	_, err := k.table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{{Key: keysRowKey, Revision: revision}},
		Puts:   []backing.Put{backing.PutJSON(keysRowKey, set)},
	})
	return err
}

// Install replaces the keys, for example by those read from a peer.
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

// SigningKey returns the newest key that is at least KeyPropagationDelay old, or
// the oldest key if none is. It returns a trace.NotFound error if there are no
// keys.
func (k *Keyring) SigningKey() (Key, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for _, key := range slices.Backward(k.keys) {
		if now.Sub(key.Created) >= KeyPropagationDelay {
			return key, nil
		}
	}
	if len(k.keys) == 0 {
		return Key{}, trace.NotFound("no signing key yet")
	}
	return k.keys[0], nil
}

// Lookup returns the key with the given id, and false if there is none.
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
