package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// reachability records when each peer last answered a heartbeat.
//
// Lock order: no other lock is taken while mu is held.
type reachability struct {
	clock clockwork.Clock

	mu sync.Mutex
	// lastReply is when the last answered heartbeat was sent, by incarnation.
	lastReply map[string]time.Time
	// targets are the incarnations to which the last heartbeats were sent.
	targets []string
}

func newReachability(clock clockwork.Clock) *reachability {
	return &reachability{clock: clock, lastReply: map[string]time.Time{}}
}

func (r *reachability) setTargets(incarnations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = incarnations
}

// recordReply records a reply to a heartbeat that was sent at sent.
func (r *reachability) recordReply(incarnation string, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReply[incarnation] = sent
}

// repliedShare returns the fraction of the targets that answered a heartbeat sent
// within window; it is 1 if there are no targets.
func (r *reachability) repliedShare(window time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.targets) == 0 {
		return 1
	}
	n := 0
	for _, t := range r.targets {
		if at, ok := r.lastReply[t]; ok && r.clock.Since(at) <= window {
			n++
		}
	}
	return float64(n) / float64(len(r.targets))
}

// freshness decides whether the daemon may dispatch with the active
// configuration.
//
// A daemon that was paused or is partitioned may have missed the withdrawal of a
// version, and would send new work to it. So the configuration must have been
// confirmed as the newest within maxAge, by a read of the head row or by a peer
// that has confirmed it.
//
// If it was not, the decision depends on the heartbeat targets:
//   - If all of them answer and no daemon is suspect, the configuration may be
//     used. A daemon that could read the store would have confirmed the
//     configuration or announced a newer one by heartbeat. So the store is
//     unavailable to all daemons, and no change can be accepted.
//   - If some of them do not answer, or a daemon is suspect, that daemon may have
//     read a newer configuration from the store. Only proven versions may be used.
//   - If at most half of them answer, proven versions may be used until refuseAge
//     has passed since the last confirmation. After that UsableSnapshot returns an
//     error.
type freshness struct {
	follower     *config.Follower
	reachability *reachability
	// refresh reads the configuration from the store.
	refresh func(ctx context.Context) error
	// anySuspect reports whether any daemon is suspect.
	anySuspect func() bool
	// maxAge is the age of the last confirmation up to which the configuration may
	// be used without further conditions.
	maxAge time.Duration
	// refuseAge is the age beyond which a daemon that is cut off from store and
	// peers refuses to dispatch.
	refuseAge time.Duration

	mu sync.Mutex
	// confirming is closed when the running confirmation ends, and nil if none
	// runs. Concurrent requests share one confirmation.
	confirming chan struct{}
}

// UsableSnapshot implements dispatch.ConfigSource.
func (f *freshness) UsableSnapshot(ctx context.Context) (*config.Snapshot, bool, error) {
	if f.follower.SinceConfirmed() > f.maxAge {
		f.confirm(ctx)
	}
	snapshot := f.follower.Current()
	if snapshot == nil {
		return nil, false, fault.New(fault.NotReady, "no configuration yet")
	}
	age := f.follower.SinceConfirmed()
	share := f.reachability.repliedShare(f.maxAge)
	switch {
	case age <= f.maxAge:
		return snapshot, false, nil
	case share == 1 && !f.anySuspect():
		return snapshot, false, nil
	case share > 0.5 || age <= f.refuseAge:
		return snapshot, true, nil
	default:
		return nil, false, fault.New(fault.ConfigStale, "the configuration could not be confirmed for %v", age.Round(time.Second))
	}
}

// confirmWait bounds the time that a request waits for a confirmation.
const confirmWait = 500 * time.Millisecond

// confirm waits until a read of the store has ended, at most confirmWait. It
// starts the read unless one already runs.
func (f *freshness) confirm(ctx context.Context) {
	f.mu.Lock()
	running := f.confirming
	if running == nil {
		running = make(chan struct{})
		f.confirming = running
		go f.refreshOnce(running)
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

// refreshOnce reads the store and then closes done.
func (f *freshness) refreshOnce(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmWait)
	defer cancel()
	// After a failure, UsableSnapshot decides by the age and the reachable peers.
	_ = f.refresh(ctx)
	f.mu.Lock()
	f.confirming = nil
	f.mu.Unlock()
	close(done)
}
