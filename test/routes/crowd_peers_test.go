package routes_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/test/crowd"
)

func peers(d *daemon) string { return d.peerAddress }

// Guards against clients of the listener for other daemons that use up the memory or the descriptors.
func TestCrowdAtPeerListener(t *testing.T) {
	faceCrowds(t, peers, map[string]crowdCase{
		"silent":                 {1500, crowd.SendNothing},
		"unfinished calls":       {100, crowd.Send(unfinishedCall(7_000_000, 6_999_000))},
		"half a call":            {1500, crowd.Send(unfinishedCall(100_000, 1000))},
		"tunnels without an end": {1500, crowd.Send("\x00")},
		"requests of HTTP":       {300, crowd.SendWhole(crowd.Head("/", "h"), 4_000_000, 3_999_000)},
	})
}

// requirePeerServed requires that a call of another daemon is answered.
func (s *testbed) requirePeerServed(d *daemon) {
	s.t.Helper()
	client := peer.NewClient(nil)
	defer client.Close()
	s.eventually(func() error {
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		defer cancel()
		_, err := client.Evidence(ctx, d.peerAddress, peer.EvidenceRequest{Service: plainService})
		return trace.Wrap(err)
	})
}

// Guards against clients of the listener for other daemons whose calls take many times their length once decoded, and
// against connections of such clients that keep other daemons out.
func TestCrowdOfCostlyPeerCalls(t *testing.T) {
	faceCrowds(t, peers, map[string]crowdCase{
		"type definitions":     {20, crowd.Send(crowd.CallHeader("Routes.Beat") + crowd.TypeDefinitions(6_000_000))},
		"empty elements":       {100, crowd.SendAgain(crowd.Call("Routes.None", peer.RoutesHeartbeat{News: make([]member.Daemon, 60_000)}))},
		"empty strings":        {100, crowd.Send(crowd.Call("Routes.Reach", peer.ReachRequest{Instances: make([]string, 4_000_000)}))},
		"empty daemons":        {100, crowd.Send(crowd.Call("Routes.Beat", peer.RoutesHeartbeat{News: make([]member.Daemon, 60_000)}))},
		"many empty daemons":   {20, crowd.Send(crowd.Call("Routes.Beat", peer.RoutesHeartbeat{News: make([]member.Daemon, 4_000_000)}))},
		"map, little of it":    {20, crowd.Send(crowd.CallWithMap("Routes.Inquire", "Ended", 1_000_000))},
		"second call, no end":  {600, crowd.Send(crowd.CallAndUnfinished("Routes.Evidence", peer.EvidenceRequest{Service: plainService}))},
		"long, little of them": {600, crowd.Send(unfinishedCall(7_000_000, 1000))},
	})
}

// Guards against calls that wait for the store, so that each takes memory for as long as the store does not answer.
func TestCrowdOfCallsThatWaitForTheStore(t *testing.T) {
	s, d := startCrowdDaemon(t)
	call := crowd.CallAgain("Routes.Store", peer.StoreCall{Get: strings.Repeat("k", 1000)}, 2000)
	s.faceCrowd(d, func() func() {
		s.store.SetFault(platformtest.FaultHang)
		stop := crowd.Start(100, d.peerAddress, crowd.Send(call))
		return func() {
			s.store.SetFault(platformtest.FaultNone)
			stop()
		}
	})
}

// Guards against clients that read no replies and have all calls that are handled at once, so that other daemons wait.
func TestCrowdThatReadsNoReplies(t *testing.T) {
	s, d := startCrowdDaemon(t)
	calls := crowd.CallAgain("Routes.Beliefs", peer.SyncRequest{Members: true, Instances: true, Config: -1}, 20_000)
	s.faceCrowd(d, func() func() { return crowd.StartWithoutReading(100, d.peerAddress, crowd.Send(calls)) })
}
