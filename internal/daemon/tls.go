package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// loadTLS returns the TLS configurations of the peer listener and of calls to
// peers. Both sides must present a certificate of the CA, because peers exchange
// signing keys and bills. Both results are nil if TLS is not enabled.
func loadTLS(s settings.TLS) (server, client *tls.Config, err error) {
	if !s.Enabled() {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, nil, trace.BadParameter("/tls: %v", err)
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, nil, trace.BadParameter("/tls/ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, trace.BadParameter("/tls/ca: no certificate in %s", s.CA)
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}
	return server, client, nil
}
