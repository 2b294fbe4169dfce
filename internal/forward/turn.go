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
	waitPart = 0.3
	// maxChoices bounds the choices of an instance for one attempt: between the choice and
	// the reservation another request may have taken the turn. The last one may wait.
	maxChoices = 4
	// maxTurns bounds the turns that an attempt waits for, each of which may be revoked.
	maxTurns = 16
	// evacuationRetry is when callers return where all instances are in evacuated failure
	// domains: by then a daemon knows what the operator has changed meanwhile.
	evacuationRetry = 2 * time.Second
)

// take chooses an instance and waits for this daemon's turn there, which comes at once but
// where all instances warm up or name limits. A request whose turn comes too late is refused
// at once, and its caller told when it comes.
func (q *request) take(ctx context.Context) (picked place.Candidate, instance inventory.Instance, err error) {
	for range maxTurns {
		var turn inventory.Turn
		if picked, instance, turn, err = q.reserve(); err != nil {
			return picked, instance, err
		}
		if turn.Wait == 0 || await(ctx, turn) {
			return picked, instance, nil
		}
		if ctx.Err() != nil {
			return picked, instance, ctx.Err()
		}
	}
	return picked, instance, q.noTurn(retryLater)
}

// reserve chooses an instance and reserves a turn there.
func (q *request) reserve() (picked place.Candidate, instance inventory.Instance, turn inventory.Turn, err error) {
	for choice := range maxChoices {
		var ok bool
		if picked, instance, ok = q.choose(); !ok {
			break
		}
		most := q.longestWait()
		if q.isTooLate(picked) {
			return picked, instance, turn, q.noTurn(picked.Wait)
		}
		if picked.Wait == 0 && choice < maxChoices-1 {
			// Another instance is better than a turn that somebody else has taken.
			most = 0
		}
		if turn, ok = q.Table.Reserve(instance, most); ok {
			return picked, instance, turn, nil
		}
	}
	return picked, instance, turn, fault.New(fault.NoUpstream, "no instance of %s may take the request", q.service.Name).WithRetryAfter(q.comeBack())
}

// longestWait is how long the request may wait for a turn.
func (q *request) longestWait() time.Duration {
	return time.Duration(waitPart * float64(time.Until(q.deadline)))
}

// isTooLate reports whether the request cannot wait for its turn at an instance.
func (q *request) isTooLate(c place.Candidate) bool {
	return c.NoTurn || c.Wait > q.longestWait()
}

// noTurn refuses a request for which no turn comes in time.
func (q *request) noTurn(retryAfter time.Duration) error {
	q.Metrics.NoTurn.Add(1)
	return fault.New(fault.NoCapacity, "all instances of %s warm up, or take no more for now", q.service.Name).WithRetryAfter(retryAfter)
}

// await waits for a turn, and reports whether it has come.
func await(ctx context.Context, turn inventory.Turn) bool {
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
func (q *request) comeBack() time.Duration {
	if left, resting := q.Table.AllBackingOff(q.service.Name); resting {
		return left
	}
	if q.Table.AllEvacuated(q.service.Name) {
		return evacuationRetry
	}
	return retryLater
}
