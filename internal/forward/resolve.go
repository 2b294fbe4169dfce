package forward

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// admit finds the route, organisation and service of the request, and returns an error if it
// may not be served.
func (q *request) admit() error {
	var err error
	q.headers, err = q.Codec.ParseRequest(q.r.Header)
	if err != nil {
		return fault.New(fault.BadRequest, "%v", err)
	}
	q.catalog = q.Catalog()
	if q.catalog == nil {
		q.AwaitReady(q.r.Context())
		q.catalog = q.Catalog()
	}
	if q.catalog == nil {
		// A daemon that has just started knows no routes or keys. It must not answer that they
		// do not exist, because other daemons know them.
		return fault.New(fault.NotReady, "the configuration is not known yet").WithRetryAfter(q.ReadyIn())
	}
	if limit := q.catalog.Limits.HeaderBytes; limit > 0 && headerBytes(q.r) > limit {
		return fault.New(fault.HeaderTooLarge, "the head of the request is longer than %d bytes", limit)
	}
	if err := q.resolve(); err != nil {
		return err
	}
	route := q.route
	timeout := route.Timeout
	if q.headers.HasTimeout {
		timeout = min(timeout, q.headers.Timeout)
	}
	if q.RefusesLate(route.Kind, timeout) {
		// The request would be cut when the process exits.
		return fault.New(fault.Stopping, "this daemon is about to stop")
	}
	if q.headers.ID == "" {
		// Its answer could not be told from answers to other requests.
		return fault.New(fault.BadRequest, "the request does not have exactly one id")
	}
	var ok bool
	if q.service, ok = q.catalog.Service(route.PickService(rand.Float64())); !ok {
		return fault.New(fault.NoUpstream, "the route has no service")
	}
	q.deadline = q.startedAt.Add(timeout)
	q.lastEventID = q.headers.LastEventID
	q.sequence = newEventSequence(q.lastEventID, q.steps.of(q.route.Name))
	return nil
}

// resolve finds the route and the organisation of the request. Callers do not repeat a request whose route
// or key does not exist, so that only a daemon with the newest configuration says so.
func (q *request) resolve() error {
	err := q.lookUp()
	if err == nil || q.IsCurrent() {
		return err
	}
	q.AwaitNewer(q.r.Context())
	q.catalog = q.Catalog()
	if err = q.lookUp(); err == nil || q.IsCurrent() {
		return err
	}
	return fault.New(fault.NotReady, "the configuration may be old: %v", err).WithRetryAfter(defaultRetryAfter)
}

// lookUp finds the route and the organisation in the configuration.
func (q *request) lookUp() error {
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	route, ok := q.catalog.Match(q.r.Host, path)
	if !ok {
		return fault.New(fault.NotFound, "no route for this host and path")
	}
	q.route = route
	if route.Public {
		return nil
	}
	if q.organisation, ok = q.catalog.Organisation(q.headers.Key); !ok {
		return fault.New(fault.UnknownKey, "the key is not known")
	}
	return nil
}

// headerBytes returns the length of the head of a request as received, within a few bytes: it
// assumes one space between each header's colon and value.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\nHost: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
