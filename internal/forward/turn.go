package forward

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
)

const (
	// waitPart is the part of the time left that a request may wait for its turn at an
	// instance that warms up or names a limit. The answer needs the rest.
	maxWaitFraction = 0.3
	// maxChoices bounds the choices of an instance for one attempt: between the choice and
	// the reservation another request may have taken the turn. The last one may wait.
	maxReservations = 4
	// maxTurns bounds the turns that an attempt waits for, each of which may be revoked.
	maxTurns = 16
	// evacuationRetry is when callers return where all instances are in evacuated failure
	// domains: by then a daemon knows what the operator has changed meanwhile.
	evacuatedRetryAfter = 2 * time.Second
)

// take chooses an instance and waits for this daemon's turn there, which comes at once but
// where all instances warm up or name limits. A request whose turn comes too late is refused
// at once, and its caller told when it comes.
func (q *request) takeTurn(ctx context.Context) (picked place.Candidate, instance inventory.Instance, err error) {
	for range maxTurns {
		var turn inventory.Turn
		if picked, instance, turn, err = q.reserveTurn(); err != nil {
			return picked, instance, err
		}
		if turn.Wait == 0 || awaitTurn(ctx, turn) {
			return picked, instance, nil
		}
		if ctx.Err() != nil {
			return picked, instance, ctx.Err()
		}
	}
	return picked, instance, q.noTurnError(defaultRetryAfter)
}

// reserve chooses an instance and reserves a turn there.
func (q *request) reserveTurn() (picked place.Candidate, instance inventory.Instance, turn inventory.Turn, err error) {
	for choice := range maxReservations {
		var ok bool
		if picked, instance, ok = q.chooseInstance(); !ok {
			break
		}
		most := q.maxWait()
		if q.isTooLate(picked) {
			return picked, instance, turn, q.noTurnError(picked.Wait)
		}
		if picked.Wait == 0 && choice < maxReservations-1 {
			// Another instance is better than a turn that somebody else has taken.
			most = 0
		}
		if turn, ok = q.Table.Reserve(instance, most); ok {
			return picked, instance, turn, nil
		}
	}
	return picked, instance, turn, fault.New(fault.NoUpstream, "no instance of %s may take the request", q.service.Name).WithRetryAfter(q.retryAfter())
}

// longestWait is how long the request may wait for a turn.
func (q *request) maxWait() time.Duration {
	return time.Duration(maxWaitFraction * float64(time.Until(q.deadline)))
}

// isTooLate reports whether the request cannot wait for its turn at an instance.
func (q *request) isTooLate(c place.Candidate) bool {
	return c.NoTurn || c.Wait > q.maxWait()
}

// noTurn refuses a request for which no turn comes in time.
func (q *request) noTurnError(retryAfter time.Duration) error {
	q.Metrics.NoTurn.Add(1)
	return fault.New(fault.NoCapacity, "all instances of %s warm up, or take no more for now", q.service.Name).WithRetryAfter(retryAfter)
}

// await waits for a turn, and reports whether it has come.
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

// comeBack is when a caller is told to come back where no instance may take its request:
// when the first of them takes requests again, if all have said when.
func (q *request) retryAfter() time.Duration {
	if left, resting := q.Table.AllBackingOff(q.service.Name); resting {
		return left
	}
	if q.Table.AllEvacuated(q.service.Name) {
		return evacuatedRetryAfter
	}
	return defaultRetryAfter
}
