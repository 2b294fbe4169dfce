package forward

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
)

// bucketBoundsMS holds the upper bounds of the latency buckets, in milliseconds. They range
// from the latency of a fast service to the longest deadline, each about twice the one before.
var bucketBoundsMS = [...]int64{10, 20, 50, 100, 200, 300, 500, 1000, 2000, 4000, 8000, 16000, 32000}

// histogram counts latencies by bucket. The last bucket is for latencies above all bounds.
type histogram struct {
	Counts [len(bucketBoundsMS) + 1]int64 `json:"counts"`
	Sum    int64                          `json:"sum_ms"`
}

func (h *histogram) add(d time.Duration) {
	ms := d.Milliseconds()
	i := 0
	for i < len(bucketBoundsMS) && ms > bucketBoundsMS[i] {
		i++
	}
	h.Counts[i]++
	h.Sum += ms
}

// routeMetrics holds the counters of one route.
type routeMetrics struct {
	Done   int64            `json:"done"`
	Errors map[string]int64 `json:"errors"`
	// Total and First are the latencies to the end and to the first byte of the answer.
	Total histogram `json:"total"`
	First histogram `json:"first_byte"`
}

// Metrics holds the counters of the request path.
//
// Lock order: mu is taken alone.
type Metrics struct {
	// Open is the number of requests in progress.
	Open atomic.Int64
	// Withdrawn counts the attempts that were not sent because their instance was withdrawn after
	// it was chosen.
	Withdrawn atomic.Int64
	// NoTurn counts the requests that were refused because they got no turn in time at an
	// instance that warms up or has a limit.
	NoTurn atomic.Int64
	// NoEscalation counts the answers of a small model that were kept only because no retry was
	// left to run the largest model.
	NoEscalation atomic.Int64
	// LostAnswers counts the answers that instances lost or corrupted, and UnprovenRuns the attempts
	// that must not run twice and went to an instance that is not proven.
	LostAnswers, UnprovenRuns atomic.Int64
	// ForeignAnswers counts the answers that did not belong to the request that was open.
	ForeignAnswers atomic.Int64
	// ErrorAnswers counts the answers with an error status of the instance itself, where these count
	// as evidence.
	ErrorAnswers atomic.Int64
	// OutOfOrder counts the runs of streams that were ended because their events did not follow those before.
	OutOfOrder atomic.Int64
	// EndsConfirmed counts the answers without framing that were taken for whole because their instance gave a
	// sign of life, EndsPlanned those because the end of their instance was planned, and EndsUnconfirmed
	// those that were not.
	EndsConfirmed, EndsPlanned, EndsUnconfirmed atomic.Int64
	// StalledCallers counts the callers that were dropped because they did not take their answer,
	// and AbortedCallers those that were dropped to free memory.
	StalledCallers, AbortedCallers atomic.Int64
	// Waiting is the number of requests that wait for capacity.
	Waiting atomic.Int64

	mu     sync.Mutex
	routes map[string]*routeMetrics
	// waits are the times that requests have waited for capacity, and refused is the number of
	// refusals by organisation and reason.
	waits   histogram
	refused map[string]map[string]int64
}

// NewMetrics returns empty counters.
func NewMetrics() *Metrics {
	return &Metrics{routes: map[string]*routeMetrics{}, refused: map[string]map[string]int64{}}
}

// maxRoutes bounds the routes counted by name. All further ones are counted together.
const maxRoutes = 200

func (m *Metrics) count(route *catalog.Route, kind string, total, first time.Duration) {
	name := "(none)"
	if route != nil {
		name = route.Name
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.routes[name]
	if !ok {
		if len(m.routes) >= maxRoutes {
			name = "(other)"
		}
		if f, ok = m.routes[name]; !ok {
			f = &routeMetrics{Errors: map[string]int64{}}
			m.routes[name] = f
		}
	}
	f.Done++
	f.Total.add(total)
	if first > 0 {
		f.First.add(first)
	}
	if kind != "" {
		f.Errors[kind]++
	}
}

// MarshalJSON implements json.Marshaler.
func (m *Metrics) MarshalJSON() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(struct {
		Open     int64                    `json:"open"`
		BoundsMS []int64                  `json:"bounds_ms"`
		Routes   map[string]*routeMetrics `json:"routes"`
		Queue    admissionMetrics         `json:"admission"`
	}{m.Open.Load(), bucketBoundsMS[:], m.routes, m.admission()})
}
