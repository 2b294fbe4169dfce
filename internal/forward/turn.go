package forward

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
)

const (
	// maxWaitFraction is the fraction of the remaining time that a request may wait for its turn
	// at an instance that warms up or has a limit. The answer needs the rest.
	maxWaitFraction = 0.3
	// maxReservations bounds the reservations that are tried for one attempt: another request may
	// take the turn between the choice of an instance and the reservation. Only the last
	// reservation may then lead to a wait.
	maxReservations = 4
	// maxTurns bounds the turns that an attempt waits for, since each of them may be revoked.
	maxTurns = 16
	// evacuatedRetryAfter is the retry time sent to callers if all instances are in evacuated
	// failure domains. The operator's changes reach a daemon within that time.
	evacuatedRetryAfter = 2 * time.Second
)

// takeTurn chooses an instance and waits for this daemon's turn there. The turn is immediate
// unless all instances warm up or have limits. If it would come too late, the request is
// refused at once, with the time until the turn as the retry time. With admission control, it
// first waits until an instance has free capacity.
func (q *request) takeTurn(ctx context.Context) (picked place.Candidate, instance inventory.Instance, err error) {
	for choice := range maxTurns {
		var turn inventory.Turn
		if choice == 0 && q.isQueued() {
			picked, instance, turn, err = q.reserveFree(ctx)
		} else {
			picked, instance, turn, err = q.reserveTurn()
		}
		if err != nil {
			return picked, instance, err
		}
		if turn.Wait == 0 || awaitTurn(ctx, turn) {
			return picked, instance, nil
		}
		q.releaseGrant()
		if ctx.Err() != nil {
			return picked, instance, ctx.Err()
		}
	}
	return picked, instance, q.noTurnError(defaultRetryAfter)
}

// reserveTurn chooses an instance and reserves a turn there.
func (q *request) reserveTurn() (picked place.Candidate, instance inventory.Instance, turn inventory.Turn, err error) {
	for choice := range maxReservations {
		var ok bool
		if picked, instance, ok = q.chooseInstance(); !ok {
			break
		}
		maxWait := q.maxWait()
		if q.isTooLate(picked) {
			return picked, instance, turn, q.noTurnError(picked.Wait)
		}
		if picked.Wait == 0 && choice < maxReservations-1 {
			// If another request has just taken the immediate turn, another instance is better
			// than a wait.
			maxWait = 0
		}
		if turn, ok = q.Table.Reserve(instance, maxWait); ok {
			return picked, instance, turn, nil
		}
	}
	return picked, instance, turn, fault.New(fault.NoUpstream, "no instance of %s may take the request", q.service.Name).WithRetryAfter(q.retryAfter())
}

// maxWait returns how long the request may wait for a turn.
func (q *request) maxWait() time.Duration {
	return time.Duration(maxWaitFraction * float64(time.Until(q.deadline)))
}

// isTooLate reports whether the turn at an instance would come too late for the request.
func (q *request) isTooLate(c place.Candidate) bool {
	return c.NoTurn || c.Wait > q.maxWait()
}

// noTurnError counts and returns the error for a request that gets no turn in time.
func (q *request) noTurnError(retryAfter time.Duration) error {
	q.Metrics.NoTurn.Add(1)
	return fault.New(fault.NoCapacity, "all instances of %s warm up, or take no more for now", q.service.Name).WithRetryAfter(retryAfter)
}

// awaitTurn waits for a turn. It returns false if the turn is revoked or the context ends.
func awaitTurn(ctx context.Context, turn inventory.Turn) bool {
	timer := time.NewTimer(turn.Wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-turn.Revoked:
		return false
	case <-ctx.Done():
		return false
	}
}

// retryAfter returns the retry time to send if no instance may get the request. If all
// instances are backing off, it is the shortest remaining back-off.
func (q *request) retryAfter() time.Duration {
	if shortest, backingOff := q.Table.AllBackingOff(q.service.Name); backingOff {
		return shortest
	}
	if q.Table.AllEvacuated(q.service.Name) {
		return evacuatedRetryAfter
	}
	return defaultRetryAfter
}
