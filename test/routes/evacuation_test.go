package routes_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// halls are the failure domains of these tests.
var failureDomains = []string{"hall-a", "hall-b", "hall-c"}

// twoPerHall starts two servers of the plain service in each failure domain.
func (s *testbed) startTwoPerDomain() {
	for _, hall := range failureDomains {
		for n := range 2 {
			s.startServer(platformtest.ServerOptions{ID: fmt.Sprintf("%s-%d", hall, n), Service: plainService, FailureDomain: hall, Work: 20 * time.Millisecond})
		}
	}
}

// arrivals is the number of requests that the servers of a failure domain have got.
func (s *testbed) requestsIn(hall string) int {
	n := 0
	for id, server := range s.servers {
		if strings.HasPrefix(id, hall) {
			n += len(server.Seen())
		}
	}
	return n
}

// callersAtOnce is enough for a daemon to use all failure domains and not only its own.
const concurrentCallers = 16

// serves requires that a daemon serves requests, and that none reach some failure domains.
func (s *testbed) requireServedOutside(d *daemon, without ...string) {
	s.t.Helper()
	before := map[string]int{}
	for _, hall := range without {
		before[hall] = s.requestsIn(hall)
	}
	var callers sync.WaitGroup
	for range concurrentCallers {
		callers.Go(func() {
			const requests = 5
			for range requests {
				reply := s.send(s.newCall(pathSafe), d)
				assert.Equal(s.t, http.StatusOK, reply.Status, reply.Body)
			}
		})
	}
	callers.Wait()
	for hall, n := range before {
		require.Equal(s.t, n, s.requestsIn(hall), "requests in %s through %s", hall, d.Name)
	}
}

// reachesHall sends requests through a daemon until one reaches a failure domain.
func (s *testbed) sendUntilDomainReached(d *daemon, hall string) {
	s.t.Helper()
	before := s.requestsIn(hall)
	stop := runWorkers(concurrentCallers, func(int) { s.send(s.newCall(pathSafe), d) })
	defer stop()
	s.eventually(func() error {
		if s.requestsIn(hall) == before {
			return trace.Errorf("nothing reaches %s", hall)
		}
		return nil
	})
}

// evacuatedAt waits until a daemon has an evacuation in force.
func (s *testbed) waitEvacuated(d *daemon, hall string) {
	s.t.Helper()
	s.waitForLog(d, "evacuation.in_force", "failure_domain="+hall)
}

// Guards against requests to instances of a failure domain that the operator has emptied,
// and against one that stays empty once it is taken back.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	daemons := []*daemon{s.startReadyDaemon(), s.startReadyDaemon(), s.startReadyDaemon()}
	s.store.Evacuate("hall-b")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-b")
		s.requireServedOutside(d, "hall-b")
	}
	s.store.Evacuate("hall-c")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-c")
		s.requireServedOutside(d, "hall-b", "hall-c")
		shown := s.status(d).Evacuations
		require.Len(t, shown, 2)
		require.Equal(t, "hall-b", shown[0].FailureDomain)
		require.GreaterOrEqual(t, shown[0].SinceMS, shown[1].SinceMS)
	}
	s.store.Restore("hall-b")
	for _, d := range daemons {
		s.waitForLog(d, "evacuation.lifted", "failure_domain=hall-b")
		s.sendUntilDomainReached(d, "hall-b")
		s.requireServedOutside(d, "hall-c")
	}
}

// Guards against a daemon that starts in the middle of an evacuation, while the store is
// away, and serves before it knows of it.
func TestStartingDaemonKnowsEvacuations(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	first := s.startReadyDaemon()
	s.store.Evacuate("hall-b")
	s.waitEvacuated(first, "hall-b")
	s.store.SetFault(platformtest.FaultSilent)
	second := s.startReadyDaemon()
	s.requireServedOutside(second, "hall-b")
}

// Guards against an evacuation that is missed, or stays in force, because the store has
// dropped the history in which it began and ended.
func TestEvacuationsAfterLostHistory(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	d := s.startReadyDaemon()
	s.store.Evacuate("hall-a")
	s.waitEvacuated(d, "hall-a")
	s.store.SetFault(platformtest.FaultSilent)
	s.waitForLog(d, "store.lost")
	s.store.Restore("hall-a")
	s.store.Evacuate("hall-b")
	s.store.Compact()
	s.store.SetFault(platformtest.FaultNone)
	s.waitEvacuated(d, "hall-b")
	s.waitForLog(d, "evacuation.lifted", "failure_domain=hall-a")
	s.requireServedOutside(d, "hall-b")
	s.sendUntilDomainReached(d, "hall-a")
}

// Guards against a daemon that the store turns away and that so misses an evacuation.
func TestDaemonWithoutStoreLearnsEvacuations(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	reader, deaf := s.startReadyDaemon(), s.startDaemon(func(r *settings.Routes) { r.Platform = "127.0.0.1:1" })
	s.waitForLog(deaf, "daemon.offered")
	s.store.Evacuate("hall-b")
	s.waitEvacuated(reader, "hall-b")
	s.waitEvacuated(deaf, "hall-b")
	s.requireServedOutside(deaf, "hall-b")
	s.store.Restore("hall-b")
	s.waitForLog(deaf, "evacuation.lifted", "failure_domain=hall-b")
	s.sendUntilDomainReached(deaf, "hall-b")
}

// Guards against callers that are held until their deadline where all instances are in
// evacuated failure domains.
func TestRequestsAreRefusedWhenAllIsEvacuated(t *testing.T) {
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "hall-b-0", Service: plainService, FailureDomain: "hall-b"})
	d := s.startReadyDaemon()
	s.store.Evacuate("hall-b")
	s.waitEvacuated(d, "hall-b")
	c := s.newCall(pathUnsafe)
	reply := s.send(c, d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Empty(t, s.serversThatRan(c.ID))
	after, err := strconv.ParseFloat(reply.RetryAfter, 64)
	require.NoError(t, err)
	require.Positive(t, after)
}

// Guards against streams that are cut when their failure domain is evacuated.
func TestStreamsSurviveEvacuation(t *testing.T) {
	s := newTestbed(t)
	const pieces = 10
	s.startServer(platformtest.ServerOptions{
		ID: "hall-b-0", Service: engineService, FailureDomain: "hall-b", Events: pieces, Work: 100 * time.Millisecond, Confidence: map[string]int{"small": 90},
	})
	d := s.startReadyDaemon()
	c := s.newCall(pathStream)
	answer := make(chan platformtest.Reply)
	go func() { answer <- s.send(c, d) }()
	s.eventually(func() error {
		if len(s.serversThatRan(c.ID)) == 0 {
			return trace.Errorf("the stream has not begun")
		}
		return nil
	})
	s.store.Evacuate("hall-b")
	s.waitEvacuated(d, "hall-b")
	reply := <-answer
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(c.ID, pieces), reply.Body)
	require.Len(t, s.serversThatRan(c.ID), 1)
}

// warming declares the plain service with instances that bear few requests after a start.
func coldStartManifest(version int64) wire.Manifest {
	m := newManifest(version)
	for i := range m.Services {
		m.Services[i].ColdStartS, m.Services[i].ColdPerS = 3, 9
	}
	return m
}

// coldLimit is how many requests in any second end a cold server of these tests: one and a
// half times its rate, and five.
const coldCrashRate = 18

// cold starts a server that is cold.
func (s *testbed) startCold(id, hall string, d time.Duration) *platformtest.Server {
	server := platformtest.NewServer(platformtest.ServerOptions{
		ID: id, Service: plainService, FailureDomain: hall, Version: "v1", Slots: 8, Cold: d, ColdPerS: coldCrashRate,
	})
	s.t.Cleanup(server.Close)
	s.servers[id] = server
	server.Register(s.store, wire.StateReady)
	return server
}

// flood has callers send through all daemons until it is stopped.
func (s *testbed) startFlood(daemons []*daemon) (stop func()) {
	const perDaemon = 4
	return runWorkers(perDaemon*len(daemons), func(worker int) {
		s.send(s.newCall(pathSafe), daemons[worker%len(daemons)])
	})
}

// bears waits until a server has had some requests, and requires that they have not ended
// it.
func (s *testbed) requireNotOverloaded(server *platformtest.Server, requests int) {
	s.t.Helper()
	s.eventually(func() error {
		if n := len(server.Seen()); n < requests && !server.Overrun() {
			return trace.Errorf("the server has had %d requests", n)
		}
		return nil
	})
	require.False(s.t, server.Overrun())
}

// listed waits until daemons know a server.
func (s *testbed) waitListed(daemons []*daemon, id string) {
	s.t.Helper()
	for _, d := range daemons {
		s.eventually(func() error {
			for _, v := range s.status(d).List.Instances[plainService] {
				if v.Instance.ID == id {
					return nil
				}
			}
			return trace.Errorf("%s does not know %s", d.Name, id)
		})
	}
}

// Guards against an instance that ends again and again because the whole fleet sends to it
// as soon as it has started.
func TestColdInstanceIsNotOverloaded(t *testing.T) {
	s := newTestbed(t)
	s.store.Declare(coldStartManifest(5))
	s.startTwoPerDomain()
	var daemons []*daemon
	for range 8 {
		daemons = append(daemons, s.startReadyDaemon())
	}
	stop := s.startFlood(daemons)
	defer stop()
	cold := s.startCold("hall-a-new", "hall-a", 3*time.Second)
	s.waitListed(daemons, "hall-a-new")
	s.requireNotOverloaded(cold, 100)
}

// Guards against a service that ends as a whole when all of its instances are cold, and
// against callers that get nothing meanwhile.
func TestAllInstancesCold(t *testing.T) {
	s := newTestbed(t)
	s.store.Declare(coldStartManifest(5))
	var cold []*platformtest.Server
	for n := range 3 {
		cold = append(cold, s.startCold(fmt.Sprint("hall-a-", n), "hall-a", 3*time.Second))
	}
	var daemons []*daemon
	for range 4 {
		daemons = append(daemons, s.startReadyDaemon())
	}
	for _, server := range cold {
		server.Cool(3 * time.Second)
		server.Register(s.store, wire.StateReady)
	}
	s.eventually(func() error {
		for _, d := range daemons {
			for _, v := range s.status(d).List.Instances[plainService] {
				if !v.Warming {
					return trace.Errorf("%s takes %s for warm", d.Name, v.Instance.ID)
				}
			}
		}
		return nil
	})
	stop := s.startFlood(daemons)
	defer stop()
	for _, server := range cold {
		s.requireNotOverloaded(server, 60)
	}
}

// Guards against a failure domain whose instances all end when it is taken back: they came
// back cold, and their entries say so late.
func TestRestoredDomainIsNotOverloaded(t *testing.T) {
	s := newTestbed(t)
	s.store.Declare(coldStartManifest(5))
	s.startTwoPerDomain()
	cold := s.startCold("hall-d-0", "hall-d", 0)
	var daemons []*daemon
	for range 6 {
		daemons = append(daemons, s.startReadyDaemon())
	}
	s.store.Evacuate("hall-d")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-d")
	}
	stop := s.startFlood(daemons)
	defer stop()
	cold.Cool(2 * time.Second)
	s.store.Restore("hall-d")
	s.requireNotOverloaded(cold, 80)
}

// Guards against callers for whom no turn at a cold instance comes in time, and who are
// held while the budget of repeats is spent on asking again.
func TestColdInstanceWaitUsesNoRetry(t *testing.T) {
	s := newTestbed(t)
	m := coldStartManifest(5)
	for i := range m.Services {
		// A turn in more than the time that callers have.
		m.Services[i].ColdStartS, m.Services[i].ColdPerS = 60, 0.01
	}
	s.store.Declare(m)
	s.startCold("hall-a-0", "hall-a", time.Minute)
	d := s.startDaemon(func(r *settings.Routes) { r.RetryRatio, r.RetrySlack = 0, 2 })
	s.waitForLog(d, "daemon.offered")
	refused := 0
	for range 5 {
		c := s.newCall(pathSafe)
		reply := s.send(c, d)
		if reply.Status == http.StatusOK {
			// The one turn.
			continue
		}
		refused++
		require.Equal(t, http.StatusServiceUnavailable, reply.Status, reply.Body)
		require.Contains(t, reply.Body, "warm up")
		require.Empty(t, s.serversThatRan(c.ID))
		require.Contains(t, s.waitForLog(d, "request.done", "request="+c.ID+" "), "no_retry=no_instance")
	}
	require.GreaterOrEqual(t, refused, 4)
}
