//go:build review

package rig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// StreamServer is a server of streams. It runs as a process of its own, so that it can be killed. Its
// answers have no length and end with their connection.
type StreamServer struct {
	ID     string
	Events int
	Pause  time.Duration
	Slots  int
}

// Event returns the text of an event.
func Event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// Serve serves at an address and never returns, but for an error. It prints what it runs.
func (s *StreamServer) Serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("listens at %s\n", l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go s.serve(c)
	}
}

func (s *StreamServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id, expected := r.Header.Get(wire.HeaderRequestID), r.Header.Get(wire.HeaderExpectInstance)
		if expected == "" || expected == s.ID {
			s.stream(c, id, r.Header.Get(wire.HeaderLastEvent))
			return
		}
		fmt.Printf("answers 421 to a request for %s\n", expected)
		echo := ""
		if id != "" {
			echo = wire.HeaderRequestID + ": " + id + "\r\n"
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", echo, wire.HeaderNotExecuted, wire.HeaderInstance, s.ID); err != nil {
			return
		}
	}
}

func (s *StreamServer) stream(c net.Conn, id, lastEvent string) {
	first := 1
	if n, err := strconv.Atoi(lastEvent); err == nil {
		first = n + 1
	}
	fmt.Printf("runs %s from event %d\n", id, first)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.%d\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		wire.HeaderRequestID, id, wire.HeaderSeal, s.Events, wire.HeaderInstance, s.ID); err != nil {
		return
	}
	for n := first; n <= s.Events; n++ {
		time.Sleep(s.Pause)
		if _, err := io.WriteString(c, Event(id, n)); err != nil {
			fmt.Printf("drops %s at event %d\n", id, n)
			return
		}
	}
	fmt.Printf("ends %s after event %d\n", id, s.Events)
}

// ServerProcess is a StreamServer as a process.
type ServerProcess struct {
	ID, Service, address string
	record               *Record
	cmd                  *exec.Cmd
	stop, done           chan struct{}
}

// heartbeat is the interval at which servers write their entry; three of them without one remove it.
const heartbeat = 1200 * time.Millisecond

// StartServer starts this program again as a server at an address, and lists it in the store with the
// address for daemons.
func (b *Bed) StartServer(id, service, address, listed string) (*ServerProcess, error) {
	p := &ServerProcess{ID: id, Service: service, address: listed, record: b.Record, stop: make(chan struct{}), done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], "serve", id, address)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.servers = append(b.servers, p)
	b.mu.Unlock()
	lines := bufio.NewScanner(out)
	if !lines.Scan() || !strings.HasPrefix(lines.Text(), "listens at") {
		_ = p.cmd.Process.Kill()
		close(p.done)
		return nil, fmt.Errorf("server %s did not start", id)
	}
	b.Record.Add("server %s starts at %s, pid %d", id, address, p.cmd.Process.Pid)
	var reading sync.WaitGroup
	reading.Go(func() {
		for lines.Scan() {
			b.Record.Add("server %s %s", id, lines.Text())
		}
	})
	go func() {
		reading.Wait()
		err := p.cmd.Wait()
		b.Record.Add("server %s ended: %v", id, err)
		close(p.done)
	}()
	go p.beat(b)
	return p, nil
}

// beat keeps the entry of the server in the store, as the server itself does, and removes it after three
// heartbeats without the server, as the store does.
func (p *ServerProcess) beat(b *Bed) {
	for sequence := 1.0; ; sequence++ {
		b.Store.Put(wire.TableInstances, p.ID, wire.Instance{Service: p.Service, Address: p.address, Zone: "hall-a", Version: "v1", Slots: 128, State: wire.StateReady, Sequence: sequence})
		select {
		case <-b.stop:
			return
		case <-p.done:
			select {
			case <-b.stop:
			case <-time.After(3 * heartbeat):
				b.Store.Remove(wire.TableInstances, p.ID)
			}
			return
		case <-time.After(heartbeat):
		}
	}
}

// Kill kills the server and waits for its end.
func (p *ServerProcess) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// StreamReply is what a client has got of a stream.
type StreamReply struct {
	Status int
	// Events are the numbers of the events, in order. Ended is set if the answer ended as complete.
	Events []int
	Ended  bool
	Err    error
}

// SendStream sends a request for a stream and reads it to its end.
func SendStream(record *Record, front string, r Request, maxPause time.Duration) StreamReply {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+front+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return StreamReply{Err: err}
	}
	req.GetBody = nil
	req.Host = r.Host
	req.Header.Set(wire.HeaderRequestID, r.ID)
	req.Header.Set(wire.HeaderCredential, r.Key)
	req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	record.Add("client sends %s (%s %s) to %s", r.ID, r.Method, r.Path, front)
	resp, err := noRetries.RoundTrip(req)
	if err != nil {
		record.Add("client gets no answer to %s: %v", r.ID, err)
		return StreamReply{Err: err}
	}
	defer resp.Body.Close()
	reply := StreamReply{Status: resp.StatusCode}
	// Clients abandon a stream after too long a gap.
	gap := time.AfterFunc(maxPause, cancel)
	defer gap.Stop()
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		gap.Reset(maxPause)
		if text, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			n, _ := strconv.Atoi(strings.TrimSpace(text))
			reply.Events = append(reply.Events, n)
		}
		if err != nil {
			reply.Ended, reply.Err = err == io.EOF, err
			break
		}
	}
	record.Add("client gets %d to %s, %d events, ended as complete %v, error %v", reply.Status, r.ID, len(reply.Events), reply.Ended, reply.Err)
	return reply
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
