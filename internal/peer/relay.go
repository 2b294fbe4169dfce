package peer

import (
	"context"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// StoreCall is an operation on the platform's store that a daemon asks a peer to perform,
// because the store rejects or does not answer the daemon itself. Exactly one field is set.
type StoreCall struct {
	// Get is the key of the row to read.
	Get string
	// Commit is a transaction. It is conditional on the revisions of rows, so executing it a
	// second time has no effect.
	Commit *backing.Txn
	// Publish writes the status of a roll-out for the operator.
	Publish *RolloutStatusWrite
}

// RolloutStatusWrite writes the status of a roll-out for the operator, provided that the row
// named by Guard still has the revision given there.
type RolloutStatusWrite struct {
	Service string
	To      string
	Phase   shift.Phase
	Guard   backing.Check
}

// StoreOutcome is the result of a StoreCall.
type StoreOutcome int

// Results of a StoreCall.
const (
	StoreDone StoreOutcome = iota
	// StoreNoRow: the row to read does not exist.
	StoreNoRow
	// StoreCheckFailed: a revision check failed and nothing was written.
	StoreCheckFailed
	// StoreNotDone: the store was not reached or rejected the call; nothing was written.
	StoreNotDone
	// StoreUnknown: a write may or may not have been executed.
	StoreUnknown
)

// StoreReply is the reply to a StoreCall.
type StoreReply struct {
	Outcome StoreOutcome
	// Row is the row read by Get; Revision is the revision of the rows written by Commit.
	Row      backing.Row
	Revision int64
	// Why is the error text behind the outcome, for logs.
	Why string
}

// Store performs an operation on the platform's store for a peer.
func (s *routesService) Store(in StoreCall, out *StoreReply) error {
	*out = s.handler.OnStoreCall(in)
	return nil
}

// Store asks a peer to perform an operation on the platform's store.
func (c *Client) Store(ctx context.Context, address string, call StoreCall) (StoreReply, error) {
	return callService[StoreReply](ctx, c, address, routesName, "Store", call)
}
