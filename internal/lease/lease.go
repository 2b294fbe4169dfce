// Package lease gives control duties to one daemon at a time through rows of
// the table.
package lease

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

const keyPrefix = "lease/"

// row is a lease in the table.
type row struct {
	Holder string `json:"holder"`
	// Fence rises by one with each change of holder.
	Fence int64 `json:"fence"`
	// Renewals rises with each renewal. A contender that sees it unchanged
	// for a whole duration knows that the lease has lapsed, without comparing
	// clocks.
	Renewals int64 `json:"renewals"`
}

// Lease is a duty that one daemon at a time may hold. It is not safe for
// concurrent use.
type Lease struct {
	name     string
	self     string
	duration time.Duration
	table    backing.Table
	clock    clockwork.Clock

	held     row
	revision int64
	// renewed is when the renewal that last succeeded was sent.
	renewed time.Time

	seen   int64
	seenAt time.Time
	// fence is the highest fencing number seen. The table may have lost it.
	fence int64

	// Gone reports whether the process of a holder has certainly ended; nil
	// leaves that to time.
	//
	// When all daemons were killed at once, nobody held any duty for five
	// seconds, until the lease of a process that was no more had lapsed.
	Gone func(ctx context.Context, holder string) bool
}

// New returns a lease on the duty name for the daemon self. It lapses when it
// is not renewed for duration.
func New(name, self string, duration time.Duration, table backing.Table, clock clockwork.Clock) *Lease {
	return &Lease{name: name, self: self, duration: duration, table: table, clock: clock}
}

// Key returns the key of the lease's row.
func (l *Lease) Key() string { return keyPrefix + l.name }

// Renew takes or extends the lease and reports whether it is held.
//
// Holders and contenders time the lease on their own clocks: the holder from
// before it sent its last successful renewal, a contender from when it first
// saw that renewal. So the holder stops first, however far the wall clocks
// differ.
func (l *Lease) Renew(ctx context.Context) (bool, error) {
	var now row
	revision, err := backing.GetJSON(ctx, l.table, l.Key(), &now)
	if err != nil {
		return l.Held(), trace.Wrap(err)
	}
	if revision != l.seen {
		l.seen, l.seenAt = revision, l.clock.Now()
	}
	l.fence = max(l.fence, now.Fence)
	mine := now.Holder == l.self && now.Fence == l.held.Fence && revision != 0
	if !mine && !l.lapsed(ctx, revision, now.Holder) {
		return false, nil
	}
	next := row{Holder: l.self, Fence: now.Fence, Renewals: now.Renewals + 1}
	if !mine {
		next.Fence = l.fence + 1
	}
	return l.write(ctx, revision, next)
}

// lapsed reports whether a lease that another daemon holds may be taken.
func (l *Lease) lapsed(ctx context.Context, revision int64, holder string) bool {
	if revision == 0 || holder == "" || l.clock.Since(l.seenAt) >= l.duration {
		return true
	}
	return l.Gone != nil && l.Gone(ctx, holder)
}

func (l *Lease) write(ctx context.Context, revision int64, next row) (bool, error) {
	sent := l.clock.Now()
	written, err := l.table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{{Key: l.Key(), Revision: revision}},
		Puts:   []backing.Put{backing.PutJSON(l.Key(), next)},
	})
	if trace.IsCompareFailed(err) {
		return false, nil
	}
	if err != nil {
		// If the write took effect, the next Renew finds the row with this
		// holder. Until then only the time of the last confirmed renewal
		// counts.
		if backing.IsUnknownOutcome(err) && next.Fence != l.held.Fence {
			l.held.Fence = next.Fence
			l.renewed = time.Time{}
		}
		return l.Held(), trace.Wrap(err)
	}
	l.held, l.revision, l.renewed = next, written, sent
	l.fence = max(l.fence, next.Fence)
	l.seen, l.seenAt = written, sent
	return true, nil
}

// Held reports whether the lease is held with time to spare: a third of its
// duration, so that an order sent now arrives before a contender can start.
func (l *Lease) Held() bool {
	return !l.renewed.IsZero() && l.clock.Since(l.renewed) < l.duration*2/3
}

// Fence returns the fencing number of the holding.
func (l *Lease) Fence() int64 { return l.held.Fence }

// Check returns the condition under which a write is made by the holder only.
//
// A holder can be paused between looking at its clock and writing. Its write
// then arrives after another daemon took over; since the take-over changed the
// row, the condition fails and nothing is overwritten.
func (l *Lease) Check() backing.Check {
	return backing.Check{Key: l.Key(), Revision: l.revision}
}

// Release gives the lease up so that another daemon can take it at once.
func (l *Lease) Release(ctx context.Context) error {
	if l.renewed.IsZero() {
		return nil
	}
	l.renewed = time.Time{}
	_, err := l.table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{{Key: l.Key(), Revision: l.revision}},
		Puts:   []backing.Put{backing.PutJSON(l.Key(), row{Fence: l.held.Fence})},
	})
	if trace.IsCompareFailed(err) {
		return nil
	}
	return trace.Wrap(err)
}
