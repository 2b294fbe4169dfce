package routes_test

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
	"github.com/hornbeamsill/hornbeamsill/test/crowd"
)

// crowdTime is how long a crowd is there before it is looked at.
const crowdTime = 3 * time.Second

// unfinishedCall returns a call between daemons that declares a body of the given length and has part of it.
func unfinishedCall(t *testing.T, declared, sent int) string {
	t.Helper()
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(rpc.Request{ServiceMethod: "Routes.Beat", Seq: 1}))
	// gob writes a number above 127 as the negated count of its bytes and the bytes.
	const lengthBytes = 4
	b.WriteByte(256 - lengthBytes)
	b.Write([]byte{byte(declared >> 24), byte(declared >> 16), byte(declared >> 8), byte(declared)})
	b.Write(make([]byte, sent))
	return b.String()
}

func peers(d *daemon) string { return d.peerAddress }

// Guards against clients of the listener for other daemons that use up the memory or the descriptors.
func TestCrowdAtPeerListener(t *testing.T) {
	faceCrowds(t, peers, map[string]crowdCase{
		"silent":                 {1500, crowd.SendNothing},
		"unfinished calls":       {100, crowd.Send(unfinishedCall(t, 7_000_000, 6_999_000))},
		"half a call":            {1500, crowd.Send(unfinishedCall(t, 100_000, 1000))},
		"tunnels without an end": {1500, crowd.Send("\x00")},
		"requests of HTTP":       {300, crowd.SendWhole(crowd.Head("/", "h"), 4_000_000, 3_999_000)},
	})
}

// startCrowds starts crowds of several shapes at all listeners of a daemon.
func startCrowds(t *testing.T, d *daemon) (stop func()) {
	head := crowdHead(pathSafe)
	stops := []func(){
		crowd.Start(100, d.callerAddress, crowd.SendWhole(head, crowdBodyBytes, crowdBodyBytes-1000)),
		crowd.Start(100, d.callerAddress, crowd.Send(head+crowd.ShortFields(15_500))),
		crowd.Start(100, d.callerAddress, crowd.SendSlowly(head+crowd.ShortFields(10_000), 50*time.Millisecond)),
		crowd.StartWithoutReading(50, d.callerAddress, crowd.SendAgain(head+"Content-Length: 0\r\n\r\n")),
		crowd.Start(300, d.callerAddress, crowd.SendNothing),
		crowd.Start(50, d.peerAddress, crowd.Send(unfinishedCall(t, 7_000_000, 6_999_000))),
	}
	for _, address := range []string{d.readyAddress, d.directoryAddress, d.metricsAddress} {
		stops = append(stops, crowd.Start(100, address, crowd.SendNothing), crowd.Start(100, address, crowd.Send(head+crowd.ShortFields(15_500))))
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// Guards against crowds that each listener bears, but not all of them together.
func TestCrowdAtAllListeners(t *testing.T) {
	s, d := startCrowdDaemon(t)
	s.faceCrowd(d, func() func() { return startCrowds(t, d) })
}

// Guards against crowds that a daemon bears only while the store answers.
func TestCrowdWhileTheStoreIsAway(t *testing.T) {
	s, d := startCrowdDaemon(t)
	s.faceCrowd(d, func() func() {
		s.store.SetFault(platformtest.FaultHang)
		stop := startCrowds(t, d)
		return func() {
			s.store.SetFault(platformtest.FaultNone)
			stop()
		}
	})
}

// Guards against limits that a new configuration lowers, and that a crowd which is already there keeps exceeding.
func TestCrowdWhileTheLimitsAreLowered(t *testing.T) {
	s, d := startCrowdDaemon(t)
	s.faceCrowd(d, func() func() {
		stop := startCrowds(t, d)
		m := newManifest(5)
		m.Limits = wire.Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 10_000, HeaderTimeoutMS: 500, IdleTimeoutMS: 500}
		s.store.PutManifest(m)
		s.waitForLog(d, "msg=config.in_force", "version=5")
		return stop
	})
}

// Guards against a planned stop that a crowd holds up until the platform kills the process.
func TestCrowdDoesNotHoldUpAPlannedStop(t *testing.T) {
	s, d := startCrowdDaemon(t)
	stop := startCrowds(t, d)
	defer stop()
	time.Sleep(crowdTime)
	s.requireServed(d, "beside the crowd")
	d.terminate()
	require.Equal(t, 0, d.Wait())
	took, err := strconv.Atoi(cluster.LogField(s.waitForLog(d, "msg=daemon.stopped"), "after_ms"))
	require.NoError(t, err)
	const stopMS = 8000
	require.Less(t, took, stopMS)
}

// Guards against names of callers that a daemon keeps for ever: memory must not grow with the number of names that
// it has seen.
func TestCrowdOfEverNewNames(t *testing.T) {
	s, d := startCrowdDaemon(t)
	measure := func() int {
		stopMeasure := crowd.Measure(cluster.LogField(d.logLine("msg=daemon.started"), "pid"), d.callerAddress)
		stop := runWorkers(50, func(worker int) {
			c := s.newCall([]string{pathSafe, pathStream, pathNone}[worker%3])
			c.Session = c.ID
			c.Model = "model-of-" + c.ID
			c.Prompt = "of-" + c.ID + ":100," + strings.Repeat("part-of-"+c.ID+":1,", 50) + "end:1"
			if worker%5 == 0 {
				c.Key, c.Host = "key-of-"+c.ID, c.ID+".example"
			}
			_ = s.send(c, d)
		})
		time.Sleep(crowdTime)
		stop()
		return stopMeasure().ResidentMB
	}
	first, second := measure(), measure()
	t.Logf("resident %d MB, then %d MB", first, second)
	require.Less(t, second, crowdMemoryMB)
	s.requireServed(d, "after the crowd")
}
