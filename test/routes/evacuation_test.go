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

// failureDomains are the failure domains in which startTwoPerDomain starts servers.
var failureDomains = []string{"hall-a", "hall-b", "hall-c"}

// startTwoPerDomain starts two servers of the plain service in each failure domain.
func (s *testbed) startTwoPerDomain() {
	for _, domain := range failureDomains {
		for n := range 2 {
			s.startServer(platformtest.ServerOptions{ID: fmt.Sprintf("%s-%d", domain, n), Service: plainService, FailureDomain: domain, Delay: 20 * time.Millisecond})
		}
	}
}

// requestsIn returns the number of requests that the servers of a failure domain have
// received.
func (s *testbed) requestsIn(domain string) int {
	n := 0
	for id, server := range s.servers {
		if strings.HasPrefix(id, domain) {
			n += len(server.Received())
		}
	}
	return n
}

// concurrentCallers is high enough for a daemon to use other failure domains besides its own.
const concurrentCallers = 16

// requireServedOutside requires that a daemon serves requests and that none reaches the given
// failure domains.
func (s *testbed) requireServedOutside(d *daemon, without ...string) {
	s.t.Helper()
	before := map[string]int{}
	for _, domain := range without {
		before[domain] = s.requestsIn(domain)
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
	for domain, n := range before {
		require.Equal(s.t, n, s.requestsIn(domain), "requests in %s through %s", domain, d.Name)
	}
}

// sendUntilDomainReached sends requests through a daemon until one reaches a failure domain.
func (s *testbed) sendUntilDomainReached(d *daemon, domain string) {
	s.t.Helper()
	before := s.requestsIn(domain)
	stop := runWorkers(concurrentCallers, func(int) { s.send(s.newCall(pathSafe), d) })
	defer stop()
	s.eventually(func() error {
		if s.requestsIn(domain) == before {
			return trace.Errorf("no request reaches %s", domain)
		}
		return nil
	})
}

// waitEvacuated waits until an evacuation is in force at a daemon.
func (s *testbed) waitEvacuated(d *daemon, domain string) {
	s.t.Helper()
	s.waitForLog(d, "evacuation.in_force", "failure_domain="+domain)
}

// Guards against requests to instances of an evacuated failure domain, and against one that
// gets no requests after its evacuation has ended.
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
	s.store.EndEvacuation("hall-b")
	for _, d := range daemons {
		s.waitForLog(d, "evacuation.lifted", "failure_domain=hall-b")
		s.sendUntilDomainReached(d, "hall-b")
		s.requireServedOutside(d, "hall-c")
	}
}

// Guards against a daemon that starts during an evacuation, while the store does not answer,
// and serves requests before it has learnt of the evacuation from a peer.
func TestStartingDaemonKnowsEvacuations(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	first := s.startReadyDaemon()
	s.store.Evacuate("hall-b")
	s.waitEvacuated(first, "hall-b")
	s.store.SetFault(platformtest.FaultHang)
	second := s.startReadyDaemon()
	s.requireServedOutside(second, "hall-b")
}

// Guards against evacuations whose start or end a daemon misses because it was written during
// an outage and the store has dropped that history.
func TestEvacuationsAfterLostHistory(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	d := s.startReadyDaemon()
	s.store.Evacuate("hall-a")
	s.waitEvacuated(d, "hall-a")
	s.store.SetFault(platformtest.FaultHang)
	s.waitForLog(d, "store.lost")
	s.store.EndEvacuation("hall-a")
	s.store.Evacuate("hall-b")
	s.store.Compact()
	s.store.SetFault(platformtest.FaultNone)
	s.waitEvacuated(d, "hall-b")
	s.waitForLog(d, "evacuation.lifted", "failure_domain=hall-a")
	s.requireServedOutside(d, "hall-b")
	s.sendUntilDomainReached(d, "hall-a")
}

// Guards against a daemon that cannot reach the store and misses the start or end of an
// evacuation. It must learn of both from its peers.
func TestDaemonWithoutStoreLearnsEvacuations(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	reader, isolated := s.startReadyDaemon(), s.startDaemon(func(r *settings.Routes) { r.Platform = "127.0.0.1:1" })
	s.waitForLog(isolated, "daemon.offered")
	s.store.Evacuate("hall-b")
	s.waitEvacuated(reader, "hall-b")
	s.waitEvacuated(isolated, "hall-b")
	s.requireServedOutside(isolated, "hall-b")
	s.store.EndEvacuation("hall-b")
	s.waitForLog(isolated, "evacuation.lifted", "failure_domain=hall-b")
	s.sendUntilDomainReached(isolated, "hall-b")
}

// Guards against callers that wait until their deadline when all instances are in evacuated
// failure domains.
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
		ID: "hall-b-0", Service: engineService, FailureDomain: "hall-b", Events: pieces, Delay: 100 * time.Millisecond, Confidence: map[string]int{"small": 90},
	})
	d := s.startReadyDaemon()
	c := s.newCall(pathStream)
	answer := make(chan platformtest.Reply)
	go func() { answer <- s.send(c, d) }()
	s.eventually(func() error {
		if len(s.serversThatRan(c.ID)) == 0 {
			return trace.Errorf("the stream has not started")
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

// coldStartManifest declares that instances are cold for 3 s after their start and take 9
// requests per second in that time.
func coldStartManifest(version int64) wire.Manifest {
	m := newManifest(version)
	for i := range m.Services {
		m.Services[i].ColdStartS, m.Services[i].ColdPerS = 3, 9
	}
	return m
}

// coldCrashRate is how many requests within a second a cold server survives: 1.5 times the
// declared rate of 9, and 5 more.
const coldCrashRate = 18

// startCold starts a server of the plain service that is cold for d.
func (s *testbed) startCold(id, domain string, d time.Duration) *platformtest.Server {
	server := platformtest.NewServer(platformtest.ServerOptions{
		ID: id, Service: plainService, FailureDomain: domain, Version: "v1", Slots: 8, ColdTime: d, ColdPerS: coldCrashRate,
	})
	s.t.Cleanup(server.Close)
	s.servers[id] = server
	server.Register(s.store, wire.StateReady)
	return server
}

// startFlood sends requests through all daemons, without a pause, until stop is called.
func (s *testbed) startFlood(daemons []*daemon) (stop func()) {
	const perDaemon = 4
	return runWorkers(perDaemon*len(daemons), func(worker int) {
		s.send(s.newCall(pathSafe), daemons[worker%len(daemons)])
	})
}

// requireNotOverloaded waits until a server has received a number of requests, and requires
// that they have not crashed it.
func (s *testbed) requireNotOverloaded(server *platformtest.Server, requests int) {
	s.t.Helper()
	s.eventually(func() error {
		if n := len(server.Received()); n < requests && !server.Overloaded() {
			return trace.Errorf("the server has received %d requests", n)
		}
		return nil
	})
	require.False(s.t, server.Overloaded())
}

// waitListed waits until all daemons list a server of the plain service.
func (s *testbed) waitListed(daemons []*daemon, id string) {
	s.t.Helper()
	for _, d := range daemons {
		s.eventually(func() error {
			for _, v := range s.status(d).List.Instances[plainService] {
				if v.Instance.ID == id {
					return nil
				}
			}
			return trace.Errorf("%s does not list %s", d.Name, id)
		})
	}
}

// Guards against an instance that crashes after each start because all daemons send requests
// to it as soon as it is listed.
func TestColdInstanceIsNotOverloaded(t *testing.T) {
	s := newTestbed(t)
	s.store.PutManifest(coldStartManifest(5))
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

// Guards against a service whose instances all crash when all of them are cold, and against
// callers that are not served in that time.
func TestAllInstancesCold(t *testing.T) {
	s := newTestbed(t)
	s.store.PutManifest(coldStartManifest(5))
	var cold []*platformtest.Server
	for n := range 3 {
		cold = append(cold, s.startCold(fmt.Sprint("hall-a-", n), "hall-a", 3*time.Second))
	}
	var daemons []*daemon
	for range 4 {
		daemons = append(daemons, s.startReadyDaemon())
	}
	for _, server := range cold {
		server.SetCold(3 * time.Second)
		server.Register(s.store, wire.StateReady)
	}
	s.eventually(func() error {
		for _, d := range daemons {
			for _, v := range s.status(d).List.Instances[plainService] {
				if !v.Warming {
					return trace.Errorf("%s treats %s as warm", d.Name, v.Instance.ID)
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

// Guards against a failure domain whose instances crash when its evacuation ends. They have
// restarted and are cold, but their rows do not say so yet.
func TestRestoredDomainIsNotOverloaded(t *testing.T) {
	s := newTestbed(t)
	s.store.PutManifest(coldStartManifest(5))
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
	cold.SetCold(2 * time.Second)
	s.store.EndEvacuation("hall-d")
	s.requireNotOverloaded(cold, 80)
}

// Guards against requests that wait, and use up the retry budget, when the rate limit of a
// cold instance has no slot for them before their deadline.
func TestColdInstanceWaitUsesNoRetry(t *testing.T) {
	s := newTestbed(t)
	m := coldStartManifest(5)
	for i := range m.Services {
		// One request per 100 s, which is longer than the deadline of callers.
		m.Services[i].ColdStartS, m.Services[i].ColdPerS = 60, 0.01
	}
	s.store.PutManifest(m)
	s.startCold("hall-a-0", "hall-a", time.Minute)
	d := s.startDaemon(func(r *settings.Routes) { r.RetryRatio, r.RetrySlack = 0, 2 })
	s.waitForLog(d, "daemon.offered")
	refused := 0
	for range 5 {
		c := s.newCall(pathSafe)
		reply := s.send(c, d)
		if reply.Status == http.StatusOK {
			// The one request that the rate limit allows.
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
