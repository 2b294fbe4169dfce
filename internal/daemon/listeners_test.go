package daemon

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/httplisten"
	"github.com/hornbeamsill/hornbeamsill/internal/settings/settingstest"
)

// Guards against clients that stop in a TLS handshake and keep all connections from others, and against HTTP/2, whose
// streams would be outside of the limits.
func TestUnfinishedHandshakesMakeRoom(t *testing.T) {
	const conns = 4
	ca := settingstest.NewCA(t)
	own := ca.Settings(ca)
	metrics := &httplisten.Metrics{}
	l, err := listen("127.0.0.1:0", own, httplisten.Options{
		MaxConns: conns, Metrics: metrics, Limits: func() httplisten.Limits { return httplisten.Limits{IdleTimeout: time.Hour} },
	}, httplisten.Buffers{})
	require.NoError(t, err)
	server := serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }))
	defer server.Close()
	for _, text := range []string{"", "\x16\x03\x01", "", "GET / HTTP/1.1\r\n", ""} {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
	}
	_, trusted, err := loadTLS(own)
	require.NoError(t, err)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: trusted.RootCAs}, ForceAttemptHTTP2: true, DisableKeepAlives: true,
	}}
	require.Eventually(t, func() bool {
		answer, err := client.Get("https://" + l.Addr().String())
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		proto, err := io.ReadAll(answer.Body)
		return err == nil && string(proto) == "HTTP/1.1"
	}, 20*time.Second, 100*time.Millisecond)
	require.Positive(t, metrics.Evicted.Load())
}
