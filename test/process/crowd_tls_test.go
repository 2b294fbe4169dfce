package process_test

import (
	"crypto/tls"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/settings/settingstest"
	"github.com/hornbeamsill/hornbeamsill/test/crowd"
)

// trustCA makes the clients of the test trust an authority until the test ends.
func trustCA(t *testing.T, ca *settingstest.CA) *tls.Config {
	t.Helper()
	config := &tls.Config{RootCAs: ca.Roots()}
	transport := http.DefaultTransport
	trusting := transport.(*http.Transport).Clone()
	trusting.TLSClientConfig = config
	http.DefaultTransport = trusting
	t.Cleanup(func() { http.DefaultTransport = transport })
	return config.Clone()
}

// Guards against clients over TLS that use up the memory or the descriptors, with or without a whole handshake.
func TestCrowdOverTLS(t *testing.T) {
	head := chatHead()
	end := "Content-Length: 100\r\n\r\n"
	// helloStart is the beginning of a record of 16 KB with a greeting of a client.
	const helloStart = "\x16\x03\x01\x40\x00\x01\x00\x3f\xfc\x03\x03"
	for name, c := range map[string]struct {
		crowdCase
		tls bool
	}{
		"silent":           {crowdCase{2500, crowd.SendNothing}, false},
		"half a handshake": {crowdCase{2500, crowd.Send(helloStart)}, false},
		"long handshakes":  {crowdCase{1000, crowd.Send(helloStart + string(make([]byte, 16_000)))}, false},
		"no requests":      {crowdCase{1000, crowd.SendNothing}, true},
		"legal heads":      {crowdCase{600, crowd.Send(head + crowd.ShortFields(15_500) + end)}, true},
		"bodies":           {crowdCase{250, crowd.SendBody(head, crowdBodyBytes, crowdBodyBytes-1000, 1000)}, true},
		"a byte at a time": {crowdCase{1000, crowd.SendSlowly(head+crowd.ShortFields(10_000), 200*time.Millisecond)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			ca := settingstest.NewCA(t)
			config := trustCA(t, ca)
			config.ServerName = "127.0.0.1"
			s := newLonePlatform(t)
			s.Settings.TLS = ca.Settings(ca)
			s.startAll(1, nil)
			d := s.Daemons[0]
			address := hostOf(t, d.CallerURL)
			s.faceCrowd(d, func() func() {
				if c.tls {
					return crowd.StartTLS(c.conns, address, config, c.client)
				}
				return crowd.Start(c.conns, address, c.client)
			})
		})
	}
}
