//go:build review

// Package rig runs the project's daemons as processes on loopback addresses, with stand-ins of the
// platform's store, of servers and of clients, for the cases of the review.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the disruption takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Machine is the place of one daemon: an address of its own on the loopback network.
type Machine struct {
	Name, IP string
	process  *exec.Cmd
	done     chan struct{}
	// life is held while the process is started or killed.
	life sync.Mutex

	logMu sync.Mutex
	log   bytes.Buffer
}

// Ports are the same on all machines.
const (
	portFront     = "8227"
	portReady     = "8220"
	portDirectory = "8224"
	portControl   = "8229"
)

// Front returns the address for clients.
func (m *Machine) Front() string { return net.JoinHostPort(m.IP, portFront) }

// Bed is a small deployment.
type Bed struct {
	Record   *Record
	Store    *platformtest.Store
	Machines []*Machine
	// Settings are changed values of the settings that DEPLOY.md shows, by dotted name.
	Settings map[string]any

	dir, storeAddress string
	stopStore         func()
	stop              chan struct{}
	closing           sync.Once

	mu      sync.Mutex
	servers []*ServerProcess
}

func (b *Bed) serverProcesses() []*ServerProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*ServerProcess(nil), b.servers...)
}

// NewBed starts the store. It is closed by Close.
func NewBed(record *Record) (*Bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &Bed{Record: record, Store: platformtest.NewStore(), dir: dir, stop: make(chan struct{}), Settings: map[string]any{}}
	b.storeAddress, b.stopStore = b.Store.Serve()
	go b.closeOnSignal()
	return b, nil
}

// maxTime bounds a run.
const maxTime = 115 * time.Second

// closeOnSignal ends the case, and all that it started, if it is stopped or takes too long.
func (b *Bed) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-b.stop:
	case s := <-signals:
		b.Record.Add("the case is stopped: %v", s)
		b.Close()
		os.Exit(NotRun)
	case <-time.After(maxTime):
		b.Record.Add("the case takes longer than %v", maxTime)
		b.Close()
		os.Exit(NotRun)
	}
}

// Close ends all processes and the store.
func (b *Bed) Close() {
	b.closing.Do(func() {
		close(b.stop)
		for _, m := range b.Machines {
			m.Kill()
		}
		for _, s := range b.serverProcesses() {
			s.Kill()
		}
		b.stopStore()
		_ = os.RemoveAll(b.dir)
	})
}

// StartDaemons starts n daemons with the command of the deploy file and waits until they are ready.
func (b *Bed) StartDaemons(n int) error {
	// Each run has a network of its own, so that the fixed ports are free.
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range n {
		b.Machines = append(b.Machines, &Machine{Name: fmt.Sprintf("edge-%d", i+1), IP: fmt.Sprintf("%s.%d", network, 11+i)})
	}
	for _, m := range b.Machines {
		if err := b.Start(m); err != nil {
			return err
		}
	}
	for _, m := range b.Machines {
		if !b.AwaitReady(m, 15*time.Second) {
			return fmt.Errorf("%s is not ready\n%s", m.Name, m.Log())
		}
	}
	return nil
}

// Start starts a daemon, also again.
func (b *Bed) Start(m *Machine) error {
	command, err := deployCommand()
	if err != nil {
		return err
	}
	file := filepath.Join(b.dir, m.Name+".jsonc")
	text, err := b.renderTemplate(m)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	for i, word := range command {
		if word == "/etc/hornbeamsill/boot.json" {
			command[i] = file
		}
	}
	m.life.Lock()
	defer m.life.Unlock()
	select {
	case <-b.stop:
		return fmt.Errorf("the bed is closed")
	default:
	}
	m.process = exec.Command(command[0], command[1:]...)
	m.process.Stdout, m.process.Stderr = m, m
	m.done = make(chan struct{})
	if err := m.process.Start(); err != nil {
		return err
	}
	b.Record.Add("daemon %s started, pid %d, clients at %s", m.Name, m.process.Process.Pid, m.Front())
	go func(p *exec.Cmd, done chan struct{}) {
		err := p.Wait()
		b.Record.Add("daemon %s ended: %v", m.Name, err)
		close(done)
	}(m.process, m.done)
	return nil
}

// Write implements io.Writer for the output of the process.
func (m *Machine) Write(p []byte) (int, error) {
	m.logMu.Lock()
	defer m.logMu.Unlock()
	return m.log.Write(p)
}

// Log returns the output of the process so far.
func (m *Machine) Log() string {
	m.logMu.Lock()
	defer m.logMu.Unlock()
	return m.log.String()
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) { _ = m.process.Process.Signal(s) }

// Pid returns the process id.
func (m *Machine) Pid() int { return m.process.Process.Pid }

// Ended returns a channel that is closed once the process has ended.
func (m *Machine) Ended() <-chan struct{} { return m.done }

// Kill ends the process.
func (m *Machine) Kill() {
	m.life.Lock()
	defer m.life.Unlock()
	if m.process == nil || m.process.Process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGCONT)
	_ = m.process.Process.Kill()
	<-m.done
}

// AwaitReady waits until a daemon answers the platform's question with 200.
func (b *Bed) AwaitReady(m *Machine, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + net.JoinHostPort(m.IP, portReady) + wire.PathReady)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// deployCommand returns the words of run in the deploy file.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(text)
	if found == nil {
		return nil, fmt.Errorf("deploy/system.toml has no run")
	}
	return strings.Split(string(found[1]), " "), nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// renderTemplate fills in the template of the settings as the platform does, with the figures of a
// small deployment.
func (b *Bed) renderTemplate(m *Machine) ([]byte, error) {
	text, err := os.ReadFile("deploy/daemon.jsonc")
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, other := range b.Machines[:min(len(b.Machines), 3)] {
		seeds = append(seeds, net.JoinHostPort(other.IP, portControl))
	}
	values := map[string]any{
		"node_name": m.Name, "zone": "hall-a", "region": "vastra-got", "zones": map[string]string{"hall-a": "vastra-got"}, "ip": m.IP,
		"listen.front": m.Front(), "listen.ready": net.JoinHostPort(m.IP, portReady), "listen.directory": net.JoinHostPort(m.IP, portDirectory),
		"listen.control": net.JoinHostPort(m.IP, portControl), "seeds": seeds, "platform.address": b.storeAddress,
		"limits.memory_mb": 284, "limits.max_fds": 4100, "limits.link_mbps": 1000.0, "limits.cpu_share": 0.4,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"bounds.grace_s":  8,
		"bounds.drain_ms": 2000, "bounds.session_s": 5, "bounds.exposure_share": 0.15, "bounds.retry_budget_ratio": 0.9, "bounds.retry_slack": 56, "bounds.retry_window_s": 10,
	}
	for name, value := range b.Settings {
		values[name] = value
	}
	var missing error
	out := placeholder.ReplaceAllFunc(text, func(found []byte) []byte {
		parts := placeholder.FindSubmatch(found)
		value, ok := values[string(parts[1])]
		if !ok {
			missing = fmt.Errorf("deploy/daemon.jsonc: no value for %s", parts[1])
		}
		if len(parts[2]) == 0 {
			return []byte(fmt.Sprint(value))
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			missing = err
		}
		return encoded
	})
	return out, missing
}

// Register lists a server in the store, and repeats that every heartbeat until the bed is closed.
func (b *Bed) Register(s *Server) {
	sequence := 0.0
	put := func() {
		sequence++
		b.Store.Put(wire.TableInstances, s.ID, wire.Instance{
			Service: s.Service, Address: s.Address(), Zone: "hall-a", Version: "v1", Slots: s.Slots, State: wire.StateReady, Sequence: sequence,
		})
	}
	put()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-s.ended:
				return
			case <-time.After(1200 * time.Millisecond):
				put()
			}
		}
	}()
}

// KeepInMemory does what the platform does on all machines until the bed is closed: it kills a process
// that exceeds limitMB of resident memory, and starts it again after a short delay. It returns a function
// that gives the number of such ends by machine.
func (b *Bed) KeepInMemory(limitMB int) (ends func() map[string]int) {
	var mu sync.Mutex
	counts := map[string]int{}
	for _, m := range b.Machines {
		go func() {
			for {
				select {
				case <-b.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := residentMB(m.Pid())
				if used <= limitMB {
					continue
				}
				mu.Lock()
				counts[m.Name]++
				n := counts[m.Name]
				mu.Unlock()
				b.Record.Add("platform: %s uses %d MB of %d, it is killed, end %d", m.Name, used, limitMB, n)
				m.Kill()
				time.Sleep(300 * time.Millisecond)
				select {
				case <-b.stop:
					return
				default:
				}
				if err := b.Start(m); err != nil {
					b.Record.Add("%s was not started again: %v", m.Name, err)
					return
				}
			}
		}()
	}
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		out := map[string]int{}
		for name, n := range counts {
			out[name] = n
		}
		return out
	}
}

var residentLine = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB$`)

// residentMB returns the resident memory of a process that this program started.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	found := residentLine.FindSubmatch(text)
	if found == nil {
		return 0
	}
	kB, _ := strconv.Atoi(string(found[1]))
	return kB >> 10
}
