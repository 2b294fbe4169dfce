package peer

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/evacuation"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// routesName is the name of the net/rpc service between daemons that serve
// plain HTTP callers.
const routesName = "Routes"

// Beat is the heartbeat between them, sent both ways.
type Beat struct {
	From member.Daemon
	News []member.Daemon
	// Digest is equal at daemons that know the same daemons.
	Digest uint64
	// Config is the version of the configuration in force, List the revision
	// of the list of upstream instances, Shifts the sum of the steps of all
	// roll-outs.
	Config int64
	List   int64
	Shifts int64
	// Quarantine is equal at daemons that refuse the same requests.
	Quarantine uint64
	// Evacuated is equal at daemons that know the same evacuations; 0 is not known.
	Evacuated uint64
	// Left are upstream instances that were found to be leaving in the last seconds.
	Left []inventory.Life
	// Limits are those of upstream instances that changed in the last seconds, and Limited
	// is equal at daemons that know the same ones in force.
	Limits  []inventory.Limit
	Limited uint64
}

// BeliefsRequest asks for what the asker lacks. A list of upstream instances or
// of daemons has some tens of kilobytes in a large fleet, so each is sent only
// when asked for. Sent with every difference of any kind they are a third of what
// daemons exchange between failure domains.
type BeliefsRequest struct {
	// Config is the version of the asker's configuration; a newer one is sent.
	Config int64
	// Instances asks for the list of upstream instances if it is newer than
	// the revision List.
	Instances bool
	List      int64
	// Shifts asks for orders and states of roll-outs, Members for all daemons.
	Shifts  bool
	Members bool
	// Quarantine asks for the requests that are refused.
	Quarantine bool
	// Evacuations asks for the operator's orders about failure domains.
	Evacuations bool
	// Limits asks for what is known of the limits of upstream instances.
	Limits bool
}

// Beliefs is what a daemon knows of the installation. It is what a daemon
// starts from when the platform's store cannot be reached.
type Beliefs struct {
	// Manifest is the encoded configuration, if it is newer than asked for.
	Manifest []byte
	// Instances is set if the list is newer than asked for.
	Instances *inventory.Snapshot
	// Doubted is for how long others that the asker has are kept.
	Doubted time.Duration
	Orders  []shift.Order
	States  []shift.State
	Members []member.Daemon
	// Quarantine are the requests that are refused.
	Quarantine []quarantine.Entry
	// Evacuations are all orders about failure domains if EvacuationsKnown is set.
	Evacuations      []evacuation.Order
	EvacuationsKnown bool
	// Limits are those of upstream instances, lifted ones included.
	Limits []inventory.Limit
}

// News is what a daemon that reads the store tells those that do not.
type News struct {
	From string
	// Manifest is the encoded configuration when it has changed.
	Manifest []byte
	Orders   []shift.Order
	// OperatorRead is the revision up to which the operator's rows were read,
	// OperatorChanged the one at which they last changed, and OperatorAge how
	// long ago that was known to be the newest.
	OperatorRead    int64
	OperatorChanged int64
	OperatorAge     time.Duration
	// OperatorBase is the revision from which Manifest, Orders and Evacuations lead on if
	// OperatorWhole is set: nothing of what changed since is left out.
	OperatorBase  int64
	OperatorWhole bool
	// Evacuations are all orders about failure domains when they have changed; Evacuated is
	// equal at daemons that know the same of them.
	Evacuations []evacuation.Order
	Evacuated   uint64
	// Whole is the whole list where it was read whole; there are no Changes then.
	Whole *inventory.Snapshot
	// Changes lead from the revision Base of the list to List, which was the
	// newest ListAge ago.
	Changes []inventory.Change
	Base    int64
	List    int64
	ListAge time.Duration
	// Doubted is for how long entries missing from the list are kept: its
	// reader had no answer from the store until shortly before.
	Doubted time.Duration
}

// EvidenceRequest asks for what a daemon has seen of a roll-out.
type EvidenceRequest struct {
	Service string
	// Holder is set by the holder of the roll-out's duty. Others ask while
	// nobody seems to hold it.
	Holder bool
}

// RoutesHandler is what such a daemon does for its peers.
type RoutesHandler interface {
	OnBeat(b Beat) Beat
	OnBeliefs(r BeliefsRequest) Beliefs
	OnEvidence(r EvidenceRequest) shift.Evidence
	OnState(s shift.State)
	OnNews(n News)
	OnGroupWork(w GroupWork) OwnWork
	OnDomainWork(w DomainWork)
	OnStoreCall(c StoreCall) StoreReply
	OnCrashes(r CrashReport) CrashReply
	OnInquiry(r InquiryRequest) Inquiry
	OnQuarantine(n QuarantineNews)
}

// routesService adapts a RoutesHandler to the method shape of net/rpc.
type routesService struct{ handler RoutesHandler }

// Beat exchanges heartbeats.
func (s *routesService) Beat(in Beat, out *Beat) error {
	*out = s.handler.OnBeat(in)
	return nil
}

// Beliefs returns what the asker lacks.
func (s *routesService) Beliefs(in BeliefsRequest, out *Beliefs) error {
	*out = s.handler.OnBeliefs(in)
	return nil
}

// Evidence returns what this daemon has seen of a roll-out.
func (s *routesService) Evidence(in EvidenceRequest, out *shift.Evidence) error {
	*out = s.handler.OnEvidence(in)
	return nil
}

// State takes in the state of a roll-out.
func (s *routesService) State(in shift.State, _ *Empty) error {
	s.handler.OnState(in)
	return nil
}

// News takes in what a peer has read.
func (s *routesService) News(in News, _ *Empty) error {
	s.handler.OnNews(in)
	return nil
}

// GroupWork takes in the work of all daemons and returns that of this one.
func (s *routesService) GroupWork(in GroupWork, out *OwnWork) error {
	*out = s.handler.OnGroupWork(in)
	return nil
}

// DomainWork takes in the work of another failure domain.
func (s *routesService) DomainWork(in DomainWork, _ *Empty) error {
	s.handler.OnDomainWork(in)
	return nil
}

// News tells a peer what was read.
func (c *Client) News(ctx context.Context, address string, n News) error {
	_, err := fetchFrom[Empty](ctx, c, address, routesName, "News", n)
	return err
}

// GroupWork tells a peer the work of all daemons and returns its own.
func (c *Client) GroupWork(ctx context.Context, address string, w GroupWork) (OwnWork, error) {
	return fetchFrom[OwnWork](ctx, c, address, routesName, "GroupWork", w)
}

// DomainWork tells a peer the work of this failure domain.
func (c *Client) DomainWork(ctx context.Context, address string, w DomainWork) error {
	_, err := fetchFrom[Empty](ctx, c, address, routesName, "DomainWork", w)
	return err
}

// Beat exchanges heartbeats with a peer.
func (c *Client) Beat(ctx context.Context, address string, b Beat) (Beat, error) {
	return fetchFrom[Beat](ctx, c, address, routesName, "Beat", b)
}

// Beliefs fetches what this daemon lacks.
func (c *Client) Beliefs(ctx context.Context, address string, r BeliefsRequest) (Beliefs, error) {
	return fetchFrom[Beliefs](ctx, c, address, routesName, "Beliefs", r)
}

// Evidence fetches what a peer has seen of a roll-out.
func (c *Client) Evidence(ctx context.Context, address string, r EvidenceRequest) (shift.Evidence, error) {
	return fetchFrom[shift.Evidence](ctx, c, address, routesName, "Evidence", r)
}

// State tells a peer the state of a roll-out.
func (c *Client) State(ctx context.Context, address string, s shift.State) error {
	_, err := fetchFrom[Empty](ctx, c, address, routesName, "State", s)
	return err
}
