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
	// instance that warms up. The answer needs the rest.
	waitPart = 0.3
	// maxChoices bounds the choices of an instance for one attempt: between the choice and
	// the reservation another request may have taken the turn.
	maxChoices = 4
	// evacuationRetry is when callers return where all instances are in evacuated failure
	// domains: by then a daemon knows what the operator has changed meanwhile.
	evacuationRetry = 2 * time.Second
)

// take chooses an instance and waits for this daemon's turn there, which comes at once but
// where all instances warm up. A request whose turn comes too late is refused at once, and
// its caller told when it comes.
func (q *request) take(ctx context.Context) (picked place.Candidate, instance inventory.Instance, err error) {
	for range maxChoices {
		var ok bool
		most := time.Duration(waitPart * float64(time.Until(q.deadline)))
		if picked, instance, ok = q.choose(); !ok {
			break
		}
		if picked.Wait > most {
			return picked, instance, fault.New(fault.NoCapacity, "all instances of %s warm up", q.service.Name).WithRetryAfter(picked.Wait)
		}
		wait, ok := q.Table.Reserve(instance, most)
		if !ok {
			continue
		}
		if wait > 0 && !pause(ctx, wait) {
			return picked, instance, ctx.Err()
		}
		return picked, instance, nil
	}
	return picked, instance, fault.New(fault.NoUpstream, "no instance of %s may take the request", q.service.Name).WithRetryAfter(q.comeBack())
}

// pause waits, and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// comeBack is when a caller is told to come back where no instance may take its request:
// when the first of them takes requests again, if all have said when.
func (q *request) comeBack() time.Duration {
	if left, resting := q.Table.AllRest(q.service.Name); resting {
		return left
	}
	if q.Table.AllEvacuated(q.service.Name) {
		return evacuationRetry
	}
	return retryLater
}
