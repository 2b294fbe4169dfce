package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// gateHold is the time after the end of an instance within which its suspects are judged.
	gateHold = 300 * time.Millisecond
	// maxGateWait bounds the wait of a request.
	maxGateWait = 500 * time.Millisecond
	// gateTTL is how long after the end of an instance the parts of its requests are held back.
	gateTTL = 3 * time.Second
	// maxGated bounds the parts that are held back.
	maxGated = 4096
)

// Gate holds requests back that have a part with which an instance has just ended and no request is
// known to have completed. One of them at a time runs, and none until the evidence of the last end has
// been judged. It limits the instances that end before the verdict when many such requests come at
// once. While no instance has ended, it costs one atomic load.
//
// Lock order: no other lock is taken while mu is held.
type Gate struct {
	clock clockwork.Clock
	count atomic.Int64

	mu    sync.Mutex
	parts map[string]*gatedPart
}

type gatedPart struct {
	endedAt time.Time
	// running is the number of requests that the gate has let through and that still run.
	running int
	// changed is closed when a waiting request must look again.
	changed chan struct{}
}

// NewGate returns a Gate that holds nothing back.
func NewGate(clock clockwork.Clock) *Gate {
	return &Gate{clock: clock, parts: map[string]*gatedPart{}}
}

// Hold begins or prolongs the time in which requests with the parts are held back.
func (g *Gate) Hold(parts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for part, p := range g.parts {
		if now.Sub(p.endedAt) > gateTTL {
			g.remove(part, p)
		}
	}
	for _, part := range parts {
		p := g.parts[part]
		if p == nil {
			if len(g.parts) >= maxGated {
				continue
			}
			p = &gatedPart{changed: make(chan struct{})}
			g.parts[part] = p
		}
		p.endedAt = now
	}
	g.count.Store(int64(len(g.parts)))
}

// Open ends it: a request with the parts has completed, or they have been judged.
func (g *Gate) Open(parts []string) {
	if g.count.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		if p := g.parts[part]; p != nil {
			g.remove(part, p)
		}
	}
	g.count.Store(int64(len(g.parts)))
}

func (g *Gate) remove(part string, p *gatedPart) {
	close(p.changed)
	delete(g.parts, part)
}

// Holds reports whether requests with one of the parts are held back.
func (g *Gate) Holds(parts []string) bool {
	if g.count.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, part := range parts {
		if p := g.parts[part]; p != nil && now.Sub(p.endedAt) <= gateTTL {
			return true
		}
	}
	return false
}

// Enter waits until a request with the parts may run, at most maxGateWait. leave must be called when
// the request has run.
func (g *Gate) Enter(ctx context.Context, parts []string) (leave func()) {
	if g.count.Load() == 0 {
		return func() {}
	}
	deadline := g.clock.Now().Add(maxGateWait)
	for {
		entered, changed, wait := g.tryEnter(parts, deadline)
		if changed == nil {
			return func() { g.leave(entered) }
		}
		timer := g.clock.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return func() {}
		}
		timer.Stop()
	}
}

// tryEnter counts a request as running for each of its parts that is held back, and returns these. If
// it must wait, it returns a channel that is closed at the next change, and the longest time to wait.
func (g *Gate) tryEnter(parts []string, deadline time.Time) (entered []*gatedPart, changed <-chan struct{}, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, part := range parts {
		p := g.parts[part]
		if p == nil || now.Sub(p.endedAt) > gateTTL {
			continue
		}
		left := deadline.Sub(now)
		if held := p.endedAt.Add(gateHold).Sub(now); held > 0 {
			left = min(left, held)
		} else if p.running == 0 {
			left = 0
		}
		if left > 0 {
			return nil, p.changed, left
		}
		entered = append(entered, p)
	}
	for _, p := range entered {
		p.running++
	}
	return entered, nil, 0
}

func (g *Gate) leave(entered []*gatedPart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range entered {
		p.running--
		select {
		case <-p.changed:
			// The part is no longer held back.
		default:
			close(p.changed)
			p.changed = make(chan struct{})
		}
	}
}
