package entry

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// seenInterval is the time between two writes of what daemons have seen of a
// roll-out, for the next holder. Each is a call to the store.
const totalsWriteInterval = 1500 * time.Millisecond

// guardInterval is the time between two looks of a daemon that does not hold the
// duty: six do so in a fleet, and each asks all others.
const guardInterval = 1 * time.Second

// storedState is the row of a roll-out: its state, and what daemons had seen when
// it was written.
type storedState struct {
	shift.State
	Seen shift.Totals `json:"seen"`
}

// seen is what was seen of an order; nothing of another one.
func (s storedState) totalsFor(order int64) shift.Totals {
	if s.Order != order {
		return shift.Totals{}
	}
	return s.Seen
}

// guard stops a bad version while nobody holds the duty.
//
// A holder was restarted while the store was away for eight seconds. Nobody could
// take its lease for thirteen, and a version that failed a third of its requests
// went on meanwhile: each daemon's own evidence was too thin to stop it. Stopping
// needs no lease, since it can only lessen the damage; the daemons next in line
// therefore add up the evidence of all, and tell all when it condemns the version.
func (d *rolloutDuties) stopIfRegressed(ctx context.Context, one *rolloutDuty, active shift.UnfinishedRollout) {
	state := active.State
	if state.Phase != shift.Running || state.Stopped || !d.holderSilent(active.Order.Service, one) ||
		d.clock.Since(one.guardedAt) < guardInterval {
		return
	}
	one.guardedAt = d.clock.Now()
	known, missing := d.collectEvidence(ctx, one, active.Order)
	if !shift.Regressed(known.Fresh, known.Old) {
		return
	}
	fresh, old := known.Fresh.Total(), known.Old.Total()
	slog.Warn("rollout.stopped", "service", state.Service, "to", state.To, "order", state.Order, "fresh", fresh.Requests,
		"fresh_bad", fresh.Bad, "old", old.Requests, "old_bad", old.Bad, "missing", missing)
	state.Stopped = true
	d.broadcastState(ctx, state)
}

// holderSeparator stands between the incarnation and the address of a lease's
// holder. Neither contains it.
const holderSeparator = "@"

// holderName is what a daemon's lease says of it.
func holderName(incarnation, address string) string { return incarnation + holderSeparator + address }

// holderGone reports whether the process of a lease's holder has certainly ended:
// another one answers at its address. A holder that does not answer may be frozen or
// cut off, and still hold the lease.
func (d *rolloutDuties) holderEnded(ctx context.Context, holder string) bool {
	incarnation, address, ok := strings.Cut(holder, holderSeparator)
	if !ok {
		return false
	}
	self := d.registry.Self()
	if address == self.PeerAddress {
		return incarnation != self.Incarnation
	}
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := d.peers.RoutesHeartbeat(call, address, d.heartbeat())
	return err == nil && reply.From.Incarnation != incarnation
}
