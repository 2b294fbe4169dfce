package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// EngineFaults are the faults that an engine injects into its own behaviour.
type EngineFaults struct {
	// CutAfter is the number of events after which each stream's connection is closed; 0
	// means never.
	CutAfter int `json:"cut_after"`
	// Cuts is the number of connections to close that way; 0 means no limit.
	Cuts int `json:"cuts"`
	// Reorder swaps adjacent events, Duplicate sends each event twice, and Foreign inserts
	// events of another attempt.
	Reorder   bool `json:"reorder"`
	Duplicate bool `json:"duplicate"`
	Foreign   bool `json:"foreign"`
	// NoAnswer closes the connection of an attempt after queueing the attempt, without a
	// response.
	NoAnswer bool `json:"no_answer"`
	// Refuse is the reason with which every attempt is refused; empty refuses none.
	Refuse upstream.RefusalReason `json:"refuse"`
	// HideLeaving omits from load reports that the engine is leaving.
	HideLeaving bool `json:"hide_leaving"`
	// Slowdown multiplies the duration of a step; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Leaving makes the engine refuse new attempts and report that it is leaving.
	Leaving bool `json:"leaving"`
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.leaving = f.Leaving
}

// nextCut returns the number of events after which a new stream's connection is closed, or 0
// for never, and counts it towards Cuts.
func (e *Engine) nextCut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutAfter == 0 {
		return 0
	}
	cut := e.faults.CutAfter
	if e.faults.Cuts > 0 {
		e.faults.Cuts--
		if e.faults.Cuts == 0 {
			e.faults.CutAfter = 0
		}
	}
	return cut
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := newRouter()
	r.POST("/v1/chat/completions", e.postChat)
	r.GET("/v1/attempts/:id/stream", e.getStream)
	r.DELETE("/v1/attempts/:id", func(c *gin.Context) {
		e.cancel(c.Param("id"))
		c.JSON(http.StatusOK, gin.H{})
	})
	r.GET("/v1/usage", func(c *gin.Context) { c.JSON(http.StatusOK, e.usage(c.Query("request"))) })
	r.GET("/v1/load", func(c *gin.Context) { c.JSON(http.StatusOK, e.delayedReport()) })
	r.POST("/v1/orders", e.postOrder)
	r.GET("/standin/counts", func(c *gin.Context) { c.JSON(http.StatusOK, e.Counts()) })
	r.POST("/standin/faults", func(c *gin.Context) {
		var f EngineFaults
		if bind(c, &f) {
			e.SetFaults(f)
			c.JSON(http.StatusOK, gin.H{})
		}
	})
	return r
}

func (e *Engine) postChat(c *gin.Context) {
	priority, _ := strconv.Atoi(c.GetHeader(upstream.HeaderPriority))
	a := upstream.Attempt{
		ID:        c.GetHeader(upstream.HeaderAttempt),
		RequestID: c.GetHeader(upstream.HeaderRequest),
		Kind:      c.GetHeader(upstream.HeaderKind),
		Priority:  priority,
	}
	if !bind(c, &a.Chat) {
		return
	}
	r, refused := e.enqueue(a)
	if refused != "" {
		c.JSON(http.StatusConflict, upstream.Refusal{Refused: refused})
		return
	}
	e.mu.Lock()
	noAnswer := e.faults.NoAnswer
	e.mu.Unlock()
	if noAnswer {
		panic(http.ErrAbortHandler)
	}
	e.streamEvents(c, r, 0)
}

func (e *Engine) getStream(c *gin.Context) {
	after, err := strconv.Atoi(c.Query("after"))
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	r, ok := e.attempts[c.Param("id")]
	e.mu.Unlock()
	if !ok {
		c.AbortWithStatus(http.StatusNotFound)
		return
	}
	e.streamEvents(c, r, after+1)
}

// streamEvents streams the events of r from offset next until r ends or the client
// disconnects.
func (e *Engine) streamEvents(c *gin.Context, r *attemptRun, next int) {
	c.Header("Content-Type", "text/event-stream")
	c.Writer.WriteHeaderNow()
	c.Writer.Flush()
	w := &eventWriter{c: c, cutAfter: e.nextCut()}
	for {
		e.mu.Lock()
		events := r.events[next:]
		ended, changed := r.ended(), r.changed
		w.faults = e.faults
		e.mu.Unlock()
		w.write(events)
		next += len(events)
		if ended {
			fmt.Fprint(c.Writer, "data: [DONE]\n\n")
			return
		}
		select {
		case <-changed:
		case <-c.Request.Context().Done():
			return
		}
	}
}

// eventWriter writes events to a stream and injects the faults. held is the event that
// Reorder sends after its successor.
type eventWriter struct {
	c        *gin.Context
	faults   EngineFaults
	cutAfter int
	sent     int
	held     *upstream.Event
}

func (w *eventWriter) write(events []upstream.Event) {
	for _, event := range events {
		if w.cutAfter > 0 && w.sent == w.cutAfter {
			w.c.Writer.Flush()
			panic(http.ErrAbortHandler)
		}
		w.sent++
		w.writeEvent(event)
	}
	w.c.Writer.Flush()
}

func (w *eventWriter) writeEvent(event upstream.Event) {
	if w.faults.Reorder && w.held == nil && !event.Last() {
		w.held = &event
		return
	}
	w.send(event)
	if w.held != nil {
		w.send(*w.held)
		w.held = nil
	}
}

func (w *eventWriter) send(event upstream.Event) {
	data, _ := json.Marshal(event)
	fmt.Fprintf(w.c.Writer, "id: %s/%d\ndata: %s\n\n", event.Attempt, event.Offset, data)
	if w.faults.Duplicate {
		fmt.Fprintf(w.c.Writer, "data: %s\n\n", data)
	}
	if w.faults.Foreign {
		event.Attempt = "other"
		event.Delta = "foreign "
		data, _ = json.Marshal(event)
		fmt.Fprintf(w.c.Writer, "data: %s\n\n", data)
	}
}

func (e *Engine) postOrder(c *gin.Context) {
	var o upstream.Order
	if !bind(c, &o) {
		return
	}
	if o.Action == upstream.OrderLoad && !e.fetchWeights(o) {
		c.JSON(http.StatusTooManyRequests, upstream.Refusal{Refused: upstream.RefusedBusy})
		return
	}
	if refused := e.applyOrder(o); refused != "" {
		c.JSON(http.StatusConflict, upstream.Refusal{Refused: refused})
		return
	}
	c.JSON(http.StatusOK, gin.H{})
}

// fetchWeights fetches the weights of a version from the platform stand-in and reports whether
// that succeeded. It fails while the weight store is over its rate limit.
func (e *Engine) fetchWeights(o upstream.Order) bool {
	e.mu.Lock()
	_, have := e.serving[o.Model+"@"+o.Version]
	e.mu.Unlock()
	if have || e.options.Platform == "" {
		return true
	}
	resp, err := http.Get("http://" + e.options.Platform + "/v1/weights/" + o.Model + "/" + o.Version)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// RatingPoster returns a function that posts a rating to the platform stand-in at address. Use
// it as OnRating if the platform runs in another process.
func RatingPoster(address string) func(backing.Rating) {
	return func(r backing.Rating) {
		data, _ := json.Marshal(r)
		resp, err := http.Post("http://"+address+"/standin/ratings", "application/json", bytes.NewReader(data))
		if err == nil {
			resp.Body.Close()
		}
	}
}
