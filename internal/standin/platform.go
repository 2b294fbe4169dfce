// Package standin implements stand-ins for the external systems: the platform, model engines
// and plain services. They speak the real protocols over HTTP. They run in the daemon's
// process with --dev and as separate processes in tests, which inject faults through the
// paths below /standin/.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// PlatformFault is a fault that the platform stand-in injects into all calls.
type PlatformFault string

// Values of PlatformFault. FaultRefuse refuses every call with status 503.
const (
	FaultNone   PlatformFault = "none"
	FaultRefuse PlatformFault = "refuse"
	// FaultLoseAnswer executes writes and closes the connection without a response. After
	// the first such write, reads are refused, so that the client cannot find out by
	// reading whether the write took effect.
	FaultLoseAnswer PlatformFault = "lose_answer"
)

// PlatformOptions are the settings of a platform stand-in.
type PlatformOptions struct {
	// ListLag is the age of the instance list that is served.
	ListLag time.Duration
	// WeightsPerSecond is the rate limit of the weight store; 0 means no limit.
	WeightsPerSecond float64
}

// Platform serves over HTTP the platform's store, and the instance list, the ratings and the
// judge of a backing.Memory.
type Platform struct {
	Memory        *backing.Memory
	Store         *platformtest.Store
	options       PlatformOptions
	weightLimiter *rate.Limiter

	mu         sync.Mutex
	fault      PlatformFault
	answerLost bool // FaultLoseAnswer has dropped the response to a write
	listings   []instanceListing
	writes     int
	reads      int
}

// instanceListing is the instance list at a point in time.
type instanceListing struct {
	at        time.Time
	instances []backing.Instance
}

// NewPlatform returns a platform stand-in over memory.
func NewPlatform(memory *backing.Memory, options PlatformOptions) *Platform {
	limit := rate.Inf
	if options.WeightsPerSecond > 0 {
		limit = rate.Limit(options.WeightsPerSecond)
	}
	return &Platform{
		Memory:        memory,
		Store:         platformtest.NewStore(),
		options:       options,
		weightLimiter: rate.NewLimiter(limit, 1),
		fault:         FaultNone,
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := newRouter()
	api := r.Group("/v1", p.injectFault)
	api.GET("/instances", p.getInstances)
	api.GET("/ratings", p.getRatings)
	api.POST("/judgements", p.judge)
	api.GET("/weights/:model/:version", p.getWeights)
	r.NoRoute(p.injectFault, gin.WrapH(p.Store.Handler()))
	r.POST("/standin/fault", p.setFault)
	r.POST("/standin/instances", p.putInstance)
	r.DELETE("/standin/instances/:id", p.removeInstance)
	r.POST("/standin/ratings", p.addRating)
	r.GET("/standin/counts", p.counts)
	return r
}

// injectFault counts the call and applies the current fault: it refuses the call, or executes
// it and closes the connection without a response.
func (p *Platform) injectFault(c *gin.Context) {
	p.mu.Lock()
	fault := p.fault
	refuseReads := p.answerLost
	if c.Request.Method == http.MethodGet {
		p.reads++
	} else {
		p.writes++
	}
	p.mu.Unlock()
	switch fault {
	case FaultRefuse:
		c.AbortWithStatus(http.StatusServiceUnavailable)
	case FaultLoseAnswer:
		if c.Request.Method == http.MethodGet {
			if refuseReads {
				c.AbortWithStatus(http.StatusServiceUnavailable)
			}
			return
		}
		p.mu.Lock()
		p.answerLost = true
		p.mu.Unlock()
		c.Writer = &discardWriter{ResponseWriter: c.Writer}
		c.Next()
		panic(http.ErrAbortHandler)
	}
}

// discardWriter discards the response to a call.
type discardWriter struct{ gin.ResponseWriter }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

// getInstances serves the instance list as it was ListLag ago. Lists are recorded only when
// this is called, so the returned one is the newest that is old enough, or else the oldest.
func (p *Platform) getInstances(c *gin.Context) {
	current, err := p.Memory.ListInstances(c)
	if err != nil {
		reply(c, nil, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.listings = append(p.listings, instanceListing{at: now, instances: current})
	for len(p.listings) > 1 && now.Sub(p.listings[1].at) >= p.options.ListLag {
		p.listings = p.listings[1:]
	}
	c.JSON(http.StatusOK, p.listings[0].instances)
}

func (p *Platform) getRatings(c *gin.Context) {
	after, _ := strconv.ParseInt(c.DefaultQuery("after", "0"), 10, 64)
	limit, _ := strconv.Atoi(c.DefaultQuery("limit", "1000"))
	ratings, err := p.Memory.ReadRatings(c, after, limit)
	if ratings == nil {
		ratings = []backing.Rating{}
	}
	reply(c, ratings, err)
}

func (p *Platform) judge(c *gin.Context) {
	var req backing.JudgeRequest
	if !bind(c, &req) {
		return
	}
	judgement, err := p.Memory.Judge(c, req)
	reply(c, judgement, err)
}

func (p *Platform) getWeights(c *gin.Context) {
	if !p.weightLimiter.Allow() {
		c.AbortWithStatus(http.StatusTooManyRequests)
		return
	}
	c.JSON(http.StatusOK, gin.H{"model": c.Param("model"), "version": c.Param("version")})
}

func (p *Platform) setFault(c *gin.Context) {
	var in struct {
		Fault PlatformFault `json:"fault"`
	}
	if !bind(c, &in) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = in.Fault
	p.answerLost = false
	c.JSON(http.StatusOK, gin.H{})
}

func (p *Platform) putInstance(c *gin.Context) {
	var i backing.Instance
	if !bind(c, &i) {
		return
	}
	p.Memory.PutInstance(i)
	c.JSON(http.StatusOK, gin.H{})
}

func (p *Platform) removeInstance(c *gin.Context) {
	p.Memory.RemoveInstance(c.Param("id"))
	c.JSON(http.StatusOK, gin.H{})
}

func (p *Platform) addRating(c *gin.Context) {
	var r backing.Rating
	if !bind(c, &r) {
		return
	}
	p.Memory.AddRating(r)
	c.JSON(http.StatusOK, gin.H{})
}

func (p *Platform) counts(c *gin.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.JSON(http.StatusOK, gin.H{"writes": p.writes, "reads": p.reads})
}

// bind decodes the JSON body into out. If that fails, it responds with status 400 and returns
// false.
func bind(c *gin.Context, out any) bool {
	if err := json.NewDecoder(c.Request.Body).Decode(out); err != nil {
		c.AbortWithStatusJSON(http.StatusBadRequest, gin.H{"message": err.Error()})
		return false
	}
	return true
}

// reply responds with out, or with the status code for err.
func reply(c *gin.Context, out any, err error) {
	switch {
	case err == nil:
		c.JSON(http.StatusOK, out)
	case trace.IsNotFound(err):
		c.String(http.StatusNotFound, err.Error())
	case trace.IsCompareFailed(err):
		c.String(http.StatusConflict, err.Error())
	default:
		c.String(http.StatusServiceUnavailable, err.Error())
	}
}

// newRouter returns a gin router without request logs and debug output.
func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}
