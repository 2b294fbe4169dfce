// Package dispatch runs requests: it chooses model versions and upstreams,
// records the bill, sends attempts, resumes interrupted streams, retries where
// this is safe, and writes the answer.
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

// Request is an admitted request to a model.
type Request struct {
	ID           string
	Organisation string
	KindName     string
	Kind         config.Kind
	// Model is empty if the caller selected "auto". Version is empty unless the
	// caller selected a specific version.
	Model   string
	Version string
	Chat    upstream.ChatRequest
	// Session is nil for the first request of a session.
	Session      *session.Session
	SessionToken string
	Deadline     time.Time
	// HasIdempotencyKey is set if the request has an idempotency key. Such a
	// request runs to its end even without readers, because a repeated request
	// with the same key returns its answer.
	HasIdempotencyKey bool
	// OnNotRun is called before the answer ends if the work was not run. It
	// releases the idempotency key, so that a caller who learns this can use the
	// key again at once.
	OnNotRun func()
}

// ConfigSource returns the configuration, provided that it is recent enough to
// use.
type ConfigSource interface {
	// UsableSnapshot returns the configuration for a request, or an error if it
	// has not been confirmed recently enough. If provenOnly is true, only proven
	// versions may be used.
	UsableSnapshot(ctx context.Context) (snapshot *config.Snapshot, provenOnly bool, err error)
}

// Billing records the bills of requests. *ledger.Ledger implements it.
type Billing interface {
	Open(ctx context.Context, b ledger.Bill) error
	Update(ctx context.Context, b ledger.Bill) error
	Close(ctx context.Context, b ledger.Bill)
	Void(id string)
}

// Judge assesses the answers of the first version in a cascade.
type Judge interface {
	Judge(ctx context.Context, req backing.JudgeRequest) (backing.Judgement, error)
}

// EngineClient starts, resumes and cancels attempts at model engines.
// *upstream.Client implements it.
type EngineClient interface {
	Start(ctx context.Context, address string, a upstream.Attempt) (*upstream.Stream, error)
	Resume(ctx context.Context, address, attempt string, next int) (*upstream.Stream, error)
	Cancel(ctx context.Context, address, attempt string) error
}

// Deps holds the dependencies of a Dispatcher.
type Deps struct {
	Site          string
	FailureDomain string
	Clock         clockwork.Clock
	ConfigSource  ConfigSource
	Upstreams     *member.Upstreams
	Engines       EngineClient
	Services      ServiceCaller
	Billing       Billing
	Judge         Judge
	Signer        *session.Signer
	Ratings       *rating.Counter
	Credits       *rollout.DaemonCredits
	// Policy returns the current policy for upstreams.
	Policy func() config.UpstreamPolicy
	Seed   uint64
	// AbandonGrace is how long an answer is continued without readers.
	AbandonGrace time.Duration
}

// Dispatcher runs requests. It is safe for concurrent use.
//
// Lock order: the lock of a queue, then mu, then the locks of Upstreams and
// Credits, which withRandom takes through substituteRollouts.
type Dispatcher struct {
	Deps
	retries   *limit.RetryBudget
	latencies *latencyEstimator

	mu     sync.Mutex
	queues map[string]*limit.Queue
	random *rand.Rand
}

// retryBurst is the maximum number of unused retries that the retry budget
// accumulates.
const retryBurst = 10

// New returns a dispatcher.
func New(deps Deps) *Dispatcher {
	return &Dispatcher{
		Deps:      deps,
		retries:   limit.NewRetryBudget(retryBurst),
		latencies: newLatencyEstimator(),
		queues:    map[string]*limit.Queue{},
		random:    rand.New(rand.NewPCG(deps.Seed, 2)),
	}
}

// execution is the state of one running request.
type execution struct {
	*Dispatcher
	req  Request
	out  *answer.Answer
	bill ledger.Bill
	// billOpened is true once the bill is recorded.
	billOpened bool
	// ran is what is known about whether an upstream ran the work.
	ran     fault.Ran
	started time.Time
}

// Run runs a request to its end and always ends the answer. It returns whether
// the work was run.
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

// maxPlans limits how often a request is planned. It is planned again if a
// version of the plan is withdrawn before the attempt is sent.
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

// answerWithVersion runs ref and sends its answer. A streaming caller receives
// the events as they arrive. For other callers the events are buffered, so that
// idempotent work can be restarted at another upstream until the answer is
// complete.
func (e *execution) answerWithVersion(ctx context.Context, ref config.VersionRef) error {
	if !e.req.Chat.Stream {
		var all eventBuffer
		last, err := e.runStep(ctx, ref, all.add)
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

// forward sends an event to the caller. The last event is held back; finish
// sends it after closing the bill.
func (e *execution) forward(event upstream.Event) error {
	if err := e.startAnswer(); err != nil {
		return err
	}
	if !event.Last() {
		e.out.Append(answer.Event{Delta: event.Delta}, e.Clock.Now())
	}
	return nil
}

// billCloseTimeout limits how long the last event waits for peers to store
// replicas of the closed bill. The open bill is durable by then, so a crash after
// the timeout still results in one bill, with the usage that the upstream
// reports.
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

// fail closes the bill, or voids it if nothing was run, and ends the answer with
// the error.
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

// classify converts an error to one of the error kinds of package fault.
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

// errAbandoned ends a request whose answer no longer has a reader.
var errAbandoned = errors.New("abandoned")

// queueFor returns the queue with the given name. There is one for each model
// version and for each plain service.
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

// QueueLengths returns the number of waiting requests by queue name.
func (d *Dispatcher) QueueLengths() map[string]int {
	out := map[string]int{}
	for name, q := range d.allQueues() {
		out[name] = q.Len()
	}
	return out
}

// allQueues returns a copy of the queues. Callers must not hold mu when they use
// a queue: a queue holds its own lock while it tries to start a request, which
// locks mu.
func (d *Dispatcher) allQueues() map[string]*limit.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.queues)
}

// GrantLoop lets waiting requests try again whenever the upstreams change, until
// ctx is done.
func (d *Dispatcher) GrantLoop(ctx context.Context) {
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
