//go:build review

// Package rig2 starts the project's daemons as separate processes in front of stand-ins of the
// platform's store, its servers and its callers, for the cases of this folder.
package rig2

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bounds of the users' small installations.
const (
	ContactTime     = 3 * time.Second
	ConfigApplyTime = 2 * time.Second
	HeartbeatTime   = 1200 * time.Millisecond
	MemoryMB        = 284
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &Record{file: f, begun: time.Now()}, err
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// StoreFault is how the store treats the calls of one daemon.
type StoreFault int

// Faults of the store.
const (
	// Serving executes calls.
	Serving StoreFault = iota
	// TurningAway answers 503, also to calls that wait.
	TurningAway
	// Silent never answers, also calls that wait, and executes none.
	Silent
)

// Front is the store as one daemon reaches it.
type Front struct {
	Address string
	inner   http.Handler
	server  *http.Server

	mu      sync.Mutex
	fault   StoreFault
	changed chan struct{}
	// lists has the times of the reads of the servers' table that were answered.
	lists []time.Time
}

// NewFront returns a front of a store on a free port.
func NewFront(store *platformtest.Store) (*Front, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Front{Address: l.Addr().String(), inner: store.Handler(), changed: make(chan struct{})}
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

// Set sets the fault from now on.
func (f *Front) Set(fault StoreFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Front) state() (StoreFault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.changed
}

// ListsSince counts the answered reads of the servers' table since a time.
func (f *Front) ListsSince(t time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.lists {
		if at.After(t) {
			n++
		}
	}
	return n
}

// answer is a response that is kept until it may be sent.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault, changed := f.state()
	if fault != Serving {
		f.fail(w, r, fault)
		return
	}
	a := &answer{header: http.Header{}, status: http.StatusOK}
	done := make(chan struct{})
	inner := r.Clone(r.Context())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	go func() {
		defer close(done)
		// The store's stand-in aborts a call whose caller has gone.
		defer func() { _ = recover() }()
		f.inner.ServeHTTP(a, inner)
	}()
	for {
		select {
		case <-done:
			for name, values := range a.header {
				w.Header()[name] = values
			}
			if r.URL.Query().Get("table") == wire.TableInstances && a.status == http.StatusOK {
				f.mu.Lock()
				f.lists = append(f.lists, time.Now())
				f.mu.Unlock()
			}
			w.WriteHeader(a.status)
			_, _ = w.Write(a.body.Bytes())
			return
		case <-changed:
			if fault, changed = f.state(); fault != Serving {
				f.fail(w, r, fault)
				return
			}
		}
	}
}

func (f *Front) fail(w http.ResponseWriter, r *http.Request, fault StoreFault) {
	if fault == TurningAway {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":"try later"}`)
		return
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// Daemon is a running daemon.
type Daemon struct {
	Name, Callers, Ready, Directory, Peers string
	Front                                  *Front
	settings                               string
	log                                    *os.File
	cmd                                    *exec.Cmd
	ended                                  atomic.Bool
	done                                   chan struct{}
}

// Rig is a store, servers and daemons.
type Rig struct {
	Store   *platformtest.Store
	Daemons []*Daemon
	Client  *http.Client
	program string
	dir     string
	servers []*platformtest.Server
	stops   []func()
	silent  atomic.Bool
}

// New returns a rig without daemons. program is the daemon's program, and dir a folder for files.
func New(program, dir string) *Rig {
	return &Rig{
		Store: platformtest.NewStore(), program: program, dir: dir,
		Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second},
	}
}

// StartServer starts a server and writes its row in the store at each heartbeat.
func (r *Rig) StartServer(o platformtest.ServerOptions) *platformtest.Server {
	s := platformtest.NewServer(o)
	r.servers = append(r.servers, s)
	s.Register(r.Store, wire.StateReady)
	return s
}

// Beat writes the rows of all servers at each heartbeat, but while the store is silent.
func (r *Rig) Beat() {
	stop := make(chan struct{})
	r.stops = append(r.stops, func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(HeartbeatTime):
			}
			for _, s := range r.servers {
				if !r.silent.Load() {
					s.Register(r.Store, wire.StateReady)
				}
			}
		}
	}()
}

// SetSilent sets whether the servers and the operator reach the store.
func (r *Rig) SetSilent(silent bool) { r.silent.Store(silent) }

// Daemons listen on ports below those that the kernel gives to outgoing connections, so that none of
// these takes a port before its daemon has started.
const firstPort, ports = 20000, 12000

var givenPorts = map[int]bool{}

// freeAddress returns an address that is free, and that it has not returned before.
func freeAddress() (string, error) {
	for range ports {
		port := firstPort + rand.IntN(ports)
		if givenPorts[port] {
			continue
		}
		givenPorts[port] = true
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no port is free")
}

// StartDaemons starts n daemons with the settings that deploy/daemon.jsonc gives them on a small
// installation.
func (r *Rig) StartDaemons(n int, zones []string) error {
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "tbilisi"
	}
	var seeds []string
	for i := range n {
		front, err := NewFront(r.Store)
		if err != nil {
			return err
		}
		d := &Daemon{Name: fmt.Sprintf("edge-%d", i+1), Front: front}
		for _, a := range []*string{&d.Callers, &d.Ready, &d.Directory, &d.Peers} {
			if *a, err = freeAddress(); err != nil {
				return err
			}
		}
		r.Daemons = append(r.Daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.Peers)
		}
	}
	for i, d := range r.Daemons {
		settings := map[string]any{"log_level": "info", "routes": map[string]any{
			"instance": d.Name, "failure_domain": zones[i%len(zones)], "site": "tbilisi", "failure_domains": zoneMap,
			"caller_listen": d.Callers, "ready_listen": d.Ready, "directory_listen": d.Directory, "peer_listen": d.Peers,
			"metrics_listen": "127.0.0.1:0", "seeds": seeds, "platform": d.Front.Address,
			"memory_mb": MemoryMB, "descriptors": 4100, "link_mbps": 1000.0, "cpu_share": 0.4,
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
			"session_s": 5, "stop_s": 8, "drain_ms": 2000, "exposure_share": 0.15,
			"retry_ratio": 0.9, "retry_slack": 56, "retry_window_s": 10,
		}}
		text, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		d.settings = filepath.Join(r.dir, d.Name+".json")
		if err := os.WriteFile(d.settings, text, 0o600); err != nil {
			return err
		}
		if err := r.Start(d); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of a daemon.
func (r *Rig) Start(d *Daemon) error {
	var err error
	if d.log, err = os.OpenFile(filepath.Join(r.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	d.cmd = exec.Command(r.program, "--config-file", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.ended.Store(false)
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done, cmd, log := make(chan struct{}), d.cmd, d.log
	d.done = done
	go func() {
		_ = cmd.Wait()
		d.ended.Store(true)
		log.Close()
		close(done)
	}()
	return nil
}

// Pid returns the ID of the daemon's process.
func (d *Daemon) Pid() int { return d.cmd.Process.Pid }

// Kill ends the process of a daemon at once.
func (d *Daemon) Kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.done
}

// AwaitReady waits until all daemons are ready.
func (r *Rig) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range r.Daemons {
		for {
			resp, err := r.Client.Get("http://" + d.Ready + wire.PathReady)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and stand-ins.
func (r *Rig) Close() {
	for _, stop := range r.stops {
		stop()
	}
	for _, d := range r.Daemons {
		if d.cmd != nil && !d.ended.Load() {
			d.Kill()
		}
		_ = d.Front.server.Close()
	}
	for _, s := range r.servers {
		s.Close()
	}
}

// Main runs a case: it makes a temporary folder, and exits with the status that the case returns.
func Main(run func(rig *Rig, record *Record, trouble bool) (status int, err error)) {
	os.Exit(runMain(run))
}

func runMain(run func(rig *Rig, record *Record, trouble bool) (status int, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case DAEMON FOLDER")
		return NotRun
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	keep := os.Getenv("KEEP_LOGS") != ""
	rig := New(os.Args[1], dir)
	defer func() {
		rig.Close()
		if !keep {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println(dir)
		}
	}()
	status, err := run(rig, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	return status
}
