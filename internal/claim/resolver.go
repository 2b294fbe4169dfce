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
	// maxHops bounds how far a chain of tombstones is followed.
	maxHops = 8
)

// Asker asks the daemon that answers for an incarnation for a key. The error
// is fault.KeyUnsettled when that daemon cannot be reached.
type Asker interface {
	Take(ctx context.Context, incarnation string, key Key, home Home, digest string) (Result, error)
}

// homeRow assigns a home to a key without a prefix.
type homeRow struct {
	Home   string    `json:"home"`
	Issued time.Time `json:"issued"`
}

// Resolver decides, together with the other daemons, whether a request with a
// key may run here.
type Resolver struct {
	self  string
	table *Table
	store backing.Table
	asker Asker
	clock clockwork.Clock
}

// NewResolver returns the resolver of the daemon self.
func NewResolver(self string, table *Table, store backing.Table, asker Asker, clock clockwork.Clock) *Resolver {
	return &Resolver{self: self, table: table, store: store, asker: asker, clock: clock}
}

// Decision says what to do with a request that carries a key.
type Decision struct {
	// Run is true when the request may run here.
	Run bool
	// RequestID is the earlier request with the key, whose answer is to be
	// given, when Run is false.
	RequestID string
	// At is the incarnation that has that answer.
	At string
}

// Resolve decides on a request. When it returns an error, the request must
// not run.
func (r *Resolver) Resolve(ctx context.Context, key Key, digest, requestID string) (Decision, error) {
	home, prefixed := ParseHome(key.Value)
	if !prefixed {
		var err error
		if home, err = r.assignHome(ctx, key); err != nil {
			return Decision{}, err
		}
	}
	result := r.table.Begin(key, home, digest, requestID)
	if result.Outcome != Elsewhere {
		return r.decide(result, r.self)
	}
	granted := false
	defer func() { r.table.Settle(key, granted) }()
	decision, err := r.follow(ctx, key, home, digest, result.MovedTo)
	granted = err == nil && decision.Run
	return decision, err
}

// follow asks along the tombstones until the owner answers.
func (r *Resolver) follow(ctx context.Context, key Key, home Home, digest, at string) (Decision, error) {
	for range maxHops {
		if at == r.self {
			// The chain ends here and the key was never run here.
			return Decision{Run: true}, nil
		}
		result, err := r.asker.Take(ctx, at, key, home, digest)
		if err != nil {
			return Decision{}, err
		}
		if result.Outcome != Elsewhere {
			return r.decide(result, at)
		}
		at = result.MovedTo
	}
	return Decision{}, unsettled("the key moves between daemons")
}

func (r *Resolver) decide(result Result, at string) (Decision, error) {
	switch result.Outcome {
	case Granted:
		return Decision{Run: true}, nil
	case Known:
		return Decision{RequestID: result.RequestID, At: at}, nil
	case Mismatch:
		return Decision{}, fault.New(fault.KeyReused, "Idempotency-Key: the key was used with another request")
	case Expired:
		return Decision{}, fault.New(fault.KeyExpired, "Idempotency-Key: the key is too old; whether it ran is not known any more").WithRan(fault.RanUnknown)
	default:
		return Decision{}, unsettled("the key is being settled")
	}
}

// unsettled is the answer while it cannot be known whether a key has run.
func unsettled(why string) error {
	return fault.New(fault.KeyUnsettled, "Idempotency-Key: %s; ask again with the same key", why).WithRan(fault.RanUnknown)
}

// assignHome gives a key without a prefix a home by a conditional insert, or
// reads which home it has.
//
// The answer to the insert can be lost. The row then says who the home is, and
// until it can be read the request is refused without running: whoever is the
// home has not seen the key, so nothing can have run on account of this
// request.
func (r *Resolver) assignHome(ctx context.Context, key Key) (Home, error) {
	sum := sha256.Sum256([]byte(key.Value))
	row := rowPrefix + key.Organisation + "/" + hex.EncodeToString(sum[:])
	var found homeRow
	revision, err := backing.GetJSON(ctx, r.store, row, &found)
	if err == nil && revision != 0 {
		return Home{Incarnation: found.Home, Issued: found.Issued}, nil
	}
	if err != nil {
		return Home{}, storeOut(err)
	}
	mine := homeRow{Home: r.self, Issued: r.clock.Now()}
	_, err = r.store.Commit(ctx, backing.Txn{
		Checks: []backing.Check{{Key: row}},
		Puts:   []backing.Put{backing.PutJSON(row, mine)},
	})
	if err == nil {
		return Home{Incarnation: mine.Home, Issued: mine.Issued}, nil
	}
	if !trace.IsCompareFailed(err) && !backing.IsUnknownOutcome(err) {
		return Home{}, storeOut(err)
	}
	revision, err = backing.GetJSON(ctx, r.store, row, &found)
	if err != nil || revision == 0 {
		return Home{}, storeOut(trace.ConnectionProblem(err, "the claim could not be read back"))
	}
	return Home{Incarnation: found.Home, Issued: found.Issued}, nil
}

func storeOut(err error) error {
	return fault.New(fault.StoreUnavailable, "the key could not be claimed: %v; a key with a discovery prefix needs no store", err)
}

// Release gives a key back whose request was not run.
func (r *Resolver) Release(key Key, requestID string) { r.table.Release(key, requestID) }
