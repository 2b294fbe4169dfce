// Package caller serves the HTTP API for callers: the list of daemons, chat
// completions compatible with OpenAI's, plain services, and the answers to earlier
// requests.
package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/dispatch"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/httpbody"
	"github.com/hornbeamsill/hornbeamsill/internal/ident"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
)

// Request and response headers of the API.
const (
	HeaderKind           = "Hornbeamsill-Kind"
	HeaderSession        = "Hornbeamsill-Session"
	HeaderDeadline       = "Hornbeamsill-Deadline-Ms"
	HeaderRequest        = "Hornbeamsill-Request"
	HeaderModel          = "Hornbeamsill-Model"
	HeaderVersion        = "Hornbeamsill-Version"
	HeaderResume         = "Hornbeamsill-Resume"
	HeaderIdempotencyKey = "Idempotency-Key"
)

var tracer = otel.Tracer("github.com/hornbeamsill/hornbeamsill/internal/caller")

// Entry is a daemon that callers can use.
type Entry struct {
	URL           string `json:"url"`
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	// KeyPrefix is the prefix that callers put before their idempotency keys. It
	// makes this daemon the one that decides about them.
	KeyPrefix string `json:"key_prefix"`
}

// Directory lists the daemons that callers can use and reports whether this one
// serves them.
type Directory interface {
	// Entries returns daemons that callers can use, and how long callers may cache
	// the list.
	Entries() ([]Entry, time.Duration)
	// Ready returns an error if this daemon cannot serve callers.
	Ready() error
	// CheckAccepting returns an error if this daemon accepts no new requests.
	CheckAccepting() error
}

// Answers finds answers that are stored at this or at another daemon.
type Answers interface {
	// Find returns a reader of the answer to a request. resume may be nil.
	Find(ctx context.Context, requestID string, resume *session.Resume) (Reader, error)
}

// Reader reads an answer while it is generated.
type Reader interface {
	// Wait blocks until there are events whose offset is greater than after, the
	// head is known and haveHead is false, or the answer has ended.
	Wait(ctx context.Context, after int, haveHead bool) (answer.View, error)
}

// Deps holds the dependencies of a Server.
type Deps struct {
	Clock      clockwork.Clock
	Follower   *config.Follower
	Directory  Directory
	Dispatcher *dispatch.Dispatcher
	Claims     *claim.Resolver
	Limits     *limit.OrganisationLimiter
	Store      *answer.Store
	Answers    Answers
	Signer     *session.Signer
	Requests   *ident.Requests
	// Bodies reads the bodies of requests.
	Bodies httpbody.Receiver
	// BaseContext is the context in which requests run. It outlives the connections
	// of callers.
	BaseContext context.Context
}

// Server serves the API.
type Server struct{ Deps }

// New returns a Server.
func New(deps Deps) *Server { return &Server{Deps: deps} }

// Handler returns the handler for all paths of the API.
func (s *Server) Handler() http.Handler {
	r := gin.New()
	r.HandleMethodNotAllowed = true
	r.Use(gin.CustomRecovery(func(c *gin.Context, recovered any) {
		fault.Write(c.Writer, fault.New(fault.Internal, "%v", recovered).WithRan(fault.RanUnknown))
	}), s.trace)
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", s.ready)
	v1 := r.Group("/v1")
	v1.GET("/entries", s.entries)
	v1.GET("/models", s.models)
	v1.POST("/chat/completions", s.chat)
	v1.GET("/requests/:id", s.showRequest)
	v1.GET("/requests/:id/stream", s.resumeStream)
	v1.Any("/services/:service", s.service)
	v1.Any("/services/:service/*path", s.service)
	r.NoRoute(func(c *gin.Context) {
		s.writeError(c, fault.New(fault.NotFound, "no such path: %s", c.Request.URL.Path))
	})
	r.NoMethod(func(c *gin.Context) {
		s.writeError(c, fault.New(fault.NotFound, "%s is not possible on %s", c.Request.Method, c.Request.URL.Path))
	})
	return r
}

// trace runs the request in a span that continues the trace of the caller.
func (s *Server) trace(c *gin.Context) {
	ctx := otel.GetTextMapPropagator().Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
	ctx, span := tracer.Start(ctx, "caller "+c.Request.Method+" "+c.FullPath())
	defer span.End()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
	span.SetAttributes(attribute.Int("status", c.Writer.Status()))
}

// writeError responds with an error. If another daemon might succeed, the response
// lists the daemons that callers can use.
func (s *Server) writeError(c *gin.Context, err error) {
	f := *fault.From(err)
	switch f.Kind {
	case fault.Stopping, fault.NotReady, fault.ConfigStale, fault.NoUpstream, fault.NoCapacity, fault.StoreUnavailable:
		f.Entries = s.entryURLs()
	}
	if f.RequestID != "" {
		c.Header(HeaderRequest, f.RequestID)
	}
	fault.Write(c.Writer, &f)
	c.Abort()
}

func (s *Server) entryURLs() []string {
	entries, _ := s.Directory.Entries()
	var out []string
	for _, e := range entries {
		out = append(out, e.URL)
	}
	return out
}

func (s *Server) ready(c *gin.Context) {
	if err := s.Directory.Ready(); err != nil {
		s.writeError(c, err)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (s *Server) entries(c *gin.Context) {
	entries, ttl := s.Directory.Entries()
	if entries == nil {
		entries = []Entry{}
	}
	c.JSON(http.StatusOK, gin.H{"entries": entries, "ttl_seconds": int(ttl.Seconds())})
}

// authenticate returns the configuration in force and the organisation of the
// caller's API key.
func (s *Server) authenticate(c *gin.Context) (*config.Snapshot, string, error) {
	snapshot := s.Follower.Current()
	if snapshot == nil {
		return nil, "", fault.New(fault.NotReady, "no configuration yet")
	}
	scheme, key, _ := strings.Cut(c.GetHeader("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return nil, "", fault.New(fault.MissingKey, "Authorization: want Bearer and an API key")
	}
	organisation, ok := snapshot.OrganisationOf(strings.TrimSpace(key))
	if !ok {
		return nil, "", fault.New(fault.UnknownKey, "Authorization: the API key is not known")
	}
	return snapshot, organisation, nil
}

// model is an element of the response to GET /v1/models.
type model struct {
	ID      string              `json:"id"`
	Object  string              `json:"object"`
	Created int64               `json:"created"`
	OwnedBy string              `json:"owned_by"`
	State   config.VersionState `json:"state"`
}

// models responds with the versions that the organisation may use and that are not
// withdrawn.
func (s *Server) models(c *gin.Context) {
	snapshot, organisation, err := s.authenticate(c)
	if err != nil {
		s.writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": allowedModels(snapshot, organisation)})
}
