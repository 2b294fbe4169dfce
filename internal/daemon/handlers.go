package daemon

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

var _ peer.Handler = (*Node)(nil)

// heartbeat builds what this daemon tells its peers.
func (n *Node) heartbeat() peer.Heartbeat {
	confirmed := int64(-1)
	if age := n.follower.Age(); age < time.Hour {
		confirmed = age.Milliseconds()
	}
	return peer.Heartbeat{
		From:        n.registry.Self(),
		News:        n.registry.NextUpdates(),
		Digest:      n.registry.Digest(),
		Generation:  n.follower.Generation(),
		ConfirmedMS: confirmed,
		Leaving:     n.upstreams.Leaving(),
		Stopped:     n.exposure.Stopped(),
		RatingSeq:   n.ratings.Seq(),
	}
}

// OnHeartbeat implements peer.Handler.
func (n *Node) OnHeartbeat(h peer.Heartbeat) peer.Heartbeat {
	n.learn(h)
	if h.Generation > n.follower.Generation() {
		go n.fetchConfig(n.base, h.From.PeerAddress)
	}
	return n.heartbeat()
}

// learn takes in what a peer said, whichever way it came.
func (n *Node) learn(h peer.Heartbeat) {
	n.registry.Merge(append(h.News, h.From))
	for _, id := range h.Leaving {
		n.upstreams.MarkLeaving(id)
	}
	for _, ref := range h.Stopped {
		n.stopVersion(ref)
	}
}

// stopVersion stops the exposure of new sessions to a version here, while it
// is being rolled out, and has the peers told.
func (n *Node) stopVersion(ref config.VersionRef) {
	snapshot := n.follower.Current()
	if snapshot == nil || snapshot.Rollouts[ref].State != config.RollingOut {
		return
	}
	if n.exposure.Stop(ref) {
		n.Kick()
	}
}

// OnConfig implements peer.Handler.
func (n *Node) OnConfig(r peer.ConfigRequest) config.Delta {
	return n.follower.DeltaFor(r.Site, r.Known)
}

// OnMembers implements peer.Handler.
func (n *Node) OnMembers() []member.Daemon { return n.registry.All() }

// OnHold implements peer.Handler.
func (n *Node) OnHold(r peer.HoldRequest) { n.holdings.Add(r.Owner, r.After, r.Bills) }

// OnRelease implements peer.Handler.
func (n *Node) OnRelease(r peer.ReleaseRequest) { n.holdings.Remove(r.Owner, r.IDs) }

// OnTake implements peer.Handler.
func (n *Node) OnTake(r peer.TakeRequest) claim.Result {
	return n.claims.Take(r.Key, r.Home, r.Digest, r.Asker)
}

// OnAnswer implements peer.Handler.
func (n *Node) OnAnswer(r peer.AnswerRequest) peer.AnswerReply {
	a, ok := n.answers.Get(r.RequestID)
	if !ok {
		return peer.AnswerReply{}
	}
	if r.WaitMS <= 0 {
		return peer.AnswerReply{Found: true, View: a.View(r.After)}
	}
	defer a.Attach(n.clock.Now)()
	ctx, cancel := context.WithTimeout(n.base, settings.MS(r.WaitMS))
	defer cancel()
	view, err := a.Wait(ctx, r.After, r.HaveHead)
	if err != nil {
		// Nothing new in time; the peer asks again.
		view.RequestID, view.Organisation = a.RequestID, a.Organisation
	}
	return peer.AnswerReply{Found: true, View: view}
}

// OnCredit implements peer.Handler.
func (n *Node) OnCredit(r peer.CreditRequest) (int, error) {
	return n.controller.Grant(n.base, r.Version, r.Want, r.Lapsed)
}

// OnDemand implements peer.Handler.
func (n *Node) OnDemand(r peer.DemandRequest) map[string]limit.Share {
	if r.Leaving {
		n.allocator.Release(r.From)
		return nil
	}
	return n.allocator.Report(r.From, r.Demands)
}

// OnRatings implements peer.Handler.
func (n *Node) OnRatings() rating.Summary { return n.ratings.Summary() }

// OnKeys implements peer.Handler.
func (n *Node) OnKeys() []session.Key { return n.keys.Keys() }

// OnHandover implements peer.Handler.
func (n *Node) OnHandover(r peer.HandoverRequest) {
	n.answers.Import(r.Answers)
	n.claims.Import(r.Homes, r.Entries)
}

// OnInstances implements peer.Handler.
func (n *Node) OnInstances() []backing.Instance {
	n.listMu.Lock()
	defer n.listMu.Unlock()
	return n.list
}
