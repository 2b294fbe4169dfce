package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Peak is the most that a process has used.
type Peak struct {
	// ResidentMB is its resident memory, and WithUnreadMB that together with the bytes that the kernel has
	// received for it.
	ResidentMB, WithUnreadMB int
	Descriptors              int
}

// sampleInterval is the time between two measurements. The kernel itself keeps the peak of the resident memory.
const sampleInterval = 20 * time.Millisecond

// Measure measures a process until the returned function is called. ports are its listening addresses.
func Measure(pid string, addresses ...string) (stop func() Peak) {
	ports := map[string]bool{}
	for _, address := range addresses {
		if _, port, err := net.SplitHostPort(address); err == nil {
			n, _ := strconv.Atoi(port)
			ports[fmt.Sprintf("%04X", n)] = true
		}
	}
	done, result := make(chan struct{}), make(chan Peak)
	go func() {
		var peak Peak
		for {
			resident := statusMB(pid, "VmRSS:")
			peak.WithUnreadMB = max(peak.WithUnreadMB, resident+unreadBytes(ports)>>20)
			peak.Descriptors = max(peak.Descriptors, descriptors(pid))
			peak.ResidentMB = max(peak.ResidentMB, statusMB(pid, "VmHWM:"))
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() Peak {
		close(done)
		return <-result
	}
}

// statusMB returns a value of the status of a process in MB, or 0.
func statusMB(pid, name string) int {
	status, _ := os.ReadFile(filepath.Join("/proc", pid, "status"))
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// unreadBytes returns the number of bytes that have been received for the ports and have not been read.
func unreadBytes(ports map[string]bool) int {
	table, _ := os.ReadFile("/proc/net/tcp")
	total := 0
	scanner := bufio.NewScanner(bytes.NewReader(table))
	for scanner.Scan() {
		const local, state, queues, listening = 1, 3, 4, "0A"
		fields := strings.Fields(scanner.Text())
		if len(fields) <= queues || fields[state] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[local], ":")
		_, received, _ := strings.Cut(fields[queues], ":")
		if ports[port] {
			n, _ := strconv.ParseInt(received, 16, 64)
			total += int(n)
		}
	}
	return total
}

func descriptors(pid string) int {
	entries, _ := os.ReadDir(filepath.Join("/proc", pid, "fd"))
	return len(entries)
}
