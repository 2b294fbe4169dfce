package cluster

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gravitational/trace"
)

// Binaries is a directory with the built programs.
type Binaries struct{ dir string }

// Build builds the daemon, the stand-in and the operators' tool into dir.
func Build(dir string) (Binaries, error) {
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Join(filepath.Dir(file), "..", "..")
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/hornbeamsilld", "./cmd/hornbeamsill-standin", "./cmd/hornbeamsill", "./test/faultdaemon")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, trace.Errorf("build: %v\n%s", err, out)
	}
	return Binaries{dir: dir}, nil
}

// RunTests builds the programs into a temporary directory, runs the tests of a
// package and returns the exit code.
func RunTests(m *testing.M, binaries *Binaries) int {
	dir, err := os.MkdirTemp("", "hornbeamsill")
	if err == nil {
		defer os.RemoveAll(dir)
		*binaries, err = Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Path returns the path of a program.
func (b Binaries) Path(name string) string { return filepath.Join(b.dir, name) }

// Process is a running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu  sync.Mutex
	log bytes.Buffer
}

// start runs a program and returns once it is ready, which is when onLine returns
// true. onLine is called with each line that the program prints until then.
func start(name, path string, args []string, onLine func(string) bool) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), done: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	ready := make(chan struct{})
	go p.readOutput(out, ready, onLine)
	select {
	case <-ready:
		return p, nil
	case <-p.done:
		return nil, trace.Errorf("%s exited before it was ready: %v\n%s", name, p.err, p.Log())
	case <-time.After(WaitTimeout):
		p.Kill()
		return nil, trace.Errorf("%s was not ready in time\n%s", name, p.Log())
	}
}

// StartRoutesDaemon starts a daemon for plain HTTP callers and waits until it
// listens. started is its "daemon.started" log line, in which LogField finds the
// addresses.
func (b Binaries) StartRoutesDaemon(name, settings string) (p *Process, started string, err error) {
	return startRoutesDaemon(name, b.Path("hornbeamsilld"), "--config-file", settings)
}

// StartFaultDaemon starts a daemon like StartRoutesDaemon whose connections to upstream instances
// are subject to the fault in the file FaultFile(settings).
func (b Binaries) StartFaultDaemon(name, settings string) (p *Process, started string, err error) {
	return startRoutesDaemon(name, b.Path("faultdaemon"), settings)
}

// FaultFile returns the path of the control file of a daemon that StartFaultDaemon starts.
func FaultFile(settings string) string { return settings + ".fault" }

func startRoutesDaemon(name, program string, args ...string) (p *Process, started string, err error) {
	p, err = start(name, program, args, func(line string) bool {
		if strings.Contains(line, "msg=daemon.started") {
			started = line
		}
		return started != ""
	})
	return p, started, err
}

// LogField returns the value of key=value in a log line, or "".
func LogField(line, key string) string { return logField(line, key) }

// readOutput collects what the program prints, closes ready when onLine returns
// true, and waits for the exit.
func (p *Process) readOutput(out io.Reader, ready chan struct{}, onLine func(string) bool) {
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 1<<20)
	starting := true
	for scanner.Scan() {
		p.mu.Lock()
		p.log.WriteString(scanner.Text() + "\n")
		p.mu.Unlock()
		if starting && onLine(scanner.Text()) {
			starting = false
			close(ready)
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

// Log returns what the program has printed so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the program with SIGKILL, also while it is paused, and waits for its
// exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the program with SIGSTOP until Resume. It waits until the kernel
// reports the program as stopped, because a program can still answer a call
// shortly after the signal was sent. It returns a NotFound error if the program
// has exited.
func (p *Process) Pause() error {
	p.Signal(syscall.SIGSTOP)
	ended := false
	err := Eventually(func() error {
		select {
		case <-p.done:
			// An exited program is never reported as stopped.
			ended = true
			return nil
		default:
		}
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
		if err != nil {
			return err
		}
		const stopped = ") T "
		if !strings.Contains(string(data), stopped) {
			return trace.Errorf("%s is not stopped yet", p.Name)
		}
		return nil
	})
	if ended {
		return trace.NotFound("%s has exited", p.Name)
	}
	return err
}

// Resume lets a program continue after Pause.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// HasExited reports whether the program has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the program's exit and returns the exit code, or -1 after
// WaitTimeout.
func (p *Process) Wait() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(WaitTimeout):
		return -1
	}
}

// logField returns the value of key=value in a log line, or "".
func logField(line, key string) string {
	_, rest, found := strings.Cut(line, " "+key+"=")
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}
