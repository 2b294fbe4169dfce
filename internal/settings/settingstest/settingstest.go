// Package settingstest makes certificates for the TLS settings of daemons in tests.
package settingstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// CA is a certificate authority that issues certificates for 127.0.0.1.
type CA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA returns a new authority.
func NewCA(t *testing.T) *CA {
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
	return &CA{t: t, cert: cert, key: key}
}

// Settings writes a new certificate of this CA to files, and returns TLS settings
// with it that trust certificates of ca.
func (a *CA) Settings(ca *CA) settings.TLS {
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

// Roots returns a pool with the certificate of the authority.
func (a *CA) Roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}
