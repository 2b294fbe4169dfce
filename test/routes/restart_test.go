package routes_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// pressured puts the contract in force under which daemons ask engines for their state.
func pressured(r *settings.Routes) { r.Contracts = []string{wire.ContractPressure} }

// Guards against a fleet that has forgotten after a restart what engines cache. All daemons are
// killed and started again; within two seconds, each of them must send a prompt to the one engine
// that says it caches its parts, must have asked each engine only once between them, and must not
// wait for an engine that does not answer. A daemon that joins later learns it from its peers.
func TestRestartedFleetFindsCachedPrompts(t *testing.T) {
	s := newTestbed(t)
	const engines = 6
	// Each engine caches the parts of one prompt.
	parts := func(engine int) (first, second string) { return fmt.Sprintf("a%d", engine), fmt.Sprintf("b%d", engine) }
	for i := range engines {
		first, second := parts(i)
		state := &platformtest.EngineState{Running: 1, Held: []platformtest.HeldPart{{ID: first, Tokens: 4000, Model: "large"}, {ID: second, Tokens: 4000, Model: "large"}}}
		s.startServer(platformtest.ServerOptions{ID: fmt.Sprint("engine-", i), Service: engineService, Delay: time.Millisecond, Events: 3, Engine: state})
	}
	silent := s.startServer(platformtest.ServerOptions{ID: "silent", Service: engineService, Delay: time.Millisecond, Events: 3, Engine: &platformtest.EngineState{Hang: true}})
	ports := make([]string, 3)
	for i := range ports {
		ports[i] = s.startDaemon(func(r *settings.Routes) {
			pressured(r)
			r.PeerListen = addressOfItsOwn
		}).peerAddress
	}
	for _, d := range s.daemons {
		s.waitForLog(d, "survey.done")
		d.Kill()
	}
	asked := func(server *platformtest.Server) [2]int {
		return [2]int{server.Asked(wire.PathEngineReport), server.Asked(wire.PathCacheList)}
	}
	before := map[string][2]int{}
	for id, server := range s.servers {
		before[id] = asked(server)
	}

	s.daemons = nil
	startedAt := time.Now()
	for i := range ports {
		s.startDaemon(func(r *settings.Routes) {
			pressured(r)
			r.Seeds, r.PeerListen = ports, ports[i]
		})
	}
	next := 0
	// requireFinds requires that a daemon sends a new prompt of each kind to the engine that caches
	// it. It is called once for each daemon: an engine that gets a prompt caches it from then on.
	requireFinds := func(d *daemon) {
		for i := range engines {
			c := s.newCall(pathStream)
			first, second := parts(i)
			next++
			c.Model, c.Prompt = "large", fmt.Sprintf("%s:4000,%s:4000,c%d:500", first, second, next)
			require.NoError(t, s.send(c, d).Err)
			require.Equal(t, []string{fmt.Sprint("engine-", i)}, s.serversThatRan(c.ID), d.Log())
		}
	}
	awaitSurvey := func(d *daemon) {
		s.eventually(func() error {
			v := s.surveyCounts(d)
			if v.Asked+v.Received == len(s.servers) && platformtest.Ready(context.Background(), s.client, d.readyAddress) {
				return nil
			}
			return trace.Errorf("%s knows of %+v\n%s", d.Name, v, d.Log())
		})
	}
	for _, d := range s.daemons {
		awaitSurvey(d)
	}
	took := time.Since(startedAt)
	t.Logf("all daemons know the engines after %v", took)
	require.Less(t, took, 2*time.Second)
	for _, d := range s.daemons {
		requireFinds(d)
		s.waitForDirectory(d, len(s.daemons))
	}
	joined := s.startDaemon(pressured)
	awaitSurvey(joined)
	requireFinds(joined)
	require.Zero(t, s.surveyCounts(joined).Asked)
	for id, server := range s.servers {
		now := asked(server)
		require.Equal(t, before[id][0]+1, now[0], id)
		if server != silent {
			require.Equal(t, before[id][1]+1, now[1], id)
		}
	}
}

// surveyCounts returns how many engines a daemon has asked, and of how many others told it.
func (s *testbed) surveyCounts(d *daemon) (counts struct{ Asked, Received int }) {
	s.t.Helper()
	var vars struct {
		Survey struct{ Asked, Received int } `json:"survey"`
	}
	s.readVars(d, &vars)
	return vars.Survey
}
