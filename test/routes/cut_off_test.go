package routes_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

const (
	// cutKnownAfter is the time after a cut from which its daemons serve callers again, and
	// cutEndedAfter the time after its end from which nothing is left of it.
	cutKnownAfter = 1500 * time.Millisecond
	cutEndedAfter = 2 * time.Second
	// cutServedShare is the share of what the other daemons serve that those cut off must serve.
	cutServedShare = 0.95
)

// startFaultDaemon starts a daemon that can be cut off from instances, and waits until it is ready.
func (s *testbed) startFaultDaemon() *daemon {
	s.t.Helper()
	d := s.startProcess(nil, binaries.StartFaultDaemon)
	s.waitReady(d)
	return d
}

// setFault puts a fault of the connections to instances in force at a daemon.
func (s *testbed) setFault(d *daemon, f faultdial.Fault, addresses ...string) {
	s.t.Helper()
	require.NoError(s.t, faultdial.Write(d.faultFile, f, addresses...))
}

// cutOffFromStreams cuts a daemon off from all instances, and waits until it serves streams through another
// daemon.
func (s *testbed) cutOffFromStreams(d *daemon) {
	s.t.Helper()
	s.setFault(d, faultdial.Reset)
	s.eventually(func() error {
		if r := s.send(s.newCall(pathStream), d); r.Status != http.StatusOK || !d.logsContain("service.cut_off") {
			return trace.Errorf("answered %d %s", r.Status, r.Body)
		}
		return nil
	})
}

// timedReply is a reply with the time at which its call was sent.
type timedReply struct {
	platformtest.Reply
	sentAt time.Time
	call   platformtest.Call
}

// callerLoad sends calls at a steady rate to each of some daemons.
type callerLoad struct {
	*testbed
	stop func()

	mu      sync.Mutex
	replies map[*daemon][]timedReply
}

// callInterval is the usual mean time between two calls to a daemon.
const callInterval = 48 * time.Millisecond

// startCallerLoad sends calls to the paths in turn to each daemon until stop is called.
func (s *testbed) startCallerLoad(daemons []*daemon, paths ...string) *callerLoad {
	return s.startCallerLoadEvery(callInterval, daemons, paths...)
}

// startCallerLoadEvery is startCallerLoad with the given mean time between two calls to a daemon.
func (s *testbed) startCallerLoadEvery(interval time.Duration, daemons []*daemon, paths ...string) *callerLoad {
	l := &callerLoad{testbed: s, replies: map[*daemon][]timedReply{}}
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, d := range daemons {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(interval))):
				}
				c := s.newCall(paths[n%len(paths)])
				all.Go(func() { l.sendTo(d, c) })
			}
		})
	}
	l.stop = func() {
		close(done)
		all.Wait()
	}
	return l
}

func (l *callerLoad) sendTo(d *daemon, c platformtest.Call) {
	sentAt := time.Now()
	r := l.send(c, d)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies[d] = append(l.replies[d], timedReply{Reply: r, sentAt: sentAt, call: c})
}

// served returns how many of the calls sent to daemons between two times were served, and how many
// there were.
func (l *callerLoad) served(daemons []*daemon, from, to time.Time) (served, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range daemons {
		for _, r := range l.replies[d] {
			if r.sentAt.Before(from) || r.sentAt.After(to) {
				continue
			}
			sent++
			if r.Err == nil && r.Status == http.StatusOK && r.Sealed {
				served++
			}
		}
	}
	return served, sent
}

// requireAtMostOnce requires that no call that must not be repeated ran twice, that none ran that
// was answered as not run, and that each answer is whole.
func (l *callerLoad) requireAtMostOnce() {
	l.t.Helper()
	runs := map[string]int{}
	for _, server := range l.servers {
		for _, received := range server.Received() {
			if received.Behaviour.Runs() {
				runs[received.ID]++
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, replies := range l.replies {
		for _, r := range replies {
			if r.call.Path == pathUnsafe {
				require.LessOrEqual(l.t, runs[r.call.ID], 1, "%s ran more than once", r.call.ID)
			}
			if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
				require.True(l.t, runs[r.call.ID] == 0 || r.call.Path != pathUnsafe, "%s ran and was answered %d", r.call.ID, r.Status)
			}
			if r.Err == nil && r.Status == http.StatusOK {
				require.Equal(l.t, r.call.ID, r.ID)
			}
		}
	}
}

// TestCutOffDaemonServesByWayOfPeers guards against a daemon that refuses its callers because it
// reaches no instance while other daemons reach all of them. The first half of the daemons is in one
// failure domain. CUT_DAEMONS is the number of daemons.
//
//	CUT_DAEMONS=30 go test -count=1 -run TestCutOffDaemonServesByWayOfPeers -timeout 20m ./test/routes
func TestCutOffDaemonServesByWayOfPeers(t *testing.T) {
	daemonCount := envInt("CUT_DAEMONS", 6)
	runCuts(t, daemonCount, []cutCase{
		{faultdial.Reset, 2}, {faultdial.Hang, 2}, {faultdial.Refuse, 2}, {faultdial.Hang, 1}, {faultdial.Hang, daemonCount / 2}, {faultdial.Hang, daemonCount - 1}, {faultdial.Reset, daemonCount - 1},
	})
}

// Guards against a cut behind something that accepts connections, which a daemon takes for signs of
// life of the instances.
func TestCutBehindAnAcceptorServesByWayOfPeers(t *testing.T) {
	daemonCount := envInt("CUT_DAEMONS", 6)
	runCuts(t, daemonCount, []cutCase{
		{faultdial.ResetAccepted, 2}, {faultdial.HangAccepted, 2}, {faultdial.ResetNew, 2}, {faultdial.HangAccepted, daemonCount - 2}, {faultdial.ResetAccepted, daemonCount - 1},
	})
}

// cutCase is a fault of the connections to all instances at some daemons.
type cutCase struct {
	fault faultdial.Fault
	cut   int
}

func runCuts(t *testing.T, daemonCount int, cases []cutCase) {
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s-%d-of-%d", c.fault, c.cut, daemonCount), func(t *testing.T) {
			s := newTestbed(t)
			for i := range 4 {
				s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("cat-", i), Service: plainService, Delay: 20 * time.Millisecond})
			}
			for i := range daemonCount {
				s.startProcess(func(r *settings.Routes) {
					if i >= daemonCount/2 {
						r.FailureDomain = "hall-b"
					}
				}, binaries.StartFaultDaemon)
			}
			for _, d := range s.daemons {
				s.waitReady(d)
			}
			load := s.startCallerLoad(s.daemons, pathSafe, pathUnsafe)
			<-time.After(time.Second)

			cutOff, others := s.daemons[:c.cut], s.daemons[c.cut:]
			for _, d := range cutOff {
				s.setFault(d, c.fault)
			}
			cutAt := time.Now()
			<-time.After(cutKnownAfter + 3*time.Second)
			for _, d := range cutOff {
				s.setFault(d, faultdial.None)
			}
			endAt := time.Now()
			<-time.After(cutEndedAfter + time.Second)
			load.stop()

			served, sent := load.served(cutOff, cutAt.Add(cutKnownAfter), endAt)
			othersServed, othersSent := load.served(others, cutAt.Add(cutKnownAfter), endAt)
			t.Logf("cut off: %d of %d served, others: %d of %d", served, sent, othersServed, othersSent)
			afterServed, afterSent := load.served(s.daemons, endAt.Add(cutEndedAfter), time.Now())
			t.Logf("after the end: %d of %d served", afterServed, afterSent)
			load.requireAtMostOnce()
			require.GreaterOrEqual(t, float64(served)/float64(sent), cutServedShare*float64(othersServed)/float64(othersSent))
			require.Equal(t, afterSent, afterServed)
		})
	}
}
