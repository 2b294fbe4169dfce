package routes_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// poison is the body of the poison request, which crashes every server that runs it, and the
// suffix of its path.
const poison = "poison"

// poisonCall returns a call of the poison request. All calls for a path are the same request
// except for their request ID. The servers crash because of its header X-Poison; without the
// header it is the same request at servers that were fixed.
func (s *testbed) poisonCall(path string) platformtest.Call {
	c := s.newCall(path)
	c.Path += "-" + poison
	c.Body = poison
	c.ExtraHeaders = http.Header{"X-Poison": []string{"1"}}
	return c
}

// Guards against a request that crashes each server that starts to run it, and that its client
// repeats with a new request ID, each time at another daemon. If each daemon treats each repeat
// as a new request and sends it to up to three servers, 12 repeats crash servers 24 times in a
// pool of nine, and one in four requests of other callers fails. Daemons must recognise the
// repeats by their method, address, organisation and body, and distinguish the request from
// those that ran beside it: only this request was on every crashed server and never completed.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	for name, path := range map[string]string{"stream": pathStream, "look-up": pathSafe, "statement": pathUnsafe} {
		t.Run(name, func(t *testing.T) { repeatPoison(t, path) })
	}
}

// poisonRepeats is how often the client sends its request.
const poisonRepeats = 12

// crashDaemons returns the number of daemons of the crash tests: 3, or CRASH_DAEMONS.
//
//	CRASH_DAEMONS=80 go test -count=1 -run TestRequestThatCrashes -timeout 20m ./test/routes
func crashDaemons() int { return envInt("CRASH_DAEMONS", 3) }

// repeatPoison sends the poison request poisonRepeats times through changing daemons and
// requires that it crashes at most three servers and is refused from then on.
func repeatPoison(t *testing.T, path string) {
	const size = 9
	s := newTestbed(t)
	service, events := plainService, 0
	if path == pathStream {
		service, events = engineService, 8
	}
	p := s.newPool(service, events, size)
	for range crashDaemons() {
		s.startReadyDaemon()
	}
	for i := range poisonRepeats {
		before := p.endedServers()
		reply := s.send(s.poisonCall(path), s.daemons[i%len(s.daemons)])
		require.NotEqual(t, http.StatusOK, reply.Status)
		p.waitRestored(size)
		t.Logf("repeat %d: %d servers ended so far, status %d", i, p.endedServers(), reply.Status)
		if p.endedServers() == before {
			require.Equal(t, http.StatusServiceUnavailable, reply.Status, reply.Body)
			require.Contains(t, reply.Body, "request_quarantined")
			require.NotEmpty(t, reply.RetryAfter)
		}
	}
	require.LessOrEqual(t, p.endedServers(), 3)
	for _, d := range s.daemons {
		c := s.newCall(path)
		reply := s.send(c, d)
		require.Equal(t, http.StatusOK, reply.Status, reply.Body)
	}
}

// Guards against a daemon that starts while the store is down, after a request was
// quarantined, and runs that request. It must learn of the quarantine from its peers.
func TestStartingDaemonLearnsQuarantine(t *testing.T) {
	const size = 9
	s := newTestbed(t)
	p := s.newPool(engineService, 8, size)
	s.startReadyDaemon()
	s.startReadyDaemon()
	for range 4 {
		s.send(s.poisonCall(pathStream), s.daemons[0])
		p.waitRestored(size)
	}
	ended := p.endedServers()
	s.store.SetFault(platformtest.FaultRefuse)
	d := s.startReadyDaemon()
	s.eventually(func() error {
		if !d.logsContain("quarantine.learned") {
			return trace.Errorf("%s has no quarantined request", d.Name)
		}
		return nil
	})
	reply := s.send(s.poisonCall(pathStream), d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status, reply.Body)
	require.Equal(t, ended, p.endedServers())
}

// Guards against requests that are quarantined because of power losses. Three times, a rack of
// three servers ends under a load of streams. Many streams are on three servers that end, but
// none is the cause: each is on only a few of the servers that end at the same time.
func TestPowerLossQuarantinesNoRequest(t *testing.T) {
	const size, rack, workers, losses = 9, 3, 24, 3
	s := newTestbed(t)
	p := s.newPool(engineService, 40, size)
	for range 3 {
		s.startReadyDaemon()
	}
	var mu sync.Mutex
	var refused []string
	stop := runWorkers(workers, func(worker int) {
		c := s.newCall(pathStream)
		c.Body = fmt.Sprint("summary of clerk ", worker)
		reply := s.send(c, s.daemons[worker%len(s.daemons)])
		if strings.Contains(reply.Body, "request_quarantined") {
			mu.Lock()
			defer mu.Unlock()
			refused = append(refused, reply.Body)
		}
	})
	for i := range losses {
		p.killServers(rack)
		s.eventually(func() error {
			if p.endedServers() < (i+1)*rack {
				return trace.Errorf("%d servers have ended", p.endedServers())
			}
			return nil
		})
		p.waitRestored(size)
	}
	stop()
	require.Empty(t, refused)
}

// Guards against other requests that fail or are quarantined while one request that crashes
// servers is repeated. At most three servers may crash, and fewer than one in 50 of the other
// requests may fail, namely those that were on a crashed server.
func TestOtherRequestsDuringCrashes(t *testing.T) {
	const size, workers, others = 9, 12, 250
	s := newTestbed(t)
	p := s.newPool(engineService, 8, size)
	for range 3 {
		s.startReadyDaemon()
	}
	var mu sync.Mutex
	sent, failed, refused := 0, 0, 0
	stop := runWorkers(workers, func(worker int) {
		reply := s.send(s.newCall(pathStream), s.daemons[worker%len(s.daemons)])
		mu.Lock()
		defer mu.Unlock()
		sent++
		if reply.Err != nil || reply.Status != http.StatusOK {
			failed++
		}
		if strings.Contains(reply.Body, "request_quarantined") {
			refused++
		}
	})
	for i := range poisonRepeats {
		s.send(s.poisonCall(pathStream), s.daemons[i%len(s.daemons)])
		p.waitRestored(size)
	}
	s.eventually(func() error {
		mu.Lock()
		defer mu.Unlock()
		if sent < others {
			return trace.Errorf("%d other requests were sent", sent)
		}
		return nil
	})
	stop()
	require.Zero(t, refused)
	t.Logf("%d servers ended, %d of %d other requests failed", p.endedServers(), failed, sent)
	require.LessOrEqual(t, p.endedServers(), 3)
	require.Less(t, failed, sent/50)
}

// Guards against a request that stays refused after the operator has released it, for example
// because the servers were fixed. The operator must see which servers it crashed, and the
// release must reach all daemons.
func TestOperatorReleasesAQuarantinedRequest(t *testing.T) {
	const size = 9
	s := newTestbed(t)
	p := s.newPool(engineService, 8, size)
	s.startReadyDaemon()
	s.startReadyDaemon()
	for range 4 {
		s.send(s.poisonCall(pathStream), s.daemons[0])
		p.waitRestored(size)
	}
	var list entry.QuarantineReply
	resp, err := s.client.Get("http://" + s.daemons[0].metricsAddress + entry.QuarantinePath)
	require.NoError(t, err)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&list))
	resp.Body.Close()
	require.Len(t, list.Requests, 1)
	require.Len(t, list.Requests[0].Ended, 3)
	require.Equal(t, "visrad", list.Requests[0].Organisation)

	resp, err = s.client.Post("http://"+s.daemons[0].metricsAddress+entry.ReleasePath+list.Requests[0].Digest.String(), "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
	s.waitForLog(s.daemons[1], "quarantine.learned", "released=true")
	for _, d := range s.daemons {
		c := s.poisonCall(pathStream)
		c.ExtraHeaders = nil
		reply := s.send(c, d)
		require.Equal(t, http.StatusOK, reply.Status, reply.Body)
	}
}

// Guards against a daemon that is frozen while a request is quarantined and runs the request
// when it resumes. The store does not answer, so the daemon must learn of the quarantine
// through heartbeats.
func TestFrozenDaemonLearnsQuarantine(t *testing.T) {
	const size = 9
	s := newTestbed(t)
	p := s.newPool(engineService, 8, size)
	for range 3 {
		s.startReadyDaemon()
	}
	s.store.SetFault(platformtest.FaultHang)
	frozen := s.daemons[2]
	require.NoError(t, frozen.Pause())
	ended := p.crashUntilRefused(size, s.daemons[0])
	require.LessOrEqual(t, ended, 6, "five while a daemon does not answer, and one retry")
	frozen.Resume()
	s.waitForLog(frozen, "quarantine.learned")
	reply := s.send(s.poisonCall(pathStream), frozen)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status, reply.Body)
	require.Equal(t, ended, p.endedServers())
}

// Guards against a quarantine that is lost when all daemons are killed at the same time. It is
// stored, and daemons that start must read it.
func TestQuarantineSurvivesRestartOfAllDaemons(t *testing.T) {
	const size = 9
	s := newTestbed(t)
	p := s.newPool(engineService, 8, size)
	old := []*daemon{s.startReadyDaemon(), s.startReadyDaemon()}
	ended := p.crashUntilRefused(size, old[0])
	c := s.poisonCall(pathStream)
	digest := quarantine.NewDigest(http.MethodPost, c.Host, c.Path, "visrad", []byte(c.Body))
	s.eventually(func() error {
		if s.store.Value("hornbeamsill", "quarantine/"+digest.String()) == nil {
			return trace.Errorf("the store has no row of the quarantined request")
		}
		return nil
	})
	for _, d := range old {
		d.Kill()
	}
	s.daemons = nil
	d := s.startReadyDaemon()
	s.waitForLog(d, "quarantine.learned", "source=store")
	reply := s.send(s.poisonCall(pathStream), d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status, reply.Body)
	require.Equal(t, ended, p.endedServers())
}

// Guards against a request that goes on crashing servers when its caller does not wait for
// answers and sends 30 repeats to all daemons, one every 50 ms or all at once. Each repeat
// that is sent before the first crash is known may crash a server. A second after the third
// crash, no repeat may crash another one.
func TestConcurrentRepeatsOfCrashingRequest(t *testing.T) {
	const size, repeats = 18, 30
	for name, pause := range map[string]time.Duration{"every 50 ms": 50 * time.Millisecond, "at once": 0} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			p := s.newPool(engineService, 8, size)
			for range crashDaemons() {
				s.startReadyDaemon()
			}
			var all sync.WaitGroup
			for i := range repeats {
				all.Go(func() { s.send(s.poisonCall(pathStream), s.daemons[i%len(s.daemons)]) })
				<-time.After(pause)
			}
			all.Wait()
			p.waitRestored(size)
			ended := p.endedServers()
			t.Logf("%d servers ended", ended)
			s.send(s.poisonCall(pathStream), s.daemons[0])
			require.Equal(t, ended, p.endedServers())
		})
	}
}
