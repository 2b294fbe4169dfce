package routes_test

import (
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
func unfinishedCall(declared, sent int) string {
	return crowd.CallHeader("Routes.Beat") + crowd.UnfinishedValue(declared, sent)
}

// startCrowds starts crowds of several shapes at all listeners of a daemon.
func startCrowds(d *daemon) (stop func()) {
	head := crowdHead(pathSafe)
	stops := []func(){
		crowd.Start(100, d.callerAddress, crowd.SendWhole(head, crowdBodyBytes, crowdBodyBytes-1000)),
		crowd.Start(100, d.callerAddress, crowd.Send(head+crowd.ShortFields(15_500))),
		crowd.Start(100, d.callerAddress, crowd.SendSlowly(head+crowd.ShortFields(10_000), 50*time.Millisecond)),
		crowd.StartWithoutReading(50, d.callerAddress, crowd.SendAgain(head+"Content-Length: 0\r\n\r\n")),
		crowd.Start(300, d.callerAddress, crowd.SendNothing),
		crowd.Start(50, d.peerAddress, crowd.Send(unfinishedCall(7_000_000, 6_999_000))),
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
	s.faceCrowd(d, func() func() { return startCrowds(d) })
}

// Guards against crowds that a daemon bears only while the store answers.
func TestCrowdWhileTheStoreIsAway(t *testing.T) {
	s, d := startCrowdDaemon(t)
	s.faceCrowd(d, func() func() {
		s.store.SetFault(platformtest.FaultHang)
		stop := startCrowds(d)
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
		stop := startCrowds(d)
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
	stop := startCrowds(d)
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
		stopMeasure := crowd.Measure(d.pid(), d.callerAddress)
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
	peak := 0
	for n := range crowd.Rounds(t) {
		peak = measure()
		t.Logf("resident %d MB after round %d, %d requests", peak, n+1, s.lastID.Load())
	}
	require.Less(t, peak, crowdMemoryMB)
	s.requireServed(d, "after the crowd")
}
