//go:build review

package rig

import (
	"io"
	"net"
	"sync"
)

// Proxy is the link to a server. While it is held, no byte and no end of a connection passes, and
// connections that are opened wait; all that is held up passes afterwards.
type Proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// open is closed while bytes pass.
	open chan struct{}
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: make(chan struct{})}
	close(p.open)
	go p.accept()
	return p, nil
}

// Address returns the address for daemons.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Hold holds all up, and Release lets it pass.
func (p *Proxy) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

// Release is documented at Hold.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// Close ends the proxy.
func (p *Proxy) Close() { _ = p.listener.Close() }

func (p *Proxy) await() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(near net.Conn) {
	p.await()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		// No process listens, which resets the connection.
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	go p.pass(far, near)
	p.pass(near, far)
}

// pass copies bytes until one side ends, and then ends the other in the same way.
func (p *Proxy) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				// The connection was reset, or is closed already.
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			_ = to.Close()
			return
		}
	}
}
