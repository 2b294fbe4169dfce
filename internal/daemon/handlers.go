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

// heartbeat returns the next heartbeat to a peer. It counts the membership
// updates in it as sent. ConfirmedMS is -1 if the configuration was not confirmed
// within the last hour.
func (n *Node) heartbeat() peer.Heartbeat {
	confirmed := int64(-1)
	if age := n.follower.SinceConfirmed(); age < time.Hour {
		confirmed = age.Milliseconds()
	}
	return peer.Heartbeat{
		From:        n.registry.Self(),
		News:        n.registry.NextUpdates(),
		Digest:      n.registry.Digest(),
		Generation:  n.follower.Generation(),
		ConfirmedMS: confirmed,
		Leaving:     n.upstreams.Leaving(),
		Stopped:     n.credits.Stopped(),
		RatingSeq:   n.ratings.Seq(),
	}
}

// OnHeartbeat implements peer.Handler.
func (n *Node) OnHeartbeat(h peer.Heartbeat) peer.Heartbeat {
	n.mergeHeartbeat(h)
	if h.Generation > n.follower.Generation() {
		go n.fetchConfig(n.base, h.From.PeerAddress)
	}
	return n.heartbeat()
}

// mergeHeartbeat merges the state that a peer sent in a heartbeat or in the reply
// to one.
func (n *Node) mergeHeartbeat(h peer.Heartbeat) {
	n.registry.Merge(append(h.News, h.From))
	for _, id := range h.Leaving {
		n.upstreams.MarkLeaving(id)
	}
	for _, ref := range h.Stopped {
		n.stopVersion(ref)
	}
}

// stopVersion stops new sessions of a version at this daemon while it is being
// rolled out. It triggers a heartbeat, upon which the peers do the same.
func (n *Node) stopVersion(ref config.VersionRef) {
	snapshot := n.follower.Current()
	if snapshot == nil || snapshot.Rollouts[ref].State != config.RollingOut {
		return
	}
	if n.credits.Stop(ref) {
		n.TriggerHeartbeat()
	}
}

// OnConfig implements peer.Handler.
func (n *Node) OnConfig(r peer.ConfigRequest) config.Delta {
	return n.follower.DeltaFor(r.Site, r.Known)
}

// OnMembers implements peer.Handler.
func (n *Node) OnMembers() []member.Daemon { return n.registry.All() }

// OnHold implements peer.Handler.
func (n *Node) OnHold(r peer.HoldRequest) { n.replicas.Add(r.Owner, r.After, r.Bills) }

// OnRelease implements peer.Handler.
func (n *Node) OnRelease(r peer.ReleaseRequest) { n.replicas.Remove(r.Owner, r.IDs) }

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
		// The wait ended without new events; the peer repeats the request.
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
	n.instancesMu.Lock()
	defer n.instancesMu.Unlock()
	return n.instances
}
