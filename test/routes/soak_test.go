package routes_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// The soak runs real daemons under a load of all kinds of requests while faults
// come from outside, one after the other and overlapping, drawn from a seed. The
// promises are checked from what callers get and what servers ran.
//
//	SOAK_SEEDS=50 SOAK_FIRST=100 SOAK_SECONDS=10 go test -run TestSoak -timeout 60m ./test/routes
const (
	soakDaemons = 3
	soakWorkers = 8
	// soakPause is the longest time between two faults.
	soakPause = 400 * time.Millisecond
	// soakKept is the longest time that a fault lasts.
	soakKept = 2500 * time.Millisecond
)

// soakKinds is the number of kinds of faults.
const soakKinds = 17

// soakCase is a seed, with the number of kinds of faults from which its faults are drawn.
type soakCase struct {
	seed  uint64
	kinds int
}

// soakCases are seeds that failed once, with the cause.
var soakCases = []soakCase{
	// The line that tells which configuration came into force was dropped among those of
	// refused requests.
	{seed: 7012, kinds: 14},
}

func envInt(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return n
}

func TestSoak(t *testing.T) {
	cases := append([]soakCase{}, soakCases...)
	for i := range envInt("SOAK_SEEDS", 2) {
		cases = append(cases, soakCase{seed: uint64(envInt("SOAK_FIRST", 1) + i), kinds: soakKinds})
	}
	for _, c := range cases {
		t.Run(fmt.Sprint("seed-", c.seed), func(t *testing.T) { newSoak(t, c).run() })
	}
}

// sent is a call with its reply.
type sent struct {
	call  platformtest.Call
	reply platformtest.Reply
}

type soak struct {
	*site
	soakCase
	random *rand.Rand
	// stores are the proxies between daemons and the store, by daemon.
	stores  map[*daemon]*cluster.Proxy
	version int64

	mu   sync.Mutex
	live []*daemon
	log  []sent
	// heals undo faults.
	heals sync.WaitGroup
	ended chan struct{}
	// crashed counts the servers that ended under the crashing request, and started the
	// daemons.
	crashed, started int
	// serverIDs has the IDs of the servers that run, by their place, and leaving what
	// servers had seen when they began to say that they leave.
	serverIDs map[string]string
	leaving   map[*platformtest.Server]int
	// limited has what servers had seen when they began to name a limit, and limitedFor
	// what came until they named none any more.
	limited, limitedFor map[*platformtest.Server]int

	renamed int
}

func newSoak(t *testing.T, c soakCase) *soak {
	s := &soak{
		site: newSite(t), soakCase: c, random: rand.New(rand.NewPCG(c.seed, 1)), stores: map[*daemon]*cluster.Proxy{},
		version: 3, ended: make(chan struct{}), serverIDs: map[string]string{}, leaving: map[*platformtest.Server]int{},
		limited: map[*platformtest.Server]int{}, limitedFor: map[*platformtest.Server]int{},
	}
	s.store.Declare(s.declared())
	for i := range 3 {
		s.soakServer(fmt.Sprint("cat-", i), c.seed, 0)
		s.soakServer(fmt.Sprint("eng-", i), c.seed, 0)
	}
	for range soakDaemons {
		s.startOne()
	}
	return s
}

const (
	// soakCold is for how long a server is cold that takes another one's place.
	soakCold = 1500 * time.Millisecond
	// soakCopyAge is how much the store loses when it comes back from a copy, and soakAway
	// how long it is away before, and how long what it lost is missing.
	soakCopyAge = 1 * time.Second
	soakAway    = 500 * time.Millisecond
	// soakHall is the failure domain that is evacuated; the first servers of each service
	// are there.
	soakHall = "hall-b"
)

// declared is the configuration in force.
func (s *soak) declared() wire.Manifest { return warming(s.version) }

// soakServer starts the server of a place, "cat-N" or "eng-N", which is cold for some time
// and treats a few requests badly, drawn by their id so that a seed plays the same.
func (s *soak) soakServer(place string, seed uint64, cold time.Duration) {
	s.mu.Lock()
	s.renamed++
	o := platformtest.ServerOptions{ID: fmt.Sprint(place, "-", s.renamed), Service: plain, Work: 5 * time.Millisecond, Rest: soakRest, Cold: cold, ColdPerS: coldLimit}
	if strings.HasSuffix(place, "-0") {
		o.FailureDomain = soakHall
	}
	if strings.HasPrefix(place, "eng-") {
		o.Service, o.Events, o.Confidence = engines, 8, map[string]int{"small": 80}
	}
	s.serverIDs[place] = o.ID
	s.mu.Unlock()
	o.Crashed = func() { s.replaceServer(place, seed) }
	bad := []platformtest.Behaviour{
		platformtest.Refuse, platformtest.Fail, platformtest.Reset, platformtest.Truncate,
		platformtest.Extra, platformtest.NoLength, platformtest.Early, platformtest.Rest,
	}
	if o.Events > 0 {
		bad = []platformtest.Behaviour{platformtest.Refuse, platformtest.Fail, platformtest.Reset, platformtest.CutInside, platformtest.Rest}
	}
	o.Behave = func(seen platformtest.Seen) platformtest.Behaviour {
		if seen.Header.Get("X-Poison") != "" {
			return platformtest.Crash
		}
		draw := seed
		for _, c := range place + seen.ID + seen.Header.Get(wire.HeaderLastEvent) {
			draw = draw*1099511628211 + uint64(c)
		}
		random := rand.New(rand.NewPCG(draw, 2))
		if random.Float64() < 0.9 {
			return platformtest.Answer
		}
		return bad[random.IntN(len(bad))]
	}
	server := s.newServer(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[o.ID] = server
}

// replaceServer starts a server anew, some time after its process has ended.
func (s *soak) replaceServer(place string, seed uint64) {
	s.mu.Lock()
	s.crashed++
	old := s.serverIDs[place]
	s.mu.Unlock()
	<-time.After(restartTime)
	s.store.Remove(wire.TableInstances, old)
	s.soakServer(place, seed, soakCold)
}

// running returns the server of a place.
func (s *soak) running(place string) *platformtest.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[s.serverIDs[place]]
}

// startOne starts a daemon with a proxy of its own before the store.
func (s *soak) startOne() {
	proxy, err := cluster.NewProxy(s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(proxy.Close)
	s.mu.Lock()
	var seeds []string
	for _, d := range s.live {
		seeds = append(seeds, d.peers)
	}
	s.mu.Unlock()
	d := s.start(func(r *settings.Routes) {
		r.Platform = proxy.Address()
		r.Seeds = append([]string{}, seeds...)
		r.StopS = 4
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores[d] = proxy
	s.live = append(s.live, d)
	s.started++
}

// pick draws a live daemon.
func (s *soak) pick(random *rand.Rand) *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[random.IntN(len(s.live))]
}

// drop takes a daemon out of those that callers use.
func (s *soak) drop(d *daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.live {
		if other == d && len(s.live) > 1 {
			s.live = append(s.live[:i:i], s.live[i+1:]...)
			return
		}
	}
}

func (s *soak) run() {
	var load sync.WaitGroup
	for i := range soakWorkers {
		load.Go(func() { s.worker(rand.New(rand.NewPCG(uint64(i), 3))) })
	}
	end := time.Now().Add(time.Duration(envInt("SOAK_SECONDS", 6)) * time.Second)
	for time.Now().Before(end) {
		s.fault()
		<-time.After(time.Duration(s.random.Int64N(int64(soakPause))))
	}
	s.heals.Wait()
	s.recovers()
	s.evacuates()
	close(s.ended)
	load.Wait()
	s.check()
}

// worker sends requests of all kinds until the soak ends.
func (s *soak) worker(random *rand.Rand) {
	paths := []string{pathOnce, pathSafe, pathTurns}
	for {
		select {
		case <-s.ended:
			return
		default:
		}
		c := s.call(paths[random.IntN(len(paths))])
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		reply := c.Send(ctx, s.client, s.pick(random).callers)
		cancel()
		s.mu.Lock()
		s.log = append(s.log, sent{c, reply})
		s.mu.Unlock()
	}
}

// later undoes a fault after a while.
func (s *soak) later(undo func()) {
	kept := time.Duration(s.random.Int64N(int64(soakKept)))
	s.heals.Go(func() {
		<-time.After(kept)
		undo()
	})
}

// fault brings one fault about.
func (s *soak) fault() {
	d := s.pick(s.random)
	store := s.stores[d]
	switch s.random.IntN(s.kinds) {
	case 0:
		s.drop(d)
		d.Kill()
		s.startOne()
	case 1:
		d.stop()
		s.later(func() { s.drop(d) })
		s.startOne()
	case 2:
		if d.Freeze() == nil {
			s.later(d.Wake)
		}
	case 3:
		store.Cut()
		s.later(func() { s.restore(store) })
	case 4:
		if store.Hold([]string{"upstream", "downstream"}[s.random.IntN(2)]) == nil {
			s.later(store.Heal)
		}
	case 5:
		if store.Slow("200") == nil {
			s.later(store.Heal)
		}
	case 6:
		s.store.SetFault([]platformtest.Fault{
			platformtest.FaultRefuse, platformtest.FaultBusy, platformtest.FaultReset, platformtest.FaultSilent, platformtest.FaultLoseAnswer,
		}[s.random.IntN(5)])
		s.later(func() { s.store.SetFault(platformtest.FaultNone) })
	case 7:
		s.store.Compact()
	case 8:
		s.version += 1 + s.random.Int64N(3)
		s.store.Declare(s.declared())
	case 9:
		place := s.place()
		s.store.Remove(wire.TableInstances, s.idAt(place))
		s.later(func() { s.running(place).Register(s.store, wire.StateReady) })
	case 10:
		d.Signal(1)
	case 11:
		s.store.LoseHeld()
	case 12:
		s.heals.Go(s.repeatCrashing)
	case 13:
		s.leave(s.place())
	case 14:
		s.store.Evacuate(soakHall)
		s.later(func() { s.store.Restore(soakHall) })
	case 15:
		s.limit(s.place())
	case 16:
		s.restoreStore()
	}
}

// restoreStore has the store come back from a copy after an outage, and the operator and the
// servers write again what it has lost.
func (s *soak) restoreStore() {
	copied := s.store.Copy()
	s.heals.Go(func() {
		<-time.After(soakCopyAge)
		s.store.SetFault(platformtest.FaultReset)
		<-time.After(soakAway)
		lost := s.store.RestoreFrom(copied)
		s.store.SetFault(platformtest.FaultNone)
		<-time.After(soakAway)
		s.store.WriteAgain(lost)
	})
}

// limit has a server name a limit for a while, which changes once.
func (s *soak) limit(place string) {
	server := s.running(place)
	s.mu.Lock()
	if _, already := s.limited[server]; already {
		s.mu.Unlock()
		return
	}
	s.limited[server] = len(server.Seen())
	s.mu.Unlock()
	server.Limit(fmt.Sprint(s.random.IntN(3)))
	s.later(func() { server.Limit("0.5") })
	s.later(func() {
		s.mu.Lock()
		since := s.limited[server]
		s.limitedFor[server] = len(server.Seen()) - since
		s.mu.Unlock()
		server.Limit("")
	})
}

// place draws the place of a server.
func (s *soak) place() string {
	return fmt.Sprint([]string{"cat-", "eng-"}[s.random.IntN(2)], s.random.IntN(3))
}

func (s *soak) idAt(place string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serverIDs[place]
}

const (
	// soakRepeats is how often a caller repeats the crashing request, at any daemon.
	soakRepeats = 6
	// soakCrashes bounds the servers that it may end: five where some daemons do not
	// answer, the attempts of the repeat that ends the last of them, and those of the
	// second in which other daemons are chosen to judge, since both may be killed.
	soakCrashes = 5 + 3 + 6
	// soakRest is the time for which servers that ask for it want no requests.
	soakRest = "0.3"
)

// repeatCrashing has a caller repeat the one request that crashes servers.
func (s *soak) repeatCrashing() {
	for range soakRepeats {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		s.poisoned(pathTurns).Send(ctx, s.client, s.pick(rand.New(rand.NewPCG(rand.Uint64(), 4))).callers)
		cancel()
		<-time.After(restartTime)
	}
}

// leave has a server say in its answers that it leaves, and a new one take its place. Its
// row says "ready" until it is gone.
func (s *soak) leave(place string) {
	server := s.running(place)
	old := s.idAt(place)
	s.mu.Lock()
	if _, already := s.leaving[server]; already {
		s.mu.Unlock()
		return
	}
	s.leaving[server] = len(server.Seen())
	s.mu.Unlock()
	server.Leave()
	s.soakServer(place, s.seed, soakCold)
	s.later(func() { s.store.Remove(wire.TableInstances, old) })
}

func (s *soak) restore(p *cluster.Proxy) {
	// A proxy whose daemon is gone may be closed already.
	_ = p.Restore()
}

// recovers requires that every live daemon serves once all faults are over, by the
// configuration that is accepted then.
func (s *soak) recovers() {
	s.mu.Lock()
	live := append([]*daemon{}, s.live...)
	s.mu.Unlock()
	s.version++
	s.store.Declare(s.declared())
	for _, d := range live {
		s.logged(d, "msg=config.in_force", fmt.Sprint("version=", s.version, " "))
		s.eventually(func() error {
			c := s.call(pathSafe)
			if r := s.send(c, d); r.Err != nil || r.Status != http.StatusOK {
				return trace.Errorf("%s does not serve: %d %v\n%s", d.Name, r.Status, r.Err, d.Log())
			}
			return nil
		})
	}
}

// evacuates requires that an evacuation empties a failure domain at every live daemon.
func (s *soak) evacuates() {
	s.store.Evacuate(soakHall)
	defer s.store.Restore(soakHall)
	s.mu.Lock()
	live := append([]*daemon{}, s.live...)
	s.mu.Unlock()
	for _, d := range s.daemons {
		s.eventually(func() error { return s.emptied(d, slices.Contains(live, d)) })
	}
	before := s.seenInHall()
	for _, d := range live {
		const requests = 20
		for range requests {
			s.send(s.call(pathSafe), d)
		}
	}
	require.Equal(s.t, before, s.seenInHall(), "requests in an evacuated failure domain")
}

// emptied reports whether a daemon has emptied the evacuated failure domain. One that is
// stopping is told nothing by others: it finds out by itself, or ends before.
func (s *soak) emptied(d *daemon, live bool) error {
	b, err := s.askBeliefs(d)
	switch {
	case b.Instance != d.Name && !live:
		// It has ended; another process may have its port.
		return nil
	case err != nil:
		return trace.Wrap(err)
	}
	for _, e := range b.Evacuations {
		if e.FailureDomain == soakHall && e.Open == 0 {
			return nil
		}
	}
	return trace.Errorf("%s has not emptied %s\n%s", d.Name, soakHall, d.Log())
}

// seenInHall is the number of requests that the servers of the evacuated failure domain
// have got.
func (s *soak) seenInHall() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, server := range s.servers {
		if strings.HasPrefix(id, "cat-0") || strings.HasPrefix(id, "eng-0") {
			n += len(server.Seen())
		}
	}
	return n
}

// check compares what callers got with what servers ran.
func (s *soak) check() {
	runs := map[string]int{}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.LessOrEqual(s.t, s.crashed, soakCrashes, "servers ended under the crashing request")
	for server, before := range s.leaving {
		// What each daemon had under way when the first answer told it.
		require.LessOrEqual(s.t, len(server.Seen())-before, soakWorkers*s.started, "requests at a leaving server")
	}
	for _, got := range s.limitedFor {
		// What each daemon had under way when the first answer told it, and the highest
		// limit of the soak over the longest time.
		require.LessOrEqual(s.t, got, soakWorkers*s.started+mostAllowed(2), "requests at a server that names a limit")
	}
	for id, server := range s.servers {
		require.False(s.t, server.Overrun(), "%s got more than it bears while it was cold", id)
		for _, seen := range server.Seen() {
			if seen.Behaviour.Ran() {
				runs[seen.ID]++
			}
			require.Equal(s.t, "visrad", seen.Organisation)
		}
	}
	served := 0
	for _, one := range s.log {
		id, r := one.call.ID, one.reply
		switch {
		case r.Err != nil:
		case r.Status == http.StatusOK:
			served++
			require.Equal(s.t, id, r.ID)
			s.wholeAnswer(one)
		case strings.Contains(r.Body, "request_quarantined"):
			require.Fail(s.t, "refused though it crashes nothing", "%s: %s", id, r.Body)
		case r.Status == http.StatusServiceUnavailable, r.Status == http.StatusTooManyRequests:
			require.Zero(s.t, runs[id], "%s was told not to have run", id)
		default:
			require.GreaterOrEqual(s.t, r.Status, http.StatusInternalServerError, "%s is proper", id)
		}
		if one.call.Path == pathOnce {
			require.LessOrEqual(s.t, runs[id], 1, "%s ran more than once", id)
		}
	}
	s.t.Logf("%d requests, %d served, %d servers crashed, %d left", len(s.log), served, s.crashed, len(s.leaving))
	require.Positive(s.t, served)
}

// wholeAnswer requires that a success is the whole answer of one server.
func (s *soak) wholeAnswer(one sent) {
	id := one.call.ID
	if one.call.Path == pathTurns {
		require.Equal(s.t, events(id, 8), one.reply.Body)
		return
	}
	require.True(s.t, strings.HasPrefix(one.reply.Body, "answer to "+id+" by cat-"), one.reply.Body)
}
