package entry

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"github.com/hornbeamsill/hornbeamsill/internal/eventlog"
)

// outboundDivisor is the divisor of the descriptors that gives how many calls of other daemons may need a connection of
// this one at once, at least minOutbound.
const (
	outboundDivisor = 20
	minOutbound     = 16
)

// outboundCalls bounds the calls of other daemons for which this one calls the store or instances. While these do not
// answer, each such call keeps a connection and its memory.
type outboundCalls struct {
	// slots has a slot for each call; nil means no limit.
	slots   *semaphore.Weighted
	logs    *eventlog.Log
	refused atomic.Int64
}

func newOutboundCalls(descriptors int) *outboundCalls {
	o := &outboundCalls{logs: eventlog.New("listener", "peers")}
	if descriptors > 0 {
		o.slots = semaphore.NewWeighted(int64(max(descriptors/outboundDivisor, minOutbound)))
	}
	return o
}

// begin begins a call, unless there are too many. The caller calls end after it.
func (o *outboundCalls) begin(method string) (ok bool) {
	if o.slots == nil || o.slots.TryAcquire(1) {
		return true
	}
	o.refused.Add(1)
	o.logs.Note("peer.call_refused", 1, "method", method)
	return false
}

func (o *outboundCalls) end() {
	if o.slots != nil {
		o.slots.Release(1)
	}
}
