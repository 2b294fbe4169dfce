// Package lease provides leases with fencing tokens, each stored as a row of the table. At
// most one daemon holds a lease at a time. The fencing token is a number that increases with
// each change of holder, so that the receiver of an order can refuse it if a later holder has
// already sent one.
package lease

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

const keyPrefix = "lease/"

// row is the stored form of a lease.
type row struct {
	Holder string `json:"holder"`
	// Fence is the fencing token. It increases by one with each change of holder.
	Fence int64 `json:"fence"`
	// Renewals increases with each renewal. A contender that sees the row unchanged for a
	// whole duration knows that the lease has expired, without comparing clocks.
	Renewals int64 `json:"renewals"`
}

// Lease is one daemon's view of a lease. It is not safe for concurrent use.
type Lease struct {
	name     string
	self     string
	duration time.Duration
	table    backing.Table
	clock    clockwork.Clock

	// held is the row last written as the holder, and revision its revision. held.Fence is
	// also set when the outcome of a write is unknown.
	held     row
	revision int64
	// renewed is when the last successful renewal was sent; zero if there is none.
	renewed time.Time
	// uncertain is set while the outcome of the last write is unknown, and with it the row's
	// revision.
	uncertain bool

	// seenRevision is the last revision of the row that was read or written, and seenAt is
	// when it was first seen.
	seenRevision int64
	seenAt       time.Time
	// fence is the highest fencing token seen. It is kept so that no token is used twice after
	// the table has lost the row.
	fence int64

	// HolderEnded reports whether the process of a holder has certainly ended. Its lease can
	// then be taken at once; otherwise, after all daemons were killed, no daemon would hold the
	// lease for up to a whole duration. If HolderEnded is nil, the lease of an ended process
	// stays taken until it expires.
	HolderEnded func(ctx context.Context, holder string) bool
}

// New returns the lease with the given name for the daemon self. The lease expires if it is
// not renewed for duration.
func New(name, self string, duration time.Duration, table backing.Table, clock clockwork.Clock) *Lease {
	return &Lease{name: name, self: self, duration: duration, table: table, clock: clock}
}

// Key returns the key of the lease's row.
func (l *Lease) Key() string { return keyPrefix + l.name }

// Renew acquires or extends the lease and reports whether it is held.
//
// The holder and the contenders time the lease on their own clocks: the holder from before it
// sent its last successful renewal, a contender from when it first saw that renewal. The
// holder therefore stops first, however far the wall clocks differ.
func (l *Lease) Renew(ctx context.Context) (bool, error) {
	var current row
	revision, err := backing.GetJSON(ctx, l.table, l.Key(), &current)
	if err != nil {
		return l.Held(), trace.Wrap(err)
	}
	if revision != l.seenRevision {
		l.seenRevision, l.seenAt = revision, l.clock.Now()
	}
	l.fence = max(l.fence, current.Fence)
	own := current.Holder == l.self && current.Fence == l.held.Fence && revision != 0
	if !own && !l.available(ctx, revision, current.Holder) {
		return false, nil
	}
	next := row{Holder: l.self, Fence: current.Fence, Renewals: current.Renewals + 1}
	if !own {
		next.Fence = l.fence + 1
	}
	return l.write(ctx, revision, next)
}

// available reports whether this daemon may take a lease that is not its own.
func (l *Lease) available(ctx context.Context, revision int64, holder string) bool {
	if revision == 0 || holder == "" || l.clock.Since(l.seenAt) >= l.duration {
		return true
	}
	return l.HolderEnded != nil && l.HolderEnded(ctx, holder)
}

// write stores the next row if the current one still has the given revision, and reports
// whether the lease is held.
func (l *Lease) write(ctx context.Context, revision int64, next row) (bool, error) {
	sent := l.clock.Now()
	written, err := l.table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{{Key: l.Key(), Revision: revision}},
		Puts:   []backing.Put{backing.PutJSON(l.Key(), next)},
	})
	l.uncertain = err != nil && backing.IsUnknownOutcome(err)
	if trace.IsCompareFailed(err) {
		return false, nil
	}
	if err != nil {
		// The write may have taken effect. held.Fence lets the next Renew recognise the row as
		// this daemon's own. Until then a takeover does not count as held, and of a renewal
		// only the last confirmed one counts.
		if l.uncertain && next.Fence != l.held.Fence {
			l.held.Fence = next.Fence
			l.renewed = time.Time{}
		}
		return l.Held(), trace.Wrap(err)
	}
	l.held, l.revision, l.renewed = next, written, sent
	l.fence = max(l.fence, next.Fence)
	l.seenRevision, l.seenAt = written, sent
	return true, nil
}

// Held reports whether the lease is held for at least another third of its duration, so that
// an order sent now arrives before a contender can take the lease.
func (l *Lease) Held() bool {
	return !l.renewed.IsZero() && l.clock.Since(l.renewed) < l.duration*2/3
}

// Fence returns the fencing token under which this daemon holds the lease.
func (l *Lease) Fence() int64 { return l.held.Fence }

// Check returns the precondition that makes a write succeed only for the lease holder.
//
// A holder can be paused between checking Held and writing, so that its write arrives after
// another daemon took the lease. That takeover changed the row, so the precondition fails and
// nothing is overwritten.
func (l *Lease) Check() backing.Check {
	return backing.Check{Key: l.Key(), Revision: l.revision}
}

// Release gives up the lease so that another daemon can take it at once.
func (l *Lease) Release(ctx context.Context) error {
	if l.renewed.IsZero() && !l.uncertain {
		return nil
	}
	l.renewed = time.Time{}
	if l.uncertain {
		own, err := l.readOwnRevision(ctx)
		if !own || err != nil {
			return err
		}
	}
	_, err := l.table.Commit(ctx, backing.Txn{
		Checks: []backing.Check{{Key: l.Key(), Revision: l.revision}},
		Puts:   []backing.Put{backing.PutJSON(l.Key(), row{Fence: l.held.Fence})},
	})
	if trace.IsCompareFailed(err) {
		return nil
	}
	return trace.Wrap(err)
}

// readOwnRevision reads the revision of the row and reports whether this daemon holds the lease.
func (l *Lease) readOwnRevision(ctx context.Context) (own bool, err error) {
	var current row
	revision, err := backing.GetJSON(ctx, l.table, l.Key(), &current)
	if err != nil {
		return false, trace.Wrap(err)
	}
	l.revision, l.uncertain = revision, false
	return current.Holder == l.self && current.Fence == l.held.Fence, nil
}
