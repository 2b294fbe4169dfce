package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/route"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// maxServiceAnswerBytes limits the length of the answer of a plain service.
const maxServiceAnswerBytes = 16 << 20

// ServiceCaller sends HTTP calls to plain services. *upstream.Client implements
// it.
type ServiceCaller interface {
	Do(req *http.Request, repeatable bool) (*http.Response, error)
}

// ServiceRequest is an admitted call to a plain service.
type ServiceRequest struct {
	ID           string
	Organisation string
	Name         string
	Service      config.Service
	Method       string
	// Path starts with "/". RawQuery may be empty.
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// OnNotRun is called before the answer ends if the work was not run.
	OnNotRun func()
}

func (r ServiceRequest) repeatable() bool {
	return slices.Contains(r.Service.RepeatableMethods, r.Method)
}

// RunService runs a call to its end and always ends the answer. It returns
// whether the work was run.
func (d *Dispatcher) RunService(ctx context.Context, req ServiceRequest, out *answer.Answer) fault.Ran {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ctx, span := tracer.Start(ctx, "service")
	defer span.End()
	span.SetAttributes(attribute.String("request", req.ID), attribute.String("service", req.Name))
	e := d.newExecution(Request{
		ID:           req.ID,
		Organisation: req.Organisation,
		Deadline:     req.Deadline,
		Kind:         config.Kind{Idempotent: req.repeatable(), Priority: req.Service.Priority},
		OnNotRun:     req.OnNotRun,
	}, out)
	e.bill.Service = req.Name
	if err := e.callService(ctx, req); err != nil {
		e.fail(ctx, err)
	}
	return e.ran
}

func (e *execution) callService(ctx context.Context, req ServiceRequest) error {
	if _, _, err := e.ConfigSource.UsableSnapshot(ctx); err != nil {
		return err
	}
	excluded := map[string]bool{}
	for range maxAttempts {
		u, id, err := e.acquireService(ctx, req, excluded)
		if err != nil {
			return err
		}
		reply, r := e.sendServiceCall(ctx, req, u, id)
		e.Upstreams.Ended(u.Instance.ID, id, r.upstreamFailed)
		if r.err == nil {
			return e.finishService(ctx, req, reply)
		}
		if !e.mayRetry(ctx, r) {
			return r.err
		}
		excluded[u.Instance.ID] = true
	}
	return fault.New(fault.NoUpstream, "no instance of service %q took the call", req.Name)
}

// acquireService waits until an instance of the service has capacity. It returns
// the instance and the id of the attempt, which is already counted towards the
// load of that instance.
func (e *execution) acquireService(ctx context.Context, req ServiceRequest, excluded map[string]bool) (member.Upstream, string, error) {
	id := e.req.ID
	var chosen member.Upstream
	if len(e.serviceLoads(req.Name, excluded)) == 0 {
		return chosen, "", fault.New(fault.NoUpstream, "no instance of service %q is there now", req.Name)
	}
	work := limit.Work{Priority: req.Service.Priority.Level(), Organisation: req.Organisation, Cost: 1, Deadline: req.Deadline}
	err := e.queueFor("service/"+req.Name).Wait(ctx, work, func() bool {
		loads := e.serviceLoads(req.Name, excluded)
		var picked route.UpstreamLoad
		var ok bool
		e.withRandom(func(random *rand.Rand) {
			picked, ok = route.PickUpstream(loads, random.Uint64(), 1, queueLimit, random)
		})
		if !ok {
			return false
		}
		chosen = e.upstreamByID(picked.ID)
		e.Upstreams.Started(picked.ID, id)
		return true
	})
	return chosen, id, err
}

// defaultServiceSlots is the assumed number of concurrent calls of an instance
// that does not report its slots.
const defaultServiceSlots = 64

// serviceLoads returns the loads of the usable instances of a service that are
// not in excluded.
func (e *execution) serviceLoads(name string, excluded map[string]bool) []route.UpstreamLoad {
	var loads []route.UpstreamLoad
	for _, u := range e.Upstreams.Usable(backing.RoleService) {
		if u.Instance.Service != name || excluded[u.Instance.ID] {
			continue
		}
		slots := u.Report.Slots
		if slots == 0 {
			slots = defaultServiceSlots
		}
		loads = append(loads, route.UpstreamLoad{
			ID:                u.Instance.ID,
			SameFailureDomain: u.Instance.FailureDomain == e.FailureDomain,
			Slots:             slots,
			Attempts:          route.EstimateLoad(u.Report.Running+u.Report.Queued, u.SentSince),
		})
	}
	return loads
}

func (d *Dispatcher) upstreamByID(id string) member.Upstream {
	for _, u := range d.Upstreams.Usable(backing.RoleService) {
		if u.Instance.ID == id {
			return u
		}
	}
	return member.Upstream{}
}

// serviceReply is the complete answer of a service.
type serviceReply struct {
	status int
	header http.Header
	body   []byte
}

// sendServiceCall sends the call to one instance and reads the complete answer.
func (e *execution) sendServiceCall(ctx context.Context, req ServiceRequest, u member.Upstream, id string) (serviceReply, attemptResult) {
	ctx, span := tracer.Start(ctx, "call")
	defer span.End()
	span.SetAttributes(attribute.String("upstream", u.Instance.ID))
	if err := e.recordServiceCall(ctx, u, id); err != nil {
		return serviceReply{}, attemptResult{err: err, notRun: true, noRetry: true}
	}
	target := "http://" + u.Instance.Address + req.Path
	if req.RawQuery != "" {
		target += "?" + req.RawQuery
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, target, bytes.NewReader(req.Body))
	if err != nil {
		return serviceReply{}, attemptResult{err: fault.New(fault.BadRequest, "path: %v", err), notRun: true, noRetry: true}
	}
	copyHeader(out.Header, req.Header)
	out.Header.Set(upstream.HeaderRequest, e.req.ID)
	resp, err := e.Services.Do(out, req.repeatable())
	if err != nil && upstream.NotRun(err) {
		return serviceReply{}, attemptResult{err: fault.New(fault.UpstreamFailed, "%v", err), notRun: true, upstreamFailed: true}
	}
	e.ran = fault.RanUnknown
	if err != nil {
		return serviceReply{}, e.serviceFailure(ctx, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswerBytes+1))
	switch {
	case err != nil:
		return serviceReply{}, e.serviceFailure(ctx, err)
	case len(body) > maxServiceAnswerBytes:
		return serviceReply{}, attemptResult{err: fault.New(fault.AnswerCut, "the answer is longer than %d bytes", maxServiceAnswerBytes), noRetry: true}
	}
	return serviceReply{status: resp.StatusCode, header: resp.Header, body: body}, attemptResult{}
}

// serviceFailure returns the result of a call with an unknown outcome. A call that
// exceeds its deadline counts towards ejecting the instance.
func (e *execution) serviceFailure(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		return attemptResult{err: ctx.Err(), upstreamFailed: errors.Is(ctx.Err(), context.DeadlineExceeded), noRetry: true}
	}
	return attemptResult{err: fault.New(fault.UpstreamFailed, "%v", err), upstreamFailed: true}
}

// recordServiceCall writes the instance and the attempt into the bill before the
// call is sent. It opens the bill if it is not open yet.
func (e *execution) recordServiceCall(ctx context.Context, u member.Upstream, id string) error {
	e.bill.Upstream = u.Instance.Address
	e.bill.Attempt = id
	e.bill.State = ledger.Open
	if e.billOpened {
		return e.Billing.Update(ctx, e.bill)
	}
	if err := e.Billing.Open(ctx, e.bill); err != nil {
		return err
	}
	e.billOpened = true
	return nil
}

func (e *execution) finishService(ctx context.Context, req ServiceRequest, reply serviceReply) error {
	e.bill.Amount = req.Service.Price
	header := http.Header{}
	copyHeader(header, reply.header)
	e.out.Start(answer.Head{Created: e.started, HTTP: &answer.HTTPHead{Status: reply.status, Header: header}})
	return e.finish(ctx, upstream.Event{Delta: string(reply.body), FinishReason: "stop"})
}

// unforwardedHeaders are the headers that are forwarded neither to a service nor
// back to the caller: those that belong to a single connection, and those that
// identify the caller to this system.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Idempotency-Key", "Traceparent",
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(unforwardedHeaders, textproto.CanonicalMIMEHeaderKey(name)) {
			to[name] = slices.Clone(values)
		}
	}
}
