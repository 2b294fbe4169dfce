package routes_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// fragileBed is a plain service with fragile servers. One that falls over is replaced after a second.
type fragileBed struct {
	*testbed
	falls atomic.Int64
	next  atomic.Int64
}

const (
	fragileServers = 6
	fragileSlots   = 4
	fragileDelay   = 80 * time.Millisecond
	// fragileCapacity is the number of requests that the servers run per second.
	fragileCapacity = float64(fragileServers*fragileSlots) / float64(fragileDelay/time.Millisecond) * 1000
)

func newFragileBed(t *testing.T, stated string, rejections int) *fragileBed {
	b := &fragileBed{testbed: newTestbed(t)}
	for range fragileServers {
		b.startFragileServer(stated, rejections)
	}
	return b
}

func (b *fragileBed) startFragileServer(stated string, rejections int) {
	o := platformtest.ServerOptions{
		ID: fmt.Sprint("cat-", b.next.Add(1)), Service: plainService, Slots: fragileSlots, Delay: fragileDelay,
		Brittle: &platformtest.Brittle{Waiting: 1, Rejections: rejections, Stated: stated},
	}
	o.OnCrash = func() {
		b.falls.Add(1)
		<-time.After(time.Second)
		b.startFragileServer(stated, rejections)
	}
	b.newServer(o)
}

// run sends the given share of what the servers can run for some time, and returns how many requests
// were served and sent.
func (b *fragileBed) run(share float64, d time.Duration) (served, sent int) {
	interval := time.Duration(float64(len(b.daemons)) / (share * fragileCapacity) * float64(time.Second))
	load := b.startCallerLoadEvery(interval, b.daemons, pathUnsafe)
	from := time.Now()
	<-time.After(d)
	to := time.Now()
	load.stop()
	load.requireAtMostOnce()
	return load.served(b.daemons, from, to)
}

// Guards against fragile servers that fall over, and push their work to the others, because all
// daemons together send them more than they can take.
func TestFragileServersAreNotOverloaded(t *testing.T) {
	const daemons = 4
	for _, c := range []struct {
		name, stated string
		rejections   int
		share        float64
	}{{"half", "5", 5, 0.5}, {"overload", "5", 5, 1.5}, {"none-allowed", "0", 0, 1.5}, {"absurd", "-1e400", 3, 1.5}} {
		t.Run(c.name, func(t *testing.T) {
			b := newFragileBed(t, c.stated, c.rejections)
			for range daemons {
				b.startReadyDaemon()
			}
			// The daemons hear of it before the load rises.
			b.run(0.3, time.Second)
			before := b.falls.Load()
			const d = 5 * time.Second
			served, sent := b.run(c.share, d)
			t.Logf("%d of %d served, %d fell", served, sent, b.falls.Load()-before)
			require.Zero(t, b.falls.Load()-before)
			if c.share < 1 {
				require.Equal(t, sent, served)
			} else {
				require.GreaterOrEqual(t, float64(served), 0.9*fragileCapacity*d.Seconds())
			}
		})
	}
}

// Guards against a daemon that has no slot of any fragile server because there are more daemons than
// slots, and refuses all of its callers.
func TestMoreDaemonsThanFragileSlots(t *testing.T) {
	b := &fragileBed{testbed: newTestbed(t)}
	b.newServer(platformtest.ServerOptions{
		ID: "cat-0", Service: plainService, Slots: 2, Delay: 10 * time.Millisecond, Brittle: &platformtest.Brittle{Waiting: 1, Rejections: 5, Stated: "5"}, OnCrash: func() { b.falls.Add(1) },
	})
	for range 5 {
		b.startReadyDaemon()
	}
	for range 20 {
		for _, d := range b.daemons {
			require.Equal(t, http.StatusOK, b.send(b.newCall(pathUnsafe), d).Status)
		}
	}
	require.Zero(t, b.falls.Load())
}
