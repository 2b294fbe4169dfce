// Package peer is the boundary to the other daemons: net/rpc over TCP.
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

// serviceName is the name of the net/rpc service.
const serviceName = "Peer"

// Heartbeat is sent both ways: as the call and as its answer.
type Heartbeat struct {
	From member.Daemon
	// News are daemons that came, went or changed.
	News []member.Daemon
	// Digest is equal at daemons that know the same daemons.
	Digest uint64
	// Generation is the configuration in force, and ConfirmedMS how many
	// milliseconds ago it was known to be the newest; negative is never.
	Generation  int64
	ConfirmedMS int64
	// Leaving lists upstreams known to leave.
	Leaving []string
	// Stopped lists versions whose exposure was stopped.
	Stopped []config.VersionRef
	// RatingSeq is the last rating counted.
	RatingSeq int64
}

// ConfigRequest asks for what the asker lacks.
type ConfigRequest struct {
	Site  string
	Known config.Head
}

// HoldRequest hands over copies of bills.
type HoldRequest struct {
	Owner string
	After int64
	Bills []ledger.Bill
}

// ReleaseRequest says that copies are not needed any more.
type ReleaseRequest struct {
	Owner string
	IDs   []string
}

// TakeRequest asks for an idempotency key.
type TakeRequest struct {
	Key    claim.Key
	Home   claim.Home
	Digest string
	Asker  string
}

// AnswerRequest asks for a part of an answer.
type AnswerRequest struct {
	RequestID string
	After     int
	HaveHead  bool
	// WaitMS is how long to wait for something new, in milliseconds.
	WaitMS int64
}

// AnswerReply is a part of an answer. Found is false when the daemon does not
// have it; an empty View means that nothing came in time.
type AnswerReply struct {
	Found bool
	View  answer.View
}

// CreditRequest asks the duty holder of a roll-out for credits.
type CreditRequest struct {
	Version config.VersionRef
	Want    int
	// Lapsed credits are given back.
	Lapsed int
}

// DemandRequest reports demand to the daemon that allots shares.
type DemandRequest struct {
	From    string
	Demands []limit.Demand
	// Leaving gives all shares back.
	Leaving bool
}

// HandoverRequest passes on what a stopping daemon remembers.
type HandoverRequest struct {
	Homes   []string
	Entries []claim.Handover
	Answers []answer.View
}

// Empty is an empty argument or answer. The field is there because gob does
// not encode types without any.
type Empty struct{ Unused bool }

// Handler is what a daemon does for its peers.
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
