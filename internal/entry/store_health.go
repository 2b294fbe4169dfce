package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform"
)

const (
	// retryPause is the pause after the first failed call to the store: it may have failed for a reason of its
	// own. After further ones, calls begin retryInterval apart, or minRetryPause after the end of one that
	// took longer. All daemons without updates call, since the store may serve any of them first. The
	// longest time between two calls is that of a silent one and minRetryPause, well within the two seconds
	// after which an accepted configuration must be in force once the store serves a daemon again.
	retryPause    = 150 * time.Millisecond
	retryInterval = 1200 * time.Millisecond
	minRetryPause = 100 * time.Millisecond
	// outageGap is the time without a failed call after which the next one begins another outage.
	outageGap = 5 * time.Second
)

// storeHealth tracks whether the store answers the calls of this daemon.
//
// Lock order: no other lock is taken while mu is held. relayedTable holds its lock when it calls
// answeredAfter.
type storeHealth struct {
	mu         sync.Mutex
	lastAnswer time.Time
	// lost is set from the first failed call, at lostAt, until the next answer, at regained.
	lost     bool
	lostAt   time.Time
	regained time.Time
	// failedAt is when the last call failed.
	failedAt time.Time
}

// lastLostAt returns when the store last became unavailable.
func (h *storeHealth) lastLostAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lostAt
}

// record records the result of a call that started at asked and ended at now.
//
// A failure only shows that the store did not answer between asked and now. It is ignored if
// the store has answered another call since asked: a long poll that was lost fails long after
// its cause has passed. Each such failure would otherwise count as an outage and extend the
// grace period of missing entries by missingEntryGrace, during which requests go to instances
// that have left. If the store really is unavailable, the next call shows it.
func (h *storeHealth) record(asked, now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answered := err == nil || errors.Is(err, platform.ErrCompacted)
	if !answered {
		h.failedAt = now
	}
	switch {
	case !answered && !h.lost && !h.lastAnswer.After(asked):
		h.lost, h.lostAt = true, now
		slog.Warn("store.lost", "error", err)
	case answered && h.lost:
		h.lost, h.regained = false, now
		slog.Info("store.regained", "silent_ms", now.Sub(h.lastAnswer).Milliseconds())
	}
	if answered {
		h.lastAnswer = now
	}
}

// noteRestore records that the store was restored from an older backup, which may lack entries
// of live instances, even if no call failed.
func (h *storeHealth) noteRestore(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lostAt, h.regained = now, now
}

// graceEnd returns until when entries missing from the instance list are kept because the list
// may lack entries of live instances. It returns the zero time if the store has never been
// lost.
func (h *storeHealth) graceEnd(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.lost:
		return now.Add(missingEntryGrace)
	case h.regained.IsZero():
		return time.Time{}
	default:
		return h.regained.Add(missingEntryGrace)
	}
}

// answeredAfter reports whether the store has answered a call after t.
func (h *storeHealth) answeredAfter(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastAnswer.After(t)
}

// isLost reports whether the store is considered unavailable: a call failed and none has been
// answered since.
func (h *storeHealth) isLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// failedSince reports whether the store is considered unavailable because of a call that failed after t.
func (h *storeHealth) failedSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost && h.failedAt.After(t)
}

// silentFor reports whether the last answer of the store is more than d ago.
func (h *storeHealth) silentFor(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastAnswer) > d
}

// retries determines the pauses between failed calls to the store, with jitter, so that daemons do not all
// return to it at the same time.
type retries struct {
	failures int
	failedAt time.Time
}

// pause returns the pause after a call that began at asked and failed at now.
func (r *retries) pause(asked, now time.Time) time.Duration {
	if now.Sub(r.failedAt) > outageGap {
		r.failures = 0
	}
	r.failures++
	r.failedAt = now
	if r.failures == 1 {
		return jitter(retryPause)
	}
	return max(jitter(retryInterval)-now.Sub(asked), minRetryPause)
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// backOff waits after a call to the store that began at asked and failed.
func (n *Node) backOff(ctx context.Context, r *retries, asked time.Time) {
	n.sleep(ctx, r.pause(asked, n.clock.Now()))
}
