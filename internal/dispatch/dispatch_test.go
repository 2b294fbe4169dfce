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

// The status is read while requests wait for a busy engine. If the dispatcher's
// lock were held while a queue's lock is taken, this would deadlock with a queue
// that takes the dispatcher's lock while it tries to start a request.
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
		d.QueueLengths()
		d.grantWaiting()
	}
	stop()
	running.Wait()
}
