package routes_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// frontFault is how the store treats the calls of one daemon.
type frontFault int

const (
	served frontFault = iota
	// silent never answers, refused answers 503 and busy 429.
	silent
	refused
	busy
	// headCut ends the connection after the head of the answer, and halfCut within the body.
	headCut
	halfCut
	// slow answers late, but before the call times out.
	slow
	// readsOnly refuses writes with 503.
	readsOnly
)

// slowAnswer is how late a slow store answers.
const slowAnswer = 1300 * time.Millisecond

// storeFront is the store as one daemon reaches it. A call that waits in the store while a fault begins is
// lost.
type storeFront struct {
	address string
	store   http.Handler

	mu     sync.Mutex
	fault  frontFault
	faults int
	calls  int
}

func (s *testbed) newStoreFront() *storeFront {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	f := &storeFront{address: l.Addr().String(), store: s.store.Handler()}
	server := &http.Server{Handler: f}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return f
}

func (f *storeFront) set(fault frontFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault != served {
		f.faults++
	}
	f.fault = fault
}

func (f *storeFront) state() (fault frontFault, faults int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.faults
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, before := f.state()
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	switch {
	case fault == silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == refused, fault == readsOnly && r.Method != http.MethodGet:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == busy:
		w.Header().Set("Retry-After", "10")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case fault == slow:
		time.Sleep(slowAnswer)
	}
	answer := httptest.NewRecorder()
	f.store.ServeHTTP(answer, r)
	if _, now := f.state(); now != before {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	body := answer.Body.Bytes()
	switch fault {
	case headCut:
		body = nil
	case halfCut:
		body = body[:len(body)/2]
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body)
	if fault == headCut || fault == halfCut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// frontDaemon is a daemon with its view of the store. reader is set if it read the store for the others before
// the outage.
type frontDaemon struct {
	*daemon
	front  *storeFront
	reader bool
}

func (s *testbed) startFrontDaemon() *frontDaemon {
	front := s.newStoreFront()
	return &frontDaemon{daemon: s.startDaemon(func(r *settings.Routes) { r.Platform = front.address }), front: front}
}

// startFrontDaemons starts daemons and waits until they are ready.
func (s *testbed) startFrontDaemons(count int) []*frontDaemon {
	var out []*frontDaemon
	for range count {
		d := s.startFrontDaemon()
		s.waitReady(d.daemon)
		out = append(out, d)
	}
	return out
}

// partialOutage is an outage that ends for some daemons only.
type partialOutage struct {
	outage time.Duration
	during frontFault
	// after is the store's fault for a daemon after the outage. n is the number of daemons of its kind, readers
	// or others, that come before it.
	after func(reader bool, n int) frontFault
	// slack is added to the time in which changes must be in force.
	slack time.Duration
	// killsReaders ends the readers at that moment, and starts adds a daemon during the outage.
	killsReaders, starts bool
}

// onlyOne serves one daemon that is no reader.
func onlyOne(others frontFault) func(reader bool, n int) frontFault {
	return func(reader bool, n int) frontFault {
		if !reader && n == 0 {
			return served
		}
		return others
	}
}

func allOf(fault frontFault) func(bool, int) frontFault {
	return func(bool, int) frontFault { return fault }
}

var partialOutages = map[string]partialOutage{
	"429, one daemon":                        {outage: 3 * time.Second, during: busy, after: onlyOne(busy)},
	"cut after the head, one daemon":         {outage: 3 * time.Second, during: headCut, after: onlyOne(headCut)},
	"cut in the body, one daemon":            {outage: 3 * time.Second, during: halfCut, after: onlyOne(halfCut)},
	"silent, then writes are refused":        {outage: 2900 * time.Millisecond, during: silent, after: allOf(readsOnly)},
	"silent, then slow":                      {outage: 2900 * time.Millisecond, during: silent, after: allOf(slow), slack: slowAnswer},
	"silent, one daemon, readers are killed": {outage: 2900 * time.Millisecond, during: silent, after: onlyOne(silent), killsReaders: true},
	"silent, longer, one daemon, one starts": {outage: 9 * time.Second, during: silent, after: onlyOne(silent), starts: true},
}

// play lets the outage begin, waits and ends it in part. It returns the daemons that are left.
func (o partialOutage) play(s *testbed, daemons []*frontDaemon) []*frontDaemon {
	for _, d := range daemons {
		d.reader = s.isReader(d.daemon)
		d.front.set(o.during)
	}
	if o.starts {
		started := s.startFrontDaemon()
		started.front.set(o.during)
		daemons = append(daemons, started)
	}
	<-time.After(o.outage)
	counts := map[bool]int{}
	var left []*frontDaemon
	for _, d := range daemons {
		d.front.set(o.after(d.reader, counts[d.reader]))
		counts[d.reader]++
		if o.killsReaders && d.reader {
			d.Kill()
			continue
		}
		left = append(left, d)
	}
	return left
}

// Guards against changes that are not in force in time after an outage of the store that ends in part: a key
// that is taken away, servers that drain, are removed or have a successor under their ID, an evacuation, and a
// roll-out.
func TestChangesAreInForceAfterAnOutageThatEndsInPart(t *testing.T) {
	const bound = 2 * time.Second
	for name, outage := range partialOutages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t)
			s.startTwoPerDomain()
			daemons := s.startFrontDaemons(6)
			<-time.After(2 * time.Second)
			daemons = outage.play(s, daemons)
			manifest := newManifest(4)
			manifest.Tenants = manifest.Tenants[1:]
			s.store.PutManifest(manifest)
			s.store.Evacuate("hall-c")
			draining, removed := s.servers["hall-b-0"], s.servers["hall-b-1"]
			draining.Register(s.store, wire.StateDraining)
			s.store.Remove(wire.TableInstances, "hall-b-1")
			old := s.servers["hall-a-0"]
			s.startServer(platformtest.ServerOptions{ID: "hall-a-0", Service: plainService, FailureDomain: "hall-a", Version: "v2"})
			s.store.OrderRollout(plainService, "v2", 30*time.Second)
			<-time.After(bound + outage.slack)
			reached := func() []int {
				return []int{s.requestsIn("hall-c"), len(draining.Received()), len(removed.Received()), len(old.Received())}
			}
			for _, d := range daemons {
				require.True(t, d.logsContain("rollout.ordered", "to=v2"), "%s, reader=%v does not know the roll-out", d.Name, d.reader)
			}
			before := reached()
			for range 20 {
				for _, d := range daemons {
					revoked, valid := s.newCall(pathSafe), s.newCall(pathSafe)
					valid.Key = otherKey
					// A daemon that does not know whether it is up to date refuses with 503.
					r := s.send(revoked, d.daemon)
					require.NoError(t, r.Err)
					require.Contains(t, []int{http.StatusUnauthorized, http.StatusServiceUnavailable}, r.Status, "%s, reader=%v: %s", d.Name, d.reader, r.Body)
					require.NoError(t, s.send(valid, d.daemon).Err)
				}
			}
			require.Equal(t, before, reached(), "requests at evacuated, draining, removed and replaced servers")
		})
	}
}

// takeCalls returns the number of calls since it was called last.
func takeCalls(daemons []*frontDaemon) int {
	sum := 0
	for _, d := range daemons {
		d.front.mu.Lock()
		sum += d.front.calls
		d.front.calls = 0
		d.front.mu.Unlock()
	}
	return sum
}

// Guards against an outage, or its end, that makes the daemons call the store more often than its rates allow.
// OUTAGE_DAEMONS sets their number.
func TestOutageKeepsCallsToTheStoreWithinBounds(t *testing.T) {
	const span = 3 * time.Second
	daemons := envInt("OUTAGE_DAEMONS", 6)
	// Each daemon reads the list at most every 0.6 s, and may read the operator's rows and write one of its own as
	// often.
	perDaemon := 3 / (600 * time.Millisecond).Seconds()
	s := newTestbed(t)
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	all := s.startFrontDaemons(daemons)
	<-time.After(span)
	for _, fault := range []frontFault{refused, silent} {
		takeCalls(all)
		<-time.After(span)
		quiet := takeCalls(all)
		for _, d := range all {
			d.front.set(fault)
		}
		<-time.After(span)
		out := takeCalls(all)
		for _, d := range all {
			d.front.set(served)
		}
		<-time.After(span)
		back := takeCalls(all)
		t.Logf("fault %d, %d daemons, calls per second: quiet %.1f, outage %.1f, after it %.1f", fault, daemons,
			float64(quiet)/span.Seconds(), float64(out)/span.Seconds(), float64(back)/span.Seconds())
		bound := perDaemon * span.Seconds() * float64(daemons)
		require.Less(t, float64(out), bound)
		require.Less(t, float64(back), bound)
	}
}
