package routes_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// requireProven waits until a daemon regards an instance as proven, or not.
func (s *testbed) requireProven(d *daemon, id string, want bool) {
	s.t.Helper()
	s.eventually(func() error {
		status, err := s.fetchStatus(d)
		if err != nil {
			return err
		}
		for _, v := range status.List.Instances[plainService] {
			if v.Instance.ID == id && v.Proven == want {
				return nil
			}
		}
		return trace.Errorf("at %s, proven is not %v of %s\n%s", d.Name, want, id, d.Log())
	})
}

// Guards against unsafe requests that are lost at servers that are known to lose answers. Two of
// four servers lose every tenth answer; placed by load alone, about 25 of 500 requests fail. The
// daemon that sees the first loss must tell the other, no request may be sent twice, and the
// servers must be used again once they are sound.
func TestUnsafeRequestsAvoidServersThatLoseAnswers(t *testing.T) {
	s := newTestbed(t)
	var faulty atomic.Bool
	faulty.Store(true)
	loseEveryTenth := func() func(platformtest.ReceivedRequest) platformtest.Behaviour {
		var count atomic.Int64
		return func(platformtest.ReceivedRequest) platformtest.Behaviour {
			if count.Add(1)%10 == 0 && faulty.Load() {
				return platformtest.Reset
			}
			return platformtest.Answer
		}
	}
	for n := range 4 {
		o := platformtest.ServerOptions{ID: fmt.Sprint("cat-", n), Service: plainService, Delay: 5 * time.Millisecond}
		if n < 2 {
			o.Behave = loseEveryTenth()
		}
		s.startServer(o)
	}
	for range 2 {
		d := s.startDaemon(func(r *settings.Routes) { r.Overload.ProvenInstances = overload.On })
		s.waitForLog(d, "daemon.offered")
	}
	first, second := s.daemons[0], s.daemons[1]
	s.waitForDirectory(first, 2)

	// Only the first daemon gets requests until it has seen losses.
	for _, id := range []string{"cat-0", "cat-1"} {
		s.eventually(func() error {
			if !first.logsContain("instance.unproven", "instance="+id, "source=answer") {
				c := s.newCall(pathSafe)
				if s.send(c, first).Status != http.StatusOK {
					require.ElementsMatch(t, []string{"cat-0", "cat-1"}, s.serversThatRan(c.ID), "both attempts were lost")
				}
				return trace.Errorf("%s has lost no answer", id)
			}
			return nil
		})
		s.requireProven(second, id, false)
	}

	const workers, perWorker = 8, 63
	var mu sync.Mutex
	var calls []string
	failed := 0
	var all sync.WaitGroup
	for worker := range workers {
		all.Go(func() {
			for range perWorker {
				c := s.newCall(pathUnsafe)
				reply := s.send(c, s.daemons[worker%2])
				mu.Lock()
				calls = append(calls, c.ID)
				if reply.Err != nil || reply.Status != http.StatusOK {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d unsafe requests failed", failed, len(calls))
	require.LessOrEqual(t, failed, 5)
	received := map[string]int{}
	for _, server := range s.servers {
		for _, r := range server.Received() {
			received[r.ID]++
		}
	}
	for _, id := range calls {
		require.Equal(t, 1, received[id], id)
	}

	faulty.Store(false)
	stop := runWorkers(4, func(worker int) { s.send(s.newCall(pathSafe), s.daemons[worker%2]) })
	defer stop()
	for _, id := range []string{"cat-0", "cat-1"} {
		s.requireProven(first, id, true)
		s.requireProven(second, id, true)
	}
}

// Guards against unsafe requests that fail at a server that answers all requests with an error, at a
// daemon that knows of it only from another, and against refusals that count as errors.
func TestUnsafeRequestsAvoidServersThatAnswerErrors(t *testing.T) {
	s := newTestbed(t)
	var faulty atomic.Bool
	faulty.Store(true)
	for n, behaviour := range []platformtest.Behaviour{platformtest.Fail, platformtest.Refuse, platformtest.Answer, platformtest.Answer} {
		s.startServer(platformtest.ServerOptions{
			ID: fmt.Sprint("cat-", n), Service: plainService, Delay: 5 * time.Millisecond,
			Behave: func(platformtest.ReceivedRequest) platformtest.Behaviour {
				if faulty.Load() {
					return behaviour
				}
				return platformtest.Answer
			},
		})
	}
	for range 2 {
		d := s.startDaemon(func(r *settings.Routes) { r.Overload.ProvenInstances = overload.On })
		s.waitForLog(d, "daemon.offered")
	}
	first, second := s.daemons[0], s.daemons[1]
	s.waitForDirectory(first, 2)
	stop := runWorkers(4, func(int) { s.send(s.newCall(pathSafe), first) })
	s.requireProven(second, "cat-0", false)
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(s.newCall(pathUnsafe), second).Status)
	}
	s.requireProven(second, "cat-1", true)
	faulty.Store(false)
	s.requireProven(first, "cat-0", true)
	s.requireProven(second, "cat-0", true)
	stop()
}
