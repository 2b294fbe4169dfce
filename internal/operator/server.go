// Package operator serves the HTTP API for the operators' command-line tool.
package operator

import (
	"context"
	"crypto/subtle"
	"expvar"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/httpbody"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/rating"
	"github.com/hornbeamsill/hornbeamsill/internal/rollout"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
)

// Deps holds the dependencies of a Server.
type Deps struct {
	Config    *config.Store
	Follower  *config.Follower
	Ledger    ledger.Store
	Ratings   *rating.Counter
	Keys      *session.Keyring
	Directory caller.Directory
	// Status returns the status of the daemon.
	Status func() Status
	// OnAccepted is called after a change was accepted. It installs the change at
	// this daemon and notifies the peers.
	OnAccepted func(ctx context.Context)
	// Token is the bearer token that operators must send; if it is empty, none is
	// required.
	Token string
	// SessionLifetime is how long session tokens stay usable. It determines how long
	// signing keys are kept after a rotation.
	SessionLifetime time.Duration
	// Bodies reads the bodies of requests.
	Bodies httpbody.Receiver
}

// Server serves the API.
type Server struct{ Deps }

// New returns a Server.
func New(deps Deps) *Server { return &Server{Deps: deps} }

// Handler returns the handler for all paths of the API.
func (s *Server) Handler() http.Handler {
	r := gin.New()
	r.Use(gin.Recovery())
	r.GET("/debug/vars", gin.WrapH(expvar.Handler()))
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	v1 := r.Group("/v1", s.authenticate)
	v1.POST("/config/apply", s.apply)
	v1.GET("/config", s.showConfig)
	v1.GET("/config/history", s.history)
	v1.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, s.Status()) })
	v1.GET("/versions", s.versions)
	v1.GET("/rollouts", s.rollouts)
	v1.POST("/rollouts", s.startRollout)
	v1.POST("/rollouts/withdraw", s.withdraw)
	v1.GET("/ledger", s.ledger)
	v1.GET("/entries", s.entries)
	v1.POST("/keys/rotate", s.rotateKeys)
	r.NoRoute(func(c *gin.Context) {
		fault.Write(c.Writer, fault.New(fault.NotFound, "no such path: %s", c.Request.URL.Path))
	})
	return r
}

// authenticate refuses requests without the operator token.
func (s *Server) authenticate(c *gin.Context) {
	if s.Token == "" {
		return
	}
	given := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(given), []byte(s.Token)) != 1 {
		fault.Write(c.Writer, fault.New(fault.UnknownKey, "the operator token is missing or wrong"))
		c.Abort()
	}
}

// writeReply responds with out, or with err if it is not nil.
func writeReply(c *gin.Context, out any, err error) {
	if err != nil {
		fault.Write(c.Writer, classifyStoreError(err))
		return
	}
	c.JSON(http.StatusOK, out)
}

// classifyStoreError converts an error that the store is unavailable to a
// fault.StoreUnavailable.
func classifyStoreError(err error) error {
	if f := fault.From(err); f.Kind != fault.Internal {
		return f
	}
	if backing.IsUnavailable(err) {
		return fault.New(fault.StoreUnavailable, "%v", err)
	}
	return err
}

// decodeBody decodes the request body into out. If that fails, it responds with an
// error and returns false. Unknown fields are an error.
func (s *Server) decodeBody(c *gin.Context, out any) bool {
	body, err := s.Bodies.Receive(c.Writer, c.Request)
	if err == nil {
		defer body.Release()
		err = body.DecodeJSON(c.Request, out, false)
	}
	if err != nil {
		fault.Write(c.Writer, err)
	}
	return err == nil
}

// ApplyReply is the response to an accepted configuration change.
type ApplyReply struct {
	Change config.Change `json:"change"`
}

func (s *Server) apply(c *gin.Context) {
	var req config.ApplyRequest
	if !s.decodeBody(c, &req) {
		return
	}
	change, err := s.Config.Apply(c, req)
	if err == nil {
		s.OnAccepted(c)
	}
	writeReply(c, ApplyReply{Change: change}, err)
}

// ConfigView is the configuration of a site.
type ConfigView struct {
	// Generation is the one in force at the daemon that responds.
	Generation int64                 `json:"generation"`
	Head       config.Head           `json:"head"`
	Site       string                `json:"site"`
	Base       config.StoredDocument `json:"base"`
	Overlay    config.StoredDocument `json:"overlay"`
}

func (s *Server) showConfig(c *gin.Context) {
	out := ConfigView{Generation: s.Follower.Generation(), Site: c.DefaultQuery("site", s.Status().Site)}
	var err error
	if out.Head, _, err = s.Config.Head(c); err != nil {
		writeReply(c, nil, err)
		return
	}
	if out.Base, err = s.Config.Document(c, config.DocumentName("")); err != nil {
		writeReply(c, nil, err)
		return
	}
	out.Overlay, err = s.Config.Document(c, config.DocumentName(out.Site))
	writeReply(c, out, err)
}

// historyLimit limits the number of revisions in a response.
const historyLimit = 1000

func (s *Server) history(c *gin.Context) {
	rows, err := s.Config.History(c, c.Query("site"), historyLimit)
	if rows == nil {
		rows = []config.StoredDocument{}
	}
	writeReply(c, rows, err)
}

func (s *Server) ledger(c *gin.Context) {
	entries, err := ledger.List(c, s.Ledger, c.Query("organisation"))
	if entries == nil {
		entries = []ledger.Entry{}
	}
	writeReply(c, entries, err)
}

func (s *Server) entries(c *gin.Context) {
	entries, ttl := s.Directory.Entries()
	if entries == nil {
		entries = []caller.Entry{}
	}
	c.Header("Cache-Control", "max-age="+strconv.Itoa(int(ttl.Seconds())))
	c.JSON(http.StatusOK, entries)
}

func (s *Server) rotateKeys(c *gin.Context) {
	err := s.Keys.Rotate(c, s.SessionLifetime+session.KeyPropagationDelay)
	if err == nil {
		err = s.Keys.Refresh(c)
	}
	writeReply(c, gin.H{"keys": len(s.Keys.Keys())}, err)
}

// RolloutRequest names a version to roll out or to withdraw.
type RolloutRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// From is the version to replace.
	From   string `json:"from,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// RolloutReply is the configuration generation that contains the change.
type RolloutReply struct {
	Generation int64 `json:"generation"`
}

func (s *Server) startRollout(c *gin.Context) {
	s.changeRollout(c, func(req RolloutRequest, ref config.VersionRef) (int64, error) {
		return rollout.Start(c, s.Config, s.Follower.Current(), ref, req.From)
	})
}

func (s *Server) withdraw(c *gin.Context) {
	s.changeRollout(c, func(req RolloutRequest, ref config.VersionRef) (int64, error) {
		reason := req.Reason
		if reason == "" {
			reason = "withdrawn by an operator"
		}
		return rollout.Withdraw(c, s.Config, s.Follower.Current(), ref, reason)
	})
}

func (s *Server) changeRollout(c *gin.Context, change func(RolloutRequest, config.VersionRef) (int64, error)) {
	var req RolloutRequest
	if !s.decodeBody(c, &req) {
		return
	}
	generation, err := change(req, config.VersionRef{Model: req.Model, Version: req.Version})
	if err == nil {
		s.OnAccepted(c)
	}
	writeReply(c, RolloutReply{Generation: generation}, err)
}
