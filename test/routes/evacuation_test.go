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
var halls = []string{"hall-a", "hall-b", "hall-c"}

// twoPerHall starts two servers of the plain service in each failure domain.
func (s *site) twoPerHall() {
	for _, hall := range halls {
		for n := range 2 {
			s.server(platformtest.ServerOptions{ID: fmt.Sprintf("%s-%d", hall, n), Service: plain, FailureDomain: hall, Work: 20 * time.Millisecond})
		}
	}
}

// arrivals is the number of requests that the servers of a failure domain have got.
func (s *site) arrivals(hall string) int {
	n := 0
	for id, server := range s.servers {
		if strings.HasPrefix(id, hall) {
			n += len(server.Seen())
		}
	}
	return n
}

// callersAtOnce is enough for a daemon to use all failure domains and not only its own.
const callersAtOnce = 16

// serves requires that a daemon serves requests, and that none reach some failure domains.
func (s *site) serves(d *daemon, without ...string) {
	s.t.Helper()
	before := map[string]int{}
	for _, hall := range without {
		before[hall] = s.arrivals(hall)
	}
	var callers sync.WaitGroup
	for range callersAtOnce {
		callers.Go(func() {
			const requests = 5
			for range requests {
				reply := s.send(s.call(pathSafe), d)
				assert.Equal(s.t, http.StatusOK, reply.Status, reply.Body)
			}
		})
	}
	callers.Wait()
	for hall, n := range before {
		require.Equal(s.t, n, s.arrivals(hall), "requests in %s through %s", hall, d.Name)
	}
}

// reachesHall sends requests through a daemon until one reaches a failure domain.
func (s *site) reachesHall(d *daemon, hall string) {
	s.t.Helper()
	before := s.arrivals(hall)
	stop := repeatedly(callersAtOnce, func(int) { s.send(s.call(pathSafe), d) })
	defer stop()
	s.eventually(func() error {
		if s.arrivals(hall) == before {
			return trace.Errorf("nothing reaches %s", hall)
		}
		return nil
	})
}

// evacuatedAt waits until a daemon has an evacuation in force.
func (s *site) evacuatedAt(d *daemon, hall string) {
	s.t.Helper()
	s.logged(d, "evacuation.in_force", "failure_domain="+hall)
}

// Guards against requests to instances of a failure domain that the operator has emptied,
// and against one that stays empty once it is taken back.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	s := newSite(t)
	s.twoPerHall()
	daemons := []*daemon{s.serving(), s.serving(), s.serving()}
	s.store.Evacuate("hall-b")
	for _, d := range daemons {
		s.evacuatedAt(d, "hall-b")
		s.serves(d, "hall-b")
	}
	s.store.Evacuate("hall-c")
	for _, d := range daemons {
		s.evacuatedAt(d, "hall-c")
		s.serves(d, "hall-b", "hall-c")
		shown := s.beliefs(d).Evacuations
		require.Len(t, shown, 2)
		require.Equal(t, "hall-b", shown[0].FailureDomain)
		require.GreaterOrEqual(t, shown[0].SinceMS, shown[1].SinceMS)
	}
	s.store.Restore("hall-b")
	for _, d := range daemons {
		s.logged(d, "evacuation.lifted", "failure_domain=hall-b")
		s.reachesHall(d, "hall-b")
		s.serves(d, "hall-c")
	}
}

// Guards against a daemon that starts in the middle of an evacuation, while the store is
// away, and serves before it knows of it.
func TestDaemonThatStartsKnowsEvacuations(t *testing.T) {
	s := newSite(t)
	s.twoPerHall()
	first := s.serving()
	s.store.Evacuate("hall-b")
	s.evacuatedAt(first, "hall-b")
	s.store.SetFault(platformtest.FaultSilent)
	second := s.serving()
	s.serves(second, "hall-b")
}

// Guards against an evacuation that is missed, or stays in force, because the store has
// dropped the history in which it began and ended.
func TestEvacuationsAfterLostHistory(t *testing.T) {
	s := newSite(t)
	s.twoPerHall()
	d := s.serving()
	s.store.Evacuate("hall-a")
	s.evacuatedAt(d, "hall-a")
	s.store.SetFault(platformtest.FaultSilent)
	s.logged(d, "store.lost")
	s.store.Restore("hall-a")
	s.store.Evacuate("hall-b")
	s.store.Compact()
	s.store.SetFault(platformtest.FaultNone)
	s.evacuatedAt(d, "hall-b")
	s.logged(d, "evacuation.lifted", "failure_domain=hall-a")
	s.serves(d, "hall-b")
	s.reachesHall(d, "hall-a")
}

// Guards against a daemon that the store turns away and that so misses an evacuation.
func TestDaemonThatMissesTheStoreHearsOfEvacuations(t *testing.T) {
	s := newSite(t)
	s.twoPerHall()
	reader, deaf := s.serving(), s.start(func(r *settings.Routes) { r.Platform = "127.0.0.1:1" })
	s.logged(deaf, "daemon.offered")
	s.store.Evacuate("hall-b")
	s.evacuatedAt(reader, "hall-b")
	s.evacuatedAt(deaf, "hall-b")
	s.serves(deaf, "hall-b")
	s.store.Restore("hall-b")
	s.logged(deaf, "evacuation.lifted", "failure_domain=hall-b")
	s.reachesHall(deaf, "hall-b")
}

// Guards against callers that are held until their deadline where all instances are in
// evacuated failure domains.
func TestCallersAreRefusedAtOnceWhenAllIsEvacuated(t *testing.T) {
	s := newSite(t)
	s.server(platformtest.ServerOptions{ID: "hall-b-0", Service: plain, FailureDomain: "hall-b"})
	d := s.serving()
	s.store.Evacuate("hall-b")
	s.evacuatedAt(d, "hall-b")
	c := s.call(pathOnce)
	reply := s.send(c, d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Empty(t, s.runs(c.ID))
	after, err := strconv.ParseFloat(reply.RetryAfter, 64)
	require.NoError(t, err)
	require.Positive(t, after)
}

// Guards against streams that are cut when their failure domain is evacuated.
func TestStreamsInAnEvacuatedDomainRunOn(t *testing.T) {
	s := newSite(t)
	const pieces = 10
	s.server(platformtest.ServerOptions{
		ID: "hall-b-0", Service: engines, FailureDomain: "hall-b", Events: pieces, Work: 100 * time.Millisecond, Confidence: map[string]int{"small": 90},
	})
	d := s.serving()
	c := s.call(pathTurns)
	answer := make(chan platformtest.Reply)
	go func() { answer <- s.send(c, d) }()
	s.eventually(func() error {
		if len(s.runs(c.ID)) == 0 {
			return trace.Errorf("the stream has not begun")
		}
		return nil
	})
	s.store.Evacuate("hall-b")
	s.evacuatedAt(d, "hall-b")
	reply := <-answer
	require.NoError(t, reply.Err)
	require.Equal(t, events(c.ID, pieces), reply.Body)
	require.Len(t, s.runs(c.ID), 1)
}

// warming declares the plain service with instances that bear few requests after a start.
func warming(version int64) wire.Manifest {
	m := declaration(version)
	for i := range m.Services {
		m.Services[i].ColdStartS, m.Services[i].ColdPerS = 3, 9
	}
	return m
}

// coldLimit is how many requests in any second end a cold server of these tests: one and a
// half times its rate, and five.
const coldLimit = 18

// cold starts a server that is cold.
func (s *site) cold(id, hall string, d time.Duration) *platformtest.Server {
	server := platformtest.NewServer(platformtest.ServerOptions{
		ID: id, Service: plain, FailureDomain: hall, Version: "v1", Slots: 8, Cold: d, ColdPerS: coldLimit,
	})
	s.t.Cleanup(server.Close)
	s.servers[id] = server
	server.Register(s.store, wire.StateReady)
	return server
}

// flood has callers send through all daemons until it is stopped.
func (s *site) flood(daemons []*daemon) (stop func()) {
	const perDaemon = 4
	return repeatedly(perDaemon*len(daemons), func(worker int) {
		s.send(s.call(pathSafe), daemons[worker%len(daemons)])
	})
}

// bears waits until a server has had some requests, and requires that they have not ended
// it.
func (s *site) bears(server *platformtest.Server, requests int) {
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
func (s *site) listed(daemons []*daemon, id string) {
	s.t.Helper()
	for _, d := range daemons {
		s.eventually(func() error {
			for _, v := range s.beliefs(d).List.Instances[plain] {
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
func TestColdInstanceIsNotOverrun(t *testing.T) {
	s := newSite(t)
	s.store.Declare(warming(5))
	s.twoPerHall()
	var daemons []*daemon
	for range 8 {
		daemons = append(daemons, s.serving())
	}
	stop := s.flood(daemons)
	defer stop()
	cold := s.cold("hall-a-new", "hall-a", 3*time.Second)
	s.listed(daemons, "hall-a-new")
	s.bears(cold, 100)
}

// Guards against a service that ends as a whole when all of its instances are cold, and
// against callers that get nothing meanwhile.
func TestAllInstancesCold(t *testing.T) {
	s := newSite(t)
	s.store.Declare(warming(5))
	var cold []*platformtest.Server
	for n := range 3 {
		cold = append(cold, s.cold(fmt.Sprint("hall-a-", n), "hall-a", 3*time.Second))
	}
	var daemons []*daemon
	for range 4 {
		daemons = append(daemons, s.serving())
	}
	for _, server := range cold {
		server.Cool(3 * time.Second)
		server.Register(s.store, wire.StateReady)
	}
	s.eventually(func() error {
		for _, d := range daemons {
			for _, v := range s.beliefs(d).List.Instances[plain] {
				if !v.Warming {
					return trace.Errorf("%s takes %s for warm", d.Name, v.Instance.ID)
				}
			}
		}
		return nil
	})
	stop := s.flood(daemons)
	defer stop()
	for _, server := range cold {
		s.bears(server, 60)
	}
}

// Guards against a failure domain whose instances all end when it is taken back: they came
// back cold, and their entries say so late.
func TestRestoredDomainIsNotOverrun(t *testing.T) {
	s := newSite(t)
	s.store.Declare(warming(5))
	s.twoPerHall()
	cold := s.cold("hall-d-0", "hall-d", 0)
	var daemons []*daemon
	for range 6 {
		daemons = append(daemons, s.serving())
	}
	s.store.Evacuate("hall-d")
	for _, d := range daemons {
		s.evacuatedAt(d, "hall-d")
	}
	stop := s.flood(daemons)
	defer stop()
	cold.Cool(2 * time.Second)
	s.store.Restore("hall-d")
	s.bears(cold, 80)
}

// Guards against callers for whom no turn at a cold instance comes in time, and who are
// held while the budget of repeats is spent on asking again.
func TestCallersWithoutATurnTakeNoRepeat(t *testing.T) {
	s := newSite(t)
	m := warming(5)
	for i := range m.Services {
		// A turn in more than the time that callers have.
		m.Services[i].ColdStartS, m.Services[i].ColdPerS = 60, 0.01
	}
	s.store.Declare(m)
	s.cold("hall-a-0", "hall-a", time.Minute)
	d := s.start(func(r *settings.Routes) { r.RetryRatio, r.RetrySlack = 0, 2 })
	s.logged(d, "daemon.offered")
	refused := 0
	for range 5 {
		c := s.call(pathSafe)
		reply := s.send(c, d)
		if reply.Status == http.StatusOK {
			// The one turn.
			continue
		}
		refused++
		require.Equal(t, http.StatusServiceUnavailable, reply.Status, reply.Body)
		require.Contains(t, reply.Body, "warm up")
		require.Empty(t, s.runs(c.ID))
		require.Contains(t, s.logged(d, "request.done", "request="+c.ID+" "), "no_retry=no_instance")
	}
	require.GreaterOrEqual(t, refused, 4)
}
