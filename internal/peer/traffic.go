package peer

import (
	"encoding/json"
	"sync"
	"time"
)

// KindTraffic is what calls of one kind cost a daemon's link.
type KindTraffic struct {
	// Calls counts frames sent: calls made, or answers given.
	Calls int64 `json:"calls"`
	// Sent and Received are the bytes of frames, both ways.
	Sent     int64 `json:"sent_bytes"`
	Received int64 `json:"received_bytes"`
	// TookMS is how long calls made took until they were answered, in milliseconds,
	// all together. It grows when a link is too slow for what is told over it.
	TookMS int64 `json:"took_ms"`
}

// Traffic counts what daemons tell each other, by kind of call.
//
// Lock order: mu is taken alone.
type Traffic struct {
	mu    sync.Mutex
	kinds map[string]*KindTraffic
}

// NewTraffic returns counters at zero.
func NewTraffic() *Traffic { return &Traffic{kinds: map[string]*KindTraffic{}} }

// Kinds returns the counters by kind of call, "Service.Method".
func (t *Traffic) Kinds() map[string]KindTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]KindTraffic, len(t.kinds))
	for kind, k := range t.kinds {
		out[kind] = *k
	}
	return out
}

// MarshalJSON implements json.Marshaler.
func (t *Traffic) MarshalJSON() ([]byte, error) { return json.Marshal(t.Kinds()) }

func (t *Traffic) sent(kind string, bytes int64) {
	t.count(kind, func(k *KindTraffic) {
		k.Calls++
		k.Sent += bytes
	})
}

func (t *Traffic) answered(kind string, took time.Duration) {
	t.count(kind, func(k *KindTraffic) { k.TookMS += took.Milliseconds() })
}

func (t *Traffic) received(kind string, bytes int64) {
	t.count(kind, func(k *KindTraffic) { k.Received += bytes })
}

func (t *Traffic) count(kind string, f func(*KindTraffic)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		k = &KindTraffic{}
		t.kinds[kind] = k
	}
	f(k)
}
