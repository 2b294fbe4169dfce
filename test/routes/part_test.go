package routes_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// crashingPart is the part of a prompt that crashes servers, wherever it stands but at the end.
const crashingPart = "ee"

// hasCrashingPart reports whether a prompt has the part before its last one.
func hasCrashingPart(received platformtest.ReceivedRequest) bool {
	parts := strings.Split(received.Header.Get(wire.HeaderPromptPrefix), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == crashingPart {
			return true
		}
	}
	return false
}

// partCase is a way in which a part of prompts crashes servers. OWN in a prompt stands for the part of
// the request itself, and NEW for a hundred parts that no other request has.
type partCase struct {
	crashing, sound string
	behaviour       platformtest.Behaviour
	unframed        bool
	// wasSound is set if requests with the part complete before it begins to crash servers.
	wasSound bool
	// interval is the time between two requests with the crashing part.
	interval time.Duration
}

// Bounds of the damage by a part that crashes servers.
const (
	// lateAfter is the time after the fifth crash from which on no request with the part may reach a
	// server, but one.
	lateAfter = 500 * time.Millisecond
	maxLate   = 1
	// minSoundServed is the share of sound requests that must be served from soundAfter after the
	// fifth crash on, or after the third if there are no five.
	minSoundServed = 0.95
	soundAfter     = 1 * time.Second
)

// TestPartThatCrashesServersIsRefused guards against requests that have nothing in common but a part
// of their prompts, and crash each server that runs one of them. PART_DAEMONS is the number of daemons.
//
//	PART_DAEMONS=80 go test -count=1 -run TestPartThatCrashesServersIsRefused/second ./test/routes
func TestPartThatCrashesServersIsRefused(t *testing.T) {
	const often, seldom = 150 * time.Millisecond, 1200 * time.Millisecond
	for name, c := range map[string]partCase{
		"second":            {crashing: "aa:100,ee:200,OWN:50", sound: "aa:100,bb:200,OWN:50", interval: often},
		"first":             {crashing: "ee:100,bb:200,OWN:50", sound: "aa:100,bb:200,OWN:50", interval: often},
		"inserted":          {crashing: "aa:100,bb:200,ee:30,OWN:50", sound: "aa:100,bb:200,cc:30,OWN:50", interval: often},
		"companion":         {crashing: "aa:100,ee:200,ff:30,OWN:50", sound: "aa:100,bb:200,OWN:50", interval: often},
		"in answer":         {crashing: "aa:100,ee:200,OWN:50", sound: "aa:100,bb:200,OWN:50", behaviour: platformtest.CrashInAnswer, interval: often},
		"unframed":          {crashing: "aa:100,ee:200,OWN:50", sound: "aa:100,bb:200,OWN:50", behaviour: platformtest.CrashInAnswer, unframed: true, interval: often},
		"seldom":            {crashing: "aa:100,ee:200,OWN:50", sound: "aa:100,bb:200,OWN:50", interval: seldom},
		"was sound":         {crashing: "aa:100,ee:200,OWN:50", sound: "aa:100,bb:200,OWN:50", wasSound: true, interval: often},
		"many parts":        {crashing: "aa:100,NEW,ee:20,NEW,OWN:50", sound: "aa:100,NEW,bb:20,NEW,OWN:50", interval: often},
		"was sound, seldom": {crashing: "aa:100,ee:200,OWN:50", sound: "aa:100,bb:200,OWN:50", wasSound: true, interval: seldom},
	} {
		t.Run(name, func(t *testing.T) { runCrashingPart(t, c) })
	}
}

func runCrashingPart(t *testing.T, c partCase) {
	const size, workers, calm, phase = 14, 8, 4 * time.Second, 5 * time.Second
	daemons := envInt("PART_DAEMONS", 6)
	if c.behaviour == platformtest.Answer {
		c.behaviour = platformtest.Crash
	}
	s := newTestbed(t)
	var mu sync.Mutex
	var runs []time.Time
	var crashes atomic.Bool
	s.startPool(&pool{service: engineService, events: 8, unframed: c.unframed, restart: 1500 * time.Millisecond,
		crashes: func(received platformtest.ReceivedRequest) (platformtest.Behaviour, bool) {
			if !crashes.Load() || !hasCrashingPart(received) {
				return platformtest.Answer, false
			}
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, time.Now())
			return c.behaviour, true
		}}, size)
	for range daemons {
		s.startReadyDaemon()
	}
	type result struct {
		at     time.Time
		served bool
	}
	var sound []result
	refused := 0
	stop := runWorkers(workers, func(worker int) {
		one, at := s.promptCall(c.sound), time.Now()
		reply := s.send(one, s.daemons[worker%daemons])
		mu.Lock()
		defer mu.Unlock()
		sound = append(sound, result{at: at, served: reply.Err == nil && reply.Status == http.StatusOK})
		if strings.Contains(reply.Body, "request_quarantined") {
			refused++
		}
	})
	sendCrashing := func(begin time.Time, phase time.Duration) {
		var all sync.WaitGroup
		for i := 0; time.Since(begin) < phase; i++ {
			all.Go(func() { s.send(s.promptCall(c.crashing), s.daemons[i%daemons]) })
			<-time.After(c.interval)
		}
		all.Wait()
	}
	if c.wasSound {
		sendCrashing(time.Now(), calm)
	} else {
		<-time.After(calm)
	}
	crashes.Store(true)
	begin := time.Now()
	sendCrashing(begin, phase)
	stop()
	require.GreaterOrEqual(t, len(runs), 3)
	known, late := runs[min(len(runs), 5)-1], 0
	for _, at := range runs {
		if at.After(known.Add(lateAfter)) {
			late++
		}
	}
	before, sent, served := 0, 0, 0
	for _, r := range sound {
		switch {
		case r.at.Before(begin) && r.served:
			before++
		case r.at.After(known.Add(soundAfter)):
			sent++
			if r.served {
				served++
			}
		}
	}
	t.Logf("%d runs with the part, %d late; %d sound requests served in %v before, %d of %d later, %d refused", len(runs), late, before, calm, served, sent, refused)
	for _, d := range s.daemons {
		if line := d.logLine("quarantine.decided"); line != "" {
			t.Log(d.Name, line)
		}
	}
	mean, most := s.crashTraffic()
	t.Logf("%d daemons: %d bytes sent about crashes in the mean, %d at most", daemons, mean, most)
	require.LessOrEqual(t, late, maxLate)
	require.Zero(t, refused)
	require.GreaterOrEqual(t, float64(served), minSoundServed*float64(sent))
	if c.interval > time.Second && !c.wasSound {
		require.LessOrEqual(t, len(runs), 3)
	}
}

// crashTraffic returns how many bytes daemons have sent in calls about crashes, and replies to them.
func (s *testbed) crashTraffic() (mean, most int64) {
	s.t.Helper()
	sum := int64(0)
	for _, d := range s.daemons {
		var vars struct {
			Calls  map[string]peer.MethodTraffic `json:"peer_calls"`
			Served map[string]peer.MethodTraffic `json:"peer_served"`
		}
		s.readVars(d, &vars)
		sent := int64(0)
		for _, method := range []string{"Routes.Crashes", "Routes.Inquire", "Routes.Quarantine"} {
			sent += vars.Calls[method].Sent + vars.Served[method].Sent
		}
		sum, most = sum+sent, max(most, sent)
	}
	return sum / int64(len(s.daemons)), most
}

// promptCall returns a call with a prompt, with the words of a partCase.
func (s *testbed) promptCall(prompt string) platformtest.Call {
	const newParts = 100
	c := s.newCall(pathStream)
	own := 0x100000 + s.lastID.Load()
	c.Prompt = strings.Replace(prompt, "OWN", fmt.Sprintf("%x", own), 1)
	for set := 0; strings.Contains(c.Prompt, "NEW"); set++ {
		var parts []string
		for n := range newParts {
			parts = append(parts, fmt.Sprintf("%x:1", own<<16+int64(set*newParts+n)))
		}
		c.Prompt = strings.Replace(c.Prompt, "NEW", strings.Join(parts, ","), 1)
	}
	c.Body = "body of " + c.ID
	return c
}

// startPartPool starts a pool whose servers crash of the part.
func (s *testbed) startPartPool(size int, behaviour platformtest.Behaviour, unframed bool) *pool {
	return s.startPool(&pool{service: engineService, events: 8, unframed: unframed,
		crashes: func(received platformtest.ReceivedRequest) (platformtest.Behaviour, bool) {
			return behaviour, hasCrashingPart(received)
		}}, size)
}

// crashPartUntilRefused sends different requests with the part through a daemon until they are refused,
// and returns how many servers have ended.
func (p *pool) crashPartUntilRefused(size int, through *daemon) int {
	p.t.Helper()
	return p.sendUntilRefused(size, through, func() platformtest.Call { return p.promptCall("aa:100,ee:200,OWN:50") })
}

// Guards against a burst of requests with a crashing part that ends all servers before the first crash is
// known.
func TestBurstWithCrashingPartLeavesServers(t *testing.T) {
	const size, daemons, burst, in = 14, 6, 200, time.Second
	s := newTestbed(t)
	p := s.startPartPool(size, platformtest.Crash, false)
	for range daemons {
		s.startReadyDaemon()
	}
	for i := range 3 * daemons {
		s.send(s.promptCall("aa:100,bb:200,OWN:50"), s.daemons[i%daemons])
	}
	var all sync.WaitGroup
	for i := range burst {
		all.Go(func() { s.send(s.promptCall("aa:100,ee:200,OWN:50"), s.daemons[i%daemons]) })
		<-time.After(in / burst)
	}
	all.Wait()
	t.Logf("%d of %d servers ended by %d requests", p.endedServers(), size, burst)
	require.Less(t, p.endedServers(), burst/4)
	p.waitRestored(size)
	for _, d := range s.daemons {
		reply := s.send(s.promptCall("aa:100,bb:200,OWN:50"), d)
		require.Equal(t, http.StatusOK, reply.Status, reply.Body)
	}
}

// Guards against parts that are refused because of power losses. Four times, a rack of three servers
// ends under a load of 24 users, each with a part of its own.
func TestPowerLossQuarantinesNoPart(t *testing.T) {
	const size, rack, users, losses = 9, 3, 24, 4
	s := newTestbed(t)
	p := s.newPool(engineService, 20, size)
	for range 3 {
		s.startReadyDaemon()
	}
	var mu sync.Mutex
	var refused []string
	stop := runWorkers(users, func(user int) {
		reply := s.send(s.promptCall(fmt.Sprintf("aa:100,b%x:200,OWN:50", user)), s.daemons[user%len(s.daemons)])
		if strings.Contains(reply.Body, "request_quarantined") {
			mu.Lock()
			defer mu.Unlock()
			refused = append(refused, reply.Body)
		}
	})
	for range losses {
		p.killServers(rack)
		p.wg.Wait()
		p.waitRestored(size)
	}
	stop()
	require.Empty(t, refused)
}

// Guards against a verdict on a part that is lost when all daemons are killed, that a frozen daemon does
// not learn, or that an operator cannot see and end.
func TestPartQuarantineIsKeptAndReleased(t *testing.T) {
	const size = 9
	s := newTestbed(t)
	// No request with the part aa alone ever completes, so that it is a companion of ee.
	p := s.startPartPool(size, platformtest.Crash, false)
	old := []*daemon{s.startReadyDaemon(), s.startReadyDaemon(), s.startReadyDaemon()}
	require.NoError(t, old[2].Pause())
	p.crashPartUntilRefused(size, old[0])
	old[2].Resume()
	s.waitForLog(old[2], "quarantine.learned", "parts=aa,ee")
	ended := p.endedServers()
	s.send(s.promptCall("ee:200,aa:10,OWN:50"), old[2])
	require.Equal(t, ended, p.endedServers())
	digest := cluster.LogField(s.waitForLog(old[2], "quarantine.learned", "parts=aa,ee"), "digest")
	s.eventually(func() error {
		if s.store.Value("hornbeamsill", "quarantine/"+digest) == nil {
			return trace.Errorf("the store has no row of the verdict")
		}
		return nil
	})
	for _, d := range old {
		d.Kill()
	}
	s.daemons = nil
	d := s.startReadyDaemon()
	s.waitForLog(d, "quarantine.learned", "source=store", "parts=aa,ee")
	reply := s.send(s.promptCall("aa:100,ee:200,OWN:50"), d)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status, reply.Body)
	require.Contains(t, reply.Body, "ee")
	require.NotEmpty(t, reply.RetryAfter)
	require.Equal(t, ended, p.endedServers())

	out, err := exec.Command(binaries.Path("hornbeamsill"), "--output", "json", "entry", "quarantine", "--metrics", d.metricsAddress).Output()
	require.NoError(t, err)
	var list entry.QuarantineReply
	require.NoError(t, json.Unmarshal(out, &list))
	require.True(t, slices.ContainsFunc(list.Requests, func(r entry.QuarantinedRequest) bool {
		return r.Digest.String() == digest && slices.Equal(r.Parts, []string{"aa", "ee"})
	}), "%s", out)
	require.NoError(t, exec.Command(binaries.Path("hornbeamsill"), "entry", "release", "--metrics", d.metricsAddress, digest).Run())
	require.NotContains(t, s.send(s.promptCall("aa:100,ee:200,OWN:50"), d).Body, "request_quarantined")
}

// Guards against prompts that cost their callers the answer although no server crashes: the same part
// twice, thousands of parts, odd identifiers, and a single part, which is never compared.
func TestOddPromptsAreServed(t *testing.T) {
	s := newTestbed(t)
	s.startPartPool(3, platformtest.Crash, false)
	d := s.startReadyDaemon()
	var many strings.Builder
	for n := range 1500 {
		fmt.Fprintf(&many, "%x:1,", 0x1000+n)
	}
	for name, prompt := range map[string]string{
		"none": "", "single": "ee:100", "twice": "aa:1,aa:1,bb:1", "last": "aa:1,ee:1", "case": "AA:1,00aa:1,zz:1,OWN:1", "many": many.String() + "OWN:1",
	} {
		t.Run(name, func(t *testing.T) {
			reply := s.send(s.promptCall(prompt), d)
			require.NoError(t, reply.Err)
			require.Equal(t, http.StatusOK, reply.Status, reply.Body)
		})
	}
	for name, prompt := range map[string]string{"empty part": "aa:1,,OWN:1", "no tokens": "aa,OWN:1", "no id": ":1,OWN:1"} {
		t.Run(name, func(t *testing.T) {
			reply := s.send(s.promptCall(prompt), d)
			require.Equal(t, http.StatusBadRequest, reply.Status, reply.Body)
			require.Contains(t, reply.Body, wire.HeaderPromptPrefix)
		})
	}
}

// Guards against answers without framing that look whole although their server ended, and against
// whole ones that are lost or sent twice because that is checked.
func TestUnframedAnswersAreWholeOrResumed(t *testing.T) {
	const size, workers = 6, 8
	s := newTestbed(t)
	p := s.startPartPool(size, platformtest.Crash, true)
	s.startReadyDaemon()
	s.startReadyDaemon()
	var mu sync.Mutex
	var failed []string
	sent := 0
	stop := runWorkers(workers, func(worker int) {
		c := s.promptCall("aa:100,bb:200,OWN:50")
		reply := s.send(c, s.daemons[worker%2])
		mu.Lock()
		defer mu.Unlock()
		sent++
		if reply.Err != nil || reply.Status != http.StatusOK || reply.Body != eventStream(c.ID, 8) {
			failed = append(failed, fmt.Sprintf("%d %v %s", reply.Status, reply.Err, reply.Body))
		}
	})
	for range 3 {
		<-time.After(400 * time.Millisecond)
		p.killServers(1)
		p.wg.Wait()
		p.waitRestored(size)
	}
	stop()
	t.Logf("%d streams", sent)
	require.Empty(t, failed)
}

// Guards against a part of a stream without framing that looks whole because its server, which ended in
// the middle of it, had announced that it leaves.
func TestUnframedStreamOfLeavingServerIsResumed(t *testing.T) {
	s := newTestbed(t)
	engine := func(id string) *platformtest.Server {
		return s.startServer(platformtest.ServerOptions{ID: id, Service: engineService, Events: 40, Delay: 30 * time.Millisecond, Unframed: true, Confidence: map[string]int{"small": 90}})
	}
	leaving := engine("eng-1")
	d := s.startReadyDaemon()
	leaving.Leave()
	c := s.newCall(pathStream)
	answered := make(chan platformtest.Reply, 1)
	go func() { answered <- s.send(c, d) }()
	s.waitForLog(d, "instance.leaving", "instance=eng-1")
	engine("eng-2")
	<-time.After(400 * time.Millisecond)
	leaving.Kill()
	reply := <-answered
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(c.ID, 40), reply.Body)
}

// Guards against a part of a stream without framing that looks whole because nobody knows what has become
// of its server: the daemon is cut off, and the server has left the list of its peers.
func TestUnframedStreamOfUnknownInstanceIsResumed(t *testing.T) {
	s := newTestbed(t)
	for n := range 2 {
		s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("eng-", n), Service: engineService, Events: 60, Delay: 30 * time.Millisecond, Unframed: true, Confidence: map[string]int{"small": 90}})
	}
	cutOff, gateway := s.startFaultDaemon(), s.startFaultDaemon()
	s.setFault(cutOff, faultdial.Reset)
	s.send(s.newCall(pathStream), cutOff)
	s.waitForLog(cutOff, "service.cut_off")
	c := s.newCall(pathStream)
	answered := make(chan platformtest.Reply, 1)
	go func() { answered <- s.send(c, cutOff) }()
	s.waitRuns(c.ID)
	id := s.serversThatRan(c.ID)[0]
	s.store.Remove(wire.TableInstances, id)
	s.eventually(func() error {
		status, err := s.fetchStatus(gateway)
		if err != nil {
			return err
		}
		if n := len(status.List.Instances[engineService]); n != 1 {
			return trace.Errorf("the gateway lists %d servers", n)
		}
		return nil
	})
	<-time.After(600 * time.Millisecond)
	s.servers[id].Kill()
	reply := <-answered
	require.NoError(t, reply.Err)
	require.Equal(t, eventStream(c.ID, 60), reply.Body)
}
