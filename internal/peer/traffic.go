package peer

import (
	"encoding/json"
	"sync"
	"time"
)

// MethodTraffic counts the traffic of one net/rpc method at a client or a server.
type MethodTraffic struct {
	// Calls counts frames sent: requests of a client, replies of a server.
	Calls int64 `json:"calls"`
	// Sent and Received count the bytes of frames in each direction.
	Sent     int64 `json:"sent_bytes"`
	Received int64 `json:"received_bytes"`
	// TookMS is the total time from request to reply in milliseconds, over the answered calls
	// of a client. It grows when a link is too slow for its traffic.
	TookMS int64 `json:"took_ms"`
}

// Traffic counts calls between daemons and their bytes, per net/rpc method.
//
// Lock order: no other lock is taken while mu is held. net/rpc holds a lock of its own when a
// codec counts a frame that it sends.
type Traffic struct {
	mu      sync.Mutex
	methods map[string]*MethodTraffic
}

// NewTraffic returns counters at zero.
func NewTraffic() *Traffic { return &Traffic{methods: map[string]*MethodTraffic{}} }

// ByMethod returns a copy of the counters, keyed by "Service.Method".
func (t *Traffic) ByMethod() map[string]MethodTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]MethodTraffic, len(t.methods))
	for method, m := range t.methods {
		out[method] = *m
	}
	return out
}

// MarshalJSON implements json.Marshaler.
func (t *Traffic) MarshalJSON() ([]byte, error) { return json.Marshal(t.ByMethod()) }

func (t *Traffic) addSent(method string, bytes int64) {
	t.update(method, func(m *MethodTraffic) {
		m.Calls++
		m.Sent += bytes
	})
}

func (t *Traffic) addLatency(method string, took time.Duration) {
	t.update(method, func(m *MethodTraffic) { m.TookMS += took.Milliseconds() })
}

func (t *Traffic) addReceived(method string, bytes int64) {
	t.update(method, func(m *MethodTraffic) { m.Received += bytes })
}

// update applies f to the counters of a method while mu is held.
func (t *Traffic) update(method string, f func(*MethodTraffic)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.methods[method]
	if m == nil {
		m = &MethodTraffic{}
		t.methods[method] = m
	}
	f(m)
}
