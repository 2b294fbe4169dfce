package entry

import (
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// newTestNode returns a daemon whose loops do not run and whose store is unreachable unless
// change sets another one. change modifies the settings and may be nil.
func newTestNode(clock clockwork.Clock, change func(*settings.Routes)) *Node {
	r := settings.Routes{
		Instance: "self", FailureDomain: "a", Site: "s", Platform: "127.0.0.1:1", PeerListen: "127.0.0.1:1",
		SessionS: 5, StopS: 8, DrainMS: 3000, MemoryMB: 64, ExposureShare: 0.15, RetryWindowS: 10,
	}
	if change != nil {
		change(&r)
	}
	return NewNode(r, clock, platform.NewStore(r.Platform), platform.HeaderCodec{}, upconn.NewDialer())
}
