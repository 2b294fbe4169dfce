package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

const (
	rowPrefix = "claim/"
	// maxHops bounds the number of daemons that are contacted along a chain of
	// tombstones.
	maxHops = 8
	// fullRetryAfter is the Retry-After of requests for whose key there is no memory.
	fullRetryAfter = time.Second
)

// KeyTaker requests ownership of a key from the daemon that acts as the given
// incarnation: the incarnation itself or its successor. It returns a
// fault.KeyUnsettled error if that daemon cannot be reached.
type KeyTaker interface {
	Take(ctx context.Context, incarnation string, key Key, home Home, digest string) (Result, error)
}

// storedHome is the stored row that records the home of a key without a prefix.
type storedHome struct {
	Home   string    `json:"home"`
	Issued time.Time `json:"issued"`
}

// Resolver decides whether a request with an idempotency key may run at this
// daemon. It contacts the key's owner where necessary.
type Resolver struct {
	self     string
	table    *Table
	store    backing.Table
	keyTaker KeyTaker
	clock    clockwork.Clock
}

// NewResolver returns a resolver for the incarnation self. store records the
// homes of keys without a prefix.
func NewResolver(self string, table *Table, store backing.Table, keyTaker KeyTaker, clock clockwork.Clock) *Resolver {
	return &Resolver{self: self, table: table, store: store, keyTaker: keyTaker, clock: clock}
}

// Decision is the result of Resolver.Resolve.
type Decision struct {
	// Run is true if the request may run at this daemon.
	Run bool
	// RequestID identifies the earlier request with the key if Run is false.
	// The caller gets the answer of that request.
	RequestID string
	// Owner is the incarnation that was asked and reported the earlier request.
	Owner string
}

// Resolve decides whether the request requestID may run. digest identifies the
// request body. If Resolve returns an error, the request must not run.
func (r *Resolver) Resolve(ctx context.Context, key Key, digest, requestID string) (Decision, error) {
	home, prefixed := ParseHome(key.Value)
	if !prefixed {
		var err error
		if home, err = r.assignHome(ctx, key); err != nil {
			return Decision{}, err
		}
	}
	result := r.table.Begin(key, home, digest, requestID)
	if result.Outcome != Redirect {
		return r.toDecision(result, r.self)
	}
	granted := false
	defer func() { r.table.Finish(key, granted) }()
	decision, err := r.followOwners(ctx, key, home, digest, result.MovedTo)
	granted = err == nil && decision.Run
	return decision, err
}

// followOwners requests the key from the incarnation owner and then along the
// chain of tombstones, until a daemon returns a result other than Redirect.
func (r *Resolver) followOwners(ctx context.Context, key Key, home Home, digest, owner string) (Decision, error) {
	for range maxHops {
		if owner == r.self {
			// The chain ends at this daemon, and Begin found no earlier request
			// with the key in the table.
			return Decision{Run: true}, nil
		}
		result, err := r.keyTaker.Take(ctx, owner, key, home, digest)
		if err != nil {
			return Decision{}, err
		}
		if result.Outcome != Redirect {
			return r.toDecision(result, owner)
		}
		owner = result.MovedTo
	}
	return Decision{}, keyUnsettled("the key moves between daemons")
}

// toDecision converts the result that the incarnation owner returned.
func (r *Resolver) toDecision(result Result, owner string) (Decision, error) {
	switch result.Outcome {
	case Granted:
		return Decision{Run: true}, nil
	case Duplicate:
		return Decision{RequestID: result.RequestID, Owner: owner}, nil
	case Mismatch:
		return Decision{}, fault.New(fault.KeyReused, "Idempotency-Key: the key was used with another request")
	case Expired:
		return Decision{}, fault.New(fault.KeyExpired, "Idempotency-Key: the key is too old; whether it ran is not known any more").WithRan(fault.RanUnknown)
	case Full:
		return Decision{}, fault.New(fault.NoCapacity, "Idempotency-Key: the memory for keys is used up").WithRetryAfter(fullRetryAfter)
	default:
		return Decision{}, keyUnsettled("the key is being settled")
	}
}

// keyUnsettled returns the error for a key of which it is currently unknown
// whether a request with it has run.
func keyUnsettled(why string) error {
	return fault.New(fault.KeyUnsettled, "Idempotency-Key: %s; ask again with the same key", why).WithRan(fault.RanUnknown)
}

// assignHome returns the home of a key without a prefix. If the key has no row
// in the store yet, it makes this daemon the home by a conditional insert.
//
// If the response to the insert is lost, or another daemon inserted the row
// first, the row is read again to learn the home. If the row cannot be read,
// the request is rejected as not run: no home has received it, so nothing can
// have run because of it.
func (r *Resolver) assignHome(ctx context.Context, key Key) (Home, error) {
	sum := sha256.Sum256([]byte(key.Value))
	row := rowPrefix + key.Organisation + "/" + hex.EncodeToString(sum[:])
	var found storedHome
	revision, err := backing.GetJSON(ctx, r.store, row, &found)
	if err == nil && revision != 0 {
		return Home{Incarnation: found.Home, Issued: found.Issued}, nil
	}
	if err != nil {
		return Home{}, storeUnavailable(err)
	}
	assigned := storedHome{Home: r.self, Issued: r.clock.Now()}
	_, err = r.store.Commit(ctx, backing.Txn{
		Checks: []backing.Check{{Key: row}},
		Puts:   []backing.Put{backing.PutJSON(row, assigned)},
	})
	if err == nil {
		return Home{Incarnation: assigned.Home, Issued: assigned.Issued}, nil
	}
	if !trace.IsCompareFailed(err) && !backing.IsUnknownOutcome(err) {
		return Home{}, storeUnavailable(err)
	}
	revision, err = backing.GetJSON(ctx, r.store, row, &found)
	if err != nil || revision == 0 {
		return Home{}, storeUnavailable(trace.ConnectionProblem(err, "the claim could not be read back"))
	}
	return Home{Incarnation: found.Home, Issued: found.Issued}, nil
}

// storeUnavailable returns the error for a request whose key has no prefix and
// whose home cannot be read or written.
func storeUnavailable(err error) error {
	return fault.New(fault.StoreUnavailable, "the key could not be claimed: %v; a key with a discovery prefix needs no store", err)
}

// Release gives up the key of the request requestID, which was not run.
func (r *Resolver) Release(key Key, requestID string) { r.table.Release(key, requestID) }
