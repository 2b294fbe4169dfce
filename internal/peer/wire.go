// Package peer implements the calls between daemons with net/rpc over TCP. It has two
// services: Peer, between the daemons of package daemon, and Routes, between those of package
// entry, which serve plain HTTP callers.
package peer

import (
	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
)

// serviceName is the name of the net/rpc service between the daemons of package daemon.
const serviceName = "Peer"

// Heartbeat is used both as the request and as the reply of a heartbeat.
type Heartbeat struct {
	From member.Daemon
	// News are recent membership changes.
	News []member.Daemon
	// Digest is a digest of the membership table; daemons with the same table have the same
	// value.
	Digest uint64
	// Generation is the generation of the active configuration. ConfirmedMS is the time in
	// milliseconds since it was last known to be the newest; negative if it never was.
	Generation  int64
	ConfirmedMS int64
	// Leaving are the ids of upstreams that are known to be leaving.
	Leaving []string
	// Stopped are versions in a roll-out that no longer get new sessions.
	Stopped []config.VersionRef
	// RatingSeq is the sequence number of the last rating that the sender has counted.
	RatingSeq int64
}

// ConfigRequest asks for the configuration of Site that is newer than Known.
type ConfigRequest struct {
	Site  string
	Known config.Head
}

// HoldRequest sends replicas of bills of the daemon Owner. After is the newest batch of the
// owner's ledger log when they were sent; only later batches can contain final versions of
// these bills.
type HoldRequest struct {
	Owner string
	After int64
	Bills []ledger.Bill
}

// ReleaseRequest lists, by request id, bills of the daemon Owner whose replicas are no longer
// needed.
type ReleaseRequest struct {
	Owner string
	IDs   []string
}

// TakeRequest asks for the ownership of an idempotency key on behalf of the daemon Asker.
// Digest is that of the request sent with the key.
type TakeRequest struct {
	Key    claim.Key
	Home   claim.Home
	Digest string
	Asker  string
}

// AnswerRequest asks for the events of a stored answer that follow the event offset After; -1
// asks for all. HaveHead is set if the sender already has the head.
type AnswerRequest struct {
	RequestID string
	After     int
	HaveHead  bool
	// WaitMS is how long to wait for new events, in milliseconds.
	WaitMS int64
}

// AnswerReply is a part of a stored answer. Found is false if the daemon does not have it. A
// View that is not Done and has neither head nor events means that nothing new arrived within
// WaitMS.
type AnswerReply struct {
	Found bool
	View  answer.View
}

// CreditRequest asks the daemon that holds the lease of a roll-out for Want exposure credits.
// Each credit allows one use of the version that is rolled out.
type CreditRequest struct {
	Version config.VersionRef
	Want    int
	// Lapsed is the number of expired credits that the sender returns.
	Lapsed int
}

// DemandRequest reports demand to the daemon that divides the limits of organisations among
// all daemons.
type DemandRequest struct {
	From    string
	Demands []limit.Demand
	// Leaving is set when the sender stops; it returns all its shares.
	Leaving bool
}

// HandoverRequest sends the idempotency keys and answers of a stopping daemon to its
// successor. Homes are the incarnations for whose keys the successor then acts as home; see
// package claim.
type HandoverRequest struct {
	Homes   []string
	Entries []claim.HandoverEntry
	Answers []answer.View
}

// Empty is an empty request or reply. gob cannot encode a struct without fields, so it has an
// unused one.
type Empty struct{ Unused bool }

// Handler handles the calls of the Peer service.
type Handler interface {
	OnHeartbeat(h Heartbeat) Heartbeat
	OnConfig(r ConfigRequest) config.Delta
	OnMembers() []member.Daemon
	OnHold(r HoldRequest)
	OnRelease(r ReleaseRequest)
	OnTake(r TakeRequest) claim.Result
	OnAnswer(r AnswerRequest) AnswerReply
	OnCredit(r CreditRequest) (int, error)
	OnDemand(r DemandRequest) map[string]limit.Share
	OnRatings() rating.Summary
	OnKeys() []session.Key
	OnHandover(r HandoverRequest)
	OnInstances() []backing.Instance
}
