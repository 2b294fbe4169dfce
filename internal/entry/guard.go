package entry

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// totalsWriteInterval is the interval at which the holder stores the totals of the evidence
// for the next holder. Each write is a call to the store.
const totalsWriteInterval = 1500 * time.Millisecond

// guardInterval is the interval at which a daemon without the duty checks the evidence. The
// takeoverCandidates, six daemons of a fleet, do so first, and each asks all others.
const guardInterval = 1 * time.Second

// storedState is the stored row of a roll-out: its state and the totals of the evidence at the
// time of writing.
type storedState struct {
	shift.State
	Seen shift.Totals `json:"seen"`
}

// totalsFor returns the stored totals if they belong to the order, or else none.
func (s storedState) totalsFor(order int64) shift.Totals {
	if s.Order != order {
		return shift.Totals{}
	}
	return s.Seen
}

// stopIfRegressed stops a bad version while the holder of the duty is silent.
//
// If a holder restarts while the store is unavailable, no other daemon can take its lease
// until the store is back and the lease has expired. In this time, thirteen seconds in an
// outage of eight, a version that fails a third of its requests would stay in use: the
// evidence of each single daemon is too little to stop it. Stopping needs no lease because it
// can only limit the damage. The daemons that are first to take over the duty therefore
// collect the evidence of all and broadcast the stop if the version has regressed.
func (d *rolloutDuties) stopIfRegressed(ctx context.Context, duty *rolloutDuty, active shift.UnfinishedRollout) {
	state := active.State
	if state.Phase != shift.Running || state.Stopped || !d.holderSilent(active.Order.Service, duty) ||
		d.clock.Since(duty.guardedAt) < guardInterval {
		return
	}
	duty.guardedAt = d.clock.Now()
	input, missing := d.collectEvidence(ctx, duty, active.Order)
	if !state.Regressed(input.Fresh, input.Old) {
		return
	}
	fresh, old := input.Fresh.Total(), input.Old.Total()
	slog.Warn("rollout.stopped", "service", state.Service, "to", state.To, "order", state.Order, "fresh", fresh.Requests,
		"fresh_bad", fresh.Bad, "old", old.Requests, "old_bad", old.Bad, "missing", missing)
	state.Stopped = true
	d.broadcastState(ctx, state)
}

// holderSeparator separates the incarnation and the address in the holder of a lease. Neither
// contains it.
const holderSeparator = "@"

// holderName returns the name under which a daemon holds a lease: its incarnation and its peer
// address.
func holderName(incarnation, address string) string { return incarnation + holderSeparator + address }

// holderEnded reports whether the process that holds a lease has certainly ended: another
// process answers at its address. A holder that does not answer may be frozen or cut off and
// still hold the lease.
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
	reply, err := d.peers.RoutesHeartbeat(call, address, d.heartbeat(member.Daemon{PeerAddress: address}))
	return err == nil && reply.From.Incarnation != incarnation
}
