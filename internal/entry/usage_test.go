package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// newUsageFleet returns daemons that know each other, answer calls on loopback, and exchange usage
// if the mode says so. The first daemon takes the role of the reader in these tests.
func newUsageFleet(t *testing.T, clock clockwork.Clock, n int, mode overload.Mode) []*servedNode {
	t.Helper()
	var nodes []*servedNode
	var all []member.Daemon
	for i := range n {
		node := newTestNode(clock, func(r *settings.Routes) {
			setSplitDomain(i, r)
			r.Overload.FairShares, r.Overload.Admission = mode, overload.Off
		})
		nodes = append(nodes, serveNode(t, node))
		all = append(all, node.registry.Self())
	}
	for _, node := range nodes {
		node.registry.Merge(all)
	}
	return nodes
}

// Guards against usage that does not reach all daemons within two rounds of a reader, that is sent
// more often than once a second, or that is asked for at a wrong time.
func TestUsageReachesAllDaemons(t *testing.T) {
	clock := clockwork.NewFakeClock()
	nodes := newUsageFleet(t, clock, 4, overload.On)
	reader := nodes[0]
	for i, n := range nodes {
		n.meter.Arrived("s", fmt.Sprint("org-", i), 1)
	}
	reader.sendFleetWork(t.Context(), 0)
	require.Zero(t, nodes[1].account.Daemons(), "a new reader knows nothing yet")
	for range 30 {
		clock.Advance(workInterval)
		reader.sendFleetWork(t.Context(), 0)
	}
	require.EqualValues(t, 3, reader.usage.counters.sent.Load())
	for _, n := range nodes {
		require.Equal(t, 4, n.account.Daemons())
		require.Len(t, n.account.Organisations("s"), 4)
		require.True(t, n.account.Service("s").Known)
		require.LessOrEqual(t, n.account.Service("s").Age, time.Second)
	}
	require.EqualValues(t, 4, nodes[1].usage.counters.reported.Load())

	other := nodes[2]
	other.sendFleetWork(t.Context(), 0)
	clock.Advance(workInterval)
	other.sendFleetWork(t.Context(), 0)
	require.EqualValues(t, 1, other.usage.counters.sent.Load(), "another daemon becomes the reader")
	require.Equal(t, 4, nodes[1].account.Daemons())
}

// Guards against usage that does not reach the other failure domains of a large fleet within two
// seconds, that is counted twice, and against a damaged message that changes the account.
func TestUsageReachesAllDomains(t *testing.T) {
	const n = maxFleetWorkGroup + 10
	clock := clockwork.NewFakeClock()
	nodes := newUsageFleet(t, clock, n, overload.On)
	for i, node := range nodes {
		require.Equal(t, fmt.Sprint("domain-", i%splitDomains), node.workGroup())
	}
	for _, node := range nodes {
		node.meter.Arrived("s", "o", 1)
	}
	for range 2 * time.Second / workInterval {
		clock.Advance(workInterval)
		for _, node := range nodes {
			if node.readers(1, node.workGroup())[0].Incarnation == node.registry.Self().Incarnation {
				node.sendFleetWork(t.Context(), 0)
				node.sendDomainWork(t.Context(), 0)
			}
		}
	}
	for _, node := range nodes {
		require.Equal(t, n, node.account.Daemons())
		s := node.account.Service("s")
		require.LessOrEqual(t, s.Age, 2*time.Second)
		require.InDelta(t, n*math.Ln2/2, s.Demand, n*math.Ln2/4)
		require.Less(t, node.usage.counters.received.Load(), int64(4))
	}
	nodes[0].OnFleetWork(peer.FleetWork{Usage: []byte{1, 2, 3}})
	require.Equal(t, n, nodes[0].account.Daemons())
	require.EqualValues(t, 1, nodes[0].usage.counters.unreadable.Load())
}

// Guards against bytes and counts where the deployment does not call for them, and against a
// reader that waits for daemons of an older build, which report no usage.
func TestUsageIsExchangedOnlyWhereCalledFor(t *testing.T) {
	clock := clockwork.NewFakeClock()
	off := newUsageFleet(t, clock, 2, overload.Off)
	off[1].meter.Arrived("s", "o", 1)
	require.Zero(t, off[1].meter.Counters())
	for range 30 {
		clock.Advance(workInterval)
		off[0].sendFleetWork(t.Context(), 0)
	}
	require.Zero(t, off[0].usage.counters.sent.Load())
	require.Empty(t, off[1].OnFleetWork(peer.FleetWork{WantUsage: true}).Usage)

	mixed := newUsageFleet(t, clock, 4, overload.On)
	for _, old := range mixed[1:] {
		// A daemon whose policy is off behaves like one of an older build.
		old.overload = off[0].overload
	}
	for range int(collectTime/workInterval) - 1 {
		mixed[0].sendFleetWork(t.Context(), 0)
		clock.Advance(workInterval)
	}
	require.Zero(t, mixed[0].usage.counters.sent.Load())
	clock.Advance(2 * workInterval)
	mixed[0].sendFleetWork(t.Context(), 0)
	require.Equal(t, 1, mixed[0].account.Daemons())
}

// Guards against an accounting for operators without names, shares or the figures of this daemon.
func TestLoadNamesServicesAndOrganisations(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newUsageFleet(t, clock, 1, overload.On)[0]
	n.installConfig(catalog.New(catalog.Declared{
		Version: 1, Services: []catalog.Service{{Name: "s"}, {Name: "idle"}},
		Keys: map[string]catalog.Organisation{"k1": {Name: "large"}, "k2": {Name: "large"}, "k3": {Name: "small"}},
	}), nil, "test")
	for organisation, work := range map[string]float64{"large": 10, "small": 1, "gone": 0.5, "": 0.25} {
		n.meter.Arrived("s", organisation, work)
	}
	n.meter.Finished("s", 2)
	n.meter.SetWaiting("s", 100)
	for range 2 {
		clock.Advance(workInterval)
		n.sendFleetWork(t.Context(), 0)
	}
	var load LoadStatus
	resp := httptest.NewRecorder()
	n.debugHandler().ServeHTTP(resp, httptest.NewRequest("GET", LoadPath, nil))
	require.NoError(t, json.Unmarshal(resp.Body.Bytes(), &load))
	require.True(t, load.Exchanged)
	require.Len(t, load.Services, 1)
	s := load.Services[0]
	require.True(t, s.Short)
	require.Positive(t, s.Waiting)
	require.Greater(t, s.OwnWaiting, s.Waiting)
	var names []string
	for _, o := range s.Organisations {
		names = append(names, o.Name)
	}
	require.Equal(t, []string{"large", "small", fmt.Sprintf("%08x", uint32(capacity.KeyOf("gone"))), "(none)"}, names)
	require.Less(t, s.Organisations[0].Share, 0.25)
	require.Equal(t, 1.0, s.Organisations[3].Share)
	require.Equal(t, 1, n.capacityVars().ShortServices)
	require.EqualValues(t, 1, n.capacityVars().ShortChanges)
	require.EqualValues(t, 4, n.capacityVars().Arrived)
}
