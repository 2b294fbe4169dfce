package peer

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/endings"
	"github.com/hornbeamsill/hornbeamsill/internal/evacuation"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
)

// routesName is the name of the net/rpc service between the daemons of package entry, which
// serve plain HTTP callers.
const routesName = "Routes"

// RoutesHeartbeat is used both as the request and as the reply of a heartbeat of the Routes
// service. Its versions, revisions, digest and checksums let the receiver find out what it
// lacks; it fetches that with a SyncRequest.
type RoutesHeartbeat struct {
	From member.Daemon
	// News are recent membership changes.
	News []member.Daemon
	// Digest is a digest of the membership table; daemons with the same table have the same
	// value.
	Digest uint64
	// Config is the version of the active configuration, List the revision of the list of
	// upstream instances, and Shifts a number that grows with each step of any roll-out.
	Config int64
	List   int64
	Shifts int64
	// Quarantine is a checksum of the quarantined requests; 0 if there are none.
	Quarantine uint64
	// Evacuated is a checksum of the evacuations in force; 0 if they are not known.
	Evacuated uint64
	// Terms is a checksum of the overrides of the terms of organisations; 0 if there are none.
	Terms uint64
	// Left are upstream instances that were found to be leaving within the last seconds.
	Left []inventory.Incarnation
	// Limits are rate limits of upstream instances that changed within the last seconds.
	// Limited is a checksum of all limits in force; 0 if there are none.
	Limits  []inventory.Limit
	Limited uint64
	// Fragile are the services of which an instance has told the sender within the last seconds that it
	// fails when it has to refuse too many requests.
	Fragile []string
	// Live is the number of live daemons that the sender knows. A daemon that starts knows few
	// of them yet.
	Live int
}

// SyncRequest asks a peer for the kinds of state that differ from those of the sender. The
// list of upstream instances and that of daemons are some tens of kilobytes each in a large
// fleet, so each kind is sent only when asked for. If every difference caused both lists to be
// sent, they would make up a third of the traffic between failure domains.
type SyncRequest struct {
	// Config is the version of the sender's configuration; a newer one is returned.
	Config int64
	// Instances is set if the sender lacks instances of the list, whose revision is List. The
	// list is fetched by its own calls.
	Instances bool
	List      int64
	// Operator asks for the revisions of the operator's rows that the peer has.
	Operator bool
	// Shifts asks for the orders and states of roll-outs, Members for all daemons.
	Shifts  bool
	Members bool
	// Quarantine asks for the quarantined requests.
	Quarantine bool
	// Evacuations asks for the operator's evacuation orders.
	Evacuations bool
	// Limits asks for the rate limits of upstream instances.
	Limits bool
	// Terms asks for the overrides of the terms of organisations.
	Terms bool
	// ConfigByParts is set if the sender fetches a long configuration by its own calls.
	ConfigByParts bool
}

// SyncReply is the requested part of what a daemon knows about the installation. A daemon that
// starts while the platform's store is unreachable takes its initial state from it.
type SyncReply struct {
	// Manifest is the encoded configuration; empty if it is not newer than SyncRequest.Config. Instead of
	// a long one ConfigParts is set if the request has ConfigByParts.
	Manifest    []byte
	ConfigParts bool
	// OperatorKnown is set if the sender knows the operator's rows and the request asks for
	// them. OperatorRead, OperatorChanged and OperatorAge are as in StoreUpdate.
	OperatorKnown   bool
	OperatorRead    int64
	OperatorChanged int64
	OperatorAge     time.Duration
	Orders          []shift.Order
	States          []shift.State
	Members         []member.Daemon
	// Quarantine are the quarantined requests.
	Quarantine []quarantine.Entry
	// Evacuations are all evacuation orders, if EvacuationsKnown is set.
	Evacuations      []evacuation.Order
	EvacuationsKnown bool
	// Limits are the rate limits of upstream instances, including lifted ones.
	Limits []inventory.Limit
	// Terms are the overrides of the terms of organisations, including those that have ended.
	Terms []terms.Override
}

// StoreUpdate is what a reader, a daemon that reads the store for its group, sends to the other
// daemons of the group. A group is the whole fleet or, in a large fleet, a failure domain.
type StoreUpdate struct {
	From string
	// Manifest is the encoded configuration; empty if it has not changed or is too large to be
	// passed on.
	Manifest []byte
	Orders   []shift.Order
	// OperatorRead is the revision up to which the sender has read the operator's rows,
	// OperatorChanged the revision at which they last changed, and OperatorAge the time since
	// the sender last knew that it had the newest rows.
	OperatorRead    int64
	OperatorChanged int64
	OperatorAge     time.Duration
	// If OperatorWhole is set, Manifest, Orders and Evacuations contain every change after
	// revision OperatorBase. A receiver that has all rows up to there then need not read the
	// store itself. With the largest base they contain all rows that are in force.
	OperatorBase  int64
	OperatorWhole bool
	// Packed is the packed configuration in place of a long Manifest. If PackedWhole is set, it takes the
	// place of Manifest in OperatorWhole. Daemons that do not know these read the store.
	Packed      []byte
	PackedWhole bool
	// Evacuations are all evacuation orders; empty if they have not changed. Evacuated is a
	// checksum of the evacuations in force that the sender knows.
	Evacuations []evacuation.Order
	Evacuated   uint64
	// Relay is set if the receiver passes the update on to its group.
	Relay bool
	// Changes are the changes of the list between the revisions Base and List. The sender knew
	// List to be the newest revision ListAge ago. Reread is set if the sender has found them by
	// reading the whole list.
	Changes []inventory.Change
	Reread  bool
	Base    int64
	List    int64
	ListAge time.Duration
	// Doubted is the rest of the sender's grace period: how long the receiver keeps instances
	// that it knows and the list lacks. It is set if the sender has only recently regained
	// access to the store, whose list may then be incomplete.
	Doubted time.Duration
}

// EvidenceRequest asks a daemon for its evidence of a roll-out.
type EvidenceRequest struct {
	Service string
	// Holder is set if the sender holds the lease of the roll-out. Other daemons ask while the
	// lease seems to have no holder.
	Holder bool
}

// RoutesHandler handles the calls of the Routes service.
type RoutesHandler interface {
	OnHeartbeat(h RoutesHeartbeat) RoutesHeartbeat
	OnSync(r SyncRequest) SyncReply
	OnConfigPart(r ConfigPartRequest) ConfigPart
	OnListPart(r ListPartRequest) ListPart
	OnListChanges(r ListChangesRequest) ListChanges
	OnEvidence(r EvidenceRequest) shift.Evidence
	OnRolloutState(s shift.State)
	OnStoreUpdate(u StoreUpdate)
	OnFleetWork(w FleetWork) DaemonWork
	OnDomainWork(w DomainWork)
	OnLearned(r LearnedRequest) Learned
	OnStoreCall(c StoreCall) StoreReply
	OnCrashes(r CrashReport) CrashReply
	OnQuarantineEvidence(r QuarantineEvidenceRequest) QuarantineEvidence
	OnQuarantineUpdate(u QuarantineUpdate)
	OnTermsUpdate(u TermsUpdate)
	OnReach(r ReachRequest) ReachReply
	OnEndings(r EndingsRequest) endings.Evidence
}

// routesService exposes a RoutesHandler with the method signatures that net/rpc requires.
type routesService struct{ handler RoutesHandler }

// Beat receives a heartbeat and returns that of this daemon.
func (s *routesService) Beat(in RoutesHeartbeat, out *RoutesHeartbeat) error {
	*out = s.handler.OnHeartbeat(in)
	return nil
}

// Beliefs returns the requested parts of this daemon's state.
func (s *routesService) Beliefs(in SyncRequest, out *SyncReply) error {
	*out = s.handler.OnSync(in)
	return nil
}

// ConfigPart returns a part of the packed configuration.
func (s *routesService) ConfigPart(in ConfigPartRequest, out *ConfigPart) error {
	*out = s.handler.OnConfigPart(in)
	return nil
}

// Evidence returns the evidence of this daemon of a roll-out.
func (s *routesService) Evidence(in EvidenceRequest, out *shift.Evidence) error {
	*out = s.handler.OnEvidence(in)
	return nil
}

// State receives the state of a roll-out.
func (s *routesService) State(in shift.State, _ *Empty) error {
	s.handler.OnRolloutState(in)
	return nil
}

// News receives a store update from a reader.
func (s *routesService) News(in StoreUpdate, _ *Empty) error {
	s.handler.OnStoreUpdate(in)
	return nil
}

// GroupWork receives the outstanding work of all daemons and returns that of this daemon.
func (s *routesService) GroupWork(in FleetWork, out *DaemonWork) error {
	*out = s.handler.OnFleetWork(in)
	return nil
}

// DomainWork receives the outstanding work of another failure domain.
func (s *routesService) DomainWork(in DomainWork, _ *Empty) error {
	s.handler.OnDomainWork(in)
	return nil
}

// SendStoreUpdate sends a store update to a peer.
func (c *Client) SendStoreUpdate(ctx context.Context, address string, u StoreUpdate) error {
	_, err := callService[Empty](ctx, c, address, routesName, "News", u)
	return err
}

// SendFleetWork sends the outstanding work of all daemons to a peer and returns that of the
// peer.
func (c *Client) SendFleetWork(ctx context.Context, address string, w FleetWork) (DaemonWork, error) {
	return callService[DaemonWork](ctx, c, address, routesName, "GroupWork", w)
}

// SendDomainWork sends the outstanding work of this failure domain to a peer in another one.
func (c *Client) SendDomainWork(ctx context.Context, address string, w DomainWork) error {
	_, err := callService[Empty](ctx, c, address, routesName, "DomainWork", w)
	return err
}

// RoutesHeartbeat sends a heartbeat and returns the heartbeat of the peer.
func (c *Client) RoutesHeartbeat(ctx context.Context, address string, h RoutesHeartbeat) (RoutesHeartbeat, error) {
	return callService[RoutesHeartbeat](ctx, c, address, routesName, "Beat", h)
}

// Sync fetches the requested parts of a peer's state.
func (c *Client) Sync(ctx context.Context, address string, r SyncRequest) (SyncReply, error) {
	return callService[SyncReply](ctx, c, address, routesName, "Beliefs", r)
}

// ConfigPart fetches a part of a peer's packed configuration.
func (c *Client) ConfigPart(ctx context.Context, address string, r ConfigPartRequest) (ConfigPart, error) {
	return callService[ConfigPart](ctx, c, address, routesName, "ConfigPart", r)
}

// Evidence fetches a peer's evidence of a roll-out.
func (c *Client) Evidence(ctx context.Context, address string, r EvidenceRequest) (shift.Evidence, error) {
	return callService[shift.Evidence](ctx, c, address, routesName, "Evidence", r)
}

// SendRolloutState sends the state of a roll-out to a peer.
func (c *Client) SendRolloutState(ctx context.Context, address string, s shift.State) error {
	_, err := callService[Empty](ctx, c, address, routesName, "State", s)
	return err
}
