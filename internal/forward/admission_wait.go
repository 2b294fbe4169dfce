package forward

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
)

// reservation is an instance that was chosen for an attempt, with a turn there, or the error that
// ends the request.
type reservation struct {
	picked   place.Candidate
	instance inventory.Instance
	turn     inventory.Turn
	err      error
}

// admissionState is the state of a request that may wait for capacity.
type admissionState struct {
	// load is set while the request may use only instances with free capacity.
	load *serviceLoad
	// objective is the shortest objective at the service.
	objective time.Duration
	// blocked is set if no instance had free capacity, and version is that of one of them.
	blocked bool
	version string
	// granted is the instance at which the request was granted and has not begun.
	granted string
	// hasQuota is set if lastReserved counts against this daemon's quota there.
	hasQuota     bool
	lastReserved inventory.Instance
	// hasWaited is set once the request has been queued.
	hasWaited bool
	// work is the expected time of the answer, in seconds; 0 before the first attempt.
	work        float64
	beyondShare bool
	returning   bool
}

// isQueued reports whether the request may have to wait for capacity.
func (q *request) isQueued() bool {
	return q.admission != nil && (q.admitsByLoad() || q.Table.IsFragile(q.service.Name))
}

// admitsByLoad reports whether the request may only use capacity that is free by the load of all
// instances.
func (q *request) admitsByLoad() bool {
	return q.Overload != nil && q.Overload.Admission(q.service.Name)
}

// reserveFree chooses an instance with free capacity. If there is none, the request waits in the
// queue of its service and version, or is refused.
func (q *request) reserveFree(ctx context.Context) (place.Candidate, inventory.Instance, inventory.Turn, error) {
	now := time.Now()
	load := q.admission.service(q.service.Name)
	q.objective = load.noteObjective(q.route.Objective, now)
	q.describeWork(now)
	var r reservation
	try := func() bool {
		var ok bool
		r, ok = q.tryReserve(load)
		return ok
	}
	if load.waiting.Load() > 0 || !try() {
		if err := q.wait(ctx, load, try); err != nil {
			return r.picked, r.instance, r.turn, err
		}
	}
	return r.picked, r.instance, r.turn, r.err
}

// tryReserve chooses an instance with free capacity; ok is false if there is none. Errors other
// than that are part of the reservation, because waiting would not help.
func (q *request) tryReserve(load *serviceLoad) (r reservation, ok bool) {
	q.load, q.blocked = load, false
	r.picked, r.instance, r.turn, r.err = q.reserveTurn()
	q.load = nil
	if q.blocked && r.err != nil {
		return r, false
	}
	if r.err == nil && r.picked.HasQuota {
		// Without any quota, place.WithQuota allows one request.
		if !q.Table.ReserveQuota(r.instance, max(r.picked.Quota, 1)) {
			q.blocked, q.version = true, r.instance.Version
			return r, false
		}
		q.hasQuota, q.lastReserved = true, r.instance
	}
	if r.err == nil {
		q.granted = r.instance.ID
		q.admission.noteGranted(q.granted)
		load.noteGranted(q.granted, time.Now())
	}
	return r, true
}

// withCapacity returns the candidates that the request may use now. Without admission control,
// or if all of them have to be waited for in any case, these are all candidates.
func (q *request) withCapacity(all []place.Candidate) []place.Candidate {
	if q.load == nil || len(all) == 0 || all[0].Wait > 0 {
		return all
	}
	now := time.Now()
	granted := q.admission.grantedCounts()
	withQuota := place.WithQuota(all, granted)
	if !q.admitsByLoad() {
		q.load.setRate(place.TotalQuota(all))
	}
	if len(withQuota) == 0 || !q.admitsByLoad() {
		q.noteBlocked(all, withQuota)
		return withQuota
	}
	all = withQuota
	rule := capacityRule{objective: q.objective, engine: q.service.Engine, keepsPrompts: q.service.Engine && q.placementKey() != "", prefillRate: rateWork / q.prefillRate.Estimate(rateWork, now).Seconds()}
	free := q.load.free(all, rule, granted, q.fleetView(len(all)), rand.Float64, now)
	q.noteBlocked(all, free)
	return free
}

// noteBlocked records whether none of the candidates has free capacity.
func (q *request) noteBlocked(all, free []place.Candidate) {
	if len(free) > 0 {
		return
	}
	q.blocked = true
	if instance, ok := q.Table.Get(all[0].ID); ok {
		q.version = instance.Version
	}
}

// rateWork is the work for which the time is estimated to get a rate.
const rateWork = 1e6

// fleetView returns the relation of a sample of instances to the service, and of this daemon to
// the fleet.
func (q *request) fleetView(sample int) fleetView {
	v := fleetView{scale: 1, fraction: 1 / float64(max(q.DaemonCount(), 1))}
	if sample >= sampleSize {
		v.scale = float64(q.Table.Count(q.service.Name, anyVersion)) / float64(sample)
	}
	return v
}

// describeWork determines the work of the next attempt, and before the first one the rank of the
// request.
func (q *request) describeWork(now time.Time) {
	mean := q.answers.Mean(q.estimateKey(q.modelName()), q.expectedTokens(), now)
	if mean <= 0 {
		// Healthy services answer on average within a fraction of their objective.
		mean = cmp.Or(q.route.Objective, defaultObjective) / 4
	}
	first := q.work == 0
	q.work = mean.Seconds()
	if !first {
		return
	}
	organisation := q.organisationName()
	q.meter().Arrived(q.service.Name, organisation, q.work)
	if q.Overload != nil && q.Overload.FairShares(q.service.Name) {
		fraction, limited := q.account().Share(q.service.Name, organisation)
		q.beyondShare = limited && rand.Float64() >= fraction
	}
	q.returning = q.admission.returning.takeReturning(q.digest, now)
}

// queueWork returns the request as the queue orders it.
func (q *request) queueWork() limit.Work {
	w := limit.Work{
		Priority: -q.priority(), Organisation: q.organisationName(), Cost: q.work, Deadline: q.deadline, Returning: q.returning, Selective: len(q.tried) > 0,
		ServiceTime: boundedServiceTime(time.Duration(q.work*float64(time.Second)), q.deadline.Sub(q.startedAt)),
	}
	switch {
	case q.lastEventID != "" || len(q.tried) > 0:
		w.Class = limit.Continued
	case q.beyondShare:
		w.Class = limit.BeyondShare
	}
	return w
}

// wait waits in the queue until try has succeeded.
func (q *request) wait(ctx context.Context, load *serviceLoad, try func() bool) error {
	if !q.blocked {
		// Others wait, so that no instance has been looked for yet.
		q.version = q.firstVersion()
	}
	q.hasWaited = true
	queue := q.admission.acquireQueue(load, q.version)
	defer q.admission.releaseQueue(queue)
	begun := time.Now()
	waiting := q.admission.noteWaiting(load, 1)
	load.noteQueued(waiting == 1, begun)
	q.meter().SetWaiting(load.name, waiting)
	q.Metrics.Waiting.Add(1)
	err := queue.Wait(ctx, q.queueWork(), try)
	q.Metrics.Waiting.Add(-1)
	q.meter().SetWaiting(load.name, q.admission.noteWaiting(load, -1))
	q.Metrics.countWait(time.Since(begun))
	var refused *limit.RefusedError
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.As(err, &refused):
		return q.refuse(refused, queue.Len())
	}
	return err
}

// firstVersion returns the version of an instance that the request may use.
func (q *request) firstVersion() string {
	if all := q.candidates(); len(all) > 0 {
		instance, _ := q.Table.Get(all[0].ID)
		return instance.Version
	}
	return ""
}

// refuse counts and logs a refusal, and returns the error for the caller.
func (q *request) refuse(refused *limit.RefusedError, queued int) error {
	now := time.Now()
	remaining := q.deadline.Sub(now)
	after := retryAfter(refused.RetryAfter, remaining, rand.Float64())
	q.admission.returning.noteTold(q.digest, now.Add(after), now)
	reason := refused.Reason
	if q.beyondShare {
		reason = reasonOverShare
	}
	organisation := q.organisationName()
	q.meter().Refused(q.service.Name, organisation)
	q.Metrics.countRefusal(organisation, reason)
	slog.Info("request.refused", "request", q.headers.ID, "service", q.service.Name, "version", q.version, "organisation", organisation,
		"reason", reason, "expected_wait_ms", refused.RetryAfter.Milliseconds(), "answer_ms", int64(q.work*1000),
		"remaining_ms", remaining.Milliseconds(), "retry_after_ms", after.Milliseconds(), "queued", queued, "returning", q.returning)
	return fault.New(fault.NoCapacity, "refused (%s): the expected wait for %s is %d ms, with %d ms left for the answer",
		reason, q.service.Name, refused.RetryAfter.Milliseconds(), remaining.Milliseconds()).WithRetryAfter(after)
}

// reasonOverShare replaces the queue's reason for requests beyond the share of their
// organisation.
const reasonOverShare = "over_share"

func (q *request) organisationName() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name
}

// releaseGrant is called once the inventory counts the request's attempt, or if there is none.
func (q *request) releaseGrant() {
	if q.granted != "" {
		q.admission.noteBegun(q.granted)
		q.granted = ""
	}
	if q.hasQuota {
		q.Table.ReleaseQuota(q.lastReserved)
		q.hasQuota = false
	}
}

// noteEnded updates what admission control knows of the service after an attempt, and grants the
// capacity that it leaves.
func (a *attempt) noteEnded(outcome inventory.Outcome) {
	if !a.isQueued() {
		return
	}
	now := time.Now()
	occupancy := time.Duration(0)
	if outcome == inventory.OutcomeSuccess {
		occupancy = now.Sub(a.sentAt)
		head, rest := occupancy, time.Duration(0)
		if a.route.Kind == catalog.Stream && !a.headAt.IsZero() {
			head, rest = a.headAt.Sub(a.sentAt), now.Sub(a.headAt)
		}
		a.answers.Observe(cascade.Key{Route: a.route.Name, Model: a.modelName()}, head, rest, a.expectedTokens(), now)
		a.meter().Finished(a.service.Name, a.work)
	}
	// An instance that refused the request, or could not be reached, has no more capacity than
	// before.
	if !a.headAt.IsZero() {
		a.admission.service(a.service.Name).noteEnded(a.instance.ID, occupancy, now)
	}
	a.admission.check(a.service.Name)
}

func (q *request) meter() Meter {
	if q.Meter == nil {
		return noMeter{}
	}
	return q.Meter
}

func (q *request) account() Account {
	if q.Account == nil {
		return noAccount{}
	}
	return q.Account
}
