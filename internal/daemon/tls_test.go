package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// testCA is a certificate authority that issues certificates for 127.0.0.1.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &testCA{t: t, cert: cert, key: key}
}

// settings writes a new certificate of this CA to files, and returns TLS settings
// with it that trust certificates of ca.
func (a *testCA) settings(ca *testCA) settings.TLS {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	dir := a.t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return settings.TLS{
		Cert: write("cert.pem", "CERTIFICATE", der),
		Key:  write("key.pem", "EC PRIVATE KEY", keyDER),
		CA:   write("ca.pem", "CERTIFICATE", ca.cert.Raw),
	}
}

// Guards against a host on the network that gets signing keys from a daemon
// without a certificate, or with a certificate of another CA. The peer listener
// answers only clients with a certificate of the configured CA.
func TestPeerListenerRequiresCertificateOfCA(t *testing.T) {
	ours, theirs := newTestCA(t), newTestCA(t)
	server, own, err := loadTLS(ours.settings(ours))
	require.NoError(t, err)
	_, foreign, err := loadTLS(theirs.settings(ours))
	require.NoError(t, err)
	_, wrongRoot, err := loadTLS(ours.settings(theirs))
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
