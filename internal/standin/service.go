package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/gin-gonic/gin"
)

// HeaderCall is the header with a caller's ID of a call, by which Service counts calls.
const HeaderCall = "X-Call"

// Service is a plain application server. It echoes each call and counts how often it executed
// a call with the same HeaderCall.
type Service struct {
	Name string

	mu     sync.Mutex
	calls  map[string]int
	faults ServiceFaults
}

// ServiceFaults are the faults that a service injects into its own behaviour.
type ServiceFaults struct {
	// NoAnswer is the number of calls to execute without a response: the connection is
	// closed instead.
	NoAnswer int `json:"no_answer"`
}

// NewService returns a service with the given name.
func NewService(name string) *Service {
	return &Service{Name: name, calls: map[string]int{}}
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	r := newRouter()
	r.GET("/v1/load", func(c *gin.Context) {
		c.JSON(http.StatusOK, gin.H{"instance": s.Name, "slots": 64, "versions": []string{}})
	})
	r.GET("/standin/counts", func(c *gin.Context) {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.JSON(http.StatusOK, s.calls)
	})
	r.POST("/standin/faults", func(c *gin.Context) {
		var f ServiceFaults
		if bind(c, &f) {
			s.mu.Lock()
			s.faults = f
			s.mu.Unlock()
			c.JSON(http.StatusOK, gin.H{})
		}
	})
	r.NoRoute(s.call)
	return r
}

func (s *Service) call(c *gin.Context) {
	body, _ := io.ReadAll(c.Request.Body)
	s.mu.Lock()
	s.calls[c.GetHeader(HeaderCall)]++
	cut := s.faults.NoAnswer > 0
	if cut {
		s.faults.NoAnswer--
	}
	s.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, gin.H{
		"service": s.Name,
		"method":  c.Request.Method,
		"path":    c.Request.URL.Path,
		"query":   c.Request.URL.RawQuery,
		"body":    string(body),
		"trace":   c.GetHeader("Traceparent"),
	})
}
