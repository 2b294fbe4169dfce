// Package dispatch runs requests: it chooses a plan and an upstream, keeps the
// bill, sends attempts, resumes cut streams, retries what may be retried, and
// writes the answer.
package dispatch

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/rollout"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

var tracer = otel.Tracer("github.com/hornbeamsill/hornbeamsill/internal/dispatch")

// Request is an admitted request for a model.
type Request struct {
	ID           string
	Organisation string
	KindName     string
	Kind         config.Kind
	// Model is empty for "auto"; Version is empty unless the caller pinned it.
	Model   string
	Version string
	Chat    upstream.ChatRequest
	// Session is nil for the first request of a session.
	Session      *session.Session
	SessionToken string
	Deadline     time.Time
	// Keyed requests carry an idempotency key: they run to their end even
	// when nobody listens, so that a repeat finds the answer.
	HasIdempotencyKey bool
	// NotRun is called before the answer ends when the work was not run, so
	// that a caller who is told so can use its idempotency key again at once.
	OnNotRun func()
}

// Fresh tells whether the configuration may be relied on.
type Fresh interface {
	// Ensure returns the snapshot to dispatch with. provenOnly is true when
	// versions that are not proven may not be used.
	Ensure(ctx context.Context) (snapshot *config.Snapshot, provenOnly bool, err error)
}

// Billing keeps the bills; *ledger.Ledger is one.
type Billing interface {
	Open(ctx context.Context, b ledger.Bill) error
	Update(ctx context.Context, b ledger.Bill) error
	Close(ctx context.Context, b ledger.Bill)
	Void(id string)
}

// Judge judges answers inside a cascade.
type Judge interface {
	Judge(ctx context.Context, req backing.JudgeRequest) (backing.Judgement, error)
}

// Engines starts and resumes attempts; *upstream.Client is one.
type EngineClient interface {
	Start(ctx context.Context, address string, a upstream.Attempt) (*upstream.Stream, error)
	Resume(ctx context.Context, address, attempt string, next int) (*upstream.Stream, error)
	Cancel(ctx context.Context, address, attempt string) error
}

// Deps is what a Dispatcher works with.
type Deps struct {
	Site          string
	FailureDomain string
	Clock         clockwork.Clock
	Fresh         Fresh
	Upstreams     *member.Upstreams
	Engines       EngineClient
	Services      ServiceCaller
	Billing       Billing
	Judge         Judge
	Signer        *session.Signer
	Ratings       *rating.Counter
	Exposure      *rollout.DaemonCredits
	// Policy returns the policy in force for upstreams.
	Policy func() config.UpstreamPolicy
	Seed   uint64
	// AbandonGrace is how long an answer that nobody reads goes on.
	AbandonGrace time.Duration
}

// Dispatcher runs requests.
//
// Lock order: a queue's lock before mu; mu before nothing.
type Dispatcher struct {
	Deps
	retries *limit.RetryBudget
	latencies   *latencyEstimator

	mu     sync.Mutex
	queues map[string]*limit.Queue
	random *rand.Rand
}

// retryBurst is how many retries may be saved up.
const retryBurst = 10

// New returns a dispatcher.
func New(deps Deps) *Dispatcher {
	return &Dispatcher{
		Deps:    deps,
		retries: limit.NewRetryBudget(retryBurst),
		latencies:   newLatencyEstimator(),
		queues:  map[string]*limit.Queue{},
		random:  rand.New(rand.NewPCG(deps.Seed, 2)),
	}
}

// execution is the state of one running request.
type execution struct {
	*Dispatcher
	req  Request
	out  *answer.Answer
	bill ledger.Bill
	// opened is true once the bill is recorded.
	billOpened bool
	// ran is what is known about the work upstream.
	ran     fault.Ran
	started time.Time
}

// Run runs a request to its end and always ends the answer. It reports what
// became of the work.
func (d *Dispatcher) Run(ctx context.Context, req Request, out *answer.Answer) fault.Ran {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ctx, span := tracer.Start(ctx, "dispatch")
	defer span.End()
	span.SetAttributes(attribute.String("request", req.ID), attribute.String("organisation", req.Organisation), attribute.String("kind", req.KindName))
	e := d.newExecution(req, out)
	if err := e.run(ctx); err != nil {
		span.SetStatus(codes.Error, err.Error())
		e.fail(ctx, err)
	}
	return e.ran
}

func (d *Dispatcher) newExecution(req Request, out *answer.Answer) *execution {
	now := d.Clock.Now()
	return &execution{
		Dispatcher: d,
		req:        req,
		out:        out,
		ran:        fault.RanNo,
		started:    now,
		bill: ledger.Bill{
			RequestID:    req.ID,
			Organisation: req.Organisation,
			Site:         d.Site,
			Kind:         req.KindName,
			Opened:       now,
		},
	}
}

// maxPlans bounds how often a plan is made again because a version was
// withdrawn before the attempt was sent.
const maxPlans = 3

func (e *execution) run(ctx context.Context) error {
	var err error
	for range maxPlans {
		err = e.runPlan(ctx)
		replan := fault.Is(err, fault.VersionWithdrawn) && e.req.Version == "" && e.ran == fault.RanNo
		if !replan {
			return err
		}
	}
	return err
}

func (e *execution) runPlan(ctx context.Context) error {
	plan, err := e.plan(ctx)
	if err != nil {
		return err
	}
	if plan.Cascade() {
		return e.cascade(ctx, plan)
	}
	return e.answerWithVersion(ctx, plan.Steps[0])
}

// answerWith runs a version. A caller that streams gets its events as they
// come; for others they are collected, so that idempotent work can start
// afresh at another upstream as long as nothing was sent.
func (e *execution) answerWithVersion(ctx context.Context, ref config.VersionRef) error {
	if !e.req.Chat.Stream {
		var all eventBuffer
		last, err := e.runStep(ctx, ref, all.emit)
		if err != nil {
			return err
		}
		return e.sendBuffered(ctx, all, last)
	}
	last, err := e.runStep(ctx, ref, e.forward)
	if err != nil {
		return err
	}
	return e.finish(ctx, last)
}

// forward passes an event on. The last one is held back until the bill is
// closed.
func (e *execution) forward(event upstream.Event) error {
	if err := e.startAnswer(); err != nil {
		return err
	}
	if !event.Last() {
		e.out.Append(answer.Event{Delta: event.Delta}, e.Clock.Now())
	}
	return nil
}

// closeWait bounds how long the last event waits for the closed bill to be
// held by peers. The open bill is durable before that, so that a crash after
// this time still leads to one bill with the upstream's own count.
const billCloseTimeout = time.Second

// finish closes the bill and then sends the last event.
func (e *execution) finish(ctx context.Context, last upstream.Event) error {
	e.bill.State = ledger.Answered
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), billCloseTimeout)
	defer cancel()
	e.Billing.Close(closing, e.bill)
	e.ran = fault.RanYes
	e.retries.Success(e.Policy().WithDefaults().RetryRatio)
	e.out.Append(answer.Event{Delta: last.Delta, FinishReason: last.FinishReason, Usage: last.Usage}, e.Clock.Now())
	return nil
}

// fail closes or voids the bill and ends the answer with the error at once.
func (e *execution) fail(ctx context.Context, err error) {
	f := e.classify(ctx, err)
	f = f.WithRan(e.ran)
	switch {
	case !e.billOpened:
	case e.ran == fault.RanNo && len(e.bill.Steps) == 0:
		e.Billing.Void(e.req.ID)
	default:
		e.bill.State = ledger.Failed
		e.bill.Reason = string(f.Kind)
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), billCloseTimeout)
		defer cancel()
		e.Billing.Close(closing, e.bill)
	}
	if e.ran == fault.RanNo && e.req.OnNotRun != nil {
		e.req.OnNotRun()
	}
	e.out.Fail(f, e.Clock.Now())
}

// classify turns an error into one of the closed list.
func (e *execution) classify(ctx context.Context, err error) *fault.Error {
	var f *fault.Error
	var refused *limit.RefusedError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &refused):
		return fault.New(fault.NoCapacity, "%v", refused).WithRetryAfter(refused.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the answer was complete")
	case errors.Is(err, errAbandoned):
		return fault.New(fault.Cancelled, "nobody was reading the answer")
	default:
		return fault.New(fault.UpstreamFailed, "%v", err)
	}
}

// errAbandoned ends a request that nobody reads any more.
var errAbandoned = errors.New("abandoned")

// queue returns the queue in front of what serves name.
func (d *Dispatcher) queueFor(name string) *limit.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.queues[name]
	if !ok {
		q = limit.NewQueue(d.Clock)
		d.queues[name] = q
	}
	return q
}

// Waiting returns how many requests wait, by what they wait for.
func (d *Dispatcher) Waiting() map[string]int {
	out := map[string]int{}
	for name, q := range d.allQueues() {
		out[name] = q.Len()
	}
	return out
}

// allQueues returns the queues, so that they are used without holding mu: a
// queue holds its own lock while it tries to start a request, which takes mu.
func (d *Dispatcher) allQueues() map[string]*limit.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.queues)
}

// PokeLoop lets waiting requests try again whenever room may have come up.
func (d *Dispatcher) PokeLoop(ctx context.Context) {
	for {
		changed := d.Upstreams.Changed()
		d.grantWaiting()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dispatcher) grantWaiting() {
	for _, q := range d.allQueues() {
		q.GrantWaiting()
	}
}

// withRandom calls f with the dispatcher's random source.
func (d *Dispatcher) withRandom(f func(*rand.Rand)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.random)
}
