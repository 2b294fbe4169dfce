package standin

import (
	"net"
	"net/http"

	"github.com/gravitational/trace"
)

// Server serves one stand-in on one address.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Serve listens on address (port 0 picks one) and serves handler.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: listener, http: &http.Server{Handler: handler}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.http.Close() }

// handlerProvider is a stand-in with an HTTP interface.
type handlerProvider interface{ Handler() http.Handler }
