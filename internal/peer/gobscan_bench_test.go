package peer

import (
	"fmt"
	"testing"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
)

// BenchmarkGobScan measures the scan of a heartbeat with 300 changes of the membership.
func BenchmarkGobScan(b *testing.B) {
	var news []member.Daemon
	for i := range 300 {
		news = append(news, member.Daemon{
			Incarnation: fmt.Sprintf("entry-%d/1234567890123456", i), PeerAddress: "10.100.200.30:8229", CallerURL: "http://10.100.200.30:8227",
			FailureDomain: "a-failure-domain", Site: "a-site", LinkMbps: 1000, Started: 1_800_000_000_000,
		})
	}
	stream := []byte(encoded(b, RoutesHeartbeat{News: news}))
	for b.Loop() {
		var s gobScanner
		if _, err := scanAll(&s, stream); err != nil {
			b.Fatal(err)
		}
	}
	b.SetBytes(int64(len(stream)))
}
