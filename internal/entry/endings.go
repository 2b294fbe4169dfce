package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/endings"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// endingsTimeout bounds the question to all daemons for their exchanges with an instance.
const endingsTimeout = 250 * time.Millisecond

// endingsLog is the log of this daemon, which asks the others for theirs.
type endingsLog struct {
	*endings.Log
	node *Node
}

// EndedIdle implements forward.Endings. A daemon that does not answer may have had an exchange with the
// instance. One that has been suspected for a while has told nothing since before the end.
func (l endingsLog) EndedIdle(ctx context.Context, i inventory.Instance, own int) bool {
	if !l.Of(i.Hash()).IsIdle(own) {
		return false
	}
	var busy, silent atomic.Int64
	l.node.callEach(ctx, endingsTimeout, l.node.daemonsWithExchanges(), func(call context.Context, address string) {
		evidence, err := l.node.peers.Endings(call, address, peer.EndingsRequest{Instance: i.Hash()})
		switch {
		case err != nil:
			silent.Add(1)
			slog.Debug("endings.not_answered", "peer", address, "error", err)
		case !evidence.IsIdle(0):
			busy.Add(1)
		}
	})
	idle := busy.Load() == 0 && silent.Load() == 0
	slog.Info("instance.end_weighed", "instance", i.ID, "idle", idle, "busy_daemons", busy.Load(), "silent_daemons", silent.Load())
	return idle
}

// daemonsWithExchanges returns the other daemons that may have exchanges with instances and answer.
func (n *Node) daemonsWithExchanges() []member.Daemon {
	var out []member.Daemon
	for _, d := range n.otherRunningDaemons() {
		if d.State != member.Suspect {
			out = append(out, d)
		}
	}
	return out
}

// OnEndings implements peer.RoutesHandler.
func (n *Node) OnEndings(r peer.EndingsRequest) endings.Evidence { return n.endings.Of(r.Instance) }
