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
	// retryPause is the pause after the first failed call to the store. The pause doubles with
	// each further failure up to maxRetryPause, which is well within the two seconds after
	// which an accepted configuration must be in force once the store is available again.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 900 * time.Millisecond
	// followerPause and maxFollowerPause apply to a daemon that is not a reader and reads the
	// store only because updates are late. Its readers inform it when the store is available
	// again, so frequent retries by all daemons gain nothing. The first retry still uses
	// retryPause: a single call can fail for a reason of its own just when an instance leaves
	// and no reader sends an update.
	followerPause    = 2 * time.Second
	maxFollowerPause = 4 * time.Second
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

// silentFor reports whether the last answer of the store is more than d ago.
func (h *storeHealth) silentFor(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastAnswer) > d
}

// backoff is an exponential delay with jitter, so that daemons do not all return to the store
// at the same time.
type backoff struct{ failures int }

func (b *backoff) next(first, limit time.Duration) time.Duration {
	d := min(first<<min(b.failures, 8), limit)
	b.failures++
	return d/2 + rand.N(d/2)
}

// backOff waits after a failed call to the store. Followers, daemons that are ready, are not
// readers and know of no newer operator rows, wait longer from their second failure on.
func (n *Node) backOff(ctx context.Context, b *backoff) {
	first, limit := retryPause, maxRetryPause
	if b.failures > 0 && n.Ready() && !n.isReader() && !n.behind.Load() {
		first, limit = followerPause, maxFollowerPause
	}
	n.sleep(ctx, b.next(first, limit))
}
