package inventory

import (
	"cmp"
	"slices"
	"time"
)

// A faulty server loses between 2.5 and 5% of its answers for some 5 s, during which it runs some
// 200 to 300 requests of all daemons, so it loses 5 to 15. The first loss that any daemon sees
// makes the instance unproven. The two false judgements cost different amounts:
//
//   - An instance that is proven too early loses one more request that must not be repeated, and
//     about half of another in the 200 ms until all daemons know of that loss.
//   - An instance that is proven too late gets fewer of these requests while the others have free
//     capacity. No caller notices.
//
// So the evidence required is strict.
const (
	// soundAfterLoss is the number of whole answers since the last loss, at all daemons together,
	// after which an instance is proven again. A server that loses 2.5% of its answers passes with
	// a probability of 0.975^120, 5%. At ten idempotent requests a second, it takes 12 s.
	soundAfterLoss = 120
	// lossTime is how long after the last loss an instance is proven without that many answers.
	// It is ten times as long as such a fault lasts, for services with little traffic: an
	// instance with two requests a second loses at most one answer in ten seconds.
	lossTime = 60 * time.Second
	// soundAfterStart and startTime are the same for an instance that has just started. Nothing
	// speaks against it, so they only exclude one that fails at once: a server that loses one
	// answer in seven passes with a probability of 5%.
	soundAfterStart = 20
	startTime       = 10 * time.Second
	// sameLoss is the time within which two losses count as one. A report of a loss arrives late
	// by a varying time; without the tolerance, each report of the same loss would look like
	// another one and clear the count of sound answers.
	sameLoss = 500 * time.Millisecond
)

// proof is what is known of the whole and the lost answers of an instance.
type proof struct {
	// startedAt is when the instance was first listed; zero if that was before this daemon knew
	// the list.
	startedAt time.Time
	// ownLostAt is the last loss that this daemon saw, and lostAt the last that any daemon saw.
	ownLostAt, lostAt time.Time
	// heldUntil is until when the loss that this daemon saw is not reported to others.
	heldUntil time.Time
	// sound counts whole answers to this daemon since lostAt or startedAt, and fleetSound those
	// to all daemons.
	sound, fleetSound int
	// provenAt is when the instance became proven; zero if it is not, or if it always was.
	provenAt time.Time
}

// isSettled reports whether nothing that the proof records matters any more.
func (p *proof) isSettled(now time.Time) bool {
	return (p.lostAt.IsZero() || now.Sub(p.lostAt) >= lossTime) && (p.startedAt.IsZero() || now.Sub(p.startedAt) >= startTime)
}

// isProven reports whether requests that must not be repeated may be sent to the instance.
func (p *proof) isProven(now time.Time) bool { return !p.provenAt.IsZero() || p.isSettled(now) }

// since returns when the instance became what isProven reports; zero if it was always proven.
func (p *proof) since(now time.Time) time.Time {
	switch {
	case !p.provenAt.IsZero():
		return p.provenAt
	case !p.lostAt.IsZero() && p.isSettled(now):
		return p.lostAt.Add(lossTime)
	case !p.lostAt.IsZero():
		return p.lostAt
	case !p.startedAt.IsZero() && p.isSettled(now):
		return p.startedAt.Add(startTime)
	}
	return p.startedAt
}

// lost records the loss of an answer to this daemon. It is reported to others after hold, unless
// notLost withdraws it before.
func (p *proof) lost(now time.Time, hold time.Duration) {
	p.ownLostAt, p.heldUntil = now, now.Add(hold)
	p.restart(now)
}

// restart starts to count sound answers again after a loss.
func (p *proof) restart(lostAt time.Time) {
	p.lostAt, p.sound, p.fleetSound, p.provenAt = lostAt, 0, 0, time.Time{}
}

// notLost withdraws the losses that this daemon saw. Losses that other daemons saw come back with
// their next report.
func (p *proof) notLost() {
	if p.lostAt.Equal(p.ownLostAt) {
		p.restart(time.Time{})
	}
	p.ownLostAt = time.Time{}
}

// wholeAnswer counts a whole answer to this daemon.
func (p *proof) wholeAnswer(now time.Time) {
	p.sound++
	p.judge(now)
}

// merge takes over what all daemons together know. A count that began before a loss known here is
// ignored: the sender did not know of that loss yet.
func (p *proof) merge(r LossReport, now time.Time) {
	at := now.Add(-r.LossAge)
	switch {
	case r.Lost && r.LossAge < lossTime && at.Sub(p.lostAt) > sameLoss:
		p.restart(at)
		p.fleetSound = r.Sound
	case r.Lost && p.lostAt.Sub(at) <= sameLoss, !r.Lost && p.lostAt.IsZero():
		p.fleetSound = max(p.fleetSound, r.Sound)
	}
	p.judge(now)
}

func (p *proof) judge(now time.Time) {
	need := soundAfterLoss
	if p.lostAt.IsZero() {
		need = soundAfterStart
	}
	if p.provenAt.IsZero() && max(p.sound, p.fleetSound) >= need {
		p.provenAt = now
	}
}

// LossReport is what one daemon, or all together, know of the answers of an instance.
type LossReport struct {
	Instance InstanceHash
	// Lost is set if the sender itself saw a loss, LossAge ago. A daemon never reports the losses
	// of others as its own, because each delay on the way would make them look younger.
	Lost    bool
	LossAge time.Duration
	// Counted is set if Sound is the number of whole answers since a loss, CountAge ago, and not
	// since the start of the instance.
	Counted  bool
	CountAge time.Duration
	Sound    int
}

// NoteWholeAnswer records that an instance has given a whole answer.
func (t *Table) NoteWholeAnswer(i Instance) {
	t.withEntry(i, func(e *entry) {
		if _, watched := t.unproven[e]; watched {
			e.proof.wholeAnswer(t.clock.Now())
		}
	})
}

// NoteLoss records that an instance has lost an answer: the connection ended after the request was
// sent and before the end of the answer, or the answer had no digest. Other daemons are told after
// hold. It reports whether the instance was proven until this loss.
func (t *Table) NoteLoss(i Instance, hold time.Duration) (first bool) {
	t.withEntry(i, func(e *entry) {
		now := t.clock.Now()
		first = e.proof.isProven(now)
		t.unproven[e] = struct{}{}
		e.proof.lost(now, hold)
	})
	return first
}

// NoteCrash withdraws the losses of an instance that this daemon saw: the instance had crashed.
func (t *Table) NoteCrash(i Instance) {
	t.withEntry(i, func(e *entry) { e.proof.notLost() })
}

// noteStart records that an instance is new to a list that was known before. The lock is held.
func (t *Table) noteStart(e *entry) {
	if !t.confirmedAt.IsZero() {
		e.proof.startedAt = t.clock.Now()
		t.unproven[e] = struct{}{}
	}
}

// OwnLosses returns what this daemon knows of at most n instances that are not proven, or were not
// some time ago, those with the latest loss or start first.
func (t *Table) OwnLosses(n int) []LossReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var all []*entry
	for e := range t.unproven {
		if e.removed || e.proof.isSettled(now) {
			delete(t.unproven, e)
			continue
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(b.proof.lostAt.Compare(a.proof.lostAt), b.proof.startedAt.Compare(a.proof.startedAt), cmp.Compare(a.hash, b.hash))
	})
	out := make([]LossReport, 0, min(n, len(all)))
	for _, e := range all[:min(n, len(all))] {
		p := &e.proof
		r := LossReport{Instance: e.hash, Lost: !p.ownLostAt.IsZero() && !now.Before(p.heldUntil), Counted: !p.lostAt.IsZero(), Sound: p.sound}
		if r.Lost {
			r.LossAge = now.Sub(p.ownLostAt)
		}
		if r.Counted {
			r.CountAge = now.Sub(p.lostAt)
		}
		out = append(out, r)
	}
	return out
}

// MergeLosses takes over what all daemons together know, and returns the instances that are no
// longer proven.
func (t *Table) MergeLosses(reports []LossReport) (lost []Instance) {
	if len(reports) == 0 {
		return nil
	}
	byInstance := make(map[InstanceHash]LossReport, len(reports))
	for _, r := range reports {
		byInstance[r.Instance] = r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, e := range t.entries {
		r, ok := byInstance[e.hash]
		if !ok || e.removed {
			continue
		}
		was := e.proof.isProven(now)
		e.proof.merge(r, now)
		if e.proof.isSettled(now) {
			continue
		}
		t.unproven[e] = struct{}{}
		if was && !e.proof.isProven(now) {
			lost = append(lost, e.instance)
		}
	}
	return lost
}
