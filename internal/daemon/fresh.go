package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// contact remembers when each peer last answered a heartbeat.
//
// Lock order: mu is taken alone.
type contact struct {
	clock clockwork.Clock

	mu       sync.Mutex
	answered map[string]time.Time
	// targets are the peers that heartbeats go to.
	targets []string
}

func newContact(clock clockwork.Clock) *contact {
	return &contact{clock: clock, answered: map[string]time.Time{}}
}

func (c *contact) setTargets(incarnations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = incarnations
}

// note records an answer to a heartbeat that was sent at sent.
func (c *contact) note(incarnation string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[incarnation] = sent
}

// share returns which part of the targets answered within window; 1 when there
// are none.
func (c *contact) share(window time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.targets) == 0 {
		return 1
	}
	n := 0
	for _, t := range c.targets {
		if at, ok := c.answered[t]; ok && c.clock.Since(at) <= window {
			n++
		}
	}
	return float64(n) / float64(len(c.targets))
}

// freshness decides whether the configuration in force may be relied on.
//
// A daemon that was paused, or that is cut off, may have missed a withdrawal
// and would send new work to the withdrawn version. So the configuration has
// to be confirmed within a short time: by reading the head, or by a peer that
// has confirmed it. While the store is out for everyone, nothing can be
// accepted, and it is enough that every known daemon answers and none has
// heard of a newer generation. With some peers missing, one of them might
// have reached the store, so only proven versions are served; with nearly all
// missing this ends after a limit, too.
type freshness struct {
	follower *config.Follower
	contact  *contact
	// refresh reads the head from the store.
	refresh func(ctx context.Context) error
	// suspects reports whether any daemon is suspect.
	suspects func() bool
	fresh    time.Duration
	refuse   time.Duration

	// confirming makes requests that find the configuration stale share one
	// confirmation.
	mu         sync.Mutex
	confirming chan struct{}
}

// Ensure implements dispatch.Fresh.
func (f *freshness) Ensure(ctx context.Context) (*config.Snapshot, bool, error) {
	if f.follower.Age() > f.fresh {
		f.confirm(ctx)
	}
	snapshot := f.follower.Current()
	if snapshot == nil {
		return nil, false, fault.New(fault.NotReady, "no configuration yet")
	}
	age := f.follower.Age()
	share := f.contact.share(f.fresh)
	switch {
	case age <= f.fresh:
		return snapshot, false, nil
	case share == 1 && !f.suspects():
		return snapshot, false, nil
	case share > 0.5 || age <= f.refuse:
		return snapshot, true, nil
	default:
		return nil, false, fault.New(fault.ConfigStale, "the configuration could not be confirmed for %v", age.Round(time.Second))
	}
}

// confirmWait bounds how long a request waits for a confirmation.
const confirmWait = 500 * time.Millisecond

// confirm asks the store once for all requests that wait.
func (f *freshness) confirm(ctx context.Context) {
	f.mu.Lock()
	running := f.confirming
	if running == nil {
		running = make(chan struct{})
		f.confirming = running
		go f.ask(running)
	}
	f.mu.Unlock()
	timer := time.NewTimer(confirmWait)
	defer timer.Stop()
	select {
	case <-running:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *freshness) ask(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmWait)
	defer cancel()
	// What a failure means is decided by age and contact.
	_ = f.refresh(ctx)
	f.mu.Lock()
	f.confirming = nil
	f.mu.Unlock()
	close(done)
}
