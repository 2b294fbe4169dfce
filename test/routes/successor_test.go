package routes_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// replaceServer kills a server, and starts another one at its address.
func (s *testbed) replaceServer(old *platformtest.Server, by platformtest.ServerOptions) {
	by.Address = old.Address()
	old.Kill()
	s.startServer(by)
}

// Guards against a part of a stream without framing that looks whole, and an end that is not counted
// against its request, because another server answers at the address of the one that has crashed.
func TestUnframedStreamOfReplacedServerIsResumed(t *testing.T) {
	const events = 60
	successor := platformtest.ServerOptions{ID: "successor", Service: engineService, Events: events, Unframed: true}
	other := platformtest.ServerOptions{ID: "other", Service: plainService}
	anonymous := successor
	anonymous.Anonymous = true
	for name, c := range map[string]struct {
		by platformtest.ServerOptions
		// cutOff is set for a daemon that reaches the servers through another one only, and held if the link
		// to the server is held up meanwhile. Otherwise the daemon is frozen meanwhile.
		cutOff, held bool
	}{
		"successor":                {by: successor},
		"other service":            {by: other},
		"no id":                    {by: anonymous},
		"link held up":             {by: successor, held: true},
		"through another daemon":   {by: successor, cutOff: true},
		"no id, by another daemon": {by: anonymous, cutOff: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			for n := range 2 {
				s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("eng-", n), Service: engineService, Events: events, Delay: 30 * time.Millisecond, Unframed: true, Confidence: map[string]int{"small": 90}})
			}
			d := s.startFaultDaemon()
			s.startFaultDaemon()
			if c.cutOff {
				s.cutOffFromStreams(d)
			}
			call := s.newCall(pathStream)
			answered := make(chan platformtest.Reply, 1)
			go func() { answered <- s.send(call, d) }()
			s.waitRuns(call.ID)
			<-time.After(600 * time.Millisecond)
			crashingID := s.serversThatRan(call.ID)[0]
			crashing := s.servers[crashingID]
			if c.held {
				s.setFault(d, faultdial.Hang, crashing.Address())
				<-time.After(50 * time.Millisecond)
			} else {
				require.NoError(t, d.Pause())
			}
			s.replaceServer(crashing, c.by)
			<-time.After(300 * time.Millisecond)
			s.setFault(d, faultdial.None)
			if !c.held {
				if c.cutOff {
					s.setFault(d, faultdial.Reset)
				}
				d.Resume()
			}
			reply := <-answered
			require.NoError(t, reply.Err)
			require.Equal(t, eventStream(call.ID, events), reply.Body)
			require.Greater(t, len(s.serversThatRan(call.ID)), 1)
			s.waitForLog(d, "instance.ended", "instance="+crashingID)
		})
	}
}

// Guards against a part of an answer without framing that looks whole though it cannot be asked for again:
// a successor answers at the address of its server, and has been taken for a planned end.
func TestUnframedAnswerOfReplacedServerBreaksOff(t *testing.T) {
	for _, misdirects := range []bool{false, true} {
		t.Run(fmt.Sprint("misdirects=", misdirects), func(t *testing.T) {
			s := newTestbed(t)
			behave := func(r platformtest.ReceivedRequest) platformtest.Behaviour {
				if r.Header.Get("X-Behaviour") != "" {
					return platformtest.CrashInBody
				}
				return platformtest.Answer
			}
			crashing := s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Delay: 600 * time.Millisecond, Behave: behave})
			d, second := s.startReadyDaemon(), s.startReadyDaemon()
			c := s.newCall(pathUnsafe)
			c.ExtraHeaders = http.Header{"X-Behaviour": {"crash"}}
			answered := make(chan platformtest.Reply, 1)
			go func() { answered <- s.send(c, d) }()
			s.waitRuns(c.ID)
			require.NoError(t, d.Pause())
			<-time.After(800 * time.Millisecond)
			s.replaceServer(crashing, platformtest.ServerOptions{ID: "cat-2", Service: plainService})
			if misdirects {
				s.send(s.newCall(pathSafe), second)
				s.waitForLog(second, "instance.leaving", "instance=cat-1")
			}
			d.Resume()
			reply := <-answered
			require.Equal(t, http.StatusBadGateway, reply.Status, reply.Body)
			require.Len(t, s.serversThatRan(c.ID), 1)
		})
	}
}

// Guards against whole answers without framing that are lost because their sound server is silent for a
// moment, and against parts that look whole because nobody knows what has become of it.
func TestUnframedAnswerOfSilentServer(t *testing.T) {
	for silence, want := range map[time.Duration]int{
		time.Second: http.StatusOK, 1500 * time.Millisecond: http.StatusOK, time.Hour: http.StatusBadGateway,
	} {
		t.Run(silence.String(), func(t *testing.T) {
			s := newTestbed(t)
			behave := func(platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.NoLength }
			s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Behave: behave, SilentAfterAnswer: silence})
			d := s.startReadyDaemon()
			s.startReadyDaemon()
			c := s.newCall(pathUnsafe)
			reply := s.send(c, d)
			require.NoError(t, reply.Err)
			require.Equal(t, want, reply.Status, reply.Body)
			if want == http.StatusOK {
				s.requireWholeAnswer(c, reply, "cat-1")
			}
		})
	}
}

// Guards against whole answers without framing that are lost because their server, which has announced
// that it leaves, ends after them.
func TestUnframedAnswerOfPlannedEndIsWhole(t *testing.T) {
	s := newTestbed(t)
	behave := func(platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.NoLength }
	leaving := s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Delay: time.Second, Behave: behave})
	d := s.startReadyDaemon()
	c := s.newCall(pathUnsafe)
	answered := make(chan platformtest.Reply, 1)
	go func() { answered <- s.send(c, d) }()
	s.waitRuns(c.ID)
	leaving.Register(s.store, wire.StateDraining)
	<-time.After(500 * time.Millisecond)
	require.NoError(t, d.Pause())
	<-time.After(800 * time.Millisecond)
	leaving.Kill()
	d.Resume()
	s.requireWholeAnswer(c, <-answered, "cat-1")
}

// Guards against parts of answers without framing that look whole because their server, which has announced that
// it leaves, is killed: its other requests break off at the same moment.
func TestUnframedAnswerOfKilledLeavingServerBreaksOff(t *testing.T) {
	const wholeEvents = 8
	notResumable := newManifest(3)
	for i := range notResumable.Routes {
		notResumable.Routes[i].Resumable = false
	}
	for name, c := range map[string]struct {
		// framed is set if the other stream has chunks, and headless if it has no head yet. sameDaemon is set if
		// both go through one daemon.
		framed, headless, sameDaemon bool
	}{
		"two streams":                 {sameDaemon: true},
		"two streams, two daemons":    {},
		"beside chunks":               {framed: true, sameDaemon: true},
		"beside chunks, two daemons":  {framed: true},
		"beside no head":              {headless: true, sameDaemon: true},
		"beside no head, two daemons": {headless: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			s.store.PutManifest(notResumable)
			hold := make(chan struct{})
			defer close(hold)
			leaving := s.startServer(platformtest.ServerOptions{
				ID: "eng-1", Service: engineService, Events: wholeEvents, Confidence: map[string]int{"small": 90},
				Script: func(r platformtest.ReceivedRequest) *platformtest.Script {
					script := &platformtest.Script{Pieces: events(r.ID, 1, 3), Unframed: true, Until: hold}
					if r.Header.Get("X-Behaviour") == "other" {
						script.Unframed = !c.framed
						script.HeadAfter = hold
						if !c.headless {
							script.HeadAfter = nil
						}
					}
					return script
				},
			})
			first := s.startReadyDaemon()
			second := first
			if !c.sameDaemon {
				second = s.startReadyDaemon()
			}
			replies := make(chan platformtest.Reply, 2)
			for i, d := range []*daemon{first, second} {
				call := s.newCall(pathStream)
				if i == 1 {
					call.ExtraHeaders = http.Header{"X-Behaviour": {"other"}}
				}
				go func() { replies <- s.send(call, d) }()
				s.waitRuns(call.ID)
			}
			leaving.Register(s.store, wire.StateDraining)
			<-time.After(500 * time.Millisecond)
			leaving.Kill()
			for range 2 {
				r := <-replies
				require.False(t, r.Err == nil && r.Status == http.StatusOK, "ends as complete: %q", r.Body)
			}
		})
	}
}
