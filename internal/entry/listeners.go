package entry

import (
	"net/http"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/httplisten"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

const (
	// callerSendBuffer is the size of the kernel's send buffer of a caller's connection where slow
	// callers are bounded; the kernel doubles it for its own data. It holds what a link of 200 Mbit/s
	// carries in 2.5 ms, about the longest delay between failure domains. By default, the buffer grows
	// to some MB, which count as memory of the machine but not of the process.
	callerSendBuffer = 64 << 10
	// unreadDivisor is the divisor of the memory that gives the bytes that callers may have sent and this daemon
	// has not read.
	unreadDivisor = 16
	// headDivisor and auxiliaryHeadDivisor are the divisors of the memory that give the budgets for heads of
	// callers' requests and of those to the internal listeners.
	headDivisor          = 16
	auxiliaryHeadDivisor = 64
	// reservedDescriptors are reserved for files and peers.
	reservedDescriptors = 300
	// callerFraction is the fraction of the other descriptors for callers' connections; each
	// of their requests may need a connection to an upstream instance.
	callerFraction = 0.6
	// auxiliaryDivisor is the divisor of the descriptors that gives the number of connections of an internal
	// listener, at least minAuxiliaryConns.
	auxiliaryDivisor  = 20
	minAuxiliaryConns = 16
	// peerDivisor is the divisor of the descriptors that gives the number of connections of other daemons beside
	// tunnels, and messageDivisor that of the memory for the budget of their long messages.
	peerDivisor    = 10
	messageDivisor = 16
	// auxiliaryReceiveBuffer is the size of the kernel's receive buffer of a connection to an internal listener.
	auxiliaryReceiveBuffer = 16 << 10
	// auxiliaryHeaderBytes is the longest head of a request to an internal listener.
	auxiliaryHeaderBytes = 16 << 10
)

// maxCallerConns returns how many connections callers may have open at once; 0 means no limit.
// Without a limit a flood of connections would leave no descriptors for upstream instances and
// the store, and requests in progress would fail.
func maxCallerConns(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(int(callerFraction*float64(descriptors-reservedDescriptors)), 1)
}

// maxAuxiliaryConns returns how many connections an internal listener may have open at once; 0 means no limit.
func maxAuxiliaryConns(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(descriptors/auxiliaryDivisor, minAuxiliaryConns)
}

// peerLimits returns the limits of the listener for other daemons.
func peerLimits(s settings.Routes) peer.Limits {
	limits := peer.Limits{MessageBytes: s.MemoryMB << 20 / messageDivisor}
	if s.Descriptors > 0 {
		limits.MaxConns = tunnelLimit(s) + s.Descriptors/peerDivisor
	}
	return limits
}

// listenCallers serves callers and returns the address.
func (p *Process) listenCallers() (string, error) {
	conns, memory := maxCallerConns(p.settings.Descriptors), p.settings.MemoryMB<<20
	buffers := httplisten.Buffers{Receive: httplisten.ReceiveBuffer(memory/unreadDivisor, conns)}
	if p.node.overload.SlowCallers() {
		buffers.Send = callerSendBuffer
	}
	l, err := httplisten.Listen(p.settings.CallerListen, buffers)
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.callerListener = httplisten.New(l, httplisten.Options{
		Name: "callers", MaxConns: conns, HeadMemory: limit.NewHeldBytes(memory / headDivisor), Metrics: &p.callerMetrics,
		Limits: func() httplisten.Limits {
			declared := p.node.limits()
			return httplisten.Limits{HeaderBytes: declared.HeaderBytes, HeaderTimeout: declared.HeaderTimeout, IdleTimeout: declared.IdleTimeout}
		},
	})
	httplisten.Track(p.callers, p.node.codec.RequestID)
	return serve(p.callers, p.callerListener), nil
}

// listenAuxiliary serves one of the internal interfaces and returns its address. It does
// nothing if address is empty.
func (p *Process) listenAuxiliary(name, address string, handler http.Handler) (string, error) {
	if address == "" {
		return "", nil
	}
	server := &http.Server{Handler: handler}
	p.auxiliary = append(p.auxiliary, server)
	l, err := httplisten.Listen(address, httplisten.Buffers{Receive: auxiliaryReceiveBuffer})
	if err != nil {
		return "", trace.Wrap(err)
	}
	limits := httplisten.Limits{HeaderBytes: auxiliaryHeaderBytes}
	httplisten.Track(server, func(http.Header) string { return "" })
	return serve(server, httplisten.New(l, httplisten.Options{
		Name: name, MaxConns: maxAuxiliaryConns(p.settings.Descriptors), HeadMemory: p.auxiliaryHeads, Metrics: &p.auxiliaryMetrics,
		Limits: func() httplisten.Limits { return limits },
	})), nil
}
