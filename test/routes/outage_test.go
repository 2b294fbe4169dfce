package routes_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// outageDaemon is a daemon that reaches the store through a proxy of its own.
type outageDaemon struct {
	*daemon
	store *cluster.Proxy
}

// isReader reports whether a daemon reads the store for the others.
func (s *testbed) isReader(d *daemon) bool {
	var vars struct {
		Reader bool `json:"reader"`
	}
	s.readVars(d, &vars)
	return vars.Reader
}

// Guards against configurations that are not in force in time after an outage of the store that ends for
// some daemons only: those that it serves wait for others that it does not serve yet.
func TestConfigurationIsInForceAfterAnOutageThatEndsInPart(t *testing.T) {
	const daemons, bound = 6, 2 * time.Second
	for name, c := range map[string]struct {
		// refused is set if the store refuses connections, and is silent otherwise.
		refused bool
		outage  time.Duration
		// served reports whether the daemon is served after the outage. others is the number of other daemons
		// without the readers that come before it.
		served func(reader bool, others int) bool
	}{
		"silent, all but the readers":          {outage: 2900 * time.Millisecond, served: func(reader bool, _ int) bool { return !reader }},
		"silent, one daemon":                   {outage: 2900 * time.Millisecond, served: func(reader bool, others int) bool { return !reader && others == 0 }},
		"silent, longer, one daemon":           {outage: 9 * time.Second, served: func(reader bool, others int) bool { return !reader && others == 1 }},
		"silent, the readers":                  {outage: 2900 * time.Millisecond, served: func(reader bool, _ int) bool { return reader }},
		"refused, one daemon":                  {refused: true, outage: 3 * time.Second, served: func(reader bool, others int) bool { return !reader && others == 0 }},
		"refused, longer, all but the readers": {refused: true, outage: 9 * time.Second, served: func(reader bool, _ int) bool { return !reader }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService, Slots: 50})
			var all []outageDaemon
			for range daemons {
				proxy, err := cluster.NewProxy(s.storeAddress)
				require.NoError(t, err)
				t.Cleanup(proxy.Close)
				d := s.startDaemon(func(r *settings.Routes) { r.Platform = proxy.Address() })
				s.waitReady(d)
				all = append(all, outageDaemon{d, proxy})
			}
			<-time.After(2 * time.Second)
			for _, d := range all {
				if c.refused {
					d.store.Cut()
				} else {
					require.NoError(t, d.store.Blackhole("downstream"))
				}
			}
			<-time.After(c.outage)
			others := 0
			for _, d := range all {
				reader := s.isReader(d.daemon)
				served := c.served(reader, others)
				if !reader {
					others++
				}
				switch {
				case served && c.refused:
					require.NoError(t, d.store.Restore())
				case served:
					d.store.RemoveToxics()
				}
			}
			next := newManifest(4)
			next.Tenants = next.Tenants[1:]
			s.store.PutManifest(next)
			until := time.Now().Add(bound)
			<-time.After(time.Until(until))
			for _, d := range all {
				// A daemon that has the configuration, but does not know that it is the newest, refuses with 503.
				r := s.send(s.newCall(pathSafe), d.daemon)
				require.NoError(t, r.Err)
				require.Contains(t, []int{http.StatusUnauthorized, http.StatusServiceUnavailable}, r.Status, "%s, reader=%v: %s", d.Name, s.isReader(d.daemon), r.Body)
			}
		})
	}
}
