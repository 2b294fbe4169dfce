package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

const (
	// instancesPerPart is the number of instances in one part of a list that is fetched from a
	// peer. A part has some 20 kB, which takes 10 ms on a link of 20 Mbit/s.
	instancesPerPart = 300
	// listTransferTTL is how long the parts of an interrupted transfer are kept. Peers still
	// have all changes since then.
	listTransferTTL = 10 * time.Second
	// catchUpDomains is the number of other failure domains of which a relay is asked for what
	// this daemon lacks, after the daemons from which it expects updates.
	catchUpDomains = 2
)

// listTransfer is a list of instances that is being fetched in parts, possibly from several
// peers in turn.
//
// Lock order: mu is held during a transfer, and the locks of inventory.Table and readerGrace
// are taken while it is held.
type listTransfer struct {
	mu        sync.Mutex
	startedAt time.Time
	// parts is the number of parts, of which next is the first that is missing.
	parts, next int
	snapshot    inventory.Snapshot
}

// begin starts a transfer of a list of total instances unless one is in progress.
func (t *listTransfer) begin(now time.Time, total int) {
	if t.parts > 0 && now.Sub(t.startedAt) <= listTransferTTL {
		return
	}
	t.startedAt, t.next = now, 0
	t.parts = max((total+instancesPerPart-1)/instancesPerPart, 1)
	t.snapshot = inventory.Snapshot{Doubted: map[string]time.Duration{}, Warming: map[string]time.Duration{}}
}

// add adds the next part. The revision of the whole list is that of its oldest part: the
// changes since then follow.
func (t *listTransfer) add(part peer.ListPart) {
	t.snapshot.Instances = append(t.snapshot.Instances, part.Instances.Unpack()...)
	for id, left := range part.Missing {
		t.snapshot.Doubted[id] = left
	}
	for id, left := range part.Warming {
		t.snapshot.Warming[id] = left
	}
	if t.next == 0 || part.Revision < t.snapshot.Revision {
		t.snapshot.Revision = part.Revision
	}
	t.next++
}

// fetchList brings the list up to date from a peer: by the changes since this daemon's
// revision, or by the whole list if it has none or the peer no longer has these changes. It
// reports whether the list is then up to date.
func (n *Node) fetchList(ctx context.Context, address string) bool {
	changes, err := n.fetchListChanges(ctx, address)
	if err != nil {
		slog.Debug("instances.changes_not_fetched", "peer", address, "error", err)
		return false
	}
	if n.table.Loaded() && changes.Known {
		return n.applyListChanges(changes)
	}
	if !n.needsWholeList(changes) || !n.listTransfer.mu.TryLock() {
		return false
	}
	defer n.listTransfer.mu.Unlock()
	if err := n.fetchWholeList(ctx, address); err != nil {
		slog.Debug("instances.not_fetched", "peer", address, "part", n.listTransfer.next, "parts", n.listTransfer.parts, "error", err)
		return false
	}
	n.publishCallerURL()
	return !n.listIsLate()
}

// needsWholeList reports whether this daemon lacks changes of the list that a peer no longer
// has.
func (n *Node) needsWholeList(c peer.ListChanges) bool {
	return c.Loaded && (!n.table.Loaded() || c.Revision > n.table.Revision() && n.listIsLate())
}

// fetchWholeList fetches the missing parts of the list from a peer and applies the list, and the
// changes that the peer has made to it meanwhile.
func (n *Node) fetchWholeList(ctx context.Context, address string) error {
	t := &n.listTransfer
	size, err := n.fetchListPart(ctx, address, peer.ListPartRequest{})
	if err != nil {
		return err
	}
	t.begin(n.clock.Now(), size.Total)
	for t.next < t.parts {
		part, err := n.fetchListPart(ctx, address, peer.ListPartRequest{Part: t.next, Parts: t.parts})
		if err != nil {
			return err
		}
		t.add(part)
	}
	snapshot := t.snapshot
	t.parts, t.snapshot = 0, inventory.Snapshot{}
	changes, err := n.peers.ListChanges(ctx, address, peer.ListChangesRequest{Since: snapshot.Revision})
	if err != nil {
		return err
	}
	n.store.NoteRevision(snapshot.Revision)
	age := min(n.table.Age(), changes.Age)
	if !n.table.Replace(snapshot, n.graceEnd(n.clock.Now())) {
		return nil
	}
	slog.Info("instances.from_peer", "peer", address, "revision", snapshot.Revision, "count", len(snapshot.Instances),
		"took_ms", n.clock.Since(t.startedAt).Milliseconds())
	n.table.SetAge(age)
	n.applyListChanges(changes)
	return nil
}

func (n *Node) fetchListPart(ctx context.Context, address string, r peer.ListPartRequest) (peer.ListPart, error) {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return n.peers.ListPart(call, address, r)
}

// fetchListChanges fetches the changes of the list since this daemon's revision.
func (n *Node) fetchListChanges(ctx context.Context, address string) (peer.ListChanges, error) {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return n.peers.ListChanges(call, address, peer.ListChangesRequest{Since: n.table.Revision()})
}

// applyListChanges applies changes from a peer whose list is newer than that of this daemon.
func (n *Node) applyListChanges(c peer.ListChanges) bool {
	n.store.NoteRevision(c.Revision)
	age, revision := n.table.Age(), n.table.Revision()
	if !c.Known || c.Revision == revision && c.Age >= age {
		return false
	}
	graceEnd := n.readerGrace.adopt(n.clock.Now(), c.Doubted, n.listIsLate())
	if _, _, ok := n.table.Apply(c.Changes, c.Revision, graceEnd); !ok {
		return false
	}
	n.table.SetAge(min(c.Age, age))
	return !n.listIsLate()
}

// OnListPart implements peer.RoutesHandler.
func (n *Node) OnListPart(r peer.ListPartRequest) peer.ListPart {
	reply := peer.ListPart{Total: n.table.Len()}
	if r.Parts <= 0 {
		return reply
	}
	part := n.table.Part(r.Part, r.Parts)
	reply.Instances, reply.Revision = peer.PackInstances(part.Instances), part.Revision
	reply.Missing, reply.Warming = part.Doubted, part.Warming
	return reply
}

// OnListChanges implements peer.RoutesHandler.
func (n *Node) OnListChanges(r peer.ListChangesRequest) peer.ListChanges {
	changes, revision, ok := n.table.ChangesSince(r.Since)
	return peer.ListChanges{Loaded: n.table.Loaded(), Known: ok, Changes: changes, Revision: revision, Age: n.table.Age(), Doubted: n.graceLeft()}
}

// catchUpSources returns the daemons to ask for updates that this daemon has missed: those from
// which it expects updates, and relays of other failure domains, whose readers may be reachable
// while its own are not.
func (n *Node) catchUpSources() []member.Daemon {
	var sources []member.Daemon
	if n.isReader() {
		sources = n.readers(readersPerGroup, wholeFleet)
	} else {
		sources = n.readers(readersPerGroup, n.readerGroup())
	}
	domains := n.otherDomains()
	rand.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	for _, domain := range domains[:min(catchUpDomains, len(domains))] {
		sources = append(sources, n.readers(1, domain)...)
	}
	own := n.registry.Self().Incarnation
	var out []member.Daemon
	for _, d := range sources {
		if d.Incarnation != own {
			out = append(out, d)
		}
	}
	return out
}

// catchesUp reports whether this daemon takes late updates from peers before it reads the store:
// if others read the store for it, or if the store does not answer it.
func (n *Node) catchesUp() bool {
	return n.isSplit() && (!n.isStoreReader() || n.storeHealth.isLost())
}

// catchUpList brings a late list up to date from peers. It reports whether it succeeded.
func (n *Node) catchUpList(ctx context.Context) bool {
	for _, d := range n.catchUpSources() {
		if n.fetchList(ctx, d.PeerAddress) {
			return true
		}
	}
	return false
}

// catchUpOperator takes the operator's rows from a peer that has confirmed them recently. It
// reports whether it succeeded.
func (n *Node) catchUpOperator(ctx context.Context) bool {
	request := peer.SyncRequest{Config: n.configVersion(), Operator: true, Shifts: true, Evacuations: true}
	for _, d := range n.catchUpSources() {
		if n.syncFromPeer(ctx, d.PeerAddress, request); !n.mustReadOperator() {
			return true
		}
	}
	return false
}
