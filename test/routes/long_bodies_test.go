package routes_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// upload is a way to send a body in parts.
type upload struct {
	parts     int
	pause     time.Duration
	chunked   bool
	abandoned bool
}

var uploads = []upload{
	{parts: 1}, {parts: 40, pause: 50 * time.Millisecond}, {parts: 40, pause: 50 * time.Millisecond, chunked: true},
	{parts: 1, chunked: true}, {parts: 40, pause: 20 * time.Millisecond, abandoned: true},
}

// send sends a body of n bytes and returns the status of the answer; 0 if there is none.
func (u upload) send(s *testbed, d *daemon, n int) int {
	conn, err := net.Dial("tcp", d.callerAddress)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(cluster.WaitTimeout))
	c := s.newCall(pathSafe)
	framing := fmt.Sprintf("Content-Length: %d", n)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s\r\n\r\n", pathSafe, host,
		wire.HeaderRequestID, c.ID, wire.HeaderCredential, key, framing)
	part := bytes.Repeat([]byte("b"), n/u.parts)
	for i := 0; err == nil && i < u.parts; i++ {
		if u.abandoned && i == u.parts/2 {
			return 0
		}
		if u.chunked {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		} else {
			_, err = conn.Write(part)
		}
		time.Sleep(u.pause)
	}
	if u.chunked {
		// The daemon may have answered before it has read the body.
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against a daemon, or its gateway, that exceeds its memory by the bodies that it reads, and is ended with
// all requests that it has passed on.
func TestLongBodiesDoNotExceedTheMemory(t *testing.T) {
	for name, c := range map[string]struct {
		bodyBytes int
		tunneled  bool
	}{
		"4 MB":            {4_000_000, false},
		"16 MB":           {16_000_000, false},
		"4 MB by tunnel":  {4_000_000, true},
		"16 MB by tunnel": {16_000_000, true},
	} {
		t.Run(name, func(t *testing.T) { sendLongBodies(t, c.bodyBytes, c.tunneled) })
	}
}

func sendLongBodies(t *testing.T, bodyBytes int, tunneled bool) {
	const memoryMB, uploaders, clerks, duration = 160, 100, 20, 8 * time.Second
	s := newTestbed(t)
	manifest := newManifest(4)
	manifest.Limits.MaxBodyBytes = int64(bodyBytes)
	s.store.PutManifest(manifest)
	for n := range 2 {
		s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("cat-", n), Service: plainService, Slots: 300, Delay: 200 * time.Millisecond})
	}
	var daemons []*daemon
	for range 2 {
		d := s.startProcess(func(r *settings.Routes) { r.MemoryMB, r.Descriptors = memoryMB, 3000 }, binaries.StartFaultDaemon)
		s.waitReady(d)
		daemons = append(daemons, d)
	}
	d := daemons[0]
	if tunneled {
		s.setFault(d, faultdial.Refuse)
		s.eventually(func() error {
			if r := s.send(s.newCall(pathSafe), d); r.Status != http.StatusOK || !d.logsContain("service.cut_off", "service="+plainService) {
				return trace.Errorf("answered %d", r.Status)
			}
			return nil
		})
	}
	var mu sync.Mutex
	long := map[int]int{}
	stopUploads := runWorkers(uploaders, func(worker int) {
		status := uploads[worker%len(uploads)].send(s, d, bodyBytes)
		mu.Lock()
		defer mu.Unlock()
		long[status]++
	})
	kept := &http.Client{Timeout: cluster.WaitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: clerks}}
	var served atomic.Int64
	stopClerks := runWorkers(clerks, func(int) {
		r := s.newCall(pathUnsafe).Send(t.Context(), kept, d.callerAddress)
		assert.NoError(t, r.Err)
		if r.Status == http.StatusOK {
			served.Add(1)
		}
	})
	time.Sleep(duration)
	stopUploads()
	stopClerks()
	for _, d := range daemons {
		peak := d.peakMemory(t)
		t.Logf("%s: short requests served %d, long ones by status %v, peak memory %d MB", d.Name, served.Load(), long, peak)
		require.Less(t, peak, memoryMB*9/10)
	}
	require.Positive(t, served.Load())
	require.Positive(t, long[http.StatusOK])
}
