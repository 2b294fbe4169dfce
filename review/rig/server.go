//go:build review

package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// Answer is how a server answers a request that it runs.
type Answer struct {
	// Unframed answers have no length and end with their connection.
	Unframed bool
	// Again makes the server send the answer a second time, late: where the next answer on the
	// connection is expected.
	Again bool
	// Noise makes the server send bytes that are no answer until the connection is closed.
	Noise bool
}

// Server is a plain server.
type Server struct {
	ID, Service string
	Slots       int
	// Work is how long a request takes.
	Work time.Duration
	// Answer decides how an answer is sent. status is the status of the answer.
	Answer func(status int) Answer

	record   *Record
	listener net.Listener
	ended    chan struct{}
	// running is the number of requests at work, and noisy that of connections with noise.
	running, noisy atomic.Int64

	mu sync.Mutex
	// runs counts the runs by request.
	runs map[string]int
}

// NewServer starts a server on a free loopback port.
func NewServer(record *Record, id, service string, slots int, work time.Duration, answer func(status int) Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Slots: slots, Work: work, Answer: answer, record: record, listener: l, ended: make(chan struct{}), runs: map[string]int{}}
	go s.accept()
	return s, nil
}

// Address returns host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server.
func (s *Server) Close() {
	close(s.ended)
	_ = s.listener.Close()
}

// Runs returns how often a request has run.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve serves one request at a time on a connection.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(wire.HeaderRequestID)
		expected := r.Header.Get(wire.HeaderExpectInstance)
		misdirected := expected != "" && expected != s.ID
		if !misdirected {
			s.begin(id, r)
		}
		if late != nil {
			s.record.Add("server %s sends an answer of before once more, while it works on %s", s.ID, id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		text, status := s.misdirectedText(id), http.StatusMisdirectedRequest
		var how Answer
		if !misdirected {
			time.Sleep(s.Work)
			status = http.StatusOK
			how = s.Answer(status)
			text = s.answerText(id, how)
			s.running.Add(-1)
		} else {
			how = s.Answer(status)
			s.record.Add("server %s answers a status check with 421", s.ID)
		}
		if how.Noise {
			s.sendNoise(c, id)
			return
		}
		if _, err := c.Write([]byte(text)); err != nil || how.Unframed && !misdirected {
			return
		}
		if how.Again {
			late = []byte(text)
		}
	}
}

// noiseBytes is sent every noiseInterval: 1,000 Mbit/s for the whole server, as its link has.
const (
	noiseInterval = 8 * time.Millisecond
	noiseBytes    = 1000_000_000 / 8 / 125
)

// sendNoise sends bytes that are no answer until the connection is closed.
func (s *Server) sendNoise(c net.Conn, id string) {
	s.record.Add("server %s sends bytes that are no answer to %s", s.ID, id)
	s.noisy.Add(1)
	defer s.noisy.Add(-1)
	noise := bytes.Repeat([]byte("\xa5"), noiseBytes)
	total := 0
	for {
		n, err := c.Write(noise[:noiseBytes/int(max(s.noisy.Load(), 1))])
		total += n
		if err != nil {
			s.record.Add("server %s has sent %d bytes that are no answer to %s", s.ID, total, id)
			return
		}
		time.Sleep(noiseInterval)
	}
}

func (s *Server) begin(id string, r *http.Request) {
	s.running.Add(1)
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.record.Add("server %s runs %s (%s %s), run %d here", s.ID, id, r.Method, r.RequestURI, n)
}

// misdirectedText is the answer to a request that is for another server. X-Request-Id is echoed if the
// request has one.
func (s *Server) misdirectedText(id string) string {
	echo := ""
	if id != "" {
		echo = wire.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", echo, wire.HeaderNotExecuted, wire.HeaderInstance, s.ID)
}

// Body returns the body of the answer to a request.
func (s *Server) Body(id string) string {
	return "answer of " + s.ID + " to " + id + strings.Repeat(".", 800)
}

func (s *Server) answerText(id string, how Answer) string {
	body := s.Body(id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %x\r\n%s: %s\r\n%s: %d,0,%d\r\n", wire.HeaderRequestID, id, wire.HeaderSeal, len(body),
		wire.HeaderInstance, s.ID, wire.HeaderLoad, s.running.Load(), s.Slots)
	if how.Unframed {
		return head + "Connection: close\r\n\r\n" + body
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}
