package daemon

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/httpbody"
	"github.com/hornbeamsill/hornbeamsill/internal/httplisten"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

const (
	// headerTimeout bounds the time to read the head of a request, and idleTimeout the pause between two requests.
	headerTimeout = 10 * time.Second
	idleTimeout   = 5 * time.Minute
	// bodyTimeout is the time in which a caller must send its body. A body of 10 MB takes 8 s on a
	// link of 10 Mbit/s.
	bodyTimeout = 30 * time.Second

	// The divisors of the memory that give the budgets for bodies of callers and of operators with what is decoded
	// from them, for heads of requests, and for bytes that were not read yet.
	callerBodyDivisor   = 3
	operatorBodyDivisor = 8
	callerHeadDivisor   = 16
	operatorHeadDivisor = 64
	unreadDivisor       = 16
	// keyDivisor is the divisor of the memory that gives the budget for idempotency keys.
	keyDivisor = 4
	// maxOperatorBody is more than the longest object that the store takes.
	maxOperatorBody = 10 << 20

	// reservedDescriptors are for files, peers, the store and upstreams' control calls, callerFraction is the
	// fraction of the others for callers' connections, and operatorDivisor the divisor that gives operators'.
	reservedDescriptors = 300
	callerFraction      = 0.6
	operatorDivisor     = 20
	// peerDivisor is the divisor of the descriptors that gives the number of connections of other daemons, and
	// messageDivisor that of the memory for the budget of their long messages.
	peerDivisor    = 10
	messageDivisor = 16
	// operatorReceiveBuffer is the size of the kernel's receive buffer of an operator's connection.
	operatorReceiveBuffer = 64 << 10
)

// clientMetrics counts what clients were refused.
type clientMetrics struct {
	callers, operators httplisten.Metrics
	// bodies counts bodies for which there was no memory.
	bodies atomic.Int64
}

func (n *Node) callerBodies() httpbody.Receiver {
	return httpbody.Receiver{
		MaxBytes: n.settings.Limits.MaxBodyBytes, Timeout: bodyTimeout, Refused: &n.clients.bodies,
		Memory: limit.NewByteBudget(n.settings.Limits.MemoryMB << 20 / callerBodyDivisor),
	}
}

func (n *Node) operatorBodies() httpbody.Receiver {
	return httpbody.Receiver{
		MaxBytes: maxOperatorBody, Timeout: bodyTimeout, Refused: &n.clients.bodies,
		Memory: limit.NewByteBudget(n.settings.Limits.MemoryMB << 20 / operatorBodyDivisor),
	}
}

// peerLimits returns the limits of the listener for other daemons.
func peerLimits(l settings.Limits) peer.Limits {
	return peer.Limits{MaxConns: l.Descriptors / peerDivisor, MessageBytes: l.MemoryMB << 20 / messageDivisor}
}

// callerListener returns the options of the listener for callers and the sizes of its buffers.
func (n *Node) callerListener() (httplisten.Options, httplisten.Buffers) {
	l := n.settings.Limits
	conns, memory := int(callerFraction*float64(l.Descriptors-reservedDescriptors)), l.MemoryMB<<20
	return httplisten.Options{
		Name: "callers", MaxConns: conns, HeadMemory: limit.NewHeldBytes(memory / callerHeadDivisor),
		Metrics: &n.clients.callers, Limits: n.listenLimits,
	}, httplisten.Buffers{Receive: httplisten.ReceiveBuffer(memory/unreadDivisor, conns)}
}

// operatorListener returns the options of the listener for operators and the sizes of its buffers.
func (n *Node) operatorListener() (httplisten.Options, httplisten.Buffers) {
	l := n.settings.Limits
	return httplisten.Options{
		Name: "operators", MaxConns: l.Descriptors / operatorDivisor, HeadMemory: limit.NewHeldBytes(l.MemoryMB << 20 / operatorHeadDivisor),
		Metrics: &n.clients.operators, Limits: n.listenLimits,
	}, httplisten.Buffers{Receive: operatorReceiveBuffer}
}

func (n *Node) listenLimits() httplisten.Limits {
	return httplisten.Limits{HeaderBytes: n.settings.Limits.MaxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// listen listens on an address, with TLS if it is enabled. HTTP/2 is not offered: its streams and header tables would be
// no part of the limits.
func listen(address string, t settings.TLS, o httplisten.Options, b httplisten.Buffers) (net.Listener, error) {
	l, err := httplisten.Listen(address, b)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if t.Enabled() {
		certificate, err := tls.LoadX509KeyPair(t.Cert, t.Key)
		if err != nil {
			return nil, trace.BadParameter("/tls: %v", err)
		}
		l = tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{certificate}, NextProtos: []string{"http/1.1"}})
	}
	return httplisten.New(l, o), nil
}

// serve serves h on l in a goroutine.
func serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h}
	httplisten.Track(server, func(http.Header) string { return "" })
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("listener.failed", "address", l.Addr(), "error", err)
		}
	}()
	return server
}
