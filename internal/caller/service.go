package caller

import (
	"log/slog"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hornbeamsill/hornbeamsill/internal/dispatch"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// service forwards a call to a plain service.
func (s *Server) service(c *gin.Context) {
	snapshot, organisation, err := s.authenticate(c)
	if err != nil {
		s.writeError(c, err)
		return
	}
	name := c.Param("service")
	declared, ok := snapshot.Doc.Services[name]
	switch {
	case !ok:
		s.writeError(c, fault.New(fault.UnknownService, "there is no service %q", name))
		return
	case !snapshot.AllowsService(organisation, name):
		s.writeError(c, fault.New(fault.ModelNotAllowed, "the organisation may not use service %q", name))
		return
	}
	deadline, err := s.parseDeadline(c, time.Duration(declared.DeadlineMS)*time.Millisecond)
	if err != nil {
		s.writeError(c, err)
		return
	}
	body, err := s.Bodies.Receive(c.Writer, c.Request)
	if err != nil {
		s.writeError(c, err)
		return
	}
	started := false
	defer func() {
		if !started {
			body.Release()
		}
	}()
	key, err := parseIdempotencyKey(c, organisation, false)
	if err != nil {
		s.writeError(c, err)
		return
	}
	path := c.Param("path")
	if path == "" {
		path = "/"
	}
	id := s.Requests.Next()
	sum := digest([]byte(name), []byte(c.Request.Method), []byte(path), []byte(c.Request.URL.RawQuery), body.Data)
	reader, earlier, err := s.claimKey(c, key, sum, id)
	if err != nil {
		s.writeError(c, err)
		return
	}
	if reader != nil {
		(&responder{server: s, c: c, id: earlier, after: -1}).writeWhole(reader)
		return
	}
	release, err := s.admit(snapshot, organisation, 0)
	if err != nil {
		s.releaseKey(key, id)
		s.writeError(c, err)
		return
	}
	req := dispatch.ServiceRequest{
		ID:           id,
		Organisation: organisation,
		Name:         name,
		Service:      declared,
		Method:       c.Request.Method,
		Path:         path,
		RawQuery:     c.Request.URL.RawQuery,
		Header:       c.Request.Header,
		Body:         body.Data,
		Deadline:     deadline,
		OnNotRun:     func() { s.releaseKey(key, id) },
	}
	out := s.Store.Create(id, organisation)
	ctx := withTraceFrom(s.BaseContext, c.Request.Context())
	started = true
	go func() {
		defer release()
		defer body.Release()
		ran := s.Dispatcher.RunService(ctx, req, out)
		slog.InfoContext(ctx, "request.ended", "request", id, "organisation", organisation, "service", name, "ran", string(ran))
	}()
	(&responder{server: s, c: c, id: id, after: -1}).writeWhole(out)
}
