package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/lease"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

const (
	// rolloutInterval is the interval at which the holder of a duty checks a roll-out. A bad
	// version must be withdrawn within five seconds of its fiftieth bad answer.
	rolloutInterval = 300 * time.Millisecond
	// rolloutCallTimeout limits the calls to other daemons in such a check. It is a hundred
	// times the latency between failure domains. It must be short because a check takes the
	// whole timeout while a daemon is frozen: once all sessions have moved, little is left of
	// the time allowed for the roll-out.
	rolloutCallTimeout = 150 * time.Millisecond
	// leaseTTL is how long a lease is valid without renewal, and leaseRenewInterval how often
	// it is renewed.
	leaseTTL           = 4 * time.Second
	leaseRenewInterval = 1 * time.Second
	// holderTimeout is how long a daemon that does not rank first must not have had a request
	// from a holder before it tries to take the duty.
	holderTimeout = 2500 * time.Millisecond
	// takeoverCandidates is how many daemons, by rank, try to take the duty after
	// holderTimeout. The others wait until one of these has had the time to do so
	// (lastTakeoverTimeout); otherwise all daemons would request the lease when the store
	// rejects its holder.
	takeoverCandidates  = 6
	lastTakeoverTimeout = holderTimeout + leaseTTL + leaseRenewInterval
	rolloutStatePrefix  = "shift/"
)

// rolloutDuty is this daemon's part in the roll-out of one service. The duty of a roll-out is
// the task of deciding about its steps. The lease is the stored right to perform it: the daemon
// that holds the lease is the holder of the duty.
type rolloutDuty struct {
	lease *lease.Lease
	// firstSeen is when this daemon first processed the roll-out.
	firstSeen time.Time
	// renewedAt is when this daemon last tried to get or renew the lease.
	renewedAt time.Time
	// loaded is set once the stored state has been read under the current lease.
	loaded bool
	// revision is the revision of the stored state, and step its step.
	revision int64
	step     int
	// reportedPhase is the last phase that was reported to the operator.
	reportedPhase shift.Phase
	// order is the ID of the order to which the other fields belong, and era the era of the
	// store.
	order int64
	era   int64
	// tally adds up the evidence that this daemon has collected. storedTotals are the totals
	// that the previous holder stored; resumed is set once they are part of the tally.
	// totalsStoredAt is when this daemon last stored the totals.
	tally          *shift.Tally
	storedTotals   shift.Totals
	resumed        bool
	totalsStoredAt time.Time
	// guardedAt is when this daemon last checked the evidence without holding the duty.
	guardedAt time.Time
}

// rolloutDuties moves services to new versions while this daemon holds the duty.
//
// Lock order: no other lock is taken while mu is held.
type rolloutDuties struct {
	*Node
	// table is the store, accessed through peers if necessary.
	table *relayedTable

	mu sync.Mutex
	// holderContact is when the holder of the duty last asked this daemon for its evidence, by
	// service.
	holderContact map[string]time.Time
	// byService is only used by run.
	byService map[string]*rolloutDuty
}

func newRolloutDuties(n *Node) *rolloutDuties {
	return &rolloutDuties{Node: n, table: &relayedTable{Node: n}, holderContact: map[string]time.Time{}, byService: map[string]*rolloutDuty{}}
}

// noteHolder records that the holder of the duty has just asked this daemon for its evidence.
func (d *rolloutDuties) noteHolder(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holderContact[service] = d.clock.Now()
}

func (d *rolloutDuties) lastHolderContact(service string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holderContact[service]
}

func (d *rolloutDuties) run(ctx context.Context) {
	for d.sleep(ctx, rolloutInterval) {
		if d.leaving.Load() {
			d.releaseAll(ctx)
			continue
		}
		running := map[string]bool{}
		for _, active := range d.rollouts.Unfinished() {
			running[active.Order.Service] = true
			d.process(ctx, active)
		}
		for service, duty := range d.byService {
			if !running[service] {
				d.release(ctx, service, duty)
			}
		}
	}
}

// releaseAll gives up all duties because this daemon is leaving. The next daemon then takes
// them at once instead of after leaseTTL.
func (d *rolloutDuties) releaseAll(ctx context.Context) {
	for service, duty := range d.byService {
		d.release(ctx, service, duty)
	}
}

// release gives up the duty of a roll-out, when it has ended or this daemon is leaving.
func (d *rolloutDuties) release(ctx context.Context, service string, duty *rolloutDuty) {
	delete(d.byService, service)
	if err := duty.lease.Release(ctx); err != nil {
		slog.Warn("duty.not_released", "service", service, "error", err)
	}
}

// process performs what is due for one roll-out.
func (d *rolloutDuties) process(ctx context.Context, active shift.UnfinishedRollout) {
	service := active.Order.Service
	duty, ok := d.byService[service]
	if !ok || duty.order != active.Order.ID {
		duty = d.newRolloutDuty(active.Order)
		d.byService[service] = duty
	}
	if era := d.store.Era(); duty.era != era {
		// The restored store may lack the lease, the state and the reported status.
		duty.era, duty.loaded, duty.reportedPhase, duty.renewedAt = era, false, "", time.Time{}
	}
	if !d.holdLease(ctx, service, duty) {
		d.stopIfRegressed(ctx, duty, active)
		return
	}
	if !duty.loaded && !d.loadState(ctx, duty, active) {
		return
	}
	// loadState may have brought a newer state and the age of the order.
	running := d.rollouts.Unfinished()
	index := slices.IndexFunc(running, func(a shift.UnfinishedRollout) bool { return a.Order.Service == service })
	if index >= 0 {
		d.decide(ctx, duty, running[index])
	}
}

func (d *rolloutDuties) newRolloutDuty(order shift.Order) *rolloutDuty {
	self := d.registry.Self()
	duty := &rolloutDuty{
		lease: lease.New("shift/"+order.Service, holderName(self.Incarnation, self.PeerAddress), leaseTTL, d.table, d.clock),
		order: order.ID, era: d.store.Era(), firstSeen: d.clock.Now(), tally: shift.NewTally(order.ID),
	}
	duty.lease.HolderEnded = d.holderEnded
	return duty
}

// holderSilent reports whether the holder of the duty has been silent for so long that this
// daemon should act in its place.
func (d *rolloutDuties) holderSilent(service string, duty *rolloutDuty) bool {
	lastContact := d.lastHolderContact(service)
	if lastContact.Before(duty.firstSeen) {
		lastContact = duty.firstSeen
	}
	return d.clock.Since(lastContact) > d.takeOverAfter(service)
}

// holdLease reports whether this daemon holds the duty. It takes or renews the lease if due.
func (d *rolloutDuties) holdLease(ctx context.Context, service string, duty *rolloutDuty) bool {
	now := d.clock.Now()
	mayTake := d.registry.RanksFirst("shift/"+service) || d.holderSilent(service, duty)
	if !duty.lease.Held() && !mayTake {
		return false
	}
	if now.Sub(duty.renewedAt) < leaseRenewInterval {
		return duty.lease.Held()
	}
	duty.renewedAt = now
	wasHeld := duty.lease.Held()
	held, err := duty.lease.Renew(ctx)
	if err != nil {
		slog.Warn("duty.not_renewed", "service", service, "held", held, "error", err)
	}
	if held != wasHeld {
		slog.Info("duty.changed", "service", service, "held", held, "fence", duty.lease.Fence())
		duty.loaded, duty.resumed = false, false
	}
	return held
}

// takeOverAfter returns how long the holder of a duty must be silent before this daemon tries
// to take it.
func (d *rolloutDuties) takeOverAfter(service string) time.Duration {
	own := d.registry.Self().Incarnation
	next := d.registry.TopRanked("duty/shift/"+service, takeoverCandidates, func(member.Daemon) bool { return true })
	if member.Contains(next, own) {
		return holderTimeout
	}
	return lastTakeoverTimeout
}

// loadState reads the stored state, from which a new holder continues.
func (d *rolloutDuties) loadState(ctx context.Context, duty *rolloutDuty, active shift.UnfinishedRollout) bool {
	row, err := d.table.Get(ctx, rolloutStatePrefix+active.Order.Service)
	switch {
	case trace.IsNotFound(err):
		duty.revision, duty.step = 0, 0
	case err != nil:
		slog.Warn("rollout.state_not_read", "service", active.Order.Service, "error", err)
		return false
	default:
		duty.revision, duty.step = row.Revision, 0
		var s storedState
		if err := unmarshal(row, &s); err != nil {
			slog.Error("rollout.state_unreadable", "service", active.Order.Service, "error", err)
		} else {
			d.applyRolloutState(s.State, "store")
			duty.storedTotals = s.totalsFor(duty.order)
			if s.Order == duty.order {
				duty.step = s.Step
			}
		}
	}
	duty.loaded = true
	return true
}

// decide evaluates the evidence of all daemons, then stores and broadcasts the resulting
// states.
func (d *rolloutDuties) decide(ctx context.Context, duty *rolloutDuty, active shift.UnfinishedRollout) {
	order, state, started := active.Order, active.State, d.clock.Now()
	input, missing := d.collectEvidence(ctx, duty, order)
	if !duty.resumed {
		duty.tally.Restore(duty.storedTotals)
		duty.resumed = true
		totals := duty.tally.Totals()
		input.Fresh, input.Old = totals.Fresh, totals.Old
	}
	// A live daemon that does not answer may still have requests on old instances.
	input.OldInFlight += missing
	for {
		// Near the deadline two steps may be due in one check. The next check would be too
		// late, since it waits for daemons that do not answer.
		input.Elapsed = active.Elapsed + d.clock.Since(started)
		next := shift.NextState(state, order, input, exposureLimit(d.settings))
		if next.Step == state.Step {
			break
		}
		d.logDecision(duty, order, next, input, missing)
		if next.Phase == shift.RolledBack {
			// A bad version is stopped before the state is stored.
			d.broadcastState(ctx, next)
		}
		if !d.writeState(ctx, duty, &next, input.Elapsed) {
			return
		}
		d.broadcastState(ctx, next)
		state = next
	}
	if state.Phase == shift.Running {
		if d.clock.Since(duty.totalsStoredAt) > totalsWriteInterval {
			d.writeState(ctx, duty, &state, input.Elapsed)
		}
		if duty.reportedPhase != shift.Running {
			d.reportPhase(ctx, duty, order, state.Phase)
		}
		return
	}
	d.conclude(ctx, duty, order, state, input.Elapsed)
}

// conclude stores the state of a roll-out that has ended, reports it to the operator, and
// stores that it has been reported.
//
// The order matters: if the state were reported before it is stored, the operator could end
// old instances although a restart of all daemons would continue the roll-out.
func (d *rolloutDuties) conclude(ctx context.Context, duty *rolloutDuty, order shift.Order, state shift.State, elapsed time.Duration) {
	if duty.step < state.Step && !d.writeState(ctx, duty, &state, elapsed) {
		return
	}
	if duty.reportedPhase != state.Phase && !d.reportPhase(ctx, duty, order, state.Phase) {
		return
	}
	state = state.MarkTold()
	if d.writeState(ctx, duty, &state, elapsed) {
		d.broadcastState(ctx, state)
	}
}

func (d *rolloutDuties) logDecision(duty *rolloutDuty, order shift.Order, next shift.State, input shift.DecisionInput, missing int) {
	fresh, old := input.Fresh.Total(), input.Old.Total()
	latency, pace := shift.SlownessDeviations(input.Fresh, input.Old)
	slog.Info("rollout.decided", "service", order.Service, "to", order.To, "order", order.ID, "phase", string(next.Phase),
		"share", next.Share, "held", len(next.Held), "elapsed_ms", input.Elapsed.Milliseconds(), "fresh", fresh.Requests, "fresh_bad", fresh.Bad,
		"old", old.Requests, "old_bad", old.Bad, "slow_latency", latency, "slow_pace", pace, "old_in_flight", input.OldInFlight, "missing", missing, "fence", duty.lease.Fence())
}

// writeState stores a state with the time of its order.
func (d *rolloutDuties) writeState(ctx context.Context, duty *rolloutDuty, next *shift.State, elapsed time.Duration) bool {
	if now, ok := d.store.Clock(); ok && next.OrderedMS == 0 {
		next.OrderedMS = now - elapsed.Milliseconds()
	}
	key := rolloutStatePrefix + next.Service
	revision, err := d.table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{duty.lease.Check(), {Key: key, Revision: duty.revision}},
		Puts:   []backing.Put{backing.PutJSON(key, storedState{State: *next, Seen: duty.tally.Totals()})},
	})
	if err != nil {
		slog.Warn("rollout.not_written", "service", next.Service, "step", next.Step, "error", err)
		// The write may or may not have been applied. The state is read again before the next
		// attempt.
		duty.loaded = false
		return false
	}
	duty.revision, duty.step, duty.totalsStoredAt = revision, next.Step, d.clock.Now()
	return true
}

// reportPhase reports the phase of a roll-out to the operator.
func (d *rolloutDuties) reportPhase(ctx context.Context, duty *rolloutDuty, order shift.Order, phase shift.Phase) bool {
	err := d.table.publishStatus(ctx, order.Service, order.To, phase, duty.lease.Check())
	if err != nil {
		slog.Warn("rollout.not_reported", "service", order.Service, "phase", string(phase), "error", err)
		return false
	}
	duty.reportedPhase = phase
	slog.Info("rollout.operator_told", "service", order.Service, "to", order.To, "phase", string(phase), "fence", duty.lease.Fence())
	return true
}

// collectEvidence asks the other daemons for their evidence and adds it up with that of this
// daemon. missing is the number of daemons that did not answer or do not know the order.
func (d *rolloutDuties) collectEvidence(ctx context.Context, duty *rolloutDuty, order shift.Order) (input shift.DecisionInput, missing int) {
	all := []shift.Evidence{d.ownEvidence(order.Service)}
	var mu sync.Mutex
	// Daemons that receive the request with Holder set do not try to take the duty for some
	// time, so a daemon without the lease must not set it.
	request := peer.EvidenceRequest{Service: order.Service, Holder: duty.lease.Held()}
	d.callPeers(ctx, func(call context.Context, address string) {
		e, err := d.peers.Evidence(call, address, request)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || e.Order != order.ID {
			missing++
			return
		}
		all = append(all, e)
	})
	for _, e := range all {
		duty.tally.Update(e)
	}
	return duty.tally.Input(all), missing
}

func (n *Node) ownEvidence(service string) shift.Evidence {
	e := n.rollouts.Evidence(service)
	e.From = n.registry.Self().Incarnation
	return e
}

// broadcastState applies a state and sends it to the other daemons.
func (d *rolloutDuties) broadcastState(ctx context.Context, s shift.State) {
	d.applyRolloutState(s, "own")
	d.callPeers(ctx, func(call context.Context, address string) {
		if err := d.peers.SendRolloutState(call, address, s); err != nil {
			slog.Debug("rollout.state_not_sent", "peer", address, "error", err)
		}
	})
}

// callPeers calls f for all other daemons that are alive or leaving, in parallel.
func (d *rolloutDuties) callPeers(ctx context.Context, f func(ctx context.Context, address string)) {
	self := d.registry.Self().Incarnation
	others := slices.DeleteFunc(d.registry.All(), func(peer member.Daemon) bool {
		return peer.Incarnation == self || (peer.State != member.Alive && peer.State != member.Leaving)
	})
	d.callEach(ctx, rolloutCallTimeout, others, f)
}

func unmarshal(row backing.Row, out any) error { return trace.Wrap(json.Unmarshal(row.Value, out)) }
