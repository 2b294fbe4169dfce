package routes_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

// partRollout is a roll-out from v1 to v2 under a steady load of sound requests.
type partRollout struct {
	*testbed
	// crashes says which versions the part crashes.
	crashes map[string]bool
	// fresh counts the requests at the new version, and refused those that are refused because of crashes.
	fresh, refused atomic.Int64
}

// newPartRollout starts the servers of both versions, and daemons. v2 gets no requests before it is ordered.
func newPartRollout(t *testing.T, crashes map[string]bool) *partRollout {
	const size, daemons = 6, 3
	r := &partRollout{testbed: newTestbed(t), crashes: crashes}
	start := func(version string) {
		r.startPool(&pool{service: engineService, version: version, events: 3, crashes: func(received platformtest.ReceivedRequest) (platformtest.Behaviour, bool) {
			if version == "v2" {
				r.fresh.Add(1)
			}
			return platformtest.Crash, r.crashes[version] && hasCrashingPart(received)
		}}, size)
	}
	start("v1")
	for range daemons {
		r.startReadyDaemon()
	}
	start("v2")
	return r
}

// sendPrompt sends a request, and counts it if it is refused because of crashes.
func (r *partRollout) sendPrompt(prompt string, to int) {
	if strings.Contains(r.send(r.promptCall(prompt), r.daemons[to%len(r.daemons)]).Body, "request_quarantined") {
		r.refused.Add(1)
	}
}

// waitFresh waits until the new version has received n requests.
func (r *partRollout) waitFresh(n int64) {
	r.t.Helper()
	r.eventually(func() error {
		if got := r.fresh.Load(); got < n {
			return trace.Errorf("the new version has received %d requests", got)
		}
		return nil
	})
}

// Guards against a sound version that is rolled back because a part of prompts crashes its servers, as it
// does those of the old version.
func TestCrashingPartDoesNotRollBackASoundVersion(t *testing.T) {
	for _, after := range []int64{10, 300} {
		t.Run(fmt.Sprint("after=", after), func(t *testing.T) {
			r := newPartRollout(t, map[string]bool{"v1": true, "v2": true})
			stop := runWorkers(12, func(worker int) { r.sendPrompt("aa:100,bb:200,OWN:50", worker) })
			defer stop()
			r.store.OrderRollout(engineService, "v2", rolloutTime)
			r.waitFresh(after)
			for i := range 20 {
				go r.sendPrompt("aa:100,ee:200,OWN:50", i)
				<-time.After(100 * time.Millisecond)
			}
			require.Positive(t, r.refused.Load())
			r.waitRolloutState(engineService, "completed")
		})
	}
}

// Guards against a version that crashes on a part of prompts, and is not rolled back because the part is
// blamed, with which the old version completes.
func TestVersionThatCrashesOnAPartIsRolledBack(t *testing.T) {
	r := newPartRollout(t, map[string]bool{"v2": true})
	var turn atomic.Int64
	stop := runWorkers(12, func(worker int) {
		part := "bb"
		if turn.Add(1)%4 == 0 {
			part = crashingPart
		}
		r.sendPrompt("aa:100,"+part+":200,OWN:50", worker)
	})
	r.store.OrderRollout(engineService, "v2", rolloutTime)
	r.waitRolloutState(engineService, "rolled_back")
	stop()
	t.Logf("%d requests refused", r.refused.Load())
	before := r.refused.Load()
	for n := range 10 {
		r.sendPrompt("aa:100,ee:200,OWN:50", n)
	}
	require.Equal(t, before, r.refused.Load())
}
