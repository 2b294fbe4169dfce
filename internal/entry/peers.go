package entry

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

const (
	// heartbeatInterval is the time between heartbeats. peerCallTimeout limits a heartbeat and
	// other calls to peers; it is hundreds of times the latency between failure domains.
	heartbeatInterval = 700 * time.Millisecond
	peerCallTimeout   = 500 * time.Millisecond
	// suspectAfter is how many consecutive heartbeats must fail before a daemon is suspected
	// and left out of the directory. That takes 1.4 s. It must take less than two seconds: the
	// second that callers allow for a new connection and the TTL of a directory answer.
	suspectAfter = 2
	// storeSilence is how long the store must not have answered before a peer's instance list
	// is used instead.
	storeSilence = 1200 * time.Millisecond
	// announceRetry is the interval between attempts to write this daemon's row or to load the
	// quarantine.
	announceRetry = 2 * time.Second
	// contactInterval is the time between heartbeats to addresses at which no daemon is known, as
	// long as none has answered.
	contactInterval = 150 * time.Millisecond
	// noPeersTime is the time from the start to the first search for peers in the store, and
	// between two searches. A daemon searches only while it knows no peers.
	noPeersTime = 1500 * time.Millisecond
	// heartbeatBatchDelay combines the changes of a short time into one round of heartbeats.
	// Otherwise each of many daemons that start at the same time would trigger many rounds. In a
	// large fleet, whose daemons have more changes to spread, it is batchDelayPerDaemon for each
	// daemon.
	heartbeatBatchDelay = 30 * time.Millisecond
	batchDelayPerDaemon = 200 * time.Microsecond
)

// daemonRow is the row through which daemons that start later find this one.
type daemonRow struct {
	PeerAddress string `json:"peer_address"`
}

const daemonPrefix = "daemon/"

// announce writes this daemon's row once it is a reader; a few rows are enough to find all
// daemons.
//
// It writes the row again after the store has been restored from an older backup, which may
// lack it.
func (n *Node) announce(ctx context.Context) {
	const never = -1
	announced := int64(never)
	for n.sleep(ctx, announceRetry) {
		era := n.store.Era()
		if announced == era || !n.isReader() {
			continue
		}
		if err := n.announceOnce(ctx); err != nil {
			slog.Warn("daemon.not_announced", "error", err)
			continue
		}
		announced = era
		slog.Info("daemon.announced", "era", era)
	}
}

func (n *Node) announceOnce(ctx context.Context) error {
	row := backing.PutJSON(daemonPrefix+n.settings.Instance, daemonRow{PeerAddress: n.registry.Self().PeerAddress})
	_, err := n.kv.Commit(ctx, backing.Txn{Puts: []backing.Put{row}})
	return err
}

// findPeers returns addresses at which to look for peers: the seeds and, if this daemon knows
// no peers and has not searched the store for noPeersTime, the addresses in the rows of other
// daemons.
func (n *Node) findPeers(ctx context.Context) []string {
	noPeers := n.registry.Count() == 1
	if !noPeers || n.clock.Since(n.lastPeerSearch) < noPeersTime {
		return n.unknownAddresses(*n.seeds.Load())
	}
	n.lastPeerSearch = n.clock.Now()
	const maxRows = 100
	rows, err := n.kv.List(ctx, daemonPrefix, "", maxRows)
	if err != nil {
		slog.Debug("daemons.not_read", "error", err)
		return n.unknownAddresses(*n.seeds.Load())
	}
	addresses := slices.Clone(*n.seeds.Load())
	for _, row := range rows {
		var d daemonRow
		if err := unmarshal(row, &d); err != nil {
			slog.Warn("daemon.row_unreadable", "key", row.Key, "error", err)
			continue
		}
		addresses = append(addresses, d.PeerAddress)
	}
	return n.unknownAddresses(addresses)
}

// unknownAddresses returns those addresses at which no daemon is known.
func (n *Node) unknownAddresses(addresses []string) []string {
	var out []string
	for _, address := range addresses {
		if address != n.registry.Self().PeerAddress && !slices.Contains(out, address) && !n.registry.IsKnownAddress(address) {
			out = append(out, address)
		}
	}
	return out
}

// missingFrom compares a peer's heartbeat h with this daemon's heartbeat mine and returns a
// request for the state that only the peer has. lacking is false if there is none.
func (n *Node) missingFrom(h, mine peer.RoutesHeartbeat) (request peer.SyncRequest, lacking bool) {
	takeConfig := h.Config > mine.Config && n.takesConfigFrom(h)
	request = peer.SyncRequest{
		Config: mine.Config, List: mine.List,
		Instances: h.List > mine.List && n.useListFromPeers(),
		Operator:  n.lacksOperatorRows() && h.Config > 0,
		Shifts:    h.Shifts > mine.Shifts,
		Members:   h.Digest != n.registry.Digest() && n.membersDue(h),
		// The checksum 0 means that the peer has no quarantined requests or does not know the
		// evacuations, so there is nothing to fetch.
		Quarantine:  h.Quarantine != 0 && h.Quarantine != mine.Quarantine,
		Evacuations: h.Evacuated != 0 && h.Evacuated != mine.Evacuated,
		Limits:      h.Limited != mine.Limited,
		Terms:       h.Terms != 0 && h.Terms != mine.Terms,

		ConfigByParts: true,
	}
	return request, takeConfig || request.Instances || request.Operator || request.Shifts || request.Members || request.Quarantine || request.Evacuations || request.Limits || request.Terms
}

// takesConfigFrom reports whether this daemon fetches a newer configuration from a peer.
//
// In a fleet that is split into groups, relays send a new configuration to all. A daemon fetches
// it only if it has not arrived for lateUpdateMargin, and from its own group: otherwise each
// configuration would be sent several times to each daemon, and across failure domains.
func (n *Node) takesConfigFrom(h peer.RoutesHeartbeat) bool {
	if !n.isSplit() || n.configVersion() == 0 {
		return true
	}
	if n.newerConfig.knownFor(n.clock.Now()) < lateUpdateMargin {
		return false
	}
	return n.isReader() || h.From.FailureDomain == n.settings.FailureDomain
}

// useListFromPeers reports whether this daemon uses instance lists of peers: it has none, or
// the store is silent and no reader has confirmed the list recently.
func (n *Node) useListFromPeers() bool {
	return !n.table.Loaded() || n.storeHealth.silentFor(n.clock.Now(), storeSilence) && n.table.Age() > n.listInterval()
}

const (
	// membershipSettleTime is how long the known daemons must not have changed before a daemon
	// that differs from a peer requests all of the peer's daemons. Most differences are updates
	// in transit, which arrive within two rounds of heartbeats.
	membershipSettleTime = 2 * heartbeatInterval
	// membersFetchInterval is the minimum interval at which a daemon that knows only a part of a
	// large fleet requests all daemons from peers that know many more.
	membersFetchInterval = heartbeatInterval
)

// membersDue reports whether this daemon requests all daemons from a peer with another table:
// if it knows only the peer, if its table has settled, or if the peer knows many more.
//
// A daemon that joins a large fleet would need hundreds of heartbeats to learn of all others. It
// asks daemons of its own failure domain, and not the seeds, which all that start ask at first.
func (n *Node) membersDue(h peer.RoutesHeartbeat) bool {
	known := n.registry.Count()
	switch {
	case !n.carriesNews(h.From):
		return false
	case h.Live <= maxFleetGroup && known <= 2:
		return true
	case h.Live > known+2*maxUpdatesPerHeartbeat:
		due := n.clock.Now().UnixNano()-n.membersFetchedAt.Load() > int64(membersFetchInterval)
		return due && h.From.FailureDomain == n.settings.FailureDomain && !slices.Contains(*n.seeds.Load(), h.From.PeerAddress)
	default:
		return n.clock.Since(n.registry.ChangedAt()) > membershipSettleTime
	}
}

// syncFromPeer requests the state that a peer has and this daemon lacks, and applies it.
func (n *Node) syncFromPeer(ctx context.Context, address string, request peer.SyncRequest) {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := n.peers.Sync(call, address, request)
	if err != nil {
		slog.Debug("peer.sync_failed", "peer", address, "error", err)
		return
	}
	if len(reply.Members) > 0 {
		n.membersFetchedAt.Store(n.clock.Now().UnixNano())
		n.registry.MergeTable(reply.Members)
	}
	if reply.EvacuationsKnown {
		n.mergeEvacuations(reply.Evacuations, address)
	}
	n.mergeLimits(reply.Limits, address)
	hasConfig := !reply.ConfigParts || n.fetchConfig(ctx, address)
	n.applyManifest(reply.Manifest, address)
	for _, o := range reply.Orders {
		n.addOrder(o, address)
	}
	for _, s := range reply.States {
		n.applyRolloutState(s, address)
	}
	n.quarantine.applyEntries(reply.Quarantine, address)
	n.terms.apply(reply.Terms)
	if hasConfig {
		n.adoptFreshness(reply)
	}
	n.publishCallerURL()
}

// applyManifest puts an encoded configuration from a peer in force; an empty one is ignored.
func (n *Node) applyManifest(manifest []byte, source string) {
	if len(manifest) == 0 {
		return
	}
	// A configuration arrives from several peers at about the same time and takes a small daemon
	// some 10 ms to decode.
	n.decodeMu.Lock()
	defer n.decodeMu.Unlock()
	if n.hasManifest(manifest) {
		return
	}
	c, err := platform.DecodeManifest(manifest)
	if err != nil {
		slog.Error("config.unreadable", "source", source, "error", err)
		return
	}
	n.installConfig(c, manifest, source)
	n.publishCallerURL()
}

// hasManifest reports whether the encoded configuration is the one in force.
func (n *Node) hasManifest(manifest []byte) bool {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	return bytes.Equal(n.manifest, manifest)
}

func (n *Node) applyRolloutState(s shift.State, source string) {
	if now, ok := n.store.Clock(); ok && s.OrderedMS > 0 {
		age := time.Duration(now-s.OrderedMS) * time.Millisecond
		if n.rollouts.UpdateAge(s.Service, s.Order, age) {
			slog.Info("rollout.aged", "service", s.Service, "order", s.Order, "age_ms", age.Milliseconds(), "source", source)
		}
	}
	if n.rollouts.ApplyState(s) {
		slog.Info("rollout.state", "service", s.Service, "to", s.To, "phase", string(s.Phase), "share", s.Share,
			"stopped", s.Stopped, "step", s.Step, "held", len(s.Held), "source", source)
	}
}

// recordMiss counts a failed heartbeat and suspects the daemon after suspectAfter consecutive
// failures.
func (n *Node) recordMiss(incarnation string, err error) {
	n.missedMu.Lock()
	n.missedHeartbeats[incarnation]++
	count := n.missedHeartbeats[incarnation]
	n.missedMu.Unlock()
	if count != suspectAfter {
		return
	}
	d, _ := n.registry.Get(incarnation)
	if d.State != member.Alive {
		return
	}
	n.registry.Suspect(incarnation)
	slog.Warn("daemon.suspected", "daemon", d.PeerAddress, "missed", count, "error", err)
	n.requestHeartbeat()
}

// stoppedSteps is what a stopped roll-out adds to the sum of steps in a heartbeat: more steps
// than a roll-out ever takes, so that a daemon that does not know of the stop requests the
// states.
const stoppedSteps = 1 << 20

// OnHeartbeat implements peer.RoutesHandler.
func (n *Node) OnHeartbeat(h peer.RoutesHeartbeat) peer.RoutesHeartbeat {
	n.applyHeartbeat(h)
	return n.heartbeat(h.From)
}

// OnSync implements peer.RoutesHandler.
func (n *Node) OnSync(r peer.SyncRequest) peer.SyncReply {
	var reply peer.SyncReply
	// The revisions are read before the rows, which may be newer then.
	if view := n.freshness.view(); r.Operator && !view.confirmedAt.IsZero() && !n.behind.Load() {
		reply.OperatorKnown, reply.OperatorRead, reply.OperatorChanged = true, view.readRevision, view.changedRevision
		reply.OperatorAge = n.clock.Since(view.confirmedAt)
	}
	if r.Members {
		reply.Members = n.registry.All()
	}
	if r.Shifts {
		reply.Orders, reply.States = n.rollouts.Orders()
	}
	if r.Quarantine {
		reply.Quarantine = n.quarantine.list.Entries()
	}
	if r.Evacuations {
		reply.Evacuations, reply.EvacuationsKnown = n.evacuations.Orders(), n.evacuations.Loaded()
	}
	if r.Limits {
		reply.Limits = n.table.Limits()
	}
	if r.Terms {
		reply.Terms = n.terms.book.Overrides(n.clock.Now())
	}
	n.configMu.Lock()
	if c := n.current.Load(); c != nil && c.Version > r.Config {
		if reply.ConfigParts = r.ConfigByParts && len(n.manifest) > minSentManifest; !reply.ConfigParts {
			reply.Manifest = n.manifest
		}
	}
	n.configMu.Unlock()
	return reply
}

// OnEvidence implements peer.RoutesHandler.
func (n *Node) OnEvidence(r peer.EvidenceRequest) shift.Evidence {
	if r.Holder {
		n.duties.noteHolder(r.Service)
	}
	return n.ownEvidence(r.Service)
}

// OnRolloutState implements peer.RoutesHandler.
func (n *Node) OnRolloutState(s shift.State) { n.applyRolloutState(s, "holder") }
