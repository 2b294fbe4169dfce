// Package bareserver has an HTTP server for tests that writes its answers byte for byte and ends its connections in any
// way.
package bareserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Answer answers a request whose head has been read. body is the rest of the connection, which is closed afterwards.
type Answer func(c *net.TCPConn, r *http.Request, body io.Reader)

// Server is a server whose answers are played for some requests.
type Server struct {
	Address string
	// idHeader is the header with the ID of a request.
	idHeader string

	mu sync.Mutex
	// plays are the answers to requests by ID, played those requests that have arrived, and handled the number of the others.
	plays   map[string]Answer
	played  map[string]bool
	handled int
}

// Start starts a server that ends with the test. handler answers the requests for which nothing is played.
func Start(t testing.TB, idHeader string, handler http.HandlerFunc) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Address: listener.Addr().String(), idHeader: idHeader, plays: map[string]Answer{}, played: map[string]bool{}}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, handler) })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return s
}

// Serve starts a server that answers each request with text, and returns its address.
func Serve(t testing.TB, text string) string {
	s := Start(t, "", nil)
	s.Play("", func(c *net.TCPConn, _ *http.Request, _ io.Reader) {
		Send(c, text)
		CloseInTwoSteps(c)
	})
	return s.Address
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, handler http.HandlerFunc) {
	id := r.Header.Get(s.idHeader)
	s.mu.Lock()
	answer := s.plays[id]
	if answer != nil {
		s.played[id] = true
	} else {
		s.handled++
	}
	s.mu.Unlock()
	if answer == nil {
		handler(w, r)
		return
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	answer(conn.(*net.TCPConn), r, buffered)
}

// Play makes the server answer the request with an ID in a way of its own.
func (s *Server) Play(id string, answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plays[id] = answer
}

// HasPlayed reports whether the request with an ID has arrived and was answered by Play.
func (s *Server) HasPlayed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.played[id]
}

// Handled returns the number of requests for which nothing was played.
func (s *Server) Handled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handled
}

// Send writes text. Errors are those of a client that has closed the connection.
func Send(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// Reset closes a connection with a reset.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// CloseInTwoSteps closes the direction to the client, and the connection once the client has closed it.
func CloseInTwoSteps(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// Framing is how an answer marks the end of its body.
type Framing string

// Framings.
const (
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	ByClose  Framing = "close"
)

// Framings are all of them.
var Framings = []Framing{ByLength, ByChunks, ByClose}

// Frame returns the end of a head, and a body or its beginning. length is the length of the whole body.
func (f Framing) Frame(body string, length int) string {
	switch f {
	case ByLength:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body)
	case ByClose:
		return "\r\n" + body
	}
	text := "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	if len(body) == length {
		text += "0\r\n\r\n"
	}
	return text
}

// Whole returns the end of a head and a whole body.
func (f Framing) Whole(body string) string { return f.Frame(body, len(body)) }
