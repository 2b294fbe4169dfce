package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

const (
	// beatInterval is the time between heartbeats, and beatTimeout what one may
	// take: hundreds of times the way between failure domains.
	beatInterval = 700 * time.Millisecond
	beatTimeout  = 500 * time.Millisecond
	// suspectAfter is how many heartbeats in a row must go unanswered before a
	// daemon is left out of what callers are told: 1.4 s, within the second
	// that callers allow for a new connection plus the life of an answer.
	suspectAfter = 2
	// storeSilence is how long the store must not have answered before the
	// list of a peer is taken in place of it.
	storeSilence = 1200 * time.Millisecond
	// announcePause is the time between tries to write this daemon's row.
	announcePause = 2 * time.Second
	// aloneTime is how long no peer must be known before the store is asked for
	// some, and the time between two such questions.
	aloneTime = 1500 * time.Millisecond
	// kickPause gathers news that comes together into one round of heartbeats:
	// when many daemons start at once each would otherwise set off many rounds.
	kickPause = 30 * time.Millisecond
)

// daemonRow tells daemons that start later where to find this one.
type daemonRow struct {
	PeerAddress string `json:"peer_address"`
}

const daemonPrefix = "daemon/"

// announce writes this daemon's row once it is one of those that read the store
// for the others: a few rows are enough to find everybody.
//
// The row is written again after the store has come back from a copy that may lack it.
func (n *Node) announce(ctx context.Context) {
	const never = -1
	announced := int64(never)
	for n.pause(ctx, announcePause) {
		era := n.store.Era()
		if announced == era || !n.reader() {
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

// findPeers returns addresses to ask for peers: the seeds, and while no peer is
// known for some time, the rows of other daemons.
func (n *Node) findPeers(ctx context.Context) []string {
	alone := len(n.registry.All()) == 1
	if !alone || n.clock.Since(n.started) < aloneTime {
		return n.unknown(*n.seeds.Load())
	}
	n.started = n.clock.Now()
	const most = 100
	rows, err := n.kv.List(ctx, daemonPrefix, "", most)
	if err != nil {
		slog.Debug("daemons.not_read", "error", err)
		return n.unknown(*n.seeds.Load())
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
	return n.unknown(addresses)
}

// unknown returns the addresses at which no daemon is known.
func (n *Node) unknown(addresses []string) []string {
	known := map[string]bool{n.registry.Self().PeerAddress: true}
	for _, d := range n.registry.All() {
		if d.State != member.Left {
			known[d.PeerAddress] = true
		}
	}
	var out []string
	for _, address := range addresses {
		if !known[address] {
			known[address] = true
			out = append(out, address)
		}
	}
	return out
}

func (n *Node) kickBeat() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// heartbeatLoop exchanges heartbeats, on time and when there is news.
func (n *Node) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.heartbeatRound(ctx)
		select {
		case <-n.kick:
			n.pause(ctx, kickPause)
		case <-n.clock.After(beatInterval):
		case <-ctx.Done():
		}
	}
}

func (n *Node) heartbeatRound(ctx context.Context) {
	var round sync.WaitGroup
	for _, d := range n.registry.HeartbeatTargets() {
		round.Go(func() { n.beat(ctx, d.PeerAddress, d.Incarnation) })
	}
	for _, address := range n.findPeers(ctx) {
		round.Go(func() { n.beat(ctx, address, "") })
	}
	round.Wait()
}

// callEach calls daemons at once and waits for all of them, at most for some time.
func (n *Node) callEach(ctx context.Context, most time.Duration, daemons []member.Daemon, f func(ctx context.Context, address string)) {
	call, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var all sync.WaitGroup
	for _, d := range daemons {
		all.Go(func() { f(call, d.PeerAddress) })
	}
	all.Wait()
}

// beliefs is what a heartbeat says of this daemon.
func (n *Node) beliefs() peer.RoutesHeartbeat {
	b := peer.RoutesHeartbeat{
		From: n.registry.Self(), News: n.registry.NextUpdates(), Digest: n.registry.Digest(),
		Config: n.configVersion(), List: n.table.Revision(), Quarantine: n.quarantine.list.Checksum(), Left: n.table.RecentlyLeaving(),
		Evacuated: n.evacuations.Checksum(), Limits: n.table.RecentLimits(),
	}
	_, b.Limited = n.table.LimitsInForce()
	_, states := n.book.Orders()
	for _, s := range states {
		b.Shifts += max(s.Order, s.Restated) + int64(s.Step)
		if s.Stopped {
			b.Shifts += stoppedSteps
		}
	}
	return b
}

func (n *Node) beat(ctx context.Context, address, incarnation string) {
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	mine := n.beliefs()
	reply, err := n.peers.RoutesHeartbeat(call, address, mine)
	if err != nil || (incarnation != "" && reply.From.Incarnation != incarnation) {
		if incarnation != "" && ctx.Err() == nil {
			n.missed(incarnation, err)
		}
	}
	if err != nil {
		return
	}
	n.heard(reply)
	if ask, lacking := n.lacks(reply, mine); lacking {
		n.fetchBeliefs(ctx, address, ask)
	}
}

// heard takes in a heartbeat.
func (n *Node) heard(b peer.RoutesHeartbeat) {
	n.missesMu.Lock()
	delete(n.misses, b.From.Incarnation)
	n.missesMu.Unlock()
	n.store.NoteRevision(b.List)
	n.heardLeaving(b)
	n.heardLimits(b.Limits, b.From.PeerAddress)
	before := n.registry.Epoch()
	n.registry.Merge(append(b.News, b.From))
	if n.registry.Epoch() != before {
		slog.Info("daemons.changed", "live", len(n.registry.Live()), "from", b.From.PeerAddress)
		n.kickBeat()
	}
}

// heardLeaving takes in which instances a peer found to be leaving, and passes it on.
func (n *Node) heardLeaving(b peer.RoutesHeartbeat) {
	news := false
	for _, life := range b.Left {
		if n.table.NoteLeaving(life) {
			news = true
			slog.Info("instance.leaving", "instance", life.ID, "source", b.From.PeerAddress)
		}
	}
	if news {
		n.kickBeat()
	}
}

// heardLimits takes in what a peer knows of the limits of instances, and passes it on.
func (n *Node) heardLimits(limits []inventory.Limit, source string) {
	news := n.table.MergeLimits(limits)
	for _, l := range news {
		l.Log(source)
	}
	if len(news) > 0 {
		n.kickBeat()
	}
}

// lacks tells what the sender of a heartbeat knows that this daemon does not.
func (n *Node) lacks(b, mine peer.RoutesHeartbeat) (ask peer.SyncRequest, lacking bool) {
	ask = peer.SyncRequest{
		Config: mine.Config, List: mine.List,
		Instances: b.List > mine.List && n.listFromPeers(),
		Shifts:    b.Shifts > mine.Shifts,
		Members:   b.Digest != n.registry.Digest() && n.membersSettled(),
		// An empty list is no news of any.
		Quarantine:  b.Quarantine != 0 && b.Quarantine != mine.Quarantine,
		Evacuations: b.Evacuated != 0 && b.Evacuated != mine.Evacuated,
		Limits:      b.Limited != mine.Limited,
	}
	return ask, b.Config > mine.Config || ask.Instances || ask.Shifts || ask.Members || ask.Quarantine || ask.Evacuations || ask.Limits
}

// listFromPeers reports whether the list of a peer is to be taken: this daemon
// has none, or the store is silent and no reader has told of a newer one.
func (n *Node) listFromPeers() bool {
	return !n.table.Loaded() || n.contact.silent(n.clock.Now(), storeSilence) && n.table.Age() > n.listPace()
}

// settleTime is how long no news of daemons must have come before one that knows
// others than its peer asks for all of them: most differences are news under
// way, which two rounds of heartbeats bring.
const settleTime = 2 * beatInterval

// membersSettled reports whether what is known of daemons has not changed for
// some time, or is nothing at all.
func (n *Node) membersSettled() bool {
	return len(n.registry.All()) <= 2 || n.clock.Since(n.registry.ChangedAt()) > settleTime
}

// fetchBeliefs takes over what a peer knows better.
func (n *Node) fetchBeliefs(ctx context.Context, address string, ask peer.SyncRequest) {
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	b, err := n.peers.Sync(call, address, ask)
	if err != nil {
		slog.Debug("peer.no_beliefs", "peer", address, "error", err)
		return
	}
	n.registry.Merge(b.Members)
	if b.EvacuationsKnown {
		n.learnEvacuations(b.Evacuations, address)
	}
	n.heardLimits(b.Limits, address)
	n.takeManifest(b.Manifest, address)
	if b.Instances != nil && n.listFromPeers() {
		doubted := n.doubts.bound(n.clock.Now().Add(b.Doubted), n.contact.lostSince())
		if n.table.Replace(*b.Instances, doubted) {
			slog.Info("instances.from_peer", "peer", address, "revision", b.Instances.Revision, "count", len(b.Instances.Instances))
		}
	}
	for _, o := range b.Orders {
		n.ordered(o, address)
	}
	for _, s := range b.States {
		n.learnState(s, address)
	}
	n.quarantine.learnQuarantine(b.Quarantine, address)
	n.offer()
}

// takeManifest puts the configuration of a peer in force; none is nothing new.
func (n *Node) takeManifest(manifest []byte, source string) {
	if len(manifest) == 0 {
		return
	}
	c, err := platform.DecodeManifest(manifest)
	if err != nil {
		slog.Error("config.unreadable", "source", source, "error", err)
		return
	}
	n.install(c, manifest, source)
	n.offer()
}

func (n *Node) learnState(s shift.State, source string) {
	if now, ok := n.store.Clock(); ok && s.OrderedMS > 0 {
		age := time.Duration(now-s.OrderedMS) * time.Millisecond
		if n.book.UpdateAge(s.Service, s.Order, age) {
			slog.Info("rollout.aged", "service", s.Service, "order", s.Order, "age_ms", age.Milliseconds(), "source", source)
		}
	}
	if n.book.ApplyState(s) {
		slog.Info("rollout.state", "service", s.Service, "to", s.To, "phase", string(s.Phase), "share", s.Share,
			"stopped", s.Stopped, "step", s.Step, "held", len(s.Held), "source", source)
	}
}

// missed suspects a daemon that did not answer several times in a row.
func (n *Node) missed(incarnation string, err error) {
	n.missesMu.Lock()
	n.misses[incarnation]++
	count := n.misses[incarnation]
	n.missesMu.Unlock()
	if count != suspectAfter {
		return
	}
	d, _ := n.registry.Get(incarnation)
	if d.State != member.Alive {
		return
	}
	n.registry.Suspect(incarnation)
	slog.Warn("daemon.suspected", "daemon", d.PeerAddress, "missed", count, "error", err)
	n.kickBeat()
}

// stoppedSteps is what a stopped version counts for in a heartbeat: more steps than
// a roll-out ever takes, so that whoever has not heard of it asks.
const stoppedSteps = 1 << 20

// OnBeat implements peer.RoutesHandler.
func (n *Node) OnHeartbeat(b peer.RoutesHeartbeat) peer.RoutesHeartbeat {
	n.heard(b)
	return n.beliefs()
}

// OnBeliefs implements peer.RoutesHandler.
func (n *Node) OnSync(r peer.SyncRequest) peer.SyncReply {
	var b peer.SyncReply
	if r.Members {
		b.Members = n.registry.All()
	}
	if r.Shifts {
		b.Orders, b.States = n.book.Orders()
	}
	if r.Quarantine {
		b.Quarantine = n.quarantine.list.Entries()
	}
	if r.Evacuations {
		b.Evacuations, b.EvacuationsKnown = n.evacuations.Orders(), n.evacuations.Loaded()
	}
	if r.Limits {
		b.Limits = n.table.Limits()
	}
	n.configMu.Lock()
	if c := n.current.Load(); c != nil && c.Version > r.Config {
		b.Manifest = n.manifest
	}
	n.configMu.Unlock()
	if r.Instances {
		if s := n.table.Snapshot(); s.Revision > r.List {
			b.Instances, b.Doubted = &s, n.doubt()
		}
	}
	return b
}

// OnEvidence implements peer.RoutesHandler.
func (n *Node) OnEvidence(r peer.EvidenceRequest) shift.Evidence {
	if r.Holder {
		n.duties.heardHolder(r.Service)
	}
	return n.ownEvidence(r.Service)
}

// OnState implements peer.RoutesHandler.
func (n *Node) OnRolloutState(s shift.State) { n.learnState(s, "holder") }
