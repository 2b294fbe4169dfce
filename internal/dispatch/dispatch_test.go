package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

// An operator asks for the status while requests wait for a full engine. The
// daemon answered nothing any more: the status held the dispatcher's lock and
// waited for a queue's, and the queue's holder the other way round.
func TestStatusDoesNotDeadlockWithQueues(t *testing.T) {
	d := New(Deps{Clock: clockwork.NewRealClock()})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() {
			for ctx.Err() == nil {
				work := limit.Work{Organisation: "o", Deadline: time.Now().Add(time.Hour)}
				_ = d.queueFor(fmt.Sprint(i%2)).Wait(ctx, work, func() bool {
					free := false
					d.withRandom(func(r *rand.Rand) { free = r.IntN(2) == 0 })
					return free
				})
			}
		})
	}
	for range 20_000 {
		d.Waiting()
		d.grantWaiting()
	}
	stop()
	running.Wait()
}
