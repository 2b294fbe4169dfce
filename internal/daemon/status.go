package daemon

import (
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/operator"
)

// confirmedMS returns the milliseconds since the configuration was last confirmed
// as the newest, or -1 if it never was.
func (n *Node) confirmedMS() int64 {
	age := n.follower.SinceConfirmed()
	if age > 365*24*time.Hour {
		return -1
	}
	return age.Milliseconds()
}

// Status returns the state of this daemon for the operators' API.
func (n *Node) Status() operator.Status {
	out := operator.Status{
		Incarnation:     n.incarnation,
		Instance:        n.settings.Instance,
		Site:            n.settings.Site,
		FailureDomain:   n.settings.FailureDomain,
		Ready:           n.Ready() == nil,
		Stopping:        n.leaving.Load(),
		Generation:      n.follower.Generation(),
		ConfirmedMS:     n.confirmedMS(),
		Running:         n.answers.Running(),
		Waiting:         n.dispatcher.QueueLengths(),
		BillsPending:    n.ledger.Pending(),
		BillsHeld:       n.replicas.Len(),
		Daemons:         []operator.DaemonStatus{},
		Upstreams:       []operator.UpstreamStatus{},
		StoppedVersions: n.credits.Stopped(),
	}
	for _, d := range n.registry.All() {
		out.Daemons = append(out.Daemons, operator.DaemonStatus{
			Incarnation:   d.Incarnation,
			PeerAddress:   d.PeerAddress,
			CallerURL:     d.CallerURL,
			FailureDomain: d.FailureDomain,
			State:         d.State.String(),
		})
	}
	now := n.clock.Now()
	for _, u := range n.upstreams.All() {
		status := operator.UpstreamStatus{
			ID:            u.Instance.ID,
			Role:          string(u.Instance.Role),
			FailureDomain: u.Instance.FailureDomain,
			Versions:      []string{},
			Running:       u.Report.Running,
			Queued:        u.Report.Queued,
			InFlight:      u.InFlight,
			Leaving:       u.IsLeaving(now),
			Ejected:       now.Before(u.EjectedUntil),
		}
		for _, v := range u.Report.Versions {
			if v.Ready {
				status.Versions = append(status.Versions, v.Model+"@"+v.Version)
			}
		}
		out.Upstreams = append(out.Upstreams, status)
	}
	return out
}
