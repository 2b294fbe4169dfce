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

// Guards against a deadlock when the status is read while requests wait for a
// busy engine: a queue takes the dispatcher's lock while it holds its own lock
// and tries to start a request, so a queue's lock must not be taken under the
// dispatcher's.
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
