package routes_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// Guards against requests that are lost, or run again, because a sound server is silent for a moment: requests under
// way, requests that are being sent when the silence begins, and requests on idle connections.
func TestSilentServerLosesNoRequest(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			s := newTestbed(t)
			var silent []string
			for i := range 2 {
				plain := s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("cat-", i), Service: plainService, Delay: 300 * time.Millisecond})
				engine := s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("eng-", i), Service: engineService, Events: 40, Delay: 50 * time.Millisecond, Confidence: map[string]int{"small": 90}})
				if i == 0 {
					silent = []string{plain.Address(), engine.Address()}
				}
			}
			for range 2 {
				s.startFaultDaemon()
			}
			replies := make(chan platformtest.Reply)
			sent := 0
			send := func(path string, n int) {
				for range n {
					for _, d := range s.daemons {
						sent++
						go func() { replies <- s.send(s.newCall(path), d) }()
					}
				}
			}
			// The first requests leave idle connections.
			send(pathUnsafe, 8)
			<-time.After(500 * time.Millisecond)
			send(pathUnsafe, 4)
			send(pathStream, 2)
			<-time.After(100 * time.Millisecond)
			for _, d := range s.daemons {
				s.setFault(d, faultdial.Hang, silent...)
			}
			<-time.After(20 * time.Millisecond)
			send(pathUnsafe, 2)
			<-time.After(silence)
			for _, d := range s.daemons {
				s.setFault(d, faultdial.None)
			}
			send(pathUnsafe, 2)
			for range sent {
				r := <-replies
				require.NoError(t, r.Err)
				require.Equal(t, http.StatusOK, r.Status, r.Body)
				require.Len(t, s.serversThatRan(r.ID), 1)
			}
		})
	}
}
