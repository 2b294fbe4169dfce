package daemon

import (
	"context"
	"crypto/tls"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/settings/settingstest"
)

// Guards against a host on the network that gets signing keys from a daemon
// without a certificate, or with a certificate of another CA. The peer listener
// answers only clients with a certificate of the configured CA.
func TestPeerListenerRequiresCertificateOfCA(t *testing.T) {
	ours, theirs := settingstest.NewCA(t), settingstest.NewCA(t)
	server, own, err := loadTLS(ours.Settings(ours))
	require.NoError(t, err)
	_, foreign, err := loadTLS(theirs.Settings(ours))
	require.NoError(t, err)
	_, wrongRoot, err := loadTLS(ours.Settings(theirs))
	require.NoError(t, err)
	node := NewNode(settings.Defaults(), backing.NewMemory(), clockwork.NewFakeClock())
	listener, err := peer.Listen("127.0.0.1:0", server, node, peer.Limits{})
	require.NoError(t, err)
	defer listener.Close()
	for name, c := range map[string]struct {
		config   *tls.Config
		answered bool
	}{
		"peer":                {own, true},
		"no certificate":      {&tls.Config{RootCAs: own.RootCAs}, false},
		"foreign certificate": {foreign, false},
		"server not trusted":  {wrongRoot, false},
		"no encryption":       {nil, false},
	} {
		client := peer.NewClient(c.config)
		_, err := client.Heartbeat(context.Background(), listener.Address(), peer.Heartbeat{})
		require.Equal(t, c.answered, err == nil, "%s: %v", name, err)
		client.Close()
	}
	_, _, err = loadTLS(settings.TLS{Cert: "missing", Key: "missing", CA: "missing"})
	require.ErrorContains(t, err, "/tls")
}
