package caller

import (
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
)

// requestStatus is the body of the response to GET /v1/requests/{id}.
type requestStatus struct {
	Request string `json:"request"`
	// State is "running", "answered" or "failed".
	State   string           `json:"state"`
	Model   string           `json:"model,omitempty"`
	Version string           `json:"version,omitempty"`
	Events  int              `json:"events"`
	Error   *fault.BodyError `json:"error,omitempty"`
}

// findReader returns a reader of the answer to the request in the path. It returns
// an error if the request belongs to another organisation.
func (s *Server) findReader(c *gin.Context) (Reader, error) {
	_, organisation, err := s.authenticate(c)
	if err != nil {
		return nil, err
	}
	id := c.Param("id")
	resume, err := s.parseResume(c, id, organisation)
	if err != nil {
		return nil, err
	}
	reader, err := s.Answers.Find(c.Request.Context(), id, resume)
	if err != nil {
		return nil, err
	}
	owned, ok := reader.(interface{ Owner() string })
	if ok && owned.Owner() != organisation {
		return nil, fault.New(fault.RequestNotFound, "request %s is not known", id)
	}
	return reader, nil
}

// parseResume verifies the resume token in the header or in the query. It returns
// nil if there is none.
func (s *Server) parseResume(c *gin.Context, id, organisation string) (*session.Resume, error) {
	token := c.GetHeader(HeaderResume)
	if token == "" {
		token = c.Query("resume")
	}
	if token == "" {
		return nil, nil
	}
	resume, err := s.Signer.ParseResume(token)
	if err != nil {
		return nil, fault.New(fault.BadResumeToken, "%s: %v", HeaderResume, err)
	}
	if resume.RequestID != id || resume.Organisation != organisation {
		return nil, fault.New(fault.BadResumeToken, "%s: the token is for another request", HeaderResume)
	}
	return &resume, nil
}

// showRequest responds with the status of a request.
func (s *Server) showRequest(c *gin.Context) {
	reader, err := s.findReader(c)
	if err != nil {
		s.writeError(c, err)
		return
	}
	viewer, ok := reader.(interface{ View(after int) answer.View })
	if !ok {
		s.writeError(c, fault.New(fault.RequestNotFound, "request %s is only known as a stream", c.Param("id")))
		return
	}
	view := viewer.View(-1)
	c.Header(HeaderRequest, c.Param("id"))
	c.JSON(http.StatusOK, statusOf(c.Param("id"), view))
}

func statusOf(id string, view answer.View) requestStatus {
	out := requestStatus{Request: id, State: "running", Events: len(view.Events)}
	if view.Head != nil {
		out.Model, out.Version = view.Head.Version.Model, view.Head.Version.Version
	}
	switch {
	case view.Err != nil:
		body := view.Err.ToBody().Error
		out.State, out.Error = "failed", &body
	case view.Done:
		out.State = "answered"
	}
	return out
}

// resumeStream streams the events of an answer that follow a given offset.
func (s *Server) resumeStream(c *gin.Context) {
	after := -1
	if text := c.Query("after"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < -1 {
			s.writeError(c, fault.New(fault.BadRequest, "after: want an offset, not %q", text))
			return
		}
		after = n
	}
	reader, err := s.findReader(c)
	if err != nil {
		s.writeError(c, err)
		return
	}
	r := responder{server: s, c: c, id: c.Param("id"), after: after}
	r.writeStream(reader)
}
