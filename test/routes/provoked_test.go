package routes_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// Guards against instances that are taken out of use because one caller asks for a model that they do not
// know: they answer with the status that another instance at their address would answer with.
func TestRequestsForAnUnknownModelTakeNoInstanceOutOfUse(t *testing.T) {
	const requests, engines = 50, 4
	for name, c := range map[string]struct{ anonymous, cutOff bool }{
		"direct": {}, "no id": {anonymous: true}, "through a gateway": {cutOff: true}, "no id, through a gateway": {anonymous: true, cutOff: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			for n := range engines {
				s.startServer(platformtest.ServerOptions{
					ID: fmt.Sprint("eng-", n), Service: engineService, Events: 3, Models: []string{"small", "large"}, AnonymousRejections: c.anonymous,
					Confidence: map[string]int{"small": 90},
				})
			}
			d := s.startFaultDaemon()
			s.startFaultDaemon()
			if c.cutOff {
				s.cutOffFromStreams(d)
			}
			for i := range requests {
				call := s.newCall(pathStream)
				call.Model = "unknown"
				r := s.send(call, d)
				require.NoError(t, r.Err)
				require.Equal(t, http.StatusMisdirectedRequest, r.Status, r.Body)
				other := s.newCall(pathStream)
				other.Prompt = fmt.Sprintf("%x:100,cc:50", i)
				r = s.send(other, d)
				require.NoError(t, r.Err)
				require.Equal(t, eventStream(other.ID, 3), r.Body)
			}
			for _, d := range s.daemons {
				require.False(t, d.logsContain("instance.leaving"), d.Log())
			}
			used := map[string]bool{}
			for name, server := range s.servers {
				for _, received := range server.Received() {
					used[name] = used[name] || received.Model != "unknown"
				}
			}
			require.Len(t, used, engines)
		})
	}
}
