package routes_test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/test/crowd"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// crowdPadding is the length of long answers, which fill the buffers of a client that does not read.
const crowdPadding = 100_000

// Guards against clients that have all connections in use and send ahead without reading their answers: what they sent
// must not protect them.
func TestCrowdWithUnreadAnswersLargerThanTheConnectionLimit(t *testing.T) {
	s := newCrowdBed(t, crowdPadding)
	d := s.startCrowdDaemon(nil, binaries.StartRoutesDaemon)
	client := crowd.SendAgain(crowdHead(pathSafe) + "Content-Length: 0\r\n\r\n")
	s.faceCrowd(d, func() func() { return crowd.StartWithoutReading(600, d.callerAddress, client) })
}

// startReadersAndWriters starts clients that do not read their long answers, and clients whose bodies have no end.
func startReadersAndWriters(address string) (stop func()) {
	head := crowdHead(pathSafe)
	stopReaders := crowd.StartWithoutReading(200, address, crowd.SendAgain(head+"Content-Length: 0\r\n\r\n"))
	stopWriters := crowd.Start(200, address, crowd.SendBody(head, crowdBodyBytes, crowdBodyBytes-1000, 1000))
	return func() {
		stopReaders()
		stopWriters()
	}
}

// Guards against answers that are not read and bodies that do not end which together exceed the memory, each within a
// budget of its own, also that of a gateway.
func TestCrowdOfUnreadAnswersAndUnfinishedBodies(t *testing.T) {
	t.Run("direct", func(t *testing.T) {
		s := newCrowdBed(t, crowdPadding)
		d := s.startCrowdDaemon(nil, binaries.StartRoutesDaemon)
		s.faceCrowd(d, func() func() { return startReadersAndWriters(d.callerAddress) })
	})
	t.Run("through a gateway", func(t *testing.T) {
		s := newCrowdBed(t, crowdPadding)
		d := s.startCrowdDaemon(nil, binaries.StartFaultDaemon)
		gateway := s.startCrowdDaemon(nil, binaries.StartFaultDaemon)
		// A connection that is open already must not be used either.
		s.setFault(d, faultdial.Reset)
		s.eventually(func() error {
			if r := s.send(s.newCall(pathSafe), d); r.Status != http.StatusOK || !d.logsContain("service.cut_off", "service="+plainService) {
				return trace.Errorf("answered %d", r.Status)
			}
			return nil
		})
		measured := crowd.Measure(gateway.pid(), gateway.peerAddress)
		s.faceCrowd(d, func() func() { return startReadersAndWriters(d.callerAddress) })
		peak := measured()
		t.Logf("gateway: resident %d MB, with unread bytes %d MB, %d descriptors", peak.ResidentMB, peak.WithUnreadMB, peak.Descriptors)
		require.Less(t, peak.WithUnreadMB, crowdMemoryMB)
		require.LessOrEqual(t, peak.Descriptors, crowdDescriptors)
	})
}

// Guards against crowds that come from as many addresses as there are clients.
func TestCrowdFromManyAddresses(t *testing.T) {
	head := crowdHead(pathSafe)
	for name, c := range map[string]crowdCase{
		"silent":            {1500, crowd.SendNothing},
		"bodies":            {600, crowd.SendBody(head, 100_000, 99_000, 1000)},
		"body, byte a time": {600, crowd.SendSlowly(head+"Content-Length: 9000\r\n\r\n"+strings.Repeat("b", 9000), 20*time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			s, d := startCrowdDaemon(t)
			s.faceCrowd(d, func() func() { return crowd.StartFromMany(c.conns, d.callerAddress, c.client) })
		})
	}
}

// Guards against a daemon that does not get ready, or exceeds its limits, because crowds are there when it starts.
func TestCrowdWhileADaemonStarts(t *testing.T) {
	s := newCrowdBed(t, 0)
	first := s.startCrowdDaemon(func(r *settings.Routes) {
		r.CallerListen, r.ReadyListen, r.DirectoryListen = addressOfItsOwn, addressOfItsOwn, addressOfItsOwn
		r.PeerListen, r.MetricsListen = addressOfItsOwn, addressOfItsOwn
	}, binaries.StartRoutesDaemon)
	first.Kill()
	s.daemons = nil
	stop := startCrowds(first)
	defer stop()
	d := s.startCrowdDaemon(func(r *settings.Routes) {
		r.CallerListen, r.ReadyListen, r.DirectoryListen = first.callerAddress, first.readyAddress, first.directoryAddress
		r.PeerListen, r.MetricsListen = first.peerAddress, first.metricsAddress
	}, binaries.StartRoutesDaemon)
	s.faceCrowd(d, func() func() { return stop })
}

// Guards against a process that ends, or accepts nobody any more, once it has had no descriptors left.
func TestCrowdWithoutDescriptors(t *testing.T) {
	for name, listener := range map[string]func(*daemon) string{
		"callers": callers, "ready": func(d *daemon) string { return d.readyAddress }, "peers": peers,
	} {
		t.Run(name, func(t *testing.T) {
			s, d := startCrowdDaemon(t)
			pid, err := strconv.Atoi(d.pid())
			require.NoError(t, err)
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			require.NoError(t, err)
			var before unix.Rlimit
			require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before))
			const left = 20
			require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(open) + left), Max: before.Max}, nil))
			s.faceCrowd(d, func() func() { return crowd.Start(300, listener(d), crowd.SendNothing) })
		})
	}
}
