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
	// retryPause is the first pause after the store did not answer; it doubles
	// up to maxRetryPause, which is well inside the two seconds in which an
	// accepted configuration must be in force once the store is back.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 900 * time.Millisecond
	// followerPause and maxFollowerPause are those of a daemon that reads only
	// because news is late: once the store is back its readers tell it, so that
	// more calls by all daemons bring nothing. The first retry comes soon all the
	// same, since one call may fail by itself while a server leaves of which no
	// reader tells.
	followerPause    = 2 * time.Second
	maxFollowerPause = 4 * time.Second
)

// storeContact remembers how the store answers.
//
// Lock order: mu is taken alone.
type storeHealth struct {
	mu         sync.Mutex
	lastAnswer time.Time
	// lost is set from the first call without an answer to the next answer,
	// at regained.
	lost     bool
	lostAt   time.Time
	regained time.Time
}

// lostSince is when the store last began not to answer.
func (c *storeHealth) lastLostAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostAt
}

// note takes in how a call that was made at asked ended.
//
// A failure tells that the store did not answer between the call and now. If it has answered
// a later call meanwhile, it has not been lost: a question that the store holds fails
// long after whatever became of it. Taken for a loss, each such failure would have entries
// that are missing from the list kept for doubtTime more, and requests sent to instances
// that have left. A store that is lost just now is found by the next call.
func (c *storeHealth) record(asked, now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := err == nil || errors.Is(err, platform.ErrCompacted)
	switch {
	case !answered && !c.lost && !c.lastAnswer.After(asked):
		c.lost, c.lostAt = true, now
		slog.Warn("store.lost", "error", err)
	case answered && c.lost:
		c.lost, c.regained = false, now
		slog.Info("store.regained", "silent_ms", now.Sub(c.lastAnswer).Milliseconds())
	}
	if answered {
		c.lastAnswer = now
	}
}

// restored notes that the store came back from an older copy, which may lack entries of live
// instances, whether or not it was missed.
func (c *storeHealth) noteRestore(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt, c.regained = now, now
}

// doubted is until when the list may lack entries of live instances.
func (c *storeHealth) graceEnd(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lost:
		return now.Add(missingEntryGrace)
	case c.regained.IsZero():
		return time.Time{}
	default:
		return c.regained.Add(missingEntryGrace)
	}
}

// answeredAfter reports whether the store has answered since a time.
func (c *storeHealth) answeredAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswer.After(t)
}

// away reports whether the last call got no answer.
func (c *storeHealth) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// silent reports whether the store has not answered for d.
func (c *storeHealth) silentFor(now time.Time, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastAnswer) > d
}

// backoff doubles a pause for each failure in a row, with a random part so that
// daemons do not return to the store all at once.
type backoff struct{ failures int }

func (b *backoff) next(first, most time.Duration) time.Duration {
	d := min(first<<min(b.failures, 8), most)
	b.failures++
	return d/2 + rand.N(d/2)
}

// backOff waits after the store did not answer. A daemon that knows a state of
// the installation, is not a reader and was told of nothing newer waits longer.
func (n *Node) backOff(ctx context.Context, b *backoff) {
	first, most := retryPause, maxRetryPause
	if b.failures > 0 && n.Ready() && !n.isReader() && !n.behind.Load() {
		first, most = followerPause, maxFollowerPause
	}
	n.sleep(ctx, b.next(first, most))
}
