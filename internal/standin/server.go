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

// Serve listens on address and serves handler in the background. Port 0 picks a free port.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: listener, http: &http.Server{Handler: handler}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }

// handlerProvider is a stand-in with an HTTP interface.
type handlerProvider interface{ Handler() http.Handler }
